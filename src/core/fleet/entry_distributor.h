#pragma once

#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/subscriber_table.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The data that a control replica forwards to its entries.
struct DistributorSource {
  /// The replica's own subscription to the leader, with its copies of document and state.
  const FleetSubscription& subscription;
  /// Peer address of the leader; empty if unknown.
  std::string leader;
  std::vector<wire::ControlPeer> control_peers;
};

/// Answers the heartbeats of the entries that subscribe to a control replica and pushes updates from the leader to
/// them. The leader itself sends updates to control replicas only, so its load does not depend on the number of
/// entries.
///
/// Guarantees: an entry's configuration lease ends no later than the replica's own, since every answer carries the time
/// since the leader confirmed the document. Runs on every control replica, including the leader. Single-threaded,
/// deterministic.
class EntryDistributor {
 public:
  explicit EntryDistributor(const FleetOptions& options) : subscribers_(options.node_timeout) {}

  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope, const DistributorSource& source);
  /// Pushes updates to the entries that lack them. Call it after every update from the leader and several times a
  /// second.
  void push_updates(TimePoint now, const DistributorSource& source, bool wants_confirmation);

  /// This process was suspended for `pause` until now, so that time does not count towards the entries' timeouts.
  void note_own_pause(TimePoint now, Duration pause) { subscribers_.note_own_pause(now, pause); }
  int serving_entries(TimePoint now) const { return subscribers_.serving_count(now); }
  /// Entries of this replica that relay requests, as far as the other replicas are told of them.
  std::vector<wire::RelayPeer> relay_peers_to_share(TimePoint now, const std::string& replica) const;
  /// The newest version of the source's term that every live entry holds.
  int64_t entries_hold_version(TimePoint now) const { return subscribers_.newest_version_held_by_all(now); }
  std::vector<wire::Envelope> take_envelopes();

 private:
  void publish_state(const wire::FleetState& state);
  wire::FleetUpdate make_update(TimePoint now, const std::string& node, const DistributorSource& source);
  /// Entries that may relay requests for others: those of this replica and those that other replicas shared.
  const std::vector<wire::RelayPeer>& relay_candidates(TimePoint now, const FleetSubscription& subscription);
  /// Adds the relay peers of the heartbeat's sender to the update if they are due.
  void add_relay_peers(TimePoint now, const wire::Envelope& heartbeat, const FleetSubscription& subscription,
                       wire::FleetUpdate& update);
  void send(const std::string& node, wire::FleetUpdate update);

  SubscriberTable subscribers_;
  /// Term and version of the state last published to the entries.
  std::pair<int64_t, int64_t> published_version_{0, 0};
  std::string announced_leader_;
  std::vector<wire::RelayPeer> relay_candidates_;
  TimePoint relay_candidates_until_ = TimePoint::min();
  std::vector<wire::Envelope> envelopes_;
};

}  // namespace larchlever::fleet
