#include "consensus/raft_node.h"

#include <algorithm>

#include "consensus/quorum.h"
#include "wire/codec.h"

namespace larchlever::consensus {

namespace {

bool contains(const std::vector<wire::ReplicaAddress>& list, int64_t id) {
  return std::any_of(list.begin(), list.end(), [id](const auto& item) { return item.replica_id == id; });
}

/// Returns the number of voters that are in exactly one of the two sets.
size_t count_changed_voters(const wire::ReplicaSet& before, const wire::ReplicaSet& after) {
  size_t changed = 0;
  for (const auto& voter : before.voters) {
    changed += contains(after.voters, voter.replica_id) ? 0 : 1;
  }
  for (const auto& voter : after.voters) {
    changed += contains(before.voters, voter.replica_id) ? 0 : 1;
  }
  return changed;
}

}  // namespace

RaftNode::RaftNode(ReplicaId replica_id, Incarnation boot, const RaftOptions& options, PersistedState persisted,
                   uint64_t seed, TimePoint now)
    : id_(replica_id),
      boot_(boot),
      options_(options),
      random_(seed),
      log_(persisted.snapshot, std::move(persisted.entries)),
      snapshot_{persisted.snapshot, std::move(persisted.snapshot_state), false},
      hard_state_(persisted.hard_state),
      commit_index_(persisted.snapshot.index),
      delivered_index_(persisted.snapshot.index),
      synced_index_(log_.last_index()) {
  if (persisted.snapshot.index > 0) {
    installed_snapshot_ = snapshot_;
  }
  // A restarted replica does not remember its last contact with a leader. A leader that counted its last reply may
  // still hold the lease, so the replica acts as if the contact had been now and grants no vote for one election
  // timeout.
  last_leader_contact_ = now;
  started_at_ = now;
  const bool has_peers = is_voter() && log_.replicas().voters.size() > 1;
  restart_check_pending_ = has_peers;
  restart_check_deadline_ = now + options_.restart_check_timeout;
  reset_election_timer(now);
  if (is_voter() && !has_peers) {
    election_deadline_ = now;  // A single voter need not wait: no other replica can be the leader.
  }
}

PersistedState RaftNode::bootstrap(const wire::ReplicaAddress& first_voter) {
  PersistedState state;
  state.hard_state.term = 1;
  wire::ReplicaSet replicas;
  replicas.voters.push_back(first_voter);
  wire::LogEntry entry;
  entry.term = 1;
  entry.index = 1;
  entry.kind = wire::EntryKind::REPLICA_SET;
  entry.payload = wire::encode(replicas);
  state.entries.push_back(std::move(entry));
  return state;
}

std::string RaftNode::leader_node() const {
  for (const auto& voter : log_.replicas().voters) {
    if (voter.replica_id == leader_) {
      return voter.node;
    }
  }
  return "";
}

bool RaftNode::is_voter() const { return contains(log_.replicas().voters, id_.value()); }

void RaftNode::reset_election_timer(TimePoint now) {
  const bool restarting = may_be_cluster_restart(now);
  const Duration timeout_min = restarting ? options_.restart_election_timeout_min : options_.election_timeout_min;
  const Duration timeout_max = restarting ? options_.restart_election_timeout_max : options_.election_timeout_max;
  std::uniform_int_distribution<int64_t> jitter(0, std::max<int64_t>((timeout_max - timeout_min).count(), 1));
  election_deadline_ = now + timeout_min + Duration(jitter(random_));
}

void RaftNode::persist_hard_state() { output_.hard_state = hard_state_; }

wire::RaftMessage& RaftNode::add_message(int64_t to, bool after_sync) {
  auto& list = after_sync ? output_.messages_after_sync : output_.messages;
  auto& message = list.emplace_back();
  message.from_replica = id_.value();
  message.to_replica = to;
  return message;
}

void RaftNode::become_follower(TimePoint now, int64_t term, int64_t leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = 0;
    persist_hard_state();
  }
  role_ = Role::kFollower;
  leader_ = leader;
  votes_.clear();
  gone_voters_.clear();
  progress_.clear();
  reset_election_timer(now);
}

// -------------------------------------------------------------- replication

void RaftNode::append_own_entry(wire::EntryKind::type kind, std::string payload) {
  wire::LogEntry entry;
  entry.term = hard_state_.term;
  entry.index = log_.last_index() + 1;
  entry.kind = kind;
  entry.payload = std::move(payload);
  output_.entries.push_back(entry);
  log_.append(std::move(entry));
}

