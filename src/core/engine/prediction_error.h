#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace larchlever::engine {

/// Histogram of how many times larger answers are than predicted. Single-threaded.
class PredictionErrorHistogram {
 public:
  /// Upper bounds of the ratio of actual to predicted; the last bucket has none.
  static constexpr std::array<double, 6> kUpperBounds = {0.25, 0.5, 0.8, 1.25, 2, 4};
  static constexpr size_t kBucketCount = kUpperBounds.size() + 1;

  void add(double predicted, double actual);
  uint64_t total() const { return total_; }
  const std::array<uint64_t, kBucketCount>& counts() const { return counts_; }

 private:
  std::array<uint64_t, kBucketCount> counts_{};
  uint64_t total_ = 0;
};

}  // namespace larchlever::engine
