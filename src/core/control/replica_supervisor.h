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

  void start(TimePoint now) { started_ = now; }
  /// The next replica set to propose, if any.
  std::optional<wire::ReplicaSet> next_change(TimePoint now, const consensus::RaftNode& raft,
                                              const membership::NodeDirectory& nodes) const;

 private:
  bool is_lost(TimePoint now, const wire::ReplicaAddress& replica, const consensus::RaftNode& raft,
               const std::map<std::string, int64_t>& identities) const;

  ControlOptions options_;
  TimePoint started_{};
};

}  // namespace larchlever::control
