#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "child_process.h"

namespace larchlever::integration {

/// Registration report of a ready plain server (not an engine) of the service `forms`.
boost::json::object plain_server_report(const std::string& address, const std::string& zone, int64_t call_number);

/// Sends the reports of servers to one control replica after another until one accepts the report. Not thread-safe.
class ReportSender {
 public:
  /// A replica that does not answer within `timeout` is skipped.
  explicit ReportSender(std::vector<std::string> control_endpoints,
                        std::chrono::milliseconds timeout = std::chrono::milliseconds(500))
      : control_endpoints_(std::move(control_endpoints)), timeout_(timeout) {}
  /// Starts with the replica that accepted the last report. Returns false if no replica accepted this one.
  bool send(BlockingClient& client, const std::string& server_id, const std::string& report);

 private:
  std::vector<std::string> control_endpoints_;
  std::chrono::milliseconds timeout_;
  size_t next_endpoint_ = 0;
};

}  // namespace larchlever::integration
