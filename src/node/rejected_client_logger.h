#pragma once

#include <string>

#include "core/base/time.h"
#include "net/http_server.h"

namespace larchlever::node {

/// Logs, once a second at most, how many clients of one listener were rejected or disconnected since the last line, by
/// cause.
class RejectedClientLogger {
 public:
  RejectedClientLogger(std::string node, std::string listener)
      : node_name_(std::move(node)), listener_(std::move(listener)) {}

  void tick(TimePoint now, const net::HttpServerStats& stats);

 private:
  std::string node_name_;
  std::string listener_;
  net::HttpServerStats logged_;
  TimePoint next_log_{};
};

}  // namespace larchlever::node
