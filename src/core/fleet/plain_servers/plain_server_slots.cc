#include "core/fleet/plain_servers/plain_server_slots.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace larchlever::fleet {

namespace {

/// Servers whose expected response time exceeds the shortest one by less than this factor and time share the load: the
/// times are medians of few samples.
constexpr double kSimilarTimeFactor = 1.5;
constexpr double kSimilarTimeMs = 5;
/// The expected time is a median; this multiple of it must fit into the objective.
constexpr double kObjectiveMargin = 1.2;
/// A server that may be faster now is tried once per interval, so that callers have it back within two seconds.
constexpr Duration kTrialInterval = seconds(1);
/// At most one of this many requests of a service is a trial: a trial may miss its objective.
constexpr int kGrantsPerTrial = 40;
/// Interval of further trials after a response that was faster than expected.
constexpr Duration kConfirmationInterval = milliseconds(20);
/// Trials are sent only to a server with at most this many requests in flight.
constexpr int kMaxInFlightForTrial = 1;
/// A server begins to count as slow at this multiple of the typical response time of its service and at this many
/// milliseconds more, and ceases to below the lower one.
constexpr double kSlowFactor = 2.0;
constexpr double kNoLongerSlowFactor = 1.5;
constexpr double kSlowAllowanceMs = 20;
constexpr Duration kReviewInterval = seconds(1);

Duration from_milliseconds(double time_ms) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(time_ms));
}

}  // namespace

void PlainServerSlots::set_servers(const std::vector<PlainServer>& servers) {
  std::set<std::string> known;
  std::set<std::string> services;
  for (const auto& server : servers) {
    known.insert(server.incarnation);
    services.insert(server.service);
    servers_[server.incarnation].server = server;
  }
  std::erase_if(servers_, [&known](const auto& item) { return !known.contains(item.first); });
  std::erase_if(grants_since_trial_, [&services](const auto& item) { return !services.contains(item.first); });
}

void PlainServerSlots::clear() {
  servers_.clear();
  grants_since_trial_.clear();
  next_review_ = TimePoint::min();
}

std::vector<std::string> PlainServerSlots::servers_of(const std::string& service) const {
  std::vector<std::string> result;
  for (const auto& [incarnation, tracked] : servers_) {
    if (tracked.server.service == service) {
      result.push_back(incarnation);
    }
  }
  return result;
}

Duration PlainServerSlots::expected_response(TimePoint now, const std::string& incarnation, const std::string& entry,
                                             int in_flight) const {
  const auto found = servers_.find(incarnation);
  if (found == servers_.end()) {
    return Duration::zero();
  }
  const auto expected_ms = found->second.speed.expected_ms(now, entry, load_share(found->second, in_flight));
  return from_milliseconds(expected_ms.value_or(0));
}

double PlainServerSlots::load_share(const TrackedServer& tracked, int in_flight) {
  return tracked.server.slots > 0 ? static_cast<double>(in_flight) / tracked.server.slots : 0;
}

bool PlainServerSlots::has_room(const TrackedServer& tracked, int in_flight) {
  return tracked.server.slots <= 0 || in_flight < tracked.server.slots;
}

void PlainServerSlots::note_response_times(TimePoint now, const std::string& incarnation,
                                           const ResponseTimeSample& sample, int in_flight) {
  const auto found = servers_.find(incarnation);
  const bool is_valid = sample.count > 0 && std::isfinite(sample.mean_ms) && sample.mean_ms > 0;
  if (found != servers_.end() && is_valid) {
    // The request itself was in flight, too.
    found->second.speed.note_sample(now, sample, load_share(found->second, std::max(0, in_flight - 1)));
  }
}

std::vector<PlainServerSlots::Option> PlainServerSlots::options_with_room(TimePoint now,
                                                                          const PlainServerRequest& request) const {
  std::vector<Option> options;
  std::vector<size_t> unknown;
  double shortest_ms = 0;
  for (const auto& candidate : request.candidates) {
    const auto found = servers_.find(candidate.incarnation);
    if (found == servers_.end() || !candidate.may_send || !has_room(found->second, candidate.in_flight)) {
      continue;
    }
    const TrackedServer& tracked = found->second;
    const double share = load_share(tracked, candidate.in_flight);
    const auto expected = tracked.speed.expected_ms(now, request.entry, share);
    if (!expected) {
      unknown.push_back(options.size());
    } else {
      const bool has_known = options.size() > unknown.size();
      shortest_ms = has_known ? std::min(shortest_ms, *expected) : *expected;
    }
    options.push_back({&candidate, &tracked, expected.value_or(0), share});
  }
  for (const size_t index : unknown) {
    options[index].expected_ms = shortest_ms;  // A new server is assumed to be as fast as the others.
  }
  return options;
}

