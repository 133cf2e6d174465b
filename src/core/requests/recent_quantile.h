#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

#include "core/base/time.h"

namespace larchlever::requests {

/// Quantile of the most recent samples. Unlike a mean, it ignores a few outliers, for example while one server is
/// paused. Samples also expire, because decisions based on the quantile may prevent new samples.
/// Single-threaded, deterministic.
class RecentQuantile {
 public:
  /// Large enough to tolerate a quarter of outliers. The least busy entry takes this many samples in a few seconds.
  static constexpr size_t kDefaultMaxSamples = 16;
  /// Longer than a burst of requests, shorter than the timeouts of callers.
  static constexpr Duration kDefaultMaxSampleAge = seconds(4);

  explicit RecentQuantile(size_t max_samples = kDefaultMaxSamples, Duration max_sample_age = kDefaultMaxSampleAge)
      : max_samples_(max_samples), max_sample_age_(max_sample_age) {}

  void add_sample(TimePoint now, Duration measured);
  /// The given quantile (0 to 1) of the recent samples, or the lower sample if it falls between two; nothing without
  /// samples.
  std::optional<Duration> find_value(TimePoint now, double quantile) const;
  /// The same; zero without samples.
  Duration value(TimePoint now, double quantile) const { return find_value(now, quantile).value_or(Duration::zero()); }

 private:
  size_t max_samples_;
  Duration max_sample_age_;
  std::deque<std::pair<TimePoint, Duration>> samples_;
};

}  // namespace larchlever::requests
