#include "core/membership/node_directory.h"

namespace larchlever::membership {

NodeRecord* NodeDirectory::record_heartbeat(TimePoint now, const std::string& node, Incarnation incarnation,
                                            SenderIncarnation& sender_incarnation) {
  const auto found = nodes_.find(node);
  if (found == nodes_.end()) {
    sender_incarnation = SenderIncarnation::kNewNode;
    NodeRecord& node_record = nodes_[node];
    node_record.node = node;
    node_record.incarnation = incarnation;
    node_record.last_heartbeat_at = now;
    return &node_record;
  }
  NodeRecord& node_record = found->second;
  if (incarnation < node_record.incarnation) {
    sender_incarnation = SenderIncarnation::kStale;
    return nullptr;
  }
  sender_incarnation =
      incarnation > node_record.incarnation ? SenderIncarnation::kNewIncarnation : SenderIncarnation::kCurrent;
  if (sender_incarnation == SenderIncarnation::kNewIncarnation) {
    // The lease of the old incarnation is kept, because that process may still be running and use it.
    node_record.applied_revision = Revision();
  }
  node_record.incarnation = incarnation;
  node_record.last_heartbeat_at = now;
  return &node_record;
}

NodeRecord* NodeDirectory::find(const std::string& node) {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

void NodeDirectory::exclude_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, node_record] : nodes_) {
    node_record.last_heartbeat_at = last_contact_after_pause(now, node_record.last_heartbeat_at, pause);
  }
}

std::vector<const NodeRecord*> NodeDirectory::live_nodes(TimePoint now, Duration timeout) const {
  std::vector<const NodeRecord*> result;
  for (const auto& [node, node_record] : nodes_) {
    if (now - node_record.last_heartbeat_at <= timeout && !node_record.leaving) {
      result.push_back(&node_record);
    }
  }
  return result;
}

std::vector<std::string> NodeDirectory::unconfirmed_lease_holders(TimePoint now, Revision revision) const {
  std::vector<std::string> result;
  for (const auto& [node, node_record] : nodes_) {
    if (now < node_record.configuration_lease_until && node_record.applied_revision < revision) {
      result.push_back(node);
    }
  }
  return result;
}

std::vector<NodeRecord> NodeDirectory::remove_silent(TimePoint now, Duration timeout) {
  std::vector<NodeRecord> removed;
  for (auto item = nodes_.begin(); item != nodes_.end();) {
    const NodeRecord& node_record = item->second;
    if (now - node_record.last_heartbeat_at > timeout && now >= node_record.configuration_lease_until) {
      removed.push_back(node_record);
      item = nodes_.erase(item);
    } else {
      ++item;
    }
  }
  return removed;
}

}  // namespace larchlever::membership
