#pragma once

#include <map>
#include <optional>
#include <string>

#include "consensus/raft_node.h"
#include "core/base/time.h"
#include "core/control/control_options.h"
#include "core/membership/node_directory.h"

namespace larchlever::control {

/// Keeps the region's voters whole: admits disk nodes as learners, promotes those that hold all committed state,
/// retires voters that are lost, rolled back or replaced by a newer identity of their node.
///
/// One change at a time, each of one replica. A copy is added before a dead one is removed, so a repair never lowers
/// the number of complete copies. Single-threaded, deterministic.
class ReplicaSupervisor {
 public:
  explicit ReplicaSupervisor(const ControlOptions& options) : options_(options) {}

  void start(TimePoint now) {
    term_started_at_ = now;
    first_seen_as_member_.clear();
  }
  /// The next replica set to propose, if any.
  std::optional<wire::ReplicaSet> next_change(TimePoint now, const consensus::RaftNode& raft,
                                              const membership::NodeDirectory& nodes);

 private:
  bool is_lost(TimePoint now, const wire::ReplicaAddress& replica, const consensus::RaftNode& raft,
               const std::map<std::string, int64_t>& current_identities) const;

  void track_members(TimePoint now, const wire::ReplicaSet& replicas);

  ControlOptions options_;
  TimePoint term_started_at_{};
  /// When this leadership first saw each replica in the set: a new one has that long had the chance to answer.
  std::map<int64_t, TimePoint> first_seen_as_member_;
};

}  // namespace larchlever::control
