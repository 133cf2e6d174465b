#pragma once

#include "core/base/time.h"

namespace larchlever::requests {

/// Running mean and mean deviation of measured durations, computed like the round-trip estimate of TCP. No I/O;
/// single-threaded.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration initial = Duration::zero()) : mean_(initial) {}

  void add_sample(Duration measured);
  Duration mean() const { return mean_; }
  /// The mean plus `deviations` times the mean deviation.
  Duration upper_bound(int deviations) const { return mean_ + deviations * deviation_; }
  bool has_samples() const { return has_samples_; }

 private:
  Duration mean_;
  Duration deviation_{};
  bool has_samples_ = false;
};

}  // namespace larchlever::requests