std::optional<int64_t> RaftNode::propose(TimePoint now, std::string payload) {
  if (role_ != Role::kLeader || lease_released_) {
    return std::nullopt;
  }
  append_own_entry(wire::EntryKind::COMMAND, std::move(payload));
  replicate(now);
  return log_.last_index();
}

std::optional<int64_t> RaftNode::propose_replicas(TimePoint now, const wire::ReplicaSet& replicas) {
  // Reject a change while another is uncommitted, and before this term's first entry is committed. Otherwise the change
  // of a deposed leader and this one could each be committed by disjoint majorities.
  const bool change_allowed = !replica_change_pending() && commit_index_ >= term_start_index_;
  if (role_ != Role::kLeader || lease_released_ || !change_allowed ||
      count_changed_voters(log_.replicas(), replicas) > 1) {
    return std::nullopt;
  }
  append_own_entry(wire::EntryKind::REPLICA_SET, wire::encode(replicas));
  update_progress_table();
  replicate(now);
  return log_.last_index();
}

void RaftNode::update_progress_table() {
  const auto& replicas = log_.replicas();
  std::set<int64_t> peer_ids;
  for (const auto* list : {&replicas.voters, &replicas.learners}) {
    for (const auto& replica : *list) {
      if (replica.replica_id != id_.value()) {
        peer_ids.insert(replica.replica_id);
      }
    }
  }
  std::erase_if(progress_, [&peer_ids](const auto& item) { return !peer_ids.contains(item.first); });
  for (const int64_t replica : peer_ids) {
    if (!progress_.contains(replica)) {
      progress_[replica].next_index = log_.last_index() + 1;
    }
  }
}

void RaftNode::replicate(TimePoint now) {
  for (const auto& [replica, progress] : progress_) {
    send_append(now, replica, false);
  }
}

void RaftNode::send_append(TimePoint now, int64_t to, bool heartbeat) {
  Progress& progress = progress_[to];
  if (rolled_back_replicas_.contains(to)) {
    if (heartbeat) {
      wire::IdentityRejection rejection;
      rejection.term = hard_state_.term;
      add_message(to, false).__set_identity_rejection(rejection);
    }
    return;
  }
  if (heartbeat) {
    // No reply for two heartbeat intervals: treat appends in flight as lost and send them again.
    const bool stalled =
        progress.appends_in_flight > 0 && now - progress.last_reply_time > 2 * options_.heartbeat_interval;
    if (stalled) {
      progress.appends_in_flight = 0;
      progress.next_index = progress.match_index > 0 ? progress.match_index + 1 : progress.next_index;
    }
  } else if (progress.next_index > log_.last_index() || progress.appends_in_flight >= options_.max_appends_in_flight) {
    return;
  }
  if (progress.next_index < log_.first_index()) {
    send_snapshot(now, to, progress);
    return;
  }
  auto& message = add_message(to, false);
  wire::AppendRequest request;
  request.term = hard_state_.term;
  request.previous_index = progress.next_index - 1;
  request.previous_term = log_.term_at(progress.next_index - 1);
  request.commit_index = commit_index_;
  request.sent_at_us = to_microseconds(now);
  if (progress.appends_in_flight < options_.max_appends_in_flight) {
    request.entries = log_.slice(progress.next_index, options_.max_entries_per_append, options_.max_bytes_per_append);
  }
  if (!request.entries.empty()) {
    // Pipelining: the next append continues after these entries. A rejection moves next_index back.
    progress.next_index += static_cast<int64_t>(request.entries.size());
    ++progress.appends_in_flight;
  }
  message.append_request = std::move(request);
  message.__isset.append_request = true;
}

void RaftNode::send_snapshot(TimePoint now, int64_t to, Progress& progress) {
  if (progress.snapshot_in_flight && now - progress.snapshot_sent_at < 10 * options_.heartbeat_interval) {
    return;
  }
  progress.snapshot_in_flight = true;
  progress.snapshot_sent_at = now;
  ++stats_.snapshots_sent;
  auto& message = add_message(to, false);
  wire::SnapshotRequest request;
  request.term = hard_state_.term;
  request.header = snapshot_.header;
  request.state = snapshot_.state;
  request.sent_at_us = to_microseconds(now);
  message.snapshot_request = std::move(request);
  message.__isset.snapshot_request = true;
}

