#include "core/node/node_controller.h"

#include <algorithm>

#include "wire/codec.h"

namespace larchlever::node {

namespace {

constexpr Duration kHandOverRetryInterval = milliseconds(500);
constexpr Duration kMaxLeavingTime = seconds(5);

}  // namespace

NodeController::NodeController(const NodeControllerOptions& options, NodeIdentity identity, TimePoint)
    : options_(options),
      node_(identity.node),
      incarnation_(identity.incarnation),
      // Request ids start at the incarnation, so that a late reply to the previous process cannot match a new request.
      next_request_id_(identity.incarnation.value()),
      entry_(options.control, std::move(identity), options.control_nodes, options.routing_policy, options.queue_limit,
             options.seed),
      leader_(options.control, node_) {}

void NodeController::start_replica(TimePoint now, ReplicaId replica_id, consensus::PersistedState persisted) {
  state_ = control::ControlState();
  leader_started_term_ = -1;
  last_snapshot_index_ = persisted.snapshot.index;
  raft_.emplace(replica_id, incarnation_, options_.raft, std::move(persisted), options_.seed, now);
}

void NodeController::replica_failed() { raft_.reset(); }

// ------------------------------------------------------------------- inputs

void NodeController::tick(TimePoint now, int64_t wall_clock_ms) {
  wall_clock_ms_ = wall_clock_ms;
  if (raft_) {
    raft_->tick(now);
    entry_.set_leader_hint(leader_node());
  }
  if (leaving_ && raft_ && raft_->is_leader() && now >= next_hand_over_at_) {
    next_hand_over_at_ = now + kHandOverRetryInterval;
    raft_->transfer_leadership(now);
  }
  if (auto heartbeat = entry_.tick(now, raft_ ? raft_->id() : ReplicaId())) {
    send(now, std::move(*heartbeat));
  }
  resend_pending(now);
  if (acts_as_leader(now) && leader_started_term_ == raft_->term()) {
    leader_.tick(now, *raft_, state_);
  }
  process_pending_work(now);
}

void NodeController::receive(TimePoint now, wire::Envelope envelope) {
  if (envelope.__isset.raft) {
    if (raft_) {
      replica_routes_.set_node(envelope.raft.from_replica, envelope.from_node);
      raft_->step(now, envelope.raft);
    }
  } else if (envelope.__isset.heartbeat) {
    handle_heartbeat(now, envelope);
  } else if (envelope.__isset.heartbeat_reply) {
    entry_.on_heartbeat_reply(now, envelope);
  } else if (envelope.__isset.claim_request) {
    if (acts_as_leader(now)) {
      leader_.on_claim_request(envelope.from_node, envelope.claim_request);
    }
  } else if (envelope.__isset.resolution) {
    if (acts_as_leader(now)) {
      leader_.on_resolution_request(envelope.from_node, envelope.resolution);
    }
  } else if (envelope.__isset.operator_request) {
    handle_operator_request(now, envelope);
  } else {
    handle_reply(envelope);
  }
  process_pending_work(now);
}

void NodeController::on_storage_written(TimePoint now, consensus::RaftOutput batch) {
  if (raft_) {
    send_raft(now, std::move(batch.messages_after_sync));
    raft_->mark_synced(now, batch.ticket);
    process_pending_work(now);
  }
}

void NodeController::send_raft(TimePoint now, std::vector<wire::RaftMessage> messages) {
  for (auto& envelope : replica_routes_.make_envelopes(std::move(messages))) {
    send(now, std::move(envelope));
  }
}

void NodeController::handle_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  wire::Envelope answer;
  answer.to_node = envelope.from_node;
  answer.__isset.heartbeat_reply = true;
  if (acts_as_leader(now) && leader_started_term_ == raft_->term()) {
    answer.heartbeat_reply = leader_.on_heartbeat(now, envelope, *raft_, state_);
  } else {
    answer.heartbeat_reply.not_leader = true;
    answer.heartbeat_reply.sequence = envelope.heartbeat.sequence;
    answer.heartbeat_reply.leader = leader_node();
  }
  send(now, std::move(answer));
}

