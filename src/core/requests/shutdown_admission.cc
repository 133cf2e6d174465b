#include "core/requests/shutdown_admission.h"

namespace larchlever::requests {

namespace {

/// Enough samples for the quantile below, few enough to follow a change of load.
constexpr size_t kMaxSamples = 64;
constexpr Duration kMaxSampleAge = seconds(60);
constexpr double kUsualQuantile = 0.95;
/// A sound server may fall silent for a second or so in the middle of a response.
constexpr Duration kSilenceAllowance = milliseconds(1500);

}  // namespace

void ShutdownAdmission::note_completed(TimePoint now, const std::string& route, Duration duration) {
  durations_.try_emplace(route, kMaxSamples, kMaxSampleAge).first->second.add_sample(now, duration);
}

void ShutdownAdmission::retain_routes(const std::set<std::string>& routes) {
  std::erase_if(durations_, [&routes](const auto& item) { return !routes.contains(item.first); });
}

std::optional<Duration> ShutdownAdmission::usual_duration(TimePoint now, const std::string& route) const {
  const auto found = durations_.find(route);
  return found == durations_.end() ? std::nullopt : found->second.find_value(now, kUsualQuantile);
}

bool ShutdownAdmission::accepts(TimePoint now, const std::string& route, TimePoint deadline) const {
  if (!shutdown_ || deadline <= shutdown_->end) {
    return true;
  }
  if (now >= shutdown_->new_connections_end) {
    return false;
  }
  const auto usual = usual_duration(now, route);
  return usual && now + *usual + kSilenceAllowance <= shutdown_->end;
}

}  // namespace larchlever::requests
