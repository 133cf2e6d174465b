#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "child_process.h"

namespace larchlever::integration {

/// What a ready plain server of the service `forms` reports of itself.
boost::json::object plain_server_report(const std::string& address, const std::string& zone, int64_t call_number);

/// Sends the reports of servers to control replicas, one after the other until one takes them. For one thread.
class ReportSender {
 public:
  /// A replica that has not answered after `timeout` is passed over.
  explicit ReportSender(std::vector<std::string> control_endpoints,
                        std::chrono::milliseconds timeout = std::chrono::milliseconds(500))
      : control_endpoints_(std::move(control_endpoints)), timeout_(timeout) {}
  /// The replica that took the last report comes first. False when none took this one.
  bool send(BlockingClient& client, const std::string& server_id, const std::string& report);

 private:
  std::vector<std::string> control_endpoints_;
  std::chrono::milliseconds timeout_;
  size_t next_endpoint_ = 0;
};

}  // namespace larchlever::integration