void NodeController::handle_operator_request(TimePoint now, const wire::Envelope& envelope) {
  if (acts_as_leader(now) && leader_started_term_ == raft_->term()) {
    leader_.on_operator_request(now, envelope.from_node, envelope.operator_request, *raft_, state_);
  }
  // A node that is not the ready leader does not reply; the requesting node retries with the current leader.
}

void NodeController::handle_reply(const wire::Envelope& envelope) {
  if (envelope.__isset.claim_reply) {
    const auto found = pending_claims_.find(envelope.claim_reply.request_id);
    if (found == pending_claims_.end() || !envelope.claim_reply.decided) {
      return;
    }
    ClaimOutcome outcome;
    outcome.request_id = found->first;
    outcome.decided = true;
    outcome.granted = envelope.claim_reply.granted;
    outcome.existing_claim = envelope.claim_reply.standing;
    outcome.key_expired = !envelope.claim_reply.message.empty();
    outputs_.claim_outcomes.push_back(std::move(outcome));
    pending_claims_.erase(found);
  } else if (envelope.__isset.resolution_reply) {
    pending_resolutions_.erase(envelope.resolution_reply.request_id);
  } else if (envelope.__isset.operator_reply) {
    if (pending_operator_requests_.erase(envelope.operator_reply.request_id) > 0) {
      outputs_.operator_replies.push_back(envelope.operator_reply);
    }
  }
}

// ----------------------------------------------------- requests to the leader

int64_t NodeController::submit_operator_request(TimePoint now, wire::OperatorRequest request, TimePoint deadline) {
  const int64_t id = next_request_id_++;
  request.request_id = id;
  pending_operator_requests_[id] = {std::move(request), deadline, TimePoint::min()};
  resend_pending(now);
  process_pending_work(now);
  return id;
}

int64_t NodeController::submit_claim(TimePoint now, wire::Claim claim, TimePoint deadline) {
  const int64_t id = next_request_id_++;
  claim.entry = node_;
  claim.entry_incarnation = incarnation_.value();
  claim.nonce = id;
  wire::ClaimRequest request;
  request.request_id = id;
  request.claim = std::move(claim);
  pending_claims_[id] = {std::move(request), deadline, TimePoint::min()};
  resend_pending(now);
  process_pending_work(now);
  return id;
}

void NodeController::resolve_claim(TimePoint now, wire::ClaimResolution resolution) {
  const int64_t id = next_request_id_++;
  resolution.entry = node_;
  resolution.entry_incarnation = incarnation_.value();
  wire::ResolutionRequest request;
  request.request_id = id;
  request.resolution = std::move(resolution);
  pending_resolutions_[id] = {std::move(request), TimePoint::max(), TimePoint::min()};
  resend_pending(now);
  process_pending_work(now);
}

wire::Envelope NodeController::envelope_to_leader() const {
  wire::Envelope envelope;
  envelope.to_node = entry_.leader();
  return envelope;
}

void NodeController::resend_pending(TimePoint now) {
  const auto is_due = [&](const auto& pending) {
    return pending.sent_at == TimePoint::min() || now - pending.sent_at >= options_.request_retry_interval;
  };
  for (auto item = pending_operator_requests_.begin(); item != pending_operator_requests_.end();) {
    auto& pending = item->second;
    if (now >= pending.deadline) {
      wire::OperatorReply reply;
      reply.request_id = item->first;
      outputs_.operator_replies.push_back(std::move(reply));
      item = pending_operator_requests_.erase(item);
      continue;
    }
    if (is_due(pending)) {
      pending.sent_at = now;
      auto envelope = envelope_to_leader();
      envelope.__set_operator_request(pending.request);
      send(now, std::move(envelope));
    }
    ++item;
  }
  for (auto item = pending_claims_.begin(); item != pending_claims_.end();) {
    auto& pending = item->second;
    if (now >= pending.deadline) {
      ClaimOutcome outcome;
      outcome.request_id = item->first;
      outputs_.claim_outcomes.push_back(std::move(outcome));
      item = pending_claims_.erase(item);
      continue;
    }
    if (is_due(pending)) {
      pending.sent_at = now;
      auto envelope = envelope_to_leader();
      envelope.__set_claim_request(pending.request);
      send(now, std::move(envelope));
    }
    ++item;
  }
  for (auto& [id, pending] : pending_resolutions_) {
    if (is_due(pending)) {
      pending.sent_at = now;
      auto envelope = envelope_to_leader();
      envelope.__set_resolution(pending.request);
      send(now, std::move(envelope));
    }
  }
}

