#include "core/fleet/server_limits.h"

namespace larchlever::fleet {

namespace {

/// How long the end of a limit is kept: delayed reports of the limit arrive within this time.
constexpr Duration kEndedLimitLifetime = seconds(10);
/// How long a limit is kept without a new observation: a running server responds more often than this.
constexpr Duration kLimitLifetime = std::chrono::hours(1);

}  // namespace

bool ServerLimits::observe(const LimitObservation& observation) {
  drop_expired(observation.observed_at);
  const auto [latest, is_first] = newest_observations_.try_emplace(observation.incarnation, observation);
  if (!is_first && observation.observed_at < latest->second.observed_at) {
    return false;
  }
  latest->second = observation;
  return true;
}

std::optional<double> ServerLimits::limit_of(const std::string& incarnation) const {
  const auto latest = newest_observations_.find(incarnation);
  return latest == newest_observations_.end() ? std::nullopt : latest->second.per_second;
}

void ServerLimits::drop_expired(TimePoint now) {
  std::erase_if(newest_observations_, [now](const auto& item) {
    const auto& latest = item.second;
    return now - latest.observed_at > (latest.per_second ? kLimitLifetime : kEndedLimitLifetime);
  });
}

std::vector<LimitObservation> ServerLimits::observations(TimePoint now) {
  drop_expired(now);
  std::vector<LimitObservation> result;
  for (const auto& [incarnation, latest] : newest_observations_) {
    result.push_back(latest);
  }
  return result;
}

}  // namespace larchlever::fleet
