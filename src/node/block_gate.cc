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
/// Callers of a blocked request are told to come back no sooner than this.
constexpr Duration kShortestReturn = seconds(1);

}  // namespace

BlockGate::BlockGate(asio::any_io_executor executor, EntryState& state, SlotRequester& slots)
    : executor_(std::move(executor)), state_(state), slots_(slots), alive_(std::make_shared<bool>(true)) {}

asio::awaitable<bool> BlockGate::admit(RelayedRequest& request) {
  const Verdict verdict = state_.blocked.judge(monotonic_now(), request.fingerprint);
  if (verdict == Verdict::kFree) {
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
  const Duration left = state_.blocked.time_left(monotonic_now(), request.fingerprint);
  const double back_in = std::chrono::duration<double>(std::max(left, kShortestReturn)).count();
  return {http_status::kServiceUnavailable, "servers ended while they ran this request; it is held back from others",
          back_in};
}

void BlockGate::answered(const RelayedRequest& request) {
  state_.blocked.note_answered(monotonic_now(), request.fingerprint);
}

void BlockGate::answer_lost(const RelayedRequest& request, const fleet::Target& target) {
  auto& lost = lost_at_[target.instance_id];
  lost.push_back(request.fingerprint);
  if (lost.size() == 1) {
    asio::co_spawn(executor_, probe(target), asio::detached);
  }
}

asio::awaitable<void> BlockGate::probe(fleet::Target target) {
  const std::weak_ptr<bool> alive = alive_;
  const auto state = co_await net::probe_listener(target.address, kProbeTimeout);
  if (alive.expired()) {
    co_return;
  }
  const auto lost = std::move(lost_at_[target.instance_id]);
  lost_at_.erase(target.instance_id);
  if (state != net::ListenerState::kRefused) {
    co_return;
  }
  const TimePoint now = monotonic_now();
  for (const auto fingerprint : lost) {
    const size_t ends = state_.blocked.note_end({fingerprint, target.instance_id, now});
    log_event("", "server_ended_under_request",
              {{"fingerprint", to_string(fingerprint)},
               {"instance", target.instance_id},
               {"ends_seen_here", std::to_string(ends)}});
  }
  slots_.note_change();  // The leader hears of it within milliseconds.
}

}  // namespace larchlever::node
