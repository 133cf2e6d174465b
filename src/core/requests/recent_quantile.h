#pragma once

#include <cstddef>
#include <deque>

#include "core/base/time.h"

namespace larchlever::requests {

/// A quantile of the last few measurements. Unlike a mean it is not moved by a few that say nothing about the rest, as
/// when one server stood still, and it forgets them after as many new ones. Single-threaded, deterministic.
class RecentQuantile {
 public:
  void note(Duration measured);
  /// The measurement that `share` (0 to 1) of the recent ones do not exceed, the lower of two where it lies between
  /// them; zero before the first.
  Duration value(double share) const;

 private:
  /// Enough that a quarter of them may be outliers; at the least busy entry, what a few seconds bring.
  static constexpr size_t kRemembered = 16;

  std::deque<Duration> recent_;
};

}  // namespace larchlever::requests
