#pragma once

#include "core/base/time.h"

namespace larchlever::requests {

/// Running mean and mean deviation of measured times, as TCP keeps them of its round trips. Pure; single-threaded.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration initial = Duration::zero()) : mean_(initial) {}

  void add_sample(Duration measured);
  Duration mean() const { return mean_; }
  /// The mean and `deviations` times the mean deviation above it.
  Duration upper_bound(int deviations) const { return mean_ + deviations * deviation_; }
  bool has_samples() const { return has_samples_; }

 private:
  Duration mean_;
  Duration deviation_{};
  bool has_samples_ = false;
};

}  // namespace larchlever::requests
