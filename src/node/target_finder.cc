#include "node/target_finder.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>

#include "core/base/http_status.h"
#include "node/clock.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// Delay before the next search for a target.
constexpr auto kTargetRetryInterval = std::chrono::milliseconds(20);
/// A request may wait for a target for a fifth of its latency objective before it is refused. A request that waited for
/// a configuration lease may use the whole objective, since all such requests are released at once.
constexpr int kWaitDivisor = 5;
/// A request may wait for a counted slot of a plain server for this part of its latency objective. A few slots that are
/// all in use become free within one response time, and the response still fits into the rest.
constexpr int kServerSlotWaitPercent = 40;
/// Quantile of the recent prediction errors of the first event that is allowed for.
constexpr double kExcessQuantile = 0.75;
/// At most half of the objective is set aside for prediction errors. A group predicted to respond within the other half
/// is always tried, which is also the only way to notice that responses have become faster.
constexpr int kMaxExcessDivisor = 2;
/// Plain services have no model.
const std::string kNoModel;

int32_t to_milliseconds(Duration duration) { return static_cast<int32_t>(duration / milliseconds(1)); }

/// Maximum Retry-After while no leader answers. By then a new leader tracks the rate limits for all entries and grants
/// more than this entry's share.
constexpr Duration kMaxLocalRetryAfter = seconds(2);
/// How long the leader is not asked again about servers for which it had no permit.
constexpr Duration kNoPermitBackoff = milliseconds(100);

/// How long one search takes for a response that must go on. The next one sees which groups are sound by then.
constexpr Duration kSearchTime = milliseconds(300);

constexpr const char* kAllPlacesTaken = "all places are taken";
constexpr const char* kLimitsUsedUp = "the servers' limits are used up";

}  // namespace

TimePoint TargetFinder::wait_deadline(const RelayedRequest& request) {
  const Duration objective = request.route->target_latency;
  return std::min(request.deadline,
                  request.admitted_at + (request.was_held_for_lease ? objective : objective / kWaitDivisor));
}

