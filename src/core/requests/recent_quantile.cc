#include "core/requests/recent_quantile.h"

#include <algorithm>
#include <vector>

namespace larchlever::requests {

void RecentQuantile::note(Duration measured) {
  recent_.push_back(measured);
  if (recent_.size() > kRemembered) {
    recent_.pop_front();
  }
}

Duration RecentQuantile::value(double share) const {
  if (recent_.empty()) {
    return Duration::zero();
  }
  std::vector<Duration> sorted(recent_.begin(), recent_.end());
  const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace larchlever::requests
