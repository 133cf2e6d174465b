#include "core/requests/recent_quantile.h"

#include <algorithm>
#include <vector>

namespace larchlever::requests {

void RecentQuantile::note(TimePoint now, Duration measured) {
  recent_.emplace_back(now, measured);
  if (recent_.size() > kRemembered) {
    recent_.pop_front();
  }
}

Duration RecentQuantile::value(TimePoint now, double share) const {
  std::vector<Duration> sorted;
  for (const auto& [at, measured] : recent_) {
    if (now - at <= kMemory) {
      sorted.push_back(measured);
    }
  }
  if (sorted.empty()) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace larchlever::requests
