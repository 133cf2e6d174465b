#include "core/fleet/demand_tracker.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Long enough that a burst of a second does not move groups, short enough to follow a shift of traffic.
constexpr Duration kWindow = seconds(5);
/// Demand watched for less than this is not acted on.
constexpr Duration kShortestWatch = seconds(3);
/// Fewer requests than this in the window say nothing about shares.
constexpr double kFewestRequests = 30;

}  // namespace

void DemandTracker::start() {
  watched_since_ = TimePoint::max();
  totals_.clear();
  windows_.clear();
}

void DemandTracker::note_totals(TimePoint now, const std::string& node, const std::vector<wire::ModelDemand>& totals) {
  const bool is_first = !totals_.contains(node);
  auto& known = totals_[node];
  for (const auto& total : totals) {
    const ModelKey key(total.service_name, total.model);
    const auto [previous, is_new] = known.try_emplace(key, total);
    if (is_first) {
      continue;  // Requests of unknown age, from before this leadership.
    }
    const wire::ModelDemand before = is_new ? wire::ModelDemand() : previous->second;
    previous->second = total;
    Window& window = windows_[key];
    if (total.target_latency_ms > 0) {
      const Duration target = milliseconds(total.target_latency_ms);
      window.target_latency =
          window.target_latency == Duration::zero() ? target : std::min(window.target_latency, target);
    }
    if (total.received <= before.received) {
      continue;
    }
    watched_since_ = std::min(watched_since_, now);
    Increment increment;
    increment.at = now;
    increment.requests = static_cast<double>(total.received - before.received);
    increment.prompt_tokens = static_cast<double>(total.prompt_tokens - before.prompt_tokens);
    increment.answer_tokens = static_cast<double>(total.answer_tokens - before.answer_tokens);
    window.increments.push_back(increment);
  }
}

void DemandTracker::forget_old(TimePoint now, Window& window) const {
  while (!window.increments.empty() && now - window.increments.front().at > kWindow) {
    window.increments.pop_front();
  }
}

bool DemandTracker::is_known(TimePoint now, const std::string& service) {
  double requests = 0;
  for (auto& [key, window] : windows_) {
    if (key.first != service) {
      continue;
    }
    forget_old(now, window);
    for (const auto& increment : window.increments) {
      requests += increment.requests;
    }
  }
  return watched_since_ != TimePoint::max() && now - watched_since_ >= kShortestWatch && requests >= kFewestRequests;
}

ModelDemandRate DemandTracker::rate(TimePoint now, const std::string& service, const std::string& model) {
  ModelDemandRate result;
  const auto found = windows_.find({service, model});
  if (found == windows_.end()) {
    return result;
  }
  Window& window = found->second;
  forget_old(now, window);
  result.target_latency = window.target_latency;
  double requests = 0;
  for (const auto& increment : window.increments) {
    requests += increment.requests;
    result.sizes.prompt += increment.prompt_tokens;
    result.sizes.answer += increment.answer_tokens;
  }
  if (requests <= 0) {
    return result;
  }
  result.sizes.prompt /= requests;
  result.sizes.answer /= requests;
  const Duration watched = std::clamp<Duration>(now - watched_since_, seconds(1), kWindow);
  result.requests_per_second = requests / std::chrono::duration<double>(watched).count();
  return result;
}

}  // namespace larchlever::fleet
