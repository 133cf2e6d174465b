#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "core/base/time.h"

namespace larchlever::requests {

/// A quantile of the last few measurements. Unlike a mean it is not moved by a few that say nothing about the rest, as
/// when one server stood still, and it forgets them after as many new ones or after a few seconds: what is decided by
/// it may keep new ones from being taken. Single-threaded, deterministic.
class RecentQuantile {
 public:
  void add_sample(TimePoint now, Duration measured);
  /// The measurement that `share` (0 to 1) of the recent ones do not exceed, the lower of two where it lies between
  /// them; zero when there is none.
  Duration value(TimePoint now, double quantile) const;

 private:
  /// Enough that a quarter of them may be outliers; at the least busy entry, what a few seconds bring.
  static constexpr size_t kMaxSamples = 16;
  /// Longer than a burst, shorter than callers' patience.
  static constexpr Duration kMaxSampleAge = seconds(4);

  std::deque<std::pair<TimePoint, Duration>> samples_;
};

}  // namespace larchlever::requests
