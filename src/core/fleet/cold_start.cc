#include "core/fleet/cold_start.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Part of a server's rate that entries share out while no leader counts for all of them.
constexpr double kSharedOut = 0.5;

}  // namespace

bool RateWindow::has_room(TimePoint now, double per_second) {
  while (!times_.empty() && now - times_.front() >= seconds(1)) {
    times_.pop_front();
  }
  return per_second <= 0 || static_cast<double>(times_.size()) + 1 <= std::max(1.0, per_second);
}

Duration ColdStartShares::turn(double per_second, int entries) {
  const double turn_seconds = std::max(1, entries) / (per_second * kSharedOut);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(turn_seconds));
}

bool ColdStartShares::may_send(TimePoint now, const std::string& incarnation, double per_second, int entries) {
  if (per_second <= 0) {
    return true;
  }
  const auto [next, is_first] = next_.try_emplace(incarnation, now);
  if (is_first) {
    const auto longest = turn(per_second, entries).count();
    next->second = now + Duration(std::uniform_int_distribution<int64_t>(1, std::max<int64_t>(1, longest))(random_));
  }
  return now >= next->second;
}

void ColdStartShares::note_sent(TimePoint now, const std::string& incarnation, double per_second, int entries) {
  if (per_second > 0) {
    next_[incarnation] = now + turn(per_second, entries);
  }
}

void ColdStartShares::keep_only(const std::set<std::string>& cold) {
  std::erase_if(next_, [&cold](const auto& item) { return !cold.contains(item.first); });
}

}  // namespace larchlever::fleet
