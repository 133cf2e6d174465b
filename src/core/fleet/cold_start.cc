#include "core/fleet/cold_start.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

constexpr double kSharedOut = 0.5;
/// A server that nobody asked about for this long after its turn is warm or gone.
constexpr Duration kTurnMemory = seconds(60);

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
    forget_old(now);
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

void ColdStartShares::forget_old(TimePoint now) {
  std::erase_if(next_, [now](const auto& item) { return now - item.second > kTurnMemory; });
}

}  // namespace larchlever::fleet
