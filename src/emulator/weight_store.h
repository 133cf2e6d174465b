#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstdint>

#include "net/http_server.h"

namespace larchlever::emulator {

struct WeightStoreOptions {
  int max_concurrent_transfers = 8;
  std::chrono::milliseconds transfer_time{400};
};

/// Emulates the weight store. GET /weights/MODEL/VERSION is answered after the transfer time; transfers beyond
/// `max_concurrent_transfers` are rejected with 429 and Retry-After.
class WeightStore : public net::HttpHandler {
 public:
  WeightStore(boost::asio::any_io_executor executor, WeightStoreOptions options);
  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  uint64_t started_transfers() const { return started_transfers_; }
  uint64_t refused_transfers() const { return refused_transfers_; }

 private:
  boost::asio::any_io_executor executor_;
  WeightStoreOptions options_;
  int active_transfers_ = 0;
  uint64_t started_transfers_ = 0;
  uint64_t refused_transfers_ = 0;
};

}  // namespace larchlever::emulator