// ------------------------------------------------------------------ outputs

void NodeController::send(TimePoint, wire::Envelope envelope) {
  envelope.from_node = node_;
  envelope.from_incarnation = incarnation_.value();
  if (envelope.to_node == node_) {
    envelopes_to_self_.push_back(std::move(envelope));
  } else if (!envelope.to_node.empty()) {
    outputs_.envelopes.push_back(std::move(envelope));
  }
}

void NodeController::apply_committed(TimePoint now) {
  if (auto snapshot = raft_->take_installed_snapshot()) {
    state_.restore(snapshot->state);
    last_snapshot_index_ = snapshot->header.index;
  }
  for (const auto& entry : raft_->take_committed()) {
    if (entry.kind != wire::EntryKind::COMMAND) {
      continue;
    }
    const auto command = wire::decode<wire::Command>(entry.payload);
    if (command) {
      const auto result = state_.apply(entry.index, *command);
      state_.extend_history_digest(entry.index, entry.payload);
      leader_.on_entry_applied(now, entry.index, entry.term, result);
    }
  }
  if (state_.applied_index() - last_snapshot_index_ >= options_.control.snapshot_interval_entries) {
    last_snapshot_index_ = state_.applied_index();
    raft_->compact(state_.applied_index(), state_.snapshot(), options_.control.snapshot_trailing_entries);
  }
}

void NodeController::carry_out_leader_outputs(TimePoint now) {
  auto leader_outputs = leader_.take_outputs();
  if (!acts_as_leader(now)) {
    return;  // Leadership was lost in the meantime, so the outputs are dropped.
  }
  for (auto& proposal : leader_outputs.proposals) {
    proposal.command.at_ms = std::max(wall_clock_ms_, state_.clock_ms());
    if (const auto index = raft_->propose(now, wire::encode(proposal.command))) {
      leader_.on_proposal_appended(*index, raft_->term(), std::move(proposal));
    }
  }
  if (leader_outputs.replicas) {
    raft_->propose_replicas(now, *leader_outputs.replicas);
  }
  for (auto& envelope : leader_outputs.envelopes) {
    send(now, std::move(envelope));
  }
  outputs_.orders.insert(outputs_.orders.end(), leader_outputs.orders.begin(), leader_outputs.orders.end());
}

void NodeController::process_pending_work(TimePoint now) {
  if (raft_) {
    if (raft_->is_leader() && leader_started_term_ != raft_->term()) {
      leader_started_term_ = raft_->term();
      leader_.start(now);
    }
    apply_committed(now);
    carry_out_leader_outputs(now);
    replica_routes_.set_nodes(raft_->replicas());
    auto output = raft_->take_output();
    send_raft(now, std::exchange(output.messages, {}));
    if (!output.empty()) {
      outputs_.storage.push_back(std::move(output));
    }
  }
  std::vector<wire::Envelope> to_self = std::move(envelopes_to_self_);
  envelopes_to_self_.clear();
  for (auto& envelope : to_self) {
    receive(now, std::move(envelope));
  }
}

void NodeController::begin_leaving(TimePoint now) {
  leaving_ = true;
  entry_.set_leaving();
  next_hand_over_at_ = now;
  leaving_since_ = now;
}

bool NodeController::may_stop(TimePoint now) const {
  const bool nothing_pending = pending_resolutions_.empty() && !(raft_ && raft_->is_leader());
  return nothing_pending || now >= leaving_since_ + kMaxLeavingTime;
}

NodeOutputs NodeController::take_outputs() {
  NodeOutputs result = std::move(outputs_);
  outputs_ = NodeOutputs();
  return result;
}

}  // namespace larchlever::node