wire::AppendReply& RaftNode::add_append_reply(int64_t to, bool success, int64_t match, int64_t sent_at_us) {
  // Always sent after the sync, because a success guarantees that the entries survive a restart.
  auto& message = add_message(to, true);
  wire::AppendReply reply;
  reply.term = hard_state_.term;
  reply.success = success;
  reply.match_index = match;
  reply.sent_at_us = sent_at_us;
  reply.last_index = log_.last_index();
  reply.boot = boot_.value();
  reply.order = next_reply_number_++;
  message.__set_append_reply(reply);
  return message.append_reply;
}

void RaftNode::record_leader_contact(TimePoint now) {
  last_leader_contact_ = now;
  leader_contacted_since_start_ = true;
  // Give the leader time to report whether this replica's disk lost entries.
  restart_check_deadline_ = now + options_.restart_check_timeout;
}

void RaftNode::handle_append_request(TimePoint now, int64_t from, const wire::AppendRequest& request) {
  if (request.term < hard_state_.term) {
    add_append_reply(from, false, log_.last_index(), request.sent_at_us);
    return;
  }
  record_leader_contact(now);
  become_follower(now, request.term, from);
  if (request.previous_index < log_.snapshot().index) {
    // All entries up to the snapshot are committed, so they match.
    add_append_reply(from, true, log_.snapshot().index, request.sent_at_us);
    return;
  }
  if (log_.term_at(request.previous_index) != request.previous_term) {
    const int64_t next_index_hint = std::min(log_.last_index(), request.previous_index - 1);
    add_append_reply(from, false, std::max(next_index_hint, commit_index_), request.sent_at_us);
    return;
  }
  for (const auto& entry : request.entries) {
    const int64_t known_term = log_.term_at(entry.index);
    if (known_term == entry.term || entry.index <= log_.snapshot().index) {
      continue;
    }
    if (known_term != -1) {
      log_.truncate_from(entry.index);
      synced_index_ = std::min(synced_index_, entry.index - 1);
      for (auto& [ticket, last] : unsynced_batches_) {
        last = std::min(last, entry.index - 1);
      }
      std::erase_if(output_.entries, [&entry](const auto& pending) { return pending.index >= entry.index; });
    }
    log_.append(entry);
    output_.entries.push_back(entry);
  }
  const int64_t match = request.previous_index + static_cast<int64_t>(request.entries.size());
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, match));
  if (match >= request.commit_index) {
    // This replica holds everything that was committed when the leader sent the request, so no acknowledged entry is
    // missing.
    restart_check_pending_ = false;
  }
  add_append_reply(from, true, match, request.sent_at_us);
}

void RaftNode::handle_append_reply(TimePoint now, int64_t from, const wire::AppendReply& reply) {
  if (reply.term > hard_state_.term) {
    become_follower(now, reply.term, 0);
    return;
  }
  const auto found = progress_.find(from);
  if (role_ != Role::kLeader || found == progress_.end() || reply.term != hard_state_.term) {
    return;
  }
  Progress& progress = found->second;
  const std::pair<int64_t, int64_t> reply_number(reply.boot, reply.order);
  progress.last_reply_time = now;
  progress.has_replied = true;
  if (!reply.success && reply_number > progress.last_match_reply && reply.last_index < progress.match_index) {
    // The replica had acknowledged more entries than it held when it sent this later reply, so its disk was rolled
    // back. Its acknowledgements and votes no longer count, and it may rejoin only under a new identity. Replies are
    // compared by number because a rejection sent before the acknowledgement may arrive after it.
    ++stats_.rollbacks_detected;
    rolled_back_replicas_.insert(from);
    progress.match_index = 0;
    return;
  }
  progress.answered_send_time_us = std::max(progress.answered_send_time_us, reply.sent_at_us);
  if (progress.appends_in_flight > 0) {
    --progress.appends_in_flight;
  }
  if (!reply.success) {
    progress.next_index = std::max(progress.match_index + 1, std::min(progress.next_index, reply.match_index + 1));
    progress.appends_in_flight = 0;
    send_append(now, from, true);
    return;
  }
  progress.last_match_reply = std::max(progress.last_match_reply, reply_number);
  if (reply.match_index > progress.match_index) {
    progress.match_index = reply.match_index;
    progress.snapshot_in_flight = false;
    progress.next_index = std::max(progress.next_index, progress.match_index + 1);
    advance_commit();
  }
  send_append(now, from, false);
}

