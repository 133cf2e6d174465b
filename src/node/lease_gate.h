#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

#include "node/entry_state.h"

namespace larchlever::node {

/// Holds requests for a moment while this entry has no lease on the configuration but may get one soon: it has just
/// started, or has just lost touch with the leader. A caller refused in that time would spend its retry on it.
///
/// Guarantees: no request is held once the entry has been without a lease for longer than a change of leader takes.
/// One executor; not thread-safe.
class LeaseGate {
 public:
  LeaseGate(boost::asio::any_io_executor executor, EntryState& state);

  /// Returns once there is a lease, or none is to be expected, or `until` has passed.
  boost::asio::awaitable<void> wait_for_lease(TimePoint until);
  /// The lease was gained: lets everybody go on. Or it was lost.
  void note_lease_change(TimePoint now, bool has_lease);

 private:
  bool has_usable_lease(TimePoint now) const { return state_.routes != nullptr && state_.subscription.has_lease(now); }

  boost::asio::any_io_executor executor_;
  EntryState& state_;
  /// Timers of those that wait; cancelled when the lease is gained.
  std::set<boost::asio::steady_timer*> waiting_timers_;
  /// Since when there has been none: the start, or the loss of the last one.
  TimePoint without_lease_since_;
};

}  // namespace larchlever::node
