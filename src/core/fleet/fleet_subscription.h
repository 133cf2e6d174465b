#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/fleet/control_peers.h"
#include "core/fleet/fleet_options.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// A node's identity among its peers. The peer address (IP:PORT) is also its name.
struct PeerIdentity {
  std::string peer_address;
  std::string zone;
  /// Address of its control API; empty if it has none.
  std::string control_address;
  Incarnation incarnation;
  bool serves_requests = false;
};

/// Reports the age of `no_document_until` in an update, rounded up; nothing if it is the minimum, which is unknown.
void set_no_document_age(TimePoint now, TimePoint no_document_until, wire::FleetUpdate& update);

/// A node's subscription to one control replica (its publisher), with the local copies of the configuration document,
/// the evacuations and the fleet's state. A control replica subscribes to the leader. An entry subscribes to any
/// control replica, preferably one in its own zone, and leaves a publisher that does not answer or has lost the leader.
///
/// Guarantees: the document's version, the evacuations' revision and the state's (term, version) never decrease.
/// `has_lease` is true only if a leader confirmed, no earlier than the start of the lease, that the local document and
/// evacuations are the newest committed ones. Single-threaded, deterministic.
class FleetSubscription {
 public:
  FleetSubscription(const FleetOptions& options, PeerIdentity identity, std::vector<std::string> seeds);

  /// Returns a heartbeat if one is due; `content` holds the fields that the caller reports.
  std::optional<wire::Envelope> tick(TimePoint now, const wire::FleetHeartbeat& content);
  void send_heartbeat_on_next_tick() { next_heartbeat_ = TimePoint::min(); }
  /// Handles an answer or a push. Returns true if the document, the evacuations or the state changed.
  bool receive(TimePoint now, const wire::Envelope& envelope);
  /// Sets the leader that this control replica learned from another source, such as the log.
  void set_leader_hint(const std::string& leader);
  void add_peers(const std::vector<std::string>& addresses);
  void add_peers(const std::vector<wire::ControlPeer>& peers);
  /// Restores a copy that was saved before a restart, unless a newer one is held.
  void restore_state(const wire::FleetState& state);

  bool has_lease(TimePoint now) const;
  /// Milliseconds, rounded up, since a leader last confirmed the local document as the newest; negative if none did.
  int64_t confirmed_age_ms(TimePoint now) const;
  /// Number of state changes received that build on an update which never arrived.
  int64_t missed_state_changes() const { return missed_state_changes_; }
  /// Milliseconds since the last answer; the maximum of int64_t if there was none.
  int64_t last_answer_age_ms(TimePoint now) const;
  int64_t document_version() const { return document_.version; }
  /// The document as it is sent to other nodes; compressed if large.
  const wire::DocumentChange& packed_document() const { return document_; }
  /// The document's content; empty if none is held.
  const std::string& document() const { return document_content_; }
  const wire::ZoneEvacuations& evacuations() const { return evacuations_; }
  const wire::FleetState& state() const { return state_; }
  const std::vector<wire::GroupLoad>& loads() const { return loads_; }
  int serving_nodes() const { return serving_nodes_; }
  /// The latest known time at which no document was committed yet, so that no entry had served a request; the minimum
  /// if unknown. Wrong only if all control replicas lost their data since.
  TimePoint no_document_until() const { return no_document_until_; }
  /// Entries that relay requests, as last received.
  const std::vector<wire::RelayPeer>& relay_peers() const { return relay_peers_; }
  /// Peer address of the last known leader. While a control replica searches for the leader, the replica it tries now.
  const std::string& leader() const { return leader_; }
  const std::vector<wire::ControlPeer>& peers() const { return peers_.all(); }
  const PeerIdentity& identity() const { return identity_; }
  /// No replica has answered within `FleetOptions::heartbeat_timeout`.
  bool is_searching(TimePoint now) const;
  /// Number of heartbeats sent to each replica since the last answer.
  const std::map<std::string, int>& heartbeats_in_search() const { return heartbeats_in_search_; }

 private:
  bool is_entry() const { return identity_.serves_requests; }
  /// The last leader confirmation is too old: no replica answers, or only replicas without a leader do.
  bool is_publisher_stale(TimePoint now) const;
  Duration current_heartbeat_interval(TimePoint now) const;
  /// The replica that receives the next heartbeat.
  std::string choose_target(TimePoint now);
  void handle_not_leader(TimePoint now, const wire::Envelope& envelope);
  void record_answer(TimePoint now, const wire::Envelope& envelope);
  bool apply_content(const wire::FleetUpdate& update);
  void extend_lease(const wire::FleetUpdate& update);
  void extend_time_without_document(const wire::FleetUpdate& update);
  void update_serving_nodes(TimePoint now, int count);

  FleetOptions options_;
  PeerIdentity identity_;
  ControlPeers peers_;
  std::string leader_;
  /// The replica to which an entry sends its heartbeats; a control replica sends them to `leader_`.
  std::string publisher_;
  int64_t next_sequence_ = 1;
  std::map<int64_t, TimePoint> heartbeat_sent_at_;
  std::map<std::string, int> heartbeats_in_search_;
  TimePoint next_heartbeat_ = TimePoint::min();
  TimePoint next_preferred_replica_retry_ = TimePoint::min();
  /// `leader_` comes from a hint and has not been sent a heartbeat yet.
  bool has_untried_hint_ = false;
  TimePoint last_answer_ = TimePoint::min();
  /// The latest time, according to answers of publishers, at which the leader confirmed a publisher's document.
  TimePoint last_leader_confirmation_ = TimePoint::min();
  TimePoint lease_start_ = TimePoint::min();
  TimePoint no_document_until_ = TimePoint::min();
  bool attach_state_ = false;
  wire::DocumentChange document_;
  std::string document_content_;
  wire::ZoneEvacuations evacuations_;
  wire::FleetState state_;
  int64_t missed_state_changes_ = 0;
  std::vector<wire::GroupLoad> loads_;
  std::vector<wire::RelayPeer> relay_peers_;
  int serving_nodes_ = 1;
  TimePoint serving_nodes_updated_at_ = TimePoint::min();
};

}  // namespace larchlever::fleet
