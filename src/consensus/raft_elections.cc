#include <algorithm>

#include "consensus/quorum.h"
#include "consensus/raft_node.h"

// Elections of RaftNode: timers, pre-vote and votes.

namespace larchlever::consensus {

void RaftNode::tick(TimePoint now) {
  if (restart_check_pending_ && now >= restart_check_deadline_) {
    // No leader contacted this replica within the timeout. All replicas may be restarting, and if all kept waiting,
    // none could ever be elected.
    restart_check_pending_ = false;
  }
  if (role_ == Role::kLeader) {
    check_quorum(now);
    if (role_ == Role::kLeader && now >= next_heartbeat_at_) {
      next_heartbeat_at_ = now + options_.heartbeat_interval;
      for (const auto& [replica, progress] : progress_) {
        send_append(now, replica, true);
      }
    }
    return;
  }
  if (now >= election_deadline_ && is_voter() && (may_vote() || in_restart_grace_period(now))) {
    campaign(now, true, false);
  }
}

TimePoint RaftNode::restart_grace_end() const {
  return started_at_ + std::max(options_.election_timeout_min, options_.restart_check_timeout);
}

bool RaftNode::in_restart_grace_period(TimePoint now) const {
  return !leader_contacted_since_start_ && !identity_rejected_ && now < restart_grace_end();
}

bool RaftNode::may_be_cluster_restart(TimePoint now) const {
  return !leader_contacted_since_start_ && now < restart_grace_end() + options_.election_timeout_max;
}

void RaftNode::reply_voter_gone(const wire::RaftMessage& message) {
  if (!message.__isset.vote_request) {
    return;
  }
  auto& answer = add_message(message.from_replica, false);
  answer.from_replica = message.to_replica;
  wire::VoteReply reply;
  reply.term = message.vote_request.term;
  reply.pre_vote = message.vote_request.pre_vote;
  reply.voter_gone = true;
  answer.__set_vote_reply(reply);
}

void RaftNode::campaign(TimePoint now, bool pre_vote, bool transfer) {
  reset_election_timer(now);
  leader_ = 0;
  votes_.clear();
  gone_voters_.clear();
  votes_[id_.value()] = in_restart_grace_period(now);
  role_ = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  if (!pre_vote) {
    ++stats_.elections_started;
    ++hard_state_.term;
    hard_state_.voted_for = id_.value();
    persist_hard_state();
  }
  for (const auto& voter : log_.replicas().voters) {
    if (voter.replica_id == id_.value()) {
      continue;
    }
    // The candidate's own vote must be on disk before it is counted, so real vote requests are sent after the sync.
    auto& message = add_message(voter.replica_id, !pre_vote);
    wire::VoteRequest request;
    request.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
    request.last_index = log_.last_index();
    request.last_term = log_.last_term();
    request.pre_vote = pre_vote;
    request.transfer = transfer;
    message.__set_vote_request(request);
  }
  if (!pre_vote && log_.replicas().voters.size() == 1) {
    // A single voter becomes leader once its own vote is stored: `mark_synced` tallies the votes again.
    return;
  }
  tally_votes(now);
}

void RaftNode::tally_votes(TimePoint now) {
  const auto& voters = log_.replicas().voters;
  size_t granted = 0;
  size_t granted_unconditionally = 0;
  for (const auto& voter : voters) {
    const auto vote = votes_.find(voter.replica_id);
    granted += vote != votes_.end() ? 1 : 0;
    granted_unconditionally += vote != votes_.end() && !vote->second ? 1 : 0;
  }
  // A voter whose disk was lost holds no lease, but it still counts towards the majority: committed entries are only
  // guaranteed to be on a majority of the voters.
  const auto gone_voter_count = static_cast<size_t>(std::count_if(
      voters.begin(), voters.end(), [this](const auto& voter) { return gone_voters_.contains(voter.replica_id); }));
  const bool unanimous = granted + gone_voter_count == voters.size() && granted >= majority(voters.size());
  if (granted_unconditionally < majority(voters.size()) && !unanimous) {
    return;
  }
  if (role_ == Role::kPreCandidate) {
    campaign(now, false, false);
  } else if (role_ == Role::kCandidate) {
    become_leader(now);
  }
}

bool RaftNode::has_recent_leader_contact(TimePoint now) const {
  return role_ == Role::kLeader ? has_lease(now) : now < last_leader_contact_ + options_.election_timeout_min;
}

bool RaftNode::log_is_up_to_date(const wire::VoteRequest& request) const {
  if (request.last_term != log_.last_term()) {
    return request.last_term > log_.last_term();
  }
  return request.last_index >= log_.last_index();
}

void RaftNode::handle_vote_request(TimePoint now, int64_t from, const wire::VoteRequest& request) {
  // Candidates are ignored while a leader is in contact. This makes the leader's lease safe and prevents a replica that
  // was partitioned from disrupting the others when it returns. A leadership transfer is exempt because the old leader
  // released its lease before requesting it.
  const bool must_not_vote = !may_vote() || (!request.transfer && has_recent_leader_contact(now));
  const bool only_if_unanimous = must_not_vote && in_restart_grace_period(now);
  const bool ignores_request = must_not_vote && !only_if_unanimous;
  if (!ignores_request && !request.pre_vote && request.term > hard_state_.term) {
    become_follower(now, request.term, 0);
  }
  bool granted = false;
  if (!ignores_request && log_is_up_to_date(request)) {
    if (request.pre_vote) {
      granted = request.term > hard_state_.term;
    } else if (request.term == hard_state_.term && role_ == Role::kFollower &&
               (hard_state_.voted_for == 0 || hard_state_.voted_for == from)) {
      granted = true;
      hard_state_.voted_for = from;
      persist_hard_state();
      reset_election_timer(now);
    }
  }
  auto& message = add_message(from, true);
  wire::VoteReply reply;
  reply.term = request.pre_vote && granted ? request.term : hard_state_.term;
  reply.granted = granted && !only_if_unanimous;
  reply.granted_if_unanimous = granted && only_if_unanimous;
  reply.pre_vote = request.pre_vote;
  message.__set_vote_reply(reply);
}

void RaftNode::handle_vote_reply(TimePoint now, int64_t from, const wire::VoteReply& reply) {
  const bool expected = reply.pre_vote ? role_ == Role::kPreCandidate : role_ == Role::kCandidate;
  if (!expected) {
    return;
  }
  if (reply.voter_gone) {
    gone_voters_.insert(from);
    tally_votes(now);
    return;
  }
  const int64_t requested_term = reply.pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (!reply.granted && !reply.granted_if_unanimous) {
    if (reply.term > hard_state_.term) {
      become_follower(now, reply.term, 0);
    }
    return;
  }
  if (reply.term == requested_term) {
    votes_[from] = reply.granted_if_unanimous;
    tally_votes(now);
  }
}

void RaftNode::become_leader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = id_.value();
  lease_released_ = false;
  rolled_back_replicas_.clear();
  ++stats_.elections_won;
  progress_.clear();
  update_progress_table();
  quorum_deadline_ = now + options_.election_timeout_max;
  append_own_entry(wire::EntryKind::NOOP, "");
  term_start_index_ = log_.last_index();
  next_heartbeat_at_ = now + options_.heartbeat_interval;
  replicate(now);
}

}  // namespace larchlever::consensus
