#pragma once

#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/subscriber_table.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// What a control replica passes on to entries, and whom it names to them.
struct DistributorSource {
  /// The replica's own link to the leader, with its copies of document and state.
  const FleetSubscription& subscription;
  /// Peer address of the leader; empty while none is known.
  std::string leader;
  std::vector<wire::ControlPeer> control_peers;
};

/// A control replica's part in the distribution: it answers the heartbeats of the entries that subscribe to it, and
/// pushes to them what it learns from the leader. So the leader feeds the control replicas alone, whatever the number
/// of entries.
///
/// Guarantees: an entry's lease on the configuration is no longer than the replica's own, since every answer tells how
/// long ago the leader confirmed the document. Runs on every control replica, the leader included. Single-threaded,
/// deterministic.
class EntryDistributor {
 public:
  explicit EntryDistributor(const FleetOptions& options) : subscribers_(options.node_timeout) {}

  /// Answers an entry's heartbeat.
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope, const DistributorSource& source);
  /// Pushes what is new to the entries that lack it. To be called after every news and a few times a second.
  void push_updates(TimePoint now, const DistributorSource& source, bool wants_confirmation);

  /// This process stood still for `pause`: no entry's silence in that time counts.
  void note_own_pause(TimePoint now, Duration pause) { subscribers_.note_own_pause(now, pause); }
  int serving_entries(TimePoint now) const { return subscribers_.serving_count(now); }
  /// The last version of the source's term that every live entry holds.
  int64_t entries_hold_version(TimePoint now) const { return subscribers_.newest_version_held_by_all(now); }
  std::vector<wire::Envelope> take_envelopes();

 private:
  void publish_state(const wire::FleetState& state);
  wire::FleetUpdate update_for(TimePoint now, const std::string& node, const DistributorSource& source);
  void send(const std::string& node, wire::FleetUpdate update);

  SubscriberTable subscribers_;
  /// Order of the copy that was last taken over for the entries.
  std::pair<int64_t, int64_t> published_version_{0, 0};
  std::string announced_leader_;
  std::vector<wire::Envelope> envelopes_;
};

}  // namespace larchlever::fleet
