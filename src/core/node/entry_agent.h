#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/admission_controller.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "core/config/record_table.h"
#include "core/control/control_options.h"
#include "core/routing/router.h"
#include "larchlever_types.h"

namespace larchlever::node {

/// Identity of a node, from its settings and its current process.
struct NodeIdentity {
  std::string node;
  std::string zone;
  /// Increases with every process start, by more than the number of messages that the previous process sent. The daemon
  /// uses the wall clock in microseconds.
  Incarnation incarnation;
  std::string peer_address;
  std::string service_address;
};

struct EntryStats {
  uint64_t heartbeats_sent = 0;
  uint64_t replies = 0;
  uint64_t stale_replies = 0;
  uint64_t full_copies = 0;
  uint64_t leader_changes = 0;
};

/// The control-plane client of an entry: reports to the leader, applies configuration updates and holds leases.
///
/// Guarantees: the router dispatches only under an unexpired lease from the leader, counted from when the heartbeat was
/// *sent*; the configuration never goes back to an older revision. Single-threaded, deterministic.
class EntryAgent {
 public:
  /// Sends heartbeats to the `control_nodes` in turn until one names the leader.
  EntryAgent(const control::ControlOptions& options, NodeIdentity identity, std::vector<std::string> control_nodes,
             routing::RoutingPolicy policy, size_t queue_limit, uint64_t seed);

  /// Returns a heartbeat to send, if one is due.
  std::optional<wire::Envelope> tick(TimePoint now, ReplicaId replica_id);
  void on_heartbeat_reply(TimePoint now, const wire::Envelope& envelope);
  /// Takes the result of polling a machine. The machine was alive at `poll_sent_at` or later.
  void on_sighting(TimePoint poll_sent_at, const wire::MachineSighting& sighting);
  /// Marks this node as stopping in its heartbeats. It gets no further concurrency budgets.
  void set_leaving() { leaving_ = true; }
  /// Sets the leader as known from this node's replica of the log, which learns of a new leader first.
  void set_leader_hint(const std::string& node);

  const std::string& leader() const { return leader_; }
  const config::RecordTable& records() const { return records_; }
  Revision revision() const { return records_.revision(); }
  bool has_configuration_lease(TimePoint now) const { return now < router_.configuration_lease_until(); }
  routing::Router& router() { return router_; }
  const routing::Router& router() const { return router_; }
  admission::AdmissionController& admission() { return admission_; }
  const std::vector<wire::WatchTarget>& watch_targets() const { return watch_targets_; }
  int64_t watch_version() const { return watch_version_; }
  const NodeIdentity& identity() const { return identity_; }
  const EntryStats& stats() const { return stats_; }

 private:
  void try_next_control_node();

  control::ControlOptions options_;
  NodeIdentity identity_;
  std::vector<std::string> control_nodes_;
  size_t next_control_node_ = 0;
  std::string leader_;
  config::RecordTable records_;
  routing::Router router_;
  admission::AdmissionController admission_;
  bool leaving_ = false;
  int64_t sequence_;
  int64_t acknowledged_sequence_ = 0;
  TimePoint next_heartbeat_at_ = TimePoint::min();
  TimePoint last_reply_at_ = TimePoint::min();
  std::map<int64_t, TimePoint> heartbeat_sent_at_;
  /// The latest poll result of a machine, and when the poll was sent.
  struct TimedSighting {
    TimePoint poll_sent_at{};
    wire::MachineSighting sighting;
  };
  std::map<std::string, TimedSighting> latest_sightings_;
  std::vector<wire::WatchTarget> watch_targets_;
  int64_t watch_version_ = 0;
  EntryStats stats_;
};

}  // namespace larchlever::node
