#pragma once

#include <map>
#include <optional>
#include <string>

#include "consensus/raft_node.h"
#include "core/base/time.h"
#include "core/control/control_options.h"
#include "core/membership/node_directory.h"

namespace larchlever::control {

/// Maintains the set of voters: adds nodes with a disk as learners, promotes learners that have all committed state,
/// and removes voters that are lost, have lost written data, or were replaced by a newer identity of their node.
///
/// Makes one change at a time, each to one replica. A replica is added before a lost one is removed, so a repair never
/// reduces the number of complete replicas. Single-threaded, deterministic.
class ReplicaSupervisor {
 public:
  explicit ReplicaSupervisor(const ControlOptions& options) : options_(options) {}

  void start(TimePoint now) {
    term_started_at_ = now;
    first_seen_as_member_.clear();
  }
  /// The next replica set to propose, if a change is needed.
  std::optional<wire::ReplicaSet> next_replica_set(TimePoint now, const consensus::RaftNode& raft,
                                                   const membership::NodeDirectory& nodes);

 private:
  bool is_lost(TimePoint now, const wire::ReplicaAddress& replica, const consensus::RaftNode& raft,
               const std::map<std::string, int64_t>& current_identities) const;

  void track_members(TimePoint now, const wire::ReplicaSet& replicas);

  ControlOptions options_;
  TimePoint term_started_at_{};
  /// When each current member was first seen in this term; its replica timeout starts no earlier.
  std::map<int64_t, TimePoint> first_seen_as_member_;
};

}  // namespace larchlever::control
