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
  void set_node(int64_t replica, const std::string& node) { nodes_[replica] = node; }
  /// Learns the addresses of all voters and learners.
  void set_nodes(const wire::ReplicaSet& replicas);
  /// One envelope a message, addressed to the recipient's node. Messages to unknown replicas are dropped: what matters
  /// is sent again.
  std::vector<wire::Envelope> make_envelopes(std::vector<wire::RaftMessage> messages) const;

 private:
  std::map<int64_t, std::string> nodes_;
};

}  // namespace larchlever::consensus
