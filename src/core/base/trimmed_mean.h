#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <numeric>

#include "core/base/time.h"

namespace larchlever {

/// Mean of the latest durations without the longest of them, so that a single outlier, for example a retransmitted
/// packet, has no effect. No I/O; single-threaded.
class TrimmedMean {
 public:
  void add(Duration sample) {
    samples_[next_] = sample;
    next_ = (next_ + 1) % kMaxSamples;
    count_ = std::min(count_ + 1, kMaxSamples);
  }
  void clear() { *this = TrimmedMean(); }
  bool is_empty() const { return count_ == 0; }
  /// Zero without samples; the only sample if there is just one.
  Duration value() const {
    if (count_ < 2) {
      return samples_[0];
    }
    const auto end = samples_.begin() + static_cast<std::ptrdiff_t>(count_);
    const Duration longest = *std::max_element(samples_.begin(), end);
    const Duration sum = std::accumulate(samples_.begin(), end, Duration::zero());
    return (sum - longest) / static_cast<int64_t>(count_ - 1);
  }

 private:
  /// Few enough that the mean follows a change within as many samples, and enough that one outlier of them is rare.
  static constexpr size_t kMaxSamples = 5;

  std::array<Duration, kMaxSamples> samples_{};
  size_t next_ = 0;
  size_t count_ = 0;
};

}  // namespace larchlever
