#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/ids.h"
#include "core/base/time.h"

namespace larchlever::membership {

/// State of a larchlever node, as reported in its heartbeats.
struct NodeRecord {
  std::string node;
  std::string zone;
  Incarnation incarnation;
  TimePoint last_heartbeat_at{};
  Revision applied_revision;
  /// When the node's configuration lease expires, on the leader's clock.
  TimePoint configuration_lease_until = TimePoint::min();
  bool leaving = false;
  ReplicaId replica_id;
  std::string peer_address;
  std::string service_address;
};

/// How the incarnation in a heartbeat compares with the latest one known of the node.
enum class SenderIncarnation { kCurrent, kNewNode, kNewIncarnation, kStale };

/// The nodes known to the leader. Soft state: a new leader rebuilds it from heartbeats. Single-threaded.
class NodeDirectory {
 public:
  /// Records a heartbeat. Returns null if it comes from an older incarnation than the latest known, that is from a
  /// process that has been replaced.
  NodeRecord* record_heartbeat(TimePoint now, const std::string& node, Incarnation incarnation,
                               SenderIncarnation& sender_incarnation);
  const std::map<std::string, NodeRecord>& all_nodes() const { return nodes_; }
  NodeRecord* find(const std::string& node);
  /// Excludes a pause of this process that ended at `now` from the silence of all nodes, since their heartbeats could
  /// not be received during it.
  void exclude_own_pause(TimePoint now, Duration pause);
  /// Nodes whose last heartbeat is at most `timeout` old and that are not leaving.
  std::vector<const NodeRecord*> live_nodes(TimePoint now, Duration timeout) const;
  /// Nodes with an unexpired configuration lease that have not confirmed `revision`.
  std::vector<std::string> unconfirmed_lease_holders(TimePoint now, Revision revision) const;
  /// Removes and returns the nodes that have been silent for longer than `timeout` and hold no lease.
  std::vector<NodeRecord> remove_silent(TimePoint now, Duration timeout);
  void clear() { nodes_.clear(); }

 private:
  std::map<std::string, NodeRecord> nodes_;
};

}  // namespace larchlever::membership
