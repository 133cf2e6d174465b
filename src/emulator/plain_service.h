#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <string>

#include "emulator/execution_log.h"
#include "net/http_server.h"

namespace larchlever::emulator {

/// Emulates a plain HTTP service. Answers every method and path and logs each request. Query parameters delay the
/// answer (delay_ms), set its status (status) or break it off in the middle (cut).
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

/// Returns the value of a query parameter in a request target; empty if absent.
std::string query_parameter(const std::string& target, const std::string& name);

}  // namespace larchlever::emulator
