#pragma once

#include <cstddef>
#include <deque>
#include <utility>

#include "core/base/time.h"

namespace larchlever::requests {

/// Quantile of the most recent samples. Unlike a mean, it ignores a few outliers, for example while one server is
/// paused. Samples also expire after a few seconds, because decisions based on the quantile may prevent new samples.
/// Single-threaded, deterministic.
class RecentQuantile {
 public:
  void add_sample(TimePoint now, Duration measured);
  /// The given quantile (0 to 1) of the recent samples, or the lower sample if it falls between two; zero without
  /// samples.
  Duration value(TimePoint now, double quantile) const;

 private:
  /// Large enough to tolerate a quarter of outliers. The least busy entry takes this many samples in a few seconds.
  static constexpr size_t kMaxSamples = 16;
  /// Longer than a burst of requests, shorter than the timeouts of callers.
  static constexpr Duration kMaxSampleAge = seconds(4);

  std::deque<std::pair<TimePoint, Duration>> samples_;
};

}  // namespace larchlever::requests
