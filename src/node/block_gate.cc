#include "node/block_gate.h"

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

/// As long as a connection for a request may take.
constexpr auto kProbeTimeout = std::chrono::milliseconds(150);
/// A refused connection is known within a round trip or two; a server that keeps the connection is not waited for.
constexpr Duration kFirstLookPatience = milliseconds(8);
/// One that dropped it is looked at again 20 ms after the loss, when the port of a process that ended is closed. It is
/// a tenth of the pause that callers of streams allow.
constexpr Duration kSecondLookPatience = milliseconds(30);
constexpr Duration kLookPause = milliseconds(1);
/// Callers of a blocked request are told to come back no sooner than this.
constexpr Duration kShortestReturn = seconds(1);

fleet::Look look_of(net::ListenerState state) {
  switch (state) {
    case net::ListenerState::kRefused:
      return fleet::Look::kRefused;
    case net::ListenerState::kClosed:
      return fleet::Look::kClosed;
    case net::ListenerState::kListening:
      return fleet::Look::kOpen;
    case net::ListenerState::kUnknown:
      break;
  }
  return fleet::Look::kSilent;
}

}  // namespace

BlockGate::BlockGate(asio::any_io_executor executor, EntryState& state, SlotRequester& slots)
    : executor_(std::move(executor)), state_(state), slots_(slots), alive_(std::make_shared<bool>(true)) {}

asio::awaitable<bool> BlockGate::may_repeat(RelayedRequest& request) {
  const std::string incarnation = std::exchange(request.answer_lost_at, "");
  if (incarnation.empty()) {
    co_return true;
  }
  // What the looks show goes to the leader before the question, which it then answers by the words of all entries.
  asio::steady_timer timer(executor_);
  const TimePoint begin = monotonic_now();
  const auto is_worth_waiting = [&] {
    const Duration waited = monotonic_now() - begin;
    return (lost_.awaits_first_look(incarnation) && waited < kFirstLookPatience) ||
           (lost_.seems_gone(incarnation) && waited < kSecondLookPatience);
  };
  while (is_worth_waiting()) {
    timer.expires_after(kLookPause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (!lost_.is_doubtful(incarnation)) {
    co_return true;
  }
  co_return co_await slots_.ask_for_repeat(request.fingerprint);
}

asio::awaitable<bool> BlockGate::admit(RelayedRequest& request) {
  if (!co_await may_repeat(request)) {
    co_return false;
  }
  const Verdict verdict = state_.blocked.verdict_for(monotonic_now(), request.fingerprint);
  if (verdict == Verdict::kAllowed) {
    co_return true;
  }
  if (request.sent > 0) {
    co_return false;  // One server is enough for this attempt, whether it was a trial or not.
  }
  if (verdict == Verdict::kTrialDue && !request.is_trial) {
    request.is_trial = co_await slots_.ask_for_trial(request.fingerprint);
    if (request.is_trial) {
      log_event("", "blocked_request_tried",
                {{"request", request.id}, {"fingerprint", to_string(request.fingerprint)}});
    }
  }
  co_return request.is_trial;
}

Refusal BlockGate::refuse(const RelayedRequest& request) {
  ++state_.counters.blocked;
  const Duration left = state_.blocked.remaining_block_time(monotonic_now(), request.fingerprint);
  return {http_status::kServiceUnavailable, "servers ended while they ran this request; it is held back from others",
          std::max(left, kShortestReturn)};
}

void BlockGate::answered(const RelayedRequest& request) {
  state_.blocked.note_answered(monotonic_now(), request.fingerprint);
}

void BlockGate::answer_lost(RelayedRequest& request, const fleet::DispatchTarget& target) {
  request.answer_lost_at = target.incarnation;
  if (lost_.note_loss(monotonic_now(), target.incarnation, request.fingerprint)) {
    asio::co_spawn(executor_, watch(target), asio::detached);
  }
}

asio::awaitable<void> BlockGate::watch(fleet::DispatchTarget target) {
  const std::weak_ptr<bool> alive = alive_;
  asio::steady_timer timer(executor_);
  while (const auto next = lost_.next_look(target.incarnation)) {
    timer.expires_after(std::max(Duration::zero(), *next - monotonic_now()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (alive.expired()) {
      co_return;
    }
    const auto state = co_await net::probe_listener(target.address, kProbeTimeout);
    if (alive.expired()) {
      co_return;
    }
    const TimePoint now = monotonic_now();
    if (const auto ended = lost_.note_look(now, target.incarnation, look_of(state))) {
      state_.dispatcher.avoid_target(now, target.key);
      note_ended(target.incarnation, *ended);
    }
  }
  if (const auto ended = lost_.take_suspicion(target.incarnation)) {
    note_ended(target.incarnation, *ended);
  }
}

void BlockGate::started_again(const std::string& incarnation) {
  if (const auto ended = lost_.note_restart(incarnation)) {
    note_ended(incarnation, *ended);
  }
}

void BlockGate::note_ended(const std::string& incarnation, const fleet::EndedServer& ended) {
  for (const auto fingerprint : ended.requests) {
    const size_t ends = state_.blocked.note_server_end({fingerprint, incarnation, ended.at, ended.certainty});
    log_event("", "server_ended_under_request",
              {{"fingerprint", to_string(fingerprint)},
               {"instance", incarnation},
               {"is_proved", ended.certainty == fleet::Certainty::kProved ? "yes" : "no"},
               {"ends_seen_here", std::to_string(ends)}});
  }
  slots_.note_change();  // The leader hears of it within milliseconds.
}

}  // namespace larchlever::node
