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

/// Who a node is among its peers. The peer address, IP:PORT, is also its name.
struct FleetIdentity {
  std::string peer_address;
  std::string zone;
  /// Where it serves control calls; empty when it does not.
  std::string control_address;
  Incarnation incarnation;
  bool serves_requests = false;
};

/// One node's link to the control replica that it learns from, with its copy of the document and of the fleet's state.
/// A control replica subscribes to the leader. An entry subscribes to any control replica, one of its own zone if it
/// can, and leaves one that does not answer or has lost the leader.
///
/// Guarantees: the document's version, the evacuations' revision and the state's (term, version) never go back;
/// `has_lease` is true only while a leader confirmed, at a moment no earlier than the lease's start, that the document
/// and the evacuations held are the newest committed. Single-threaded, deterministic.
class FleetSubscription {
 public:
  FleetSubscription(const FleetOptions& options, FleetIdentity identity, std::vector<std::string> seeds);

  /// A heartbeat to send now, if one is due; `content` carries what this node has to report.
  std::optional<wire::Envelope> tick(TimePoint now, const wire::FleetHeartbeat& content);
  /// The next `tick` sends a heartbeat.
  void send_heartbeat_on_next_tick() { next_heartbeat_ = TimePoint::min(); }
  /// Takes an answer or a push. True when the document, the evacuations or the state changed.
  bool receive(TimePoint now, const wire::Envelope& envelope);
  /// This control replica learned of the leader by other means.
  void set_leader_hint(const std::string& leader);
  void add_peers(const std::vector<std::string>& addresses);
  void add_peers(const std::vector<wire::ControlPeer>& peers);
  /// Takes a copy kept from before a restart, unless a newer one is held.
  void restore_state(const wire::FleetState& state);

  bool has_lease(TimePoint now) const;
  /// Milliseconds since a leader knew the document held to be the newest, rounded up; negative when none ever did.
  int64_t confirmed_age_ms(TimePoint now) const;
  /// Milliseconds since the last answer; the longest time there is when none ever came.
  int64_t last_answer_age_ms(TimePoint now) const;
  int64_t document_version() const { return document_.version; }
  /// The document as it travels.
  const wire::DocumentChange& packed_document() const { return document_; }
  /// Its content; empty when none is held.
  const std::string& document() const { return document_content_; }
  const wire::ZoneEvacuations& evacuations() const { return evacuations_; }
  const wire::FleetState& state() const { return state_; }
  const std::vector<wire::GroupLoad>& loads() const { return loads_; }
  int serving_nodes() const { return serving_nodes_; }
  /// Peer address of the leader, as far as this node was told; of a candidate while a control replica searches.
  const std::string& leader() const { return leader_; }
  const std::vector<wire::ControlPeer>& peers() const { return peers_.all(); }
  const FleetIdentity& identity() const { return identity_; }
  /// Nobody answered of late.
  bool is_searching(TimePoint now) const;
  /// Whom this node asked, and how often, since it last had an answer.
  const std::map<std::string, int>& heartbeats_in_search() const { return heartbeats_in_search_; }

 private:
  bool is_entry() const { return identity_.serves_requests; }
  /// Answers come, but from replicas that have no leader either.
  bool is_publisher_stale(TimePoint now) const;
  /// From one heartbeat to the next.
  Duration current_heartbeat_interval(TimePoint now) const;
  /// Whom the heartbeat that is due now goes to.
  std::string choose_target(TimePoint now);
  void handle_not_leader(TimePoint now, const wire::Envelope& envelope);
  void record_answer(TimePoint now, const wire::Envelope& envelope);
  bool apply_content(const wire::FleetUpdate& update);
  void extend_lease(const wire::FleetUpdate& update);
  void update_serving_nodes(TimePoint now, int count);

  FleetOptions options_;
  FleetIdentity identity_;
  ControlPeers peers_;
  std::string leader_;
  /// Whom an entry asks; a control replica asks `leader_`.
  std::string publisher_;
  int64_t next_sequence_ = 1;
  std::map<int64_t, TimePoint> heartbeat_sent_at_;
  std::map<std::string, int> heartbeats_in_search_;
  TimePoint next_heartbeat_ = TimePoint::min();
  TimePoint next_preferred_replica_retry_ = TimePoint::min();
  /// `leader_` was named by somebody and not asked yet.
  bool has_untried_hint_ = false;
  TimePoint last_answer_ = TimePoint::min();
  /// The newest moment at which a leader spoke, as far as answers of replicas that heard one of late tell.
  TimePoint last_leader_confirmation_ = TimePoint::min();
  TimePoint lease_start_ = TimePoint::min();
  bool attach_state_ = false;
  wire::DocumentChange document_;
  std::string document_content_;
  wire::ZoneEvacuations evacuations_;
  wire::FleetState state_;
  std::vector<wire::GroupLoad> loads_;
  int serving_nodes_ = 1;
  TimePoint serving_nodes_updated_at_ = TimePoint::min();
};

}  // namespace larchlever::fleet
