#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace larchlever::membership {

/// One of our own nodes, as the leader knows it from its heartbeats.
struct NodeRecord {
  std::string node;
  std::string zone;
  Incarnation incarnation;
  TimePoint last_heartbeat_at{};
  Revision applied_revision;
  /// Until when the node may serve by what it holds, by the leader's count.
  TimePoint configuration_lease_until = TimePoint::min();
  bool leaving = false;
  ReplicaId replica_id;
  std::string peer_address;
  std::string service_address;
};

enum class SenderIncarnation { kCurrent, kNew, kNewIncarnation, kStale };

/// The leader's table of nodes. Soft state: a new leader fills it from heartbeats. Single-threaded.
class NodeDirectory {
 public:
  /// Notes a heartbeat. Returns null when it stems from an incarnation older than the one known: a process that was
  /// replaced and came back as if nothing had happened.
  NodeRecord* record_heartbeat(TimePoint now, const std::string& node, Incarnation incarnation,
                               SenderIncarnation& sender_incarnation);
  const std::map<std::string, NodeRecord>& all_nodes() const { return nodes_; }
  NodeRecord* find(const std::string& node);
  /// This process stood still for `pause` until now: no node's silence in that time counts.
  void exclude_own_pause(TimePoint now, Duration pause);
  /// Nodes heard within `timeout` that are not leaving.
  std::vector<const NodeRecord*> live_nodes(TimePoint now, Duration timeout) const;
  /// Nodes that hold an unexpired configuration lease but have not confirmed `revision`.
  std::vector<std::string> unconfirmed_lease_holders(TimePoint now, Revision revision) const;
  /// Forgets nodes that have been silent for `timeout` and hold no lease; returns them.
  std::vector<NodeRecord> remove_silent(TimePoint now, Duration timeout);
  void clear() { nodes_.clear(); }

 private:
  std::map<std::string, NodeRecord> nodes_;
};

}  // namespace larchlever::membership
