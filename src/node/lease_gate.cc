#include "node/lease_gate.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "node/clock.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// A leader is found this long after all control processes have started anew; later the cause is another.
constexpr Duration kRecoveryTime = milliseconds(2000);

}  // namespace

LeaseGate::LeaseGate(asio::any_io_executor executor, EntryState& state)
    : executor_(std::move(executor)), state_(state), without_since_(monotonic_now()) {}

void LeaseGate::set_lease(TimePoint now, bool has_lease) {
  if (!has_lease) {
    without_since_ = now;
    return;
  }
  for (auto* timer : waiting_) {
    timer->cancel();
  }
}

asio::awaitable<void> LeaseGate::wait(TimePoint until) {
  const TimePoint last = std::min(until, without_since_ + kRecoveryTime);
  asio::steady_timer timer(executor_);
  waiting_.insert(&timer);
  for (TimePoint now = monotonic_now(); !is_open(now) && now < last; now = monotonic_now()) {
    timer.expires_after(last - now);
    co_await timer.async_wait(kAwait);
  }
  waiting_.erase(&timer);
}

}  // namespace larchlever::node
