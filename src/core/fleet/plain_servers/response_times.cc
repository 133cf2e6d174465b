#include "core/fleet/plain_servers/response_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace larchlever::fleet {

namespace {

/// Number of entries whose latest samples are joined. Four that agree show a change of speed.
constexpr size_t kMaxEntries = 7;
/// Samples that are older than the latest one by more than this are not joined with it.
constexpr Duration kMaxAgeDifference = seconds(2);
/// Samples of one entry within this time are averaged.
constexpr Duration kAveragingTime = seconds(1);

/// Joins two times so that a change by a factor counts equally in both directions.
double join_times(double previous_ms, const ResponseTimeSample& sample) {
  const double weight = sample.count / (sample.count + 1.0);
  return std::pow(previous_ms, 1 - weight) * std::pow(sample.mean_ms, weight);
}

}  // namespace

void RecentResponseTimes::add(TimePoint now, const ResponseTimeSample& sample) {
  EntryTime row{sample.entry, sample.mean_ms, now};
  const auto previous =
      std::find_if(latest_.begin(), latest_.end(), [&sample](const auto& item) { return item.entry == sample.entry; });
  if (previous != latest_.end()) {
    if (now - previous->measured_at < kAveragingTime) {
      row.mean_ms = join_times(previous->mean_ms, sample);
    }
    latest_.erase(previous);
  }
  latest_.push_back(std::move(row));
  while (latest_.size() > kMaxEntries || now - latest_.front().measured_at > kMaxAgeDifference) {
    latest_.pop_front();
  }
}

std::optional<double> RecentResponseTimes::typical_ms() const {
  if (latest_.empty()) {
    return std::nullopt;
  }
  std::vector<double> times;
  for (const auto& row : latest_) {
    times.push_back(row.mean_ms);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void RecentResponseTimes::forget_entry(const std::string& entry) {
  std::erase_if(latest_, [&entry](const auto& item) { return item.entry == entry; });
}

}  // namespace larchlever::fleet
