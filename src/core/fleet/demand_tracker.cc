#include "core/fleet/demand_tracker.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Long enough that a burst of one second does not move groups, short enough to follow a shift of traffic.
constexpr Duration kWindow = seconds(5);
/// Demand that was observed for less than this time is not used.
constexpr Duration kMinObservationTime = seconds(3);
/// With fewer requests in the window, the shares of the models are not significant.
constexpr double kMinRequests = 30;

}  // namespace

void DemandTracker::start() {
  first_request_at_ = TimePoint::max();
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
      continue;  // The first totals include requests of unknown age, from before this leadership.
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
    first_request_at_ = std::min(first_request_at_, now);
    Increment increment;
    increment.at = now;
    increment.requests = static_cast<double>(total.received - before.received);
    increment.prompt_tokens = static_cast<double>(total.prompt_tokens - before.prompt_tokens);
    increment.answer_tokens = static_cast<double>(total.answer_tokens - before.answer_tokens);
    window.increments.push_back(increment);
  }
}

void DemandTracker::remove_old_increments(TimePoint now, Window& window) const {
  while (!window.increments.empty() && now - window.increments.front().at > kWindow) {
    window.increments.pop_front();
  }
}

bool DemandTracker::has_enough_data(TimePoint now, const std::string& service) {
  double requests = 0;
  for (auto& [key, window] : windows_) {
    if (key.first != service) {
      continue;
    }
    remove_old_increments(now, window);
    for (const auto& increment : window.increments) {
      requests += increment.requests;
    }
  }
  return first_request_at_ != TimePoint::max() && now - first_request_at_ >= kMinObservationTime &&
         requests >= kMinRequests;
}

ModelDemandRate DemandTracker::rate(TimePoint now, const std::string& service, const std::string& model) {
  ModelDemandRate result;
  const auto found = windows_.find({service, model});
  if (found == windows_.end()) {
    return result;
  }
  Window& window = found->second;
  remove_old_increments(now, window);
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
  const Duration observed = std::clamp<Duration>(now - first_request_at_, seconds(1), kWindow);
  result.requests_per_second = requests / std::chrono::duration<double>(observed).count();
  return result;
}

}  // namespace larchlever::fleet
