#include "node/target_finder.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "core/base/http_status.h"
#include "node/clock.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Pause before looking for a target again.
constexpr auto kTargetPause = std::chrono::milliseconds(20);
/// Part of the latency objective that a request may wait for a place before it is refused; who was held until this
/// entry had a lease may wait for all of it, since all that were held come at once.
constexpr int kWaitingPart = 5;
/// Part of the recent first events whose excess over the forecast is allowed for.
constexpr double kExcessShare = 0.75;
/// Most of the objective that may be set aside for it: a group that is forecast within the rest is always worth a try,
/// which also is the only way to learn that first events come sooner again.
constexpr int kExcessPart = 2;
/// Plain services have none.
const std::string kNoModel;

int32_t to_milliseconds(Duration duration) { return static_cast<int32_t>(duration / milliseconds(1)); }

/// By then another leader counts for all entries, and gives more than this entry's part.
constexpr Duration kBackWhenLed = seconds(2);
/// How long the leader is not asked again for servers at which it had no turn.
constexpr Duration kNoTurnPause = milliseconds(100);

Refusal busy() { return {http_status::kServiceUnavailable, "all places are taken", kBackWhenBusy}; }

Refusal refusal_of(const wire::SlotGrant& grant) {
  if (!grant.__isset.retry_after_ms) {
    return busy();
  }
  return {http_status::kServiceUnavailable, "the servers' limits are used up", milliseconds(grant.retry_after_ms)};
}

}  // namespace

TimePoint TargetFinder::patience_of(const RelayedRequest& request) {
  if (request.head_sent) {
    return request.due;
  }
  const Duration objective = request.route->target_latency;
  return std::min(request.due, request.admitted + (request.was_held ? objective : objective / kWaitingPart));
}

asio::awaitable<FoundTarget> TargetFinder::find(RelayedRequest& request) {
  const TimePoint wait_until = patience_of(request);
  if (auto refusal = refusal_while_all_rest(request, wait_until)) {
    co_return std::move(*refusal);
  }
  if (request.service->engine) {
    auto answer = co_await ask_leader(request, wait_until);
    if (answer) {
      co_return std::move(*answer);
    }
  }
  co_return co_await choose_here(request, wait_until);
}

std::optional<Refusal> TargetFinder::refusal_while_all_rest(const RelayedRequest& request, TimePoint until) const {
  const TimePoint now = monotonic_now();
  const auto& service = *request.service;
  const auto first = state_.dispatcher.all_backing_off_until(now, service.name, service.engine ? request.model : "");
  if (!first || *first <= until) {
    return std::nullopt;
  }
  return Refusal{http_status::kServiceUnavailable, "all servers asked for rest", *first - now};
}

wire::SlotRequest TargetFinder::question_for(const RelayedRequest& request, TimePoint now, TimePoint wait_until) const {
  wire::SlotRequest question;
  question.service_name = request.service->name;
  question.model = request.model;
  question.prompt_tokens = static_cast<int32_t>(request.prompt_tokens);
  const Duration objective = request.route->target_latency;
  // Once it may have run, it cannot be refused any more: the soonest group is best, in time or not.
  if (objective > Duration::zero() && !request.head_sent && !request.may_have_run) {
    const auto excess = state_.first_event_excess.find(request.model);
    const Duration allowance =
        excess == state_.first_event_excess.end()
            ? Duration::zero()
            : std::clamp<Duration>(excess->second.value(now, kExcessShare), Duration::zero(), objective / kExcessPart);
    // Whoever was held is late already; as with those that come back, the objective counts anew.
    const Duration left = request.admitted + objective - now - allowance;
    question.first_event_ms = std::max(1, to_milliseconds(left));
  }
  question.gap_ms = to_milliseconds(request.route->target_gap);
  const bool by_tenant = request.tenant != nullptr && request.tenant->priority >= 0;
  question.priority = by_tenant ? request.tenant->priority : request.route->priority;
  question.patience_ms = std::max(0, to_milliseconds(wait_until - now));
  if (request.allowed_zones) {
    question.__set_allowed_zones({request.allowed_zones->begin(), request.allowed_zones->end()});
  }
  question.excluded_groups = state_.dispatcher.groups_to_avoid(now, request.service->name, request.model);
  question.excluded_groups.insert(question.excluded_groups.end(), request.excluded.begin(), request.excluded.end());
  return question;
}

