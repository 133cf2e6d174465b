#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

#include "node/entry_state.h"

namespace larchlever::node {

/// Delays requests briefly while this entry has no configuration lease but may get one soon: after its start, or after
/// it lost contact with the leader. Otherwise callers would use up their retries during that time.
///
/// Guarantees: requests are not delayed once the entry has been without a lease for longer than a leader change takes.
/// Runs on one executor; not thread-safe.
class LeaseGate {
 public:
  LeaseGate(boost::asio::any_io_executor executor, EntryState& state);

  /// Returns when there is a lease, when none is expected any more, or at `until`.
  boost::asio::awaitable<void> wait_for_lease(TimePoint until);
  /// Called when the lease is gained or lost. A gained lease releases all delayed requests.
  void note_lease_change(TimePoint now, bool has_lease);

 private:
  bool has_usable_lease(TimePoint now) const { return state_.routes != nullptr && state_.subscription.has_lease(now); }

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  /// Timers of delayed requests; cancelled when the lease is gained.
  std::set<boost::asio::steady_timer*> waiting_timers_;
  /// Start of the time without a lease: the process start or the loss of the last lease.
  TimePoint without_lease_since_;
};

}  // namespace larchlever::node