bool PlainServerSlots::is_trial_due(TimePoint now, const Option& option) const {
  const TrackedServer& tracked = *option.tracked;
  if (option.candidate->in_flight > kMaxInFlightForTrial) {
    return false;
  }
  const Duration idle_time = tracked.last_grant_at == TimePoint::min() ? kTrialInterval : now - tracked.last_grant_at;
  if (tracked.speed.seems_faster()) {
    return idle_time >= kConfirmationInterval;
  }
  const auto grants = grants_since_trial_.find(tracked.server.service);
  return idle_time >= kTrialInterval && grants != grants_since_trial_.end() && grants->second >= kGrantsPerTrial;
}

bool PlainServerSlots::is_objective_unreachable(TimePoint now, const PlainServerRequest& request) const {
  const Duration objective = request.objective;
  return std::none_of(request.candidates.begin(), request.candidates.end(), [&](const auto& candidate) {
    const auto found = servers_.find(candidate.incarnation);
    if (found == servers_.end()) {
      return false;
    }
    const double idle_ms = found->second.speed.expected_ms(now, request.entry, 0).value_or(0);
    return from_milliseconds(idle_ms * kObjectiveMargin) <= objective;
  });
}

PlainServerChoice PlainServerSlots::choose(TimePoint now, const PlainServerRequest& request) const {
  const auto options = options_with_room(now, request);
  if (options.empty()) {
    return {};
  }
  const auto shorter = [](const Option& left, const Option& right) { return left.expected_ms < right.expected_ms; };
  const double shortest_ms = std::min_element(options.begin(), options.end(), shorter)->expected_ms;
  const double similar_ms = shortest_ms * kSimilarTimeFactor + kSimilarTimeMs;
  const Option* best = nullptr;
  for (const auto& option : options) {
    const bool is_similar = option.expected_ms <= similar_ms;
    if (!is_similar && is_trial_due(now, option)) {
      return {option.candidate->incarnation, from_milliseconds(option.expected_ms), false, true};
    }
    if (is_similar && (best == nullptr || option.load_share < best->load_share)) {
      best = &option;
    }
  }
  PlainServerChoice choice{best->candidate->incarnation, from_milliseconds(best->expected_ms)};
  const Duration needed_time = from_milliseconds(best->expected_ms * kObjectiveMargin);
  choice.is_late = request.objective > Duration::zero() && needed_time > request.remaining_time &&
                   !is_objective_unreachable(now, request);
  return choice;
}

void PlainServerSlots::note_grant(TimePoint now, const PlainServerChoice& choice) {
  const auto found = servers_.find(choice.incarnation);
  if (found == servers_.end()) {
    return;
  }
  found->second.last_grant_at = now;
  int& grants = grants_since_trial_[found->second.server.service];
  grants = choice.is_trial ? 0 : std::min(grants + 1, kGrantsPerTrial);
}

void PlainServerSlots::forget_entry(const std::string& entry) {
  for (auto& [incarnation, tracked] : servers_) {
    tracked.speed.forget_entry(entry);
  }
}

std::map<std::string, double> PlainServerSlots::typical_ms_by_service() const {
  std::map<std::string, std::vector<double>> times;
  for (const auto& [incarnation, tracked] : servers_) {
    if (const auto typical = tracked.speed.typical_ms()) {
      times[tracked.server.service].push_back(*typical);
    }
  }
  std::map<std::string, double> result;
  for (auto& [service, values] : times) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    result[service] = *middle;
  }
  return result;
}

std::vector<PlainServerSpeedChange> PlainServerSlots::take_speed_changes(TimePoint now) {
  std::vector<PlainServerSpeedChange> changes;
  if (now < next_review_) {
    return changes;
  }
  next_review_ = now + kReviewInterval;
  const auto typical_by_service = typical_ms_by_service();
  for (auto& [incarnation, tracked] : servers_) {
    const auto typical = tracked.speed.typical_ms();
    if (!typical) {
      continue;
    }
    const double service_ms = typical_by_service.at(tracked.server.service);
    const double factor = tracked.is_slow ? kNoLongerSlowFactor : kSlowFactor;
    const bool is_slow = *typical > factor * service_ms + kSlowAllowanceMs;
    if (is_slow != tracked.is_slow) {
      tracked.is_slow = is_slow;
      changes.push_back({incarnation, tracked.server.service, is_slow, *typical, service_ms});
    }
  }
  return changes;
}

}  // namespace larchlever::fleet
