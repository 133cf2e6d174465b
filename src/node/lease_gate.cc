#include "node/lease_gate.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "node/clock.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// Time to find a leader after all control processes have restarted. A lease missing for longer has another cause.
constexpr Duration kLeaderRecoveryTime = milliseconds(2000);

}  // namespace

LeaseGate::LeaseGate(asio::any_io_executor executor, EntryState& state)
    : executor_(std::move(executor)), state_(state), without_lease_since_(monotonic_now()) {}

void LeaseGate::note_lease_change(TimePoint now, bool has_lease) {
  if (!has_lease) {
    without_lease_since_ = now;
    return;
  }
  for (auto* timer : waiting_timers_) {
    timer->cancel();
  }
}

asio::awaitable<void> LeaseGate::wait_for_lease(TimePoint until) {
  const TimePoint wait_until = std::min(until, without_lease_since_ + kLeaderRecoveryTime);
  asio::steady_timer timer(executor_);
  waiting_timers_.insert(&timer);
  for (TimePoint now = monotonic_now(); !has_usable_lease(now) && now < wait_until; now = monotonic_now()) {
    timer.expires_after(wait_until - now);
    co_await timer.async_wait(kAwaitWithError);
  }
  waiting_timers_.erase(&timer);
}

}  // namespace larchlever::node
