#include "core/membership/node_directory.h"

namespace larchlever::membership {

NodeRow* NodeDirectory::heard(TimePoint now, const std::string& node, Incarnation incarnation, Arrival& arrival) {
  const auto found = rows_.find(node);
  if (found == rows_.end()) {
    arrival = Arrival::kNew;
    NodeRow& row = rows_[node];
    row.node = node;
    row.incarnation = incarnation;
    row.last_heard = now;
    return &row;
  }
  NodeRow& row = found->second;
  if (incarnation < row.incarnation) {
    arrival = Arrival::kStale;
    return nullptr;
  }
  arrival = incarnation > row.incarnation ? Arrival::kNewIncarnation : Arrival::kKnown;
  if (arrival == Arrival::kNewIncarnation) {
    // The lease of the old incarnation is kept: that process may not have noticed yet that it is replaced.
    row.applied_revision = Revision();
  }
  row.incarnation = incarnation;
  row.last_heard = now;
  return &row;
}

NodeRow* NodeDirectory::find(const std::string& node) {
  const auto found = rows_.find(node);
  return found == rows_.end() ? nullptr : &found->second;
}

void NodeDirectory::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, row] : rows_) {
    row.last_heard = heard_after_pause(now, row.last_heard, pause);
  }
}

std::vector<const NodeRow*> NodeDirectory::live(TimePoint now, Duration timeout) const {
  std::vector<const NodeRow*> result;
  for (const auto& [node, row] : rows_) {
    if (now - row.last_heard <= timeout && !row.leaving) {
      result.push_back(&row);
    }
  }
  return result;
}

std::vector<std::string> NodeDirectory::unconfirmed(TimePoint now, Revision revision) const {
  std::vector<std::string> result;
  for (const auto& [node, row] : rows_) {
    if (now < row.configuration_lease_until && row.applied_revision < revision) {
      result.push_back(node);
    }
  }
  return result;
}

std::vector<NodeRow> NodeDirectory::forget_silent(TimePoint now, Duration timeout) {
  std::vector<NodeRow> forgotten;
  for (auto item = rows_.begin(); item != rows_.end();) {
    const NodeRow& row = item->second;
    if (now - row.last_heard > timeout && now >= row.configuration_lease_until) {
      forgotten.push_back(row);
      item = rows_.erase(item);
    } else {
      ++item;
    }
  }
  return forgotten;
}

}  // namespace larchlever::membership
