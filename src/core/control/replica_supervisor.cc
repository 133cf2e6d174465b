#include "core/control/replica_supervisor.h"

#include <algorithm>
#include <vector>

namespace larchlever::control {

namespace {

constexpr size_t kMaxVoters = 5;

bool contains_replica(const std::vector<wire::ReplicaAddress>& list, int64_t replica_id) {
  return std::any_of(list.begin(), list.end(),
                     [replica_id](const auto& item) { return item.replica_id == replica_id; });
}

std::vector<wire::ReplicaAddress> remove_replica(std::vector<wire::ReplicaAddress> list, int64_t replica_id) {
  std::erase_if(list, [replica_id](const auto& item) { return item.replica_id == replica_id; });
  return list;
}

/// Largest odd number of voters, up to the maximum, for this many usable replicas.
size_t target_voters(size_t usable_replicas) {
  const size_t largest_odd =
      usable_replicas % 2 == 0 ? usable_replicas - (usable_replicas > 0 ? 1 : 0) : usable_replicas;
  return std::max<size_t>(1, std::min(kMaxVoters, largest_odd));
}

}  // namespace

bool ReplicaSupervisor::is_lost(TimePoint now, const wire::ReplicaAddress& replica, const consensus::RaftNode& raft,
                                const std::map<std::string, int64_t>& current_identities) const {
  if (replica.replica_id == raft.id().value()) {
    return false;
  }
  const auto identity = current_identities.find(replica.node);
  const bool is_replaced = identity != current_identities.end() && identity->second != replica.replica_id;
  if (is_replaced || raft.rolled_back_replicas().contains(replica.replica_id)) {
    return true;
  }
  const auto member_since = first_seen_as_member_.find(replica.replica_id);
  const TimePoint silent_since = std::max(raft.last_contact(ReplicaId(replica.replica_id)).value_or(term_started_at_),
                                          member_since == first_seen_as_member_.end() ? now : member_since->second);
  return now - silent_since > options_.replica_timeout;
}

void ReplicaSupervisor::track_members(TimePoint now, const wire::ReplicaSet& replicas) {
  std::map<int64_t, TimePoint> members;
  for (const auto* list : {&replicas.voters, &replicas.learners}) {
    for (const auto& replica : *list) {
      const auto found = first_seen_as_member_.find(replica.replica_id);
      members[replica.replica_id] = found == first_seen_as_member_.end() ? now : found->second;
    }
  }
  first_seen_as_member_ = std::move(members);
}

std::optional<wire::ReplicaSet> ReplicaSupervisor::next_replica_set(TimePoint now, const consensus::RaftNode& raft,
                                                                    const membership::NodeDirectory& nodes) {
  track_members(now, raft.replicas());
  if (raft.replica_change_pending()) {
    return std::nullopt;
  }
  wire::ReplicaSet next = raft.replicas();
  std::map<std::string, int64_t> current_identities;
  std::vector<const membership::NodeRecord*> spare_replicas;
  for (const auto& [name, node_record] : nodes.all_nodes()) {
    if (node_record.replica_id.value() == 0) {
      continue;
    }
    current_identities[name] = node_record.replica_id.value();
    const bool is_member = contains_replica(next.voters, node_record.replica_id.value()) ||
                           contains_replica(next.learners, node_record.replica_id.value());
    const bool is_live = now - node_record.last_heartbeat_at <= options_.node_timeout && !node_record.leaving;
    if (!is_member && is_live && !raft.rolled_back_replicas().contains(node_record.replica_id.value())) {
      spare_replicas.push_back(&node_record);
    }
  }
  for (const auto& learner : next.learners) {
    if (is_lost(now, learner, raft, current_identities)) {
      next.learners = remove_replica(next.learners, learner.replica_id);
      return next;
    }
  }
  size_t live_voters = 0;
  std::optional<wire::ReplicaAddress> lost_voter;
  for (const auto& voter : next.voters) {
    if (is_lost(now, voter, raft, current_identities)) {
      lost_voter = voter;
    } else {
      ++live_voters;
    }
  }
  const size_t voters_wanted =
      std::max(options_.minimum_voters, target_voters(live_voters + next.learners.size() + spare_replicas.size()));
  if (live_voters < voters_wanted) {
    for (const auto& learner : next.learners) {
      // A learner is promoted only when it has all committed entries, so that losing another replica then loses no
      // data.
      if (raft.match_index(ReplicaId(learner.replica_id)) >= raft.commit_index()) {
        next.voters.push_back(learner);
        next.learners = remove_replica(next.learners, learner.replica_id);
        return next;
      }
    }
    if (next.learners.empty() && !spare_replicas.empty()) {
      // Prefer a zone that holds no voter yet.
      const auto in_new_zone = [&next](const auto* node_record) {
        return std::none_of(next.voters.begin(), next.voters.end(),
                            [node_record](const auto& voter) { return voter.zone == node_record->zone; });
      };
      const auto spare_in_new_zone = std::find_if(spare_replicas.begin(), spare_replicas.end(), in_new_zone);
      const membership::NodeRecord* node_record =
          spare_in_new_zone == spare_replicas.end() ? spare_replicas.front() : *spare_in_new_zone;
      wire::ReplicaAddress address;
      address.replica_id = node_record->replica_id.value();
      address.node = node_record->node;
      address.zone = node_record->zone;
      next.learners.push_back(address);
      return next;
    }
  }
  if (lost_voter && live_voters >= voters_wanted && next.voters.size() > voters_wanted) {
    next.voters = remove_replica(next.voters, lost_voter->replica_id);
    return next;
  }
  const bool is_superseded = lost_voter && current_identities.contains(lost_voter->node) &&
                             current_identities[lost_voter->node] != lost_voter->replica_id;
  if (is_superseded && live_voters >= voters_wanted && live_voters >= 1) {
    // The node has a new replica identity, so the disk of this replica is gone for good; keeping it as a voter only
    // makes a quorum harder to reach.
    next.voters = remove_replica(next.voters, lost_voter->replica_id);
    return next;
  }
  return std::nullopt;
}

}  // namespace larchlever::control
