#include "core/fleet/rate_shares.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Fraction of a server's rate that is distributed among entries while no leader counts requests.
constexpr double kSharedRateFraction = 0.5;
/// Maximum duration of a turn.
constexpr Duration kMaxTurnDuration = milliseconds(250);

}  // namespace

Duration RateShares::turn_interval(double requests_per_second, int entry_count) {
  const double interval_seconds = std::max(1, entry_count) / (requests_per_second * kSharedRateFraction);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval_seconds));
}

RateShares::TurnSchedule RateShares::draw_next_turn(TimePoint now, Duration interval) {
  const auto max_delay = std::max<int64_t>(1, interval.count());
  return {now + Duration(std::uniform_int_distribution<int64_t>(1, max_delay)(random_engine_)), interval};
}

TimePoint RateShares::next_allowed_at(TimePoint now, const std::string& incarnation, double requests_per_second,
                                      int entry_count) {
  if (requests_per_second <= 0) {
    return now;
  }
  const Duration interval = turn_interval(requests_per_second, entry_count);
  auto found = schedules_.find(incarnation);
  if (found == schedules_.end()) {
    found = schedules_.emplace(incarnation, draw_next_turn(now, interval)).first;
  }
  TurnSchedule& schedule = found->second;
  // A turn drawn for another rate or number of entries stands for a different share of the rate, so it is replaced.
  if (schedule.interval != interval || now >= schedule.next_allowed_at + std::min(interval, kMaxTurnDuration)) {
    schedule = draw_next_turn(now, interval);
  }
  return std::max(now, schedule.next_allowed_at);
}

void RateShares::note_sent(TimePoint now, const std::string& incarnation, double requests_per_second, int entry_count) {
  if (requests_per_second > 0) {
    const Duration interval = turn_interval(requests_per_second, entry_count);
    schedules_[incarnation] = {now + interval, interval};
  }
}

void RateShares::retain_servers(const std::set<std::string>& rate_limited_incarnations) {
  std::erase_if(schedules_, [&rate_limited_incarnations](const auto& item) {
    return !rate_limited_incarnations.contains(item.first);
  });
}

}  // namespace larchlever::fleet
