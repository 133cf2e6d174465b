#include "core/engine/prediction_error.h"

#include <algorithm>
#include <iterator>

namespace larchlever::engine {

void PredictionErrorHistogram::add(double predicted, double actual) {
  if (predicted <= 0 || actual <= 0) {
    return;
  }
  const auto bucket = std::lower_bound(kUpperBounds.begin(), kUpperBounds.end(), actual / predicted);
  ++counts_[static_cast<size_t>(std::distance(kUpperBounds.begin(), bucket))];
  ++total_;
}

}  // namespace larchlever::engine
