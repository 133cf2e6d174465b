#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::consensus {

/// Maps replicas to their peer addresses, learned from replica sets and from the senders of messages. Single-threaded,
/// deterministic.
class ReplicaRoutes {
 public:
  void set_node(int64_t replica, const std::string& node) { nodes_[replica] = node; }
  /// Records the addresses of all voters and learners.
  void set_nodes(const wire::ReplicaSet& replicas);
  /// Wraps each message in an envelope addressed to the recipient's node. Messages to unknown replicas are dropped; the
  /// sender repeats those that matter.
  std::vector<wire::Envelope> make_envelopes(std::vector<wire::RaftMessage> messages) const;

 private:
  std::map<int64_t, std::string> nodes_;
};

}  // namespace larchlever::consensus
