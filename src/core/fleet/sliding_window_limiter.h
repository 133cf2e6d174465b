#pragma once

#include <deque>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Counts requests of the last second against a rate, at one place that sees all of them; below one a second, those of
/// the time in which one may pass. A rate of 0 is no limit. Single-threaded, deterministic.
class SlidingWindowLimiter {
 public:
  /// When the next request may pass, not before `now`.
  TimePoint next_allowed_at(TimePoint now, double per_second);
  bool allows_request(TimePoint now, double per_second) { return next_allowed_at(now, per_second) <= now; }
  void note_request(TimePoint now) { request_times_.push_back(now); }

 private:
  std::deque<TimePoint> request_times_;
};

}  // namespace larchlever::fleet
