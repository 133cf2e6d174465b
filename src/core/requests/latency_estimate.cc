#include "core/requests/latency_estimate.h"

namespace larchlever::requests {

namespace {

/// A new sample has a weight of 1/8 in the mean and 1/4 in the deviation, as in RFC 6298.
constexpr int kMeanWeightDivisor = 8;
constexpr int kDeviationWeightDivisor = 4;

}  // namespace

void LatencyEstimate::add_sample(Duration measured) {
  if (!has_samples_) {
    has_samples_ = true;
    mean_ = measured;
    deviation_ = measured / 2;
    return;
  }
  const Duration difference = measured - mean_;
  mean_ += difference / kMeanWeightDivisor;
  deviation_ += (std::chrono::abs(difference) - deviation_) / kDeviationWeightDivisor;
}

}  // namespace larchlever::requests