asio::awaitable<FoundTarget> TargetFinder::find(RelayedRequest& request, const TargetSearch& search) {
  const bool must_go_on = request.response_started || search.hedge != nullptr;
  if (!must_go_on) {
    co_return co_await search_until(request, search, wait_deadline(request));
  }
  asio::steady_timer timer(executor_);
  while (true) {
    const TimePoint search_end = std::min(request.deadline, monotonic_now() + kSearchTime);
    auto found = co_await search_until(request, search, search_end);
    const bool may_search_again = std::holds_alternative<Refusal>(found) && !search.is_over(request) &&
                                  monotonic_now() < request.deadline && may_find_later(request);
    if (!may_search_again) {
      co_return std::move(found);
    }
    timer.expires_after(kTargetRetryInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

bool TargetFinder::may_find_later(const RelayedRequest& request) const {
  const std::string& model = request.service->engine ? request.model : kNoModel;
  return !refusal_if_all_backing_off(request, request.deadline) &&
         !state_.dispatcher.are_all_servers_evacuated(request.service->name, model, home_zones(request));
}

asio::awaitable<FoundTarget> TargetFinder::search_until(RelayedRequest& request, const TargetSearch& search,
                                                        TimePoint wait_until) {
  if (auto refusal = refusal_if_all_backing_off(request, wait_until)) {
    co_return std::move(*refusal);
  }
  std::optional<FoundTarget> leader_decision;
  if (request.service->engine) {
    leader_decision = co_await ask_leader(request, search, wait_until);
  } else {
    leader_decision = co_await request_server_slot(request, search, wait_until);
  }
  if (leader_decision) {
    co_return std::move(*leader_decision);
  }
  co_return co_await choose_locally(request, search, wait_until);
}

std::optional<Refusal> TargetFinder::refusal_if_all_backing_off(const RelayedRequest& request, TimePoint until) const {
  const TimePoint now = monotonic_now();
  const auto& service = *request.service;
  const auto first_available_at =
      state_.dispatcher.all_backing_off_until(now, service.name, service.engine ? request.model : "");
  if (!first_available_at || *first_available_at <= until) {
    return std::nullopt;
  }
  return Refusal{http_status::kServiceUnavailable, "all servers asked for rest", *first_available_at - now};
}

wire::SlotRequest TargetFinder::make_slot_request(RelayedRequest& request, const TargetSearch& search, TimePoint now,
                                                  TimePoint wait_until) const {
  wire::SlotRequest slot_request;
  slot_request.service_name = request.service->name;
  slot_request.model = request.model;
  slot_request.prompt_tokens = static_cast<int32_t>(request.prompt_tokens);
  const Duration objective = request.route->target_latency;
  // A request that may have run can no longer be refused as busy, so any group is acceptable, in time or not; the
  // leader picks the fastest.
  const bool may_be_late = request.response_started || request.may_have_run || search.hedge != nullptr;
  if (objective > Duration::zero() && !may_be_late) {
    const auto excess = state_.first_event_excess.find(request.service->engine ? request.model : kNoModel);
    const Duration allowance = excess == state_.first_event_excess.end()
                                   ? Duration::zero()
                                   : std::clamp<Duration>(excess->second.value(now, kExcessQuantile), Duration::zero(),
                                                          objective / kMaxExcessDivisor);
    // A request that waited for a lease is late already. Its objective is counted from the end of that wait, as for a
    // request that its caller retries.
    const Duration remaining_time = request.admitted_at + objective - now - allowance;
    slot_request.first_event_ms = std::max(1, to_milliseconds(remaining_time));
  }
  slot_request.gap_ms = to_milliseconds(request.route->target_event_gap);
  const bool has_tenant_priority = request.tenant != nullptr && request.tenant->priority >= 0;
  slot_request.priority = has_tenant_priority ? request.tenant->priority : request.route->priority;
  if (request.tenant != nullptr) {
    slot_request.__set_tenant(request.tenant->name);
  }
  if (request.tenant != nullptr) {
    // Without a tenant, all callers of one URL would count as the same caller.
    slot_request.__set_fingerprint(request.fingerprint.value());
  }
  slot_request.patience_ms = std::max(0, to_milliseconds(wait_until - now));
  if (request.predicted_answer) {
    slot_request.__set_answer_tokens(static_cast<int32_t>(std::ceil(request.predicted_answer->mean)));
  }
  if (request.allowed_zones) {
    slot_request.__set_allowed_zones({request.allowed_zones->begin(), request.allowed_zones->end()});
  }
  slot_request.excluded_groups =
      state_.dispatcher.groups_to_avoid(now, request.service->name, request.model, search.hedge != nullptr);
  slot_request.excluded_groups.insert(slot_request.excluded_groups.end(), request.excluded_targets.begin(),
                                      request.excluded_targets.end());
  request.ruled_out_targets = slot_request.excluded_groups.size();
  return slot_request;
}

Refusal TargetFinder::busy_refusal() const {
  Duration retry_after = kRetryAfterBusy;
  if (state_.admission.turn_forecasts) {
    // Nobody knows the turns of the callers, which are refused in the same moments. They return one after the other if
    // each gets its own random time; the mean remains.
    std::uniform_int_distribution<int64_t> spread(kRetryAfterBusy.count() / 2, kRetryAfterBusy.count() * 3 / 2);
    retry_after = Duration(spread(state_.refusal_random_engine));
  }
  return {http_status::kServiceUnavailable, kAllPlacesTaken, retry_after};
}

Refusal TargetFinder::refusal_from_grant(const wire::SlotGrant& grant, const char* cause) const {
  if (!grant.__isset.retry_after_ms) {
    return busy_refusal();
  }
  return {http_status::kServiceUnavailable, cause, milliseconds(grant.retry_after_ms)};
}

asio::awaitable<std::optional<FoundTarget>> TargetFinder::ask_leader(RelayedRequest& request,
                                                                     const TargetSearch& search, TimePoint wait_until) {
  const auto slot_request = make_slot_request(request, search, monotonic_now(), wait_until);
  const auto grant = co_await slot_requester_.request_slot(slot_request);
  if (search.is_over(request)) {
    slot_requester_.note_load_change();  // Report that the slot is unused.
    co_return FoundTarget(SearchAbandoned());
  }
  if (grant.verdict == wire::SlotVerdict::BUSY) {
    // Without forecasts, the leader names times only if rate limits are the cause. With them, groups may be full as
    // well.
    co_return FoundTarget(refusal_from_grant(grant, state_.admission.turn_forecasts ? kAllPlacesTaken : kLimitsUsedUp));
  }
  if (grant.verdict != wire::SlotVerdict::GRANTED) {
    co_return std::nullopt;
  }
  const TimePoint now = monotonic_now();
  auto target = state_.dispatcher.target_of_group(now, grant.group);
  // A leader running an earlier version ignores home regions.
  const bool is_usable = target && state_.dispatcher.may_send(now, *target) &&
                         document::all_zones_allowed(home_zones(request), target->zones);
  if (!is_usable) {
    slot_requester_.note_load_change();  // Report that the slot is unused.
    co_return std::nullopt;
  }
  target->expected_first_event_delay = milliseconds(grant.expected_ms);
  target->has_slot = true;
  co_return FoundTarget(std::move(*target));
}

asio::awaitable<std::optional<FoundTarget>> TargetFinder::request_server_slot(RelayedRequest& request,
                                                                              const TargetSearch& search,
                                                                              TimePoint wait_until) {
  const TimePoint now = monotonic_now();
  const fleet::RequestRequirements demand{kNoModel, request.route->target_latency, 0, home_zones(request)};
  auto candidates = state_.dispatcher.plain_server_candidates(now, *request.service, demand, request.excluded_targets);
  if (candidates.empty() || state_.subscription.leader().empty()) {
    co_return std::nullopt;
  }
  // Without an objective, or if it may have run, the request is better late than refused.
  const bool may_be_late =
      request.route->target_latency <= Duration::zero() || request.may_have_run || search.hedge != nullptr;
  const Duration longest_wait = request.route->target_latency * kServerSlotWaitPercent / 100;
  const TimePoint longest_wait_end = std::max(wait_until, request.admitted_at + longest_wait);
  auto slot_request = make_slot_request(request, search, now,
                                        may_be_late ? request.deadline : std::min(request.deadline, longest_wait_end));
  slot_request.model = kNoModel;  // Callers may name a model for a plain service, too.
  std::vector<std::string> incarnations;
  for (const auto& candidate : candidates) {
    incarnations.push_back(candidate.incarnation);
  }
  slot_request.__set_plain_servers(incarnations);
  const auto grant = co_await slot_requester_.request_slot(slot_request);
  if (search.is_over(request)) {
    slot_requester_.note_load_change();  // Report that the slot is unused.
    co_return FoundTarget(SearchAbandoned());
  }
  if (grant.verdict == wire::SlotVerdict::BUSY) {
    co_return FoundTarget(refusal_from_grant(grant, kAllPlacesTaken));
  }
  if (grant.verdict != wire::SlotVerdict::GRANTED) {
    co_return std::nullopt;
  }
  auto target = std::find_if(candidates.begin(), candidates.end(),
                             [&grant](const auto& item) { return item.incarnation == grant.server; });
  const bool is_usable = target != candidates.end() && state_.dispatcher.may_send(monotonic_now(), *target);
  if (!is_usable) {
    slot_requester_.note_load_change();
    co_return std::nullopt;
  }
  target->expected_first_event_delay = milliseconds(grant.expected_ms);
  target->has_slot = true;
  co_return FoundTarget(std::move(*target));
}

asio::awaitable<std::optional<FoundTarget>> TargetFinder::request_rate_permit(RelayedRequest& request,
                                                                              const TargetSearch& search,
                                                                              const fleet::DispatchDecision& choice,
                                                                              TimePoint wait_until) {
  const TimePoint now = monotonic_now();
  auto slot_request = make_slot_request(request, search, now, choice.target ? now : wait_until);
  std::vector<std::string> incarnations;
  for (const auto& target : choice.rate_limited_targets) {
    incarnations.push_back(target.incarnation);
  }
  slot_request.__set_rated_servers(incarnations);
  const auto grant = co_await slot_requester_.request_slot(slot_request);
  if (search.is_over(request)) {
    co_return FoundTarget(SearchAbandoned());
  }
  if (grant.verdict == wire::SlotVerdict::GRANTED) {
    for (const auto& target : choice.rate_limited_targets) {
      if (target.incarnation == grant.server && state_.dispatcher.may_send(monotonic_now(), target)) {
        co_return FoundTarget(target);
      }
    }
    co_return std::nullopt;
  }
  if (grant.verdict == wire::SlotVerdict::BUSY && !choice.target) {
    co_return FoundTarget(refusal_from_grant(grant, kLimitsUsedUp));
  }
  if (grant.verdict == wire::SlotVerdict::BUSY) {
    for (const auto& target : choice.rate_limited_targets) {
      state_.dispatcher.note_rate_limited_until(monotonic_now() + kNoPermitBackoff, target);
    }
  }
  co_return std::nullopt;
}

std::optional<Refusal> TargetFinder::refusal_without_target(const RelayedRequest& request,
                                                            const fleet::DispatchDecision& choice, TimePoint now,
                                                            TimePoint wait_until) const {
  if (choice.next_allowed_at && *choice.next_allowed_at > wait_until) {
    return Refusal{http_status::kServiceUnavailable, "this node's part of the servers' limits is used up",
                   std::min(*choice.next_allowed_at - now, kMaxLocalRetryAfter)};
  }
  if (auto refusal = refusal_if_all_backing_off(request, wait_until)) {
    return refusal;
  }
  const std::string& model = request.service->engine ? request.model : kNoModel;
  if (state_.dispatcher.are_all_servers_evacuated(request.service->name, model, home_zones(request))) {
    return Refusal{http_status::kServiceUnavailable, "all zones with servers for it are evacuated",
                   kRetryAfterUnavailable};
  }
  if (now < wait_until) {
    return std::nullopt;
  }
  if (choice.failure == fleet::DispatchFailure::kAllBusy) {
    return busy_refusal();
  }
  return Refusal{http_status::kServiceUnavailable, "no server is available", kRetryAfterUnavailable,
                 RelayResult::kNotSent};
}

asio::awaitable<FoundTarget> TargetFinder::choose_locally(RelayedRequest& request, const TargetSearch& search,
                                                          TimePoint wait_until) {
  const fleet::RequestRequirements demand{request.model, request.route->target_latency, request.prompt_tokens,
                                          home_zones(request), search.hedge != nullptr};
  auto authority = slot_requester_.is_leader_responsive(monotonic_now()) ? fleet::RateAuthority::kLeader
                                                                         : fleet::RateAuthority::kLocalShare;
  asio::steady_timer timer(executor_);
  while (!search.is_over(request)) {
    const TimePoint now = monotonic_now();
    auto choice = state_.dispatcher.choose_target(now, *request.service, demand, request.excluded_targets, authority);
    if (!choice.rate_limited_targets.empty()) {
      auto permitted_target = co_await request_rate_permit(request, search, choice, wait_until);
      if (permitted_target) {
        co_return std::move(*permitted_target);
      }
      // Without a permit, use this entry's own share of the rate limits in the next rounds.
      authority = fleet::RateAuthority::kLocalShare;
    }
    if (choice.target && state_.dispatcher.may_send(monotonic_now(), *choice.target)) {
      co_return std::move(*choice.target);
    }
    if (auto refusal = refusal_without_target(request, choice, now, wait_until)) {
      co_return std::move(*refusal);
    }
    timer.expires_after(kTargetRetryInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
  co_return SearchAbandoned();
}

}  // namespace larchlever::node