asio::awaitable<std::optional<FoundTarget>> TargetFinder::ask_leader(RelayedRequest& request, TimePoint wait_until) {
  const auto question = question_for(request, monotonic_now(), wait_until);
  const auto grant = co_await slots_.ask(question);
  if (request.caller_gone) {
    co_return FoundTarget(CallerGone());
  }
  if (grant.verdict == wire::SlotVerdict::BUSY) {
    co_return FoundTarget(refusal_of(grant));
  }
  if (grant.verdict != wire::SlotVerdict::GRANTED) {
    co_return std::nullopt;
  }
  const TimePoint now = monotonic_now();
  auto target = state_.dispatcher.target_of_group(now, grant.group);
  // A leader of an earlier version grants slots without regard to homes.
  const bool is_usable =
      target && state_.dispatcher.may_send(now, *target) && document::are_allowed(home_zones(request), target->zones);
  if (!is_usable) {
    slots_.note_change();  // The slot is not used.
    co_return std::nullopt;
  }
  request.expected_first_event = milliseconds(grant.expected_ms);
  request.has_slot = true;
  co_return FoundTarget(std::move(*target));
}

asio::awaitable<std::optional<FoundTarget>> TargetFinder::ask_for_turn(RelayedRequest& request,
                                                                       const fleet::DispatchDecision& choice,
                                                                       TimePoint wait_until) {
  const TimePoint now = monotonic_now();
  auto question = question_for(request, now, choice.target ? now : wait_until);
  std::vector<std::string> incarnations;
  for (const auto& target : choice.rate_limited_targets) {
    incarnations.push_back(target.incarnation);
  }
  question.__set_rated_servers(incarnations);
  const auto grant = co_await slots_.ask(question);
  if (request.caller_gone) {
    co_return FoundTarget(CallerGone());
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
    co_return FoundTarget(refusal_of(grant));
  }
  if (grant.verdict == wire::SlotVerdict::BUSY) {
    for (const auto& target : choice.rate_limited_targets) {
      state_.dispatcher.note_rate_limited_until(monotonic_now() + kNoTurnPause, target);
    }
  }
  co_return std::nullopt;
}

std::optional<Refusal> TargetFinder::refusal_without_target(const RelayedRequest& request,
                                                            const fleet::DispatchDecision& choice, TimePoint now,
                                                            TimePoint wait_until) const {
  if (choice.next_allowed_at && *choice.next_allowed_at > wait_until) {
    return Refusal{http_status::kServiceUnavailable, "this node's part of the servers' limits is used up",
                   std::min(*choice.next_allowed_at - now, kBackWhenLed)};
  }
  if (auto refusal = refusal_while_all_rest(request, wait_until)) {
    return refusal;
  }
  const std::string& model = request.service->engine ? request.model : kNoModel;
  if (state_.dispatcher.are_all_servers_evacuated(request.service->name, model, home_zones(request))) {
    return Refusal{http_status::kServiceUnavailable, "all zones with servers for it are evacuated",
                   kBackWhenUnavailable};
  }
  if (now < wait_until) {
    return std::nullopt;
  }
  if (choice.failure == fleet::DispatchFailure::kAllBusy) {
    return busy();
  }
  return Refusal{http_status::kServiceUnavailable, "no server is available", kBackWhenUnavailable};
}

asio::awaitable<FoundTarget> TargetFinder::choose_here(RelayedRequest& request, TimePoint wait_until) {
  const fleet::RequestRequirements demand{request.model, request.route->target_latency, request.prompt_tokens,
                                          home_zones(request)};
  request.expected_first_event = Duration::zero();
  request.has_slot = false;
  auto authority =
      slots_.hears_leader(monotonic_now()) ? fleet::RateAuthority::kLeader : fleet::RateAuthority::kLocalShare;
  asio::steady_timer timer(executor_);
  while (!request.caller_gone) {
    const TimePoint now = monotonic_now();
    auto choice = state_.dispatcher.choose_target(now, *request.service, demand, request.excluded, authority);
    if (!choice.rate_limited_targets.empty()) {
      auto turn = co_await ask_for_turn(request, choice, wait_until);
      if (turn) {
        co_return std::move(*turn);
      }
      authority = fleet::RateAuthority::kLocalShare;  // Unless another server takes the request.
    }
    if (choice.target && state_.dispatcher.may_send(monotonic_now(), *choice.target)) {
      co_return std::move(*choice.target);
    }
    if (auto refusal = refusal_without_target(request, choice, now, wait_until)) {
      co_return std::move(*refusal);
    }
    timer.expires_after(kTargetPause);
    co_await timer.async_wait(kAwait);
  }
  co_return CallerGone();
}

}  // namespace larchlever::node