void RaftNode::advance_commit() {
  std::vector<int64_t> match_indexes;
  for (const auto& voter : log_.replicas().voters) {
    match_indexes.push_back(voter.replica_id == id_.value() ? synced_index_ : match_index(ReplicaId(voter.replica_id)));
  }
  if (match_indexes.empty()) {
    return;
  }
  std::sort(match_indexes.begin(), match_indexes.end(), std::greater<>());
  const int64_t majority_match_index = match_indexes[majority(match_indexes.size()) - 1];
  // Only entries of the current term are committed by counting replicas; earlier entries are committed with them.
  if (majority_match_index > commit_index_ && log_.term_at(majority_match_index) == hard_state_.term) {
    commit_index_ = majority_match_index;
  }
}

void RaftNode::handle_snapshot_request(TimePoint now, int64_t from, const wire::SnapshotRequest& request) {
  if (request.term < hard_state_.term) {
    add_append_reply(from, false, log_.last_index(), request.sent_at_us);
    return;
  }
  record_leader_contact(now);
  become_follower(now, request.term, from);
  if (log_.term_at(request.header.index) == request.header.term) {
    // The log already contains what the snapshot covers, and possibly acknowledged entries after it: keep it.
    commit_index_ = std::max(commit_index_, request.header.index);
  } else if (request.header.index > commit_index_) {
    ++stats_.snapshots_installed;
    snapshot_ = Snapshot{request.header, request.state, true};
    log_.reset(request.header);
    output_.entries.clear();
    output_.snapshot = snapshot_;
    output_.hard_state = hard_state_;
    installed_snapshot_ = snapshot_;
    commit_index_ = request.header.index;
    delivered_index_ = request.header.index;
    synced_index_ = 0;
    for (auto& [ticket, last] : unsynced_batches_) {
      last = 0;
    }
    restart_check_pending_ = false;
  }
  add_append_reply(from, true, std::max(commit_index_, request.header.index), request.sent_at_us);
}

void RaftNode::handle_hand_over_request(TimePoint now, const wire::HandOverRequest& request) {
  if (request.term == hard_state_.term && role_ == Role::kFollower && is_voter() && may_vote()) {
    campaign(now, false, true);
  }
}

void RaftNode::step(TimePoint now, const wire::RaftMessage& message) {
  if (message.to_replica != id_.value()) {
    ++stats_.messages_to_other_identity;
    reply_voter_gone(message);
    return;
  }
  if (identity_rejected_) {
    return;
  }
  const int64_t from = message.from_replica;
  if (message.__isset.identity_rejection) {
    if (message.identity_rejection.term >= hard_state_.term) {
      identity_rejected_ = true;
      become_follower(now, message.identity_rejection.term, 0);
    }
  } else if (message.__isset.vote_request) {
    handle_vote_request(now, from, message.vote_request);
  } else if (message.__isset.vote_reply) {
    handle_vote_reply(now, from, message.vote_reply);
  } else if (message.__isset.append_request) {
    handle_append_request(now, from, message.append_request);
  } else if (message.__isset.append_reply) {
    handle_append_reply(now, from, message.append_reply);
  } else if (message.__isset.snapshot_request) {
    handle_snapshot_request(now, from, message.snapshot_request);
  } else if (message.__isset.hand_over_request) {
    handle_hand_over_request(now, message.hand_over_request);
  }
}

void RaftNode::mark_synced(TimePoint now, int64_t ticket) {
  while (!unsynced_batches_.empty() && unsynced_batches_.front().first <= ticket) {
    synced_index_ = std::max(synced_index_, std::min(unsynced_batches_.front().second, log_.last_index()));
    unsynced_batches_.pop_front();
  }
  if (role_ == Role::kCandidate) {
    tally_votes(now);
  } else if (role_ == Role::kLeader) {
    advance_commit();
  }
}

RaftOutput RaftNode::take_output() {
  RaftOutput result = std::move(output_);
  output_ = RaftOutput();
  result.ticket = next_ticket_++;
  if (result.needs_sync()) {
    unsynced_batches_.emplace_back(result.ticket, log_.last_index());
  }
  return result;
}

std::vector<wire::LogEntry> RaftNode::take_committed() {
  std::vector<wire::LogEntry> result;
  for (; delivered_index_ < commit_index_; ++delivered_index_) {
    result.push_back(log_.at(delivered_index_ + 1));
  }
  return result;
}

