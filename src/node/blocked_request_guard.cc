#include "node/blocked_request_guard.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "core/base/http_status.h"
#include "net/listener_probe.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;
using Verdict = fleet::BlockedRequests::Verdict;

namespace {

/// The same time as a connection attempt for a request may take.
constexpr auto kProbeTimeout = std::chrono::milliseconds(150);
/// How long to wait for the first probe. A refused connection shows within one or two round trips; if the server
/// accepts it, there is nothing to wait for.
constexpr Duration kFirstProbeWait = milliseconds(8);
/// How long to wait for the second probe of a server that closed the probe connection. It runs 20 ms after the loss,
/// when the port of a process that ended is closed. This wait is a tenth of the pause that callers of streams allow.
constexpr Duration kSecondProbeWait = milliseconds(30);
constexpr Duration kProbeWaitInterval = milliseconds(1);
/// How long to wait for probes of other servers while this entry's links are presumed lost.
constexpr auto kLinkProbeWait = std::chrono::milliseconds(200);
/// Minimum Retry-After for a blocked request.
constexpr Duration kMinRetryAfter = seconds(1);

fleet::ProbeResult to_look(net::ListenerState state) {
  switch (state) {
    case net::ListenerState::kRefused:
      return fleet::ProbeResult::kRefused;
    case net::ListenerState::kAcceptedThenClosed:
      return fleet::ProbeResult::kClosed;
    case net::ListenerState::kListening:
      return fleet::ProbeResult::kOpen;
    case net::ListenerState::kUnknown:
      break;
  }
  return fleet::ProbeResult::kTimedOut;
}

}  // namespace

BlockedRequestGuard::BlockedRequestGuard(asio::any_io_executor executor, EntryState& state,
                                         SlotRequester& slot_requester, std::string outbound_address)
    : executor_(std::move(executor)),
      state_(state),
      slot_requester_(slot_requester),
      outbound_address_(std::move(outbound_address)),
      alive_(std::make_shared<bool>(true)) {}

