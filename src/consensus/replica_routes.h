#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::consensus {

/// Peer addresses of the log's replicas, learned from replica sets and from whoever wrote last.
/// Single-threaded, deterministic.
class ReplicaRoutes {
 public:
  void note(int64_t replica, const std::string& node) { nodes_[replica] = node; }
  /// Learns the addresses of all voters and learners.
  void note_all(const wire::ReplicaSet& replicas);
  /// One envelope a message, addressed to the recipient's node. Messages to unknown replicas are dropped: what matters
  /// is sent again.
  std::vector<wire::Envelope> address(std::vector<wire::RaftMessage> messages) const;

 private:
  std::map<int64_t, std::string> nodes_;
};

}  // namespace larchlever::consensus
