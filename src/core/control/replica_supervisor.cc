#include "core/control/replica_supervisor.h"

#include <algorithm>
#include <vector>

namespace larchlever::control {

namespace {

constexpr size_t kMaximumVoters = 5;

bool holds(const std::vector<wire::ReplicaAddress>& list, int64_t replica_id) {
  return std::any_of(list.begin(), list.end(),
                     [replica_id](const auto& item) { return item.replica_id == replica_id; });
}

std::vector<wire::ReplicaAddress> without(std::vector<wire::ReplicaAddress> list, int64_t replica_id) {
  std::erase_if(list, [replica_id](const auto& item) { return item.replica_id == replica_id; });
  return list;
}

/// Largest odd number of voters that the known disks allow.
size_t target_voters(size_t disks) {
  const size_t odd = disks % 2 == 0 ? disks - (disks > 0 ? 1 : 0) : disks;
  return std::max<size_t>(1, std::min(kMaximumVoters, odd));
}

}  // namespace

bool ReplicaSupervisor::is_lost(TimePoint now, const wire::ReplicaAddress& replica, const consensus::RaftNode& raft,
                                const std::map<std::string, int64_t>& identities) const {
  if (replica.replica_id == raft.id().value()) {
    return false;
  }
  const auto identity = identities.find(replica.node);
  const bool replaced = identity != identities.end() && identity->second != replica.replica_id;
  if (replaced || raft.rolled_back().contains(replica.replica_id)) {
    return true;
  }
  const auto since = member_since_.find(replica.replica_id);
  const TimePoint silent_from = std::max(raft.last_contact(ReplicaId(replica.replica_id)).value_or(started_),
                                         since == member_since_.end() ? now : since->second);
  return now - silent_from > options_.replica_timeout;
}

void ReplicaSupervisor::note_members(TimePoint now, const wire::ReplicaSet& replicas) {
  std::map<int64_t, TimePoint> members;
  for (const auto* list : {&replicas.voters, &replicas.learners}) {
    for (const auto& replica : *list) {
      const auto known = member_since_.find(replica.replica_id);
      members[replica.replica_id] = known == member_since_.end() ? now : known->second;
    }
  }
  member_since_ = std::move(members);
}

std::optional<wire::ReplicaSet> ReplicaSupervisor::next_change(TimePoint now, const consensus::RaftNode& raft,
                                                               const membership::NodeDirectory& nodes) {
  note_members(now, raft.replicas());
  if (raft.replica_change_pending()) {
    return std::nullopt;
  }
  wire::ReplicaSet next = raft.replicas();
  std::map<std::string, int64_t> identities;
  std::vector<const membership::NodeRow*> free_disks;
  for (const auto& [name, row] : nodes.rows()) {
    if (row.replica_id.value() == 0) {
      continue;
    }
    identities[name] = row.replica_id.value();
    const bool member = holds(next.voters, row.replica_id.value()) || holds(next.learners, row.replica_id.value());
    const bool live = now - row.last_heard <= options_.node_timeout && !row.leaving;
    if (!member && live && !raft.rolled_back().contains(row.replica_id.value())) {
      free_disks.push_back(&row);
    }
  }
  for (const auto& learner : next.learners) {
    if (is_lost(now, learner, raft, identities)) {
      next.learners = without(next.learners, learner.replica_id);
      return next;
    }
  }
  size_t live_voters = 0;
  std::optional<wire::ReplicaAddress> lost;
  for (const auto& voter : next.voters) {
    if (is_lost(now, voter, raft, identities)) {
      lost = voter;
    } else {
      ++live_voters;
    }
  }
  const size_t target =
      std::max(options_.minimum_voters, target_voters(live_voters + next.learners.size() + free_disks.size()));
  if (live_voters < target) {
    for (const auto& learner : next.learners) {
      // Promoted only when it holds everything committed: from then on losing another copy loses nothing.
      if (raft.match_index(ReplicaId(learner.replica_id)) >= raft.commit_index()) {
        next.voters.push_back(learner);
        next.learners = without(next.learners, learner.replica_id);
        return next;
      }
    }
    if (next.learners.empty() && !free_disks.empty()) {
      // Prefer a zone that holds no voter yet.
      const auto in_new_zone = [&next](const auto* row) {
        return std::none_of(next.voters.begin(), next.voters.end(),
                            [row](const auto& voter) { return voter.zone == row->zone; });
      };
      const auto best = std::find_if(free_disks.begin(), free_disks.end(), in_new_zone);
      const membership::NodeRow* row = best == free_disks.end() ? free_disks.front() : *best;
      wire::ReplicaAddress address;
      address.replica_id = row->replica_id.value();
      address.node = row->node;
      address.zone = row->zone;
      next.learners.push_back(address);
      return next;
    }
  }
  if (lost && live_voters >= target && next.voters.size() > target) {
    next.voters = without(next.voters, lost->replica_id);
    return next;
  }
  const bool superseded = lost && identities.contains(lost->node) && identities[lost->node] != lost->replica_id;
  if (superseded && live_voters >= target && live_voters >= 1) {
    // Its disk is gone for good, so the entry only makes quorums harder to reach.
    next.voters = without(next.voters, lost->replica_id);
    return next;
  }
  return std::nullopt;
}

}  // namespace larchlever::control
