#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"
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

/// One node's link to whichever control replica leads: finds it, reports to it, and keeps a copy of the document and of
/// the fleet's state.
///
/// Guarantees: the document's version and the state's (term, version) never go back; `has_lease` is true only while a
/// leader confirmed, at a moment no earlier than the lease's start, that the document held is the newest committed.
/// Single-threaded, deterministic.
class FleetSubscription {
 public:
  FleetSubscription(const FleetOptions& options, FleetIdentity identity, std::vector<std::string> seeds);

  /// A heartbeat to send now, if one is due; `content` carries what this node has to report.
  std::optional<wire::Envelope> tick(TimePoint now, const wire::FleetHeartbeat& content);
  /// Takes an answer or a push. True when the document or the state changed.
  bool receive(TimePoint now, const wire::Envelope& envelope);
  /// The node learned of the leader by other means.
  void hint_leader(const std::string& leader);
  void add_peers(const std::vector<std::string>& peers);
  /// Takes a copy kept from before a restart, unless a newer one is held.
  void restore_state(const wire::FleetState& state);

  bool has_lease(TimePoint now) const;
  /// When a leader last answered; the origin of time if none ever did.
  TimePoint last_answer() const { return last_answer_; }
  int64_t document_version() const { return document_version_; }
  const std::string& document() const { return document_; }
  const wire::FleetState& state() const { return state_; }
  const std::vector<wire::GroupLoad>& loads() const { return loads_; }
  int serving_nodes() const { return serving_nodes_; }
  const std::string& leader() const { return leader_; }
  const std::vector<std::string>& peers() const { return peers_; }
  const FleetIdentity& identity() const { return identity_; }

 private:
  void choose_next_target();
  /// No leader answered of late.
  bool is_searching(TimePoint now) const;

  FleetOptions options_;
  FleetIdentity identity_;
  std::vector<std::string> peers_;
  std::string leader_;
  size_t next_peer_ = 0;
  int64_t next_sequence_ = 1;
  std::map<int64_t, TimePoint> asked_at_;
  TimePoint next_heartbeat_ = TimePoint::min();
  /// `leader_` was named by somebody and not asked yet.
  bool is_hinted_ = false;
  TimePoint last_answer_ = TimePoint::min();
  TimePoint lease_from_ = TimePoint::min();
  bool send_state_ = false;
  int64_t document_version_ = 0;
  std::string document_;
  wire::FleetState state_;
  std::vector<wire::GroupLoad> loads_;
  int serving_nodes_ = 1;
};

}  // namespace larchlever::fleet
