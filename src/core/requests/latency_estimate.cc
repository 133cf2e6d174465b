#include "core/requests/latency_estimate.h"

namespace larchlever::requests {

namespace {

/// Weights of one sample, as in RFC 6298.
constexpr int kMeanPart = 8;
constexpr int kDeviationPart = 4;

}  // namespace

void LatencyEstimate::note(Duration measured) {
  if (!is_measured_) {
    is_measured_ = true;
    mean_ = measured;
    deviation_ = measured / 2;
    return;
  }
  const Duration difference = measured - mean_;
  mean_ += difference / kMeanPart;
  deviation_ += (std::chrono::abs(difference) - deviation_) / kDeviationPart;
}

}  // namespace larchlever::requests
