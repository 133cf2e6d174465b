#include "core/requests/recent_quantile.h"

#include <algorithm>
#include <vector>

namespace larchlever::requests {

void RecentQuantile::add_sample(TimePoint now, Duration measured) {
  samples_.emplace_back(now, measured);
  if (samples_.size() > max_samples_) {
    samples_.pop_front();
  }
}

std::optional<Duration> RecentQuantile::find_value(TimePoint now, double quantile) const {
  std::vector<Duration> sorted;
  for (const auto& [at, measured] : samples_) {
    if (now - at <= max_sample_age_) {
      sorted.push_back(measured);
    }
  }
  if (sorted.empty()) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<size_t>(rank)];
}

}  // namespace larchlever::requests