asio::awaitable<bool> BlockedRequestGuard::may_have_ended_server(RelayedRequest& request) {
  const std::string incarnation = std::exchange(request.lost_response_incarnation, "");
  if (incarnation.empty()) {
    co_return false;
  }
  // The probe results must reach the leader before the request for permission, so that the leader can decide from the
  // observations of all entries.
  asio::steady_timer timer(executor_);
  const TimePoint wait_started = monotonic_now();
  const auto should_wait_for_probe = [&] {
    const Duration waited = monotonic_now() - wait_started;
    return (lost_responses_.awaits_first_probe(incarnation) && waited < kFirstProbeWait) ||
           (lost_responses_.seems_down(incarnation) && waited < kSecondProbeWait);
  };
  while (should_wait_for_probe()) {
    timer.expires_after(kProbeWaitInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return lost_responses_.is_suspected(incarnation);
}

std::vector<requests::RequestFingerprint> BlockedRequestGuard::causes_to_ask_for(const RelayedRequest& request,
                                                                                 bool may_have_ended_server) {
  auto& tracker = state_.blocked_request_tracker;
  const TimePoint now = monotonic_now();
  std::vector<requests::RequestFingerprint> result;
  if (may_have_ended_server) {
    result.push_back(request.fingerprint);
  }
  for (const auto part : request.prompt_parts) {
    const bool is_suspected = tracker.verdict_for(now, part) == Verdict::kSuspected || may_have_ended_server;
    if (is_suspected && !tracker.is_sound_part(now, part)) {
      result.push_back(part);
    }
  }
  return result;
}

asio::awaitable<bool> BlockedRequestGuard::admit(RelayedRequest& request) {
  const bool may_have_ended = co_await may_have_ended_server(request);
  if (!co_await admit_cause(request, request.fingerprint)) {
    co_return false;
  }
  for (const auto part : request.prompt_parts) {
    if (!co_await admit_cause(request, part)) {
      co_return false;
    }
  }
  for (const auto cause : causes_to_ask_for(request, may_have_ended)) {
    if (!co_await is_permitted_by_leader(cause)) {
      request.withheld_cause = cause;
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> BlockedRequestGuard::is_permitted_by_leader(requests::RequestFingerprint cause) {
  const bool is_suspected = state_.blocked_request_tracker.verdict_for(monotonic_now(), cause) == Verdict::kSuspected;
  if (is_suspected) {
    co_return co_await slot_requester_.request_suspect_permission(cause);
  }
  co_return co_await slot_requester_.request_retry_permission(cause);
}

asio::awaitable<bool> BlockedRequestGuard::admit_cause(RelayedRequest& request, requests::RequestFingerprint cause) {
  const Verdict verdict = state_.blocked_request_tracker.verdict_for(monotonic_now(), cause);
  if (verdict == Verdict::kAllowed || verdict == Verdict::kSuspected) {
    co_return true;
  }
  request.withheld_cause = cause;
  if (request.attempts_sent > 0) {
    co_return false;  // A blocked request is sent at most once per caller request, trial or not.
  }
  if (verdict == Verdict::kTrialDue && request.trial_of != cause) {
    const bool is_granted = co_await slot_requester_.request_trial(cause);
    if (is_granted) {
      request.trial_of = cause;
      log_event("", "blocked_request_tried", {{"request", request.id}, {"fingerprint", to_string(cause)}});
    }
  }
  co_return request.trial_of == cause;
}

Refusal BlockedRequestGuard::make_refusal(const RelayedRequest& request) {
  ++state_.counters.refused_blocked;
  const auto cause = request.withheld_cause.value_or(request.fingerprint);
  const bool is_part = cause != request.fingerprint;
  const Duration remaining_block_time = state_.blocked_request_tracker.remaining_block_time(monotonic_now(), cause);
  log_event("", "request_withheld",
            {{"request", request.id},
             {"cause", to_string(cause)},
             {"kind", is_part ? "prompt_part" : "request"},
             {"server_ends", std::to_string(state_.blocked_request_tracker.server_ends(cause))},
             {"blocked_for_ms", std::to_string(remaining_block_time / milliseconds(1))}});
  return {http_status::kServiceUnavailable,
          is_part ? "servers ended while they ran requests with a part of this prompt; they are temporarily blocked"
                  : "servers ended while they ran this request; it is temporarily blocked",
          std::max(remaining_block_time, kMinRetryAfter)};
}

void BlockedRequestGuard::note_response(const RelayedRequest& request) {
  const TimePoint now = monotonic_now();
  state_.blocked_request_tracker.note_answered(now, request.fingerprint);
  for (const auto part : request.prompt_parts) {
    state_.blocked_request_tracker.note_answered(now, part, fleet::CauseKind::kPromptPart);
  }
}

void BlockedRequestGuard::note_lost_response(RelayedRequest& request, const fleet::DispatchTarget& target) {
  if (state_.dispatcher.links().explains_failure(monotonic_now(), target.server)) {
    return;
  }
  request.lost_response_incarnation = target.incarnation;
  const auto outcome = lost_responses_.note_lost_response(
      monotonic_now(), target.incarnation, fleet::LostRequest(request.fingerprint, request.prompt_parts));
  if (outcome.starts_probing) {
    asio::co_spawn(executor_, probe_until_resolved(target), asio::detached);
  }
  if (outcome.crash) {
    asio::co_spawn(executor_, record_end_seen_here(target, *outcome.crash), asio::detached);
  }
}

asio::awaitable<void> BlockedRequestGuard::probe_until_resolved(fleet::DispatchTarget target) {
  const std::weak_ptr<bool> alive = alive_;
  asio::steady_timer timer(executor_);
  while (const auto next = lost_responses_.next_probe_time(target.incarnation)) {
    timer.expires_after(std::max(Duration::zero(), *next - monotonic_now()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (alive.expired()) {
      co_return;
    }
    const auto state = co_await net::probe_listener(target.address, kProbeTimeout, outbound_address_);
    if (alive.expired()) {
      co_return;
    }
    const TimePoint now = monotonic_now();
    if (const auto ended = lost_responses_.note_probe(now, target.incarnation, to_look(state))) {
      const bool is_proved = ended->certainty == fleet::CrashCertainty::kConfirmed;
      state_.dispatcher.avoid_target(
          now, target.key, is_proved ? fleet::FailureEvidence::kConnection : fleet::FailureEvidence::kSilence);
      co_await record_end_seen_here(target, *ended);
    }
  }
  if (const auto ended = lost_responses_.take_suspected_crash(target.incarnation)) {
    co_await record_end_seen_here(target, *ended);
  }
}

asio::awaitable<void> BlockedRequestGuard::record_end_seen_here(fleet::DispatchTarget target,
                                                                fleet::CrashedServer ended) {
  const std::weak_ptr<bool> alive = alive_;
  const auto is_explained = [&] { return state_.dispatcher.links().explains_failure(monotonic_now(), target.server); };
  if (is_explained()) {
    // Lost links are presumed early. Probes of other servers show by then whether they are.
    asio::steady_timer timer(executor_, kLinkProbeWait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (alive.expired()) {
      co_return;
    }
  }
  if (is_explained()) {
    log_event("", "server_end_not_counted",
              {{"instance", target.incarnation}, {"reason", "links of this node are lost"}});
    co_return;
  }
  record_ended_server(target.incarnation, ended);
}

void BlockedRequestGuard::note_server_restarted(const std::string& incarnation) {
  if (const auto ended = lost_responses_.note_restart(incarnation)) {
    record_ended_server(incarnation, *ended);
  }
}

void BlockedRequestGuard::record_end_under(const fleet::ServerCrash& end) {
  const size_t observed_ends = state_.blocked_request_tracker.note_server_end(end);
  log_event("", "server_ended_under_request",
            {{"fingerprint", to_string(end.cause)},
             {"kind", end.kind == fleet::CauseKind::kPromptPart ? "prompt_part" : "request"},
             {"instance", end.instance_id},
             {"is_proved", end.certainty == fleet::CrashCertainty::kConfirmed ? "yes" : "no"},
             {"ends_seen_here", std::to_string(observed_ends)}});
}

void BlockedRequestGuard::record_ended_server(const std::string& incarnation, const fleet::CrashedServer& ended) {
  for (const auto& request : ended.requests) {
    record_end_under({request.fingerprint, incarnation, ended.at, ended.certainty});
    for (const auto part : request.prompt_parts) {
      if (!state_.blocked_request_tracker.is_sound_part(ended.at, part)) {
        record_end_under(
            {part, incarnation, ended.at, ended.certainty, fleet::CauseKind::kPromptPart, request.fingerprint});
      }
    }
  }
  slot_requester_.note_load_change();  // The leader gets the report within milliseconds.
}

}  // namespace larchlever::node
