#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <string>

#include "emulator/execution_log.h"
#include "net/http_server.h"

namespace larchlever::emulator {

/// Stand-in of a plain service: answers every method under its prefix, counts what ran, and can be told to be slow,
/// to fail or to break its answer off by query parameters (delay_ms, status, cut).
class PlainService : public net::HttpHandler {
 public:
  PlainService(boost::asio::any_io_executor executor, std::string name, std::string zone, ExecutionLog& log);
  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;

 private:
  boost::asio::any_io_executor executor_;
  std::string name_;
  std::string zone_;
  ExecutionLog& log_;
};

/// Value of a query parameter in a request target; empty when absent.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace larchlever::emulator
