#include "consensus/replica_routes.h"

#include <utility>

namespace larchlever::consensus {

void ReplicaRoutes::set_nodes(const wire::ReplicaSet& replicas) {
  for (const auto* list : {&replicas.voters, &replicas.learners}) {
    for (const auto& replica : *list) {
      set_node(replica.replica_id, replica.node);
    }
  }
}

std::vector<wire::Envelope> ReplicaRoutes::make_envelopes(std::vector<wire::RaftMessage> messages) const {
  std::vector<wire::Envelope> envelopes;
  envelopes.reserve(messages.size());
  for (auto& message : messages) {
    const auto node = nodes_.find(message.to_replica);
    if (node == nodes_.end()) {
      continue;
    }
    auto& envelope = envelopes.emplace_back();
    envelope.to_node = node->second;
    envelope.raft = std::move(message);
    envelope.__isset.raft = true;
  }
  return envelopes;
}

}  // namespace larchlever::consensus