std::optional<Snapshot> RaftNode::take_installed_snapshot() {
  auto result = std::move(installed_snapshot_);
  installed_snapshot_.reset();
  return result;
}

void RaftNode::compact(int64_t index, std::string state, int64_t trailing) {
  if (index <= snapshot_.header.index || index > delivered_index_) {
    return;
  }
  Snapshot snapshot;
  snapshot.header.index = index;
  snapshot.header.term = log_.term_at(index);
  snapshot.header.replicas = log_.replicas_at(index);
  snapshot.state = std::move(state);
  snapshot_ = snapshot;
  output_.snapshot = std::move(snapshot);
  output_.hard_state = hard_state_;
  log_.compact(std::max(log_.snapshot().index, index - trailing));
}

// --------------------------------------------------------- leases and quorum

TimePoint RaftNode::quorum_contact_time(TimePoint now) const {
  std::vector<int64_t> contact_times_us;
  for (const auto& voter : log_.replicas().voters) {
    if (voter.replica_id == id_.value()) {
      contact_times_us.push_back(to_microseconds(now));
      continue;
    }
    const auto found = progress_.find(voter.replica_id);
    contact_times_us.push_back(found == progress_.end() ? -1 : found->second.answered_send_time_us);
  }
  std::sort(contact_times_us.begin(), contact_times_us.end(), std::greater<>());
  const int64_t contact_time = contact_times_us.empty() ? -1 : contact_times_us[majority(contact_times_us.size()) - 1];
  return contact_time < 0 ? TimePoint::min() : from_microseconds(contact_time);
}

bool RaftNode::has_lease(TimePoint now) const {
  if (role_ != Role::kLeader || lease_released_) {
    return false;
  }
  const TimePoint contact_time = quorum_contact_time(now);
  if (contact_time == TimePoint::min()) {
    return false;
  }
  // The lease starts at the send time of the append that a quorum answered. It is shorter than the time for which
  // voters grant no vote, to allow for clock drift.
  const auto lease = static_cast<int64_t>(static_cast<double>(options_.election_timeout_min.count()) *
                                          (1.0 - 2 * kMaxClockDriftRatio));
  return now < contact_time + Duration(lease);
}

bool RaftNode::is_ready_leader(TimePoint now) const {
  return has_lease(now) && commit_index_ >= term_start_index_ && delivered_index_ >= term_start_index_;
}

void RaftNode::check_quorum(TimePoint now) {
  const TimePoint contact_time = quorum_contact_time(now);
  // A leader that transferred its leadership, but whose successor was not elected in time, steps down, and a regular
  // election follows.
  if (contact_time != TimePoint::min() && !lease_released_) {
    quorum_deadline_ = std::max(quorum_deadline_, contact_time + options_.election_timeout_max);
  }
  const bool removed_from_voters = !is_voter() && commit_index_ >= log_.replica_set_index();
  if (now >= quorum_deadline_ || removed_from_voters) {
    ++stats_.quorum_losses;
    become_follower(now, hard_state_.term, 0);
  }
}

bool RaftNode::transfer_leadership(TimePoint now) {
  if (role_ != Role::kLeader) {
    return false;
  }
  int64_t best_voter = 0;
  int64_t best_match_index = -1;
  for (const auto& voter : log_.replicas().voters) {
    const auto found = progress_.find(voter.replica_id);
    if (found == progress_.end() || !found->second.has_replied || rolled_back_replicas_.contains(voter.replica_id)) {
      continue;
    }
    const bool replied_recently = now - found->second.last_reply_time < options_.election_timeout_min;
    if (replied_recently && found->second.match_index > best_match_index) {
      best_voter = voter.replica_id;
      best_match_index = found->second.match_index;
    }
  }
  if (best_match_index < commit_index_) {
    return false;
  }
  lease_released_ = true;
  wire::HandOverRequest request;
  request.term = hard_state_.term;
  add_message(best_voter, false).__set_hand_over_request(request);
  return true;
}

int64_t RaftNode::match_index(ReplicaId replica) const {
  const auto found = progress_.find(replica.value());
  return found == progress_.end() ? 0 : found->second.match_index;
}

std::optional<TimePoint> RaftNode::last_contact(ReplicaId replica) const {
  const auto found = progress_.find(replica.value());
  if (found == progress_.end() || !found->second.has_replied) {
    return std::nullopt;
  }
  return found->second.last_reply_time;
}

}  // namespace larchlever::consensus
