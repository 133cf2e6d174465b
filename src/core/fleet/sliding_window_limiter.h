#pragma once

#include <deque>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Sliding-window rate limiter for a single process that sees all requests. The window is one second; for rates below
/// one per second, it is the time for one request. A rate of 0 means no limit. Single-threaded, deterministic.
class SlidingWindowLimiter {
 public:
  /// When the next request is allowed, not before `now`.
  TimePoint next_allowed_at(TimePoint now, double requests_per_second);
  bool allows_request(TimePoint now, double requests_per_second) {
    return next_allowed_at(now, requests_per_second) <= now;
  }
  void note_request(TimePoint now) { request_times_.push_back(now); }

 private:
  std::deque<TimePoint> request_times_;
};

}  // namespace larchlever::fleet
