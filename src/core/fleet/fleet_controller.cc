#include "core/fleet/fleet_controller.h"

#include <utility>

#include "core/base/http_status.h"
#include "wire/codec.h"

namespace larchlever::fleet {

namespace {

constexpr Duration kCallRetry = milliseconds(250);
constexpr Duration kHandOverRetry = milliseconds(300);

/// Identifies a call at the leader: the replica that forwards it, in one of its lives, and its number there.
std::string call_key(const wire::Envelope& envelope) {
  return envelope.from_node + "/" + std::to_string(envelope.from_incarnation) + "/" +
         std::to_string(envelope.control_call.id);
}

}  // namespace

FleetController::FleetController(const FleetOptions& options, const FleetIdentity& identity,
                                 std::vector<std::string> seeds, uint64_t random_seed)
    : options_(options),
      identity_(identity),
      random_seed_(random_seed),
      subscription_(options, identity, std::move(seeds)),
      leader_(options, identity) {}

void FleetController::start_replica(TimePoint now, ReplicaId replica_id, Incarnation boot,
                                    consensus::PersistedState persisted) {
  log_ = DocumentLog();
  led_term_ = -1;
  last_snapshot_index_ = persisted.snapshot.index;
  if (!persisted.snapshot_state.empty()) {
    log_.restore(persisted.snapshot_state);
  }
  raft_.emplace(replica_id, boot, options_.raft, std::move(persisted), random_seed_, now);
}

bool FleetController::is_leader(TimePoint now) const {
  return raft_ && raft_->is_ready_leader(now) && led_term_ == raft_->term();
}

// ------------------------------------------------------------------- inputs

void FleetController::tick(TimePoint now) {
  if (raft_) {
    raft_->tick(now);
    subscription_.hint_leader(leader_node());
    if (leaving_ && raft_->is_leader() && now >= next_hand_over_) {
      next_hand_over_ = now + kHandOverRetry;
      raft_->hand_over(now);
    }
  }
  wire::FleetHeartbeat content;
  content.replica_id = raft_ ? raft_->id().value() : 0;
  content.leaving = leaving_;
  if (auto heartbeat = subscription_.tick(now, content)) {
    send(std::move(*heartbeat));
  }
  resend_calls(now);
  if (is_leader(now)) {
    leader_.tick(now, *raft_, log_);
  }
  process(now);
}

void FleetController::receive(TimePoint now, const wire::Envelope& envelope) {
  if (envelope.__isset.raft) {
    if (raft_) {
      replica_routes_.note(envelope.raft.from_replica, envelope.from_node);
      raft_->step(now, envelope.raft);
    }
  } else if (envelope.__isset.fleet_heartbeat) {
    handle_heartbeat(now, envelope);
  } else if (envelope.__isset.fleet_update) {
    subscription_.receive(now, envelope);
  } else if (envelope.__isset.slot_report) {
    // A replica that does not lead stays silent: the entry decides for itself when no answer comes.
    if (is_leader(now)) {
      leader_.slot_report(now, envelope, log_);
    }
  } else if (envelope.__isset.control_call) {
    handle_call(now, envelope);
  } else if (envelope.__isset.control_call_reply) {
    handle_reply(envelope.control_call_reply);
  }
  process(now);
}

void FleetController::written(TimePoint now, consensus::RaftOutput batch) {
  if (raft_) {
    send_raft(std::move(batch.messages_after_sync));
    raft_->synced(now, batch.ticket);
    process(now);
  }
}

void FleetController::handle_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  subscription_.add_peers({envelope.fleet_heartbeat.replica_id != 0 ? envelope.from_node : ""});
  if (is_leader(now)) {
    leader_.heartbeat(now, envelope, *raft_, log_);
    return;
  }
  wire::Envelope answer;
  answer.to_node = envelope.from_node;
  answer.__isset.fleet_update = true;
  answer.fleet_update.not_leader = true;
  answer.fleet_update.leader = leader_node();
  answer.fleet_update.control_peers = subscription_.peers();
  send(std::move(answer));
}

void FleetController::handle_call(TimePoint now, const wire::Envelope& envelope) {
  if (is_leader(now)) {
    leader_.call(now, call_key(envelope), envelope.control_call, *raft_, log_);
  }
  // Otherwise silent: the replica that forwarded the call sends it again to whoever leads by then.
}

void FleetController::handle_reply(const wire::ControlCallReply& reply) {
  if (calls_.erase(reply.id) > 0) {
    outputs_.replies.push_back(reply);
  }
}

int64_t FleetController::submit(TimePoint now, wire::ControlCall call) {
  call.id = next_call_id_++;
  const int64_t id = call.id;
  calls_[id] = {std::move(call), now + options_.call_patience, now};
  resend_calls(now);
  process(now);
  return id;
}

void FleetController::resend_calls(TimePoint now) {
  const std::string known_leader = leader_node();
  const std::string& leader = known_leader.empty() ? subscription_.leader() : known_leader;
  for (auto item = calls_.begin(); item != calls_.end();) {
    PendingCall& pending = item->second;
    if (now >= pending.deadline) {
      wire::ControlCallReply reply;
      reply.id = item->first;
      reply.status = http_status::kServiceUnavailable;
      outputs_.replies.push_back(std::move(reply));
      item = calls_.erase(item);
      continue;
    }
    if (now >= pending.next_send && !leader.empty()) {
      pending.next_send = now + kCallRetry;
      wire::Envelope envelope;
      envelope.to_node = leader;
      envelope.__set_control_call(pending.call);
      send(std::move(envelope));
    }
    ++item;
  }
}

// ------------------------------------------------------------------ outputs

void FleetController::send(wire::Envelope envelope) {
  envelope.from_node = identity_.peer_address;
  envelope.from_incarnation = identity_.incarnation.value();
  if (envelope.to_node == identity_.peer_address) {
    loopback_.push_back(std::move(envelope));
  } else if (!envelope.to_node.empty()) {
    outputs_.envelopes.push_back(std::move(envelope));
  }
}

void FleetController::send_raft(std::vector<wire::RaftMessage> messages) {
  for (auto& envelope : replica_routes_.address(std::move(messages))) {
    send(std::move(envelope));
  }
}

void FleetController::note_replicas() {
  replica_routes_.note_all(raft_->replicas());
  std::vector<std::string> nodes;
  for (const auto* list : {&raft_->replicas().voters, &raft_->replicas().learners}) {
    for (const auto& replica : *list) {
      nodes.push_back(replica.node);
    }
  }
  subscription_.add_peers(nodes);
}

void FleetController::apply_committed() {
  if (auto snapshot = raft_->take_installed_snapshot()) {
    log_.restore(snapshot->state);
    last_snapshot_index_ = snapshot->header.index;
  }
  for (const auto& entry : raft_->take_committed()) {
    if (entry.kind == wire::EntryKind::COMMAND) {
      log_.apply(entry.index, entry.payload);
      leader_.applied(entry.index, entry.term);
    }
  }
  if (log_.applied_index() - last_snapshot_index_ >= options_.control.snapshot_interval) {
    last_snapshot_index_ = log_.applied_index();
    raft_->compact(log_.applied_index(), log_.snapshot(), options_.control.snapshot_trailing);
  }
}

void FleetController::carry_leader_outputs(TimePoint now) {
  auto outputs = leader_.take_outputs();
  if (!is_leader(now)) {
    return;  // Deposed in the meantime: nothing of this leaves.
  }
  for (auto& [change, key] : outputs.proposals) {
    wire::Command command;
    command.__set_document(change);
    leader_.proposed(key, raft_->propose(now, wire::encode(command)), raft_->term());
  }
  if (outputs.replicas) {
    raft_->propose_replicas(now, *outputs.replicas);
  }
  for (auto& envelope : outputs.envelopes) {
    send(std::move(envelope));
  }
  for (auto& [key, reply] : outputs.replies) {
    wire::Envelope envelope;
    envelope.to_node = key.substr(0, key.find('/'));
    envelope.__set_control_call_reply(reply);
    send(std::move(envelope));
  }
  outputs_.orders.insert(outputs_.orders.end(), outputs.orders.begin(), outputs.orders.end());
  outputs_.decisions.insert(outputs_.decisions.end(), outputs.decisions.begin(), outputs.decisions.end());
}

void FleetController::process(TimePoint now) {
  if (raft_) {
    if (raft_->is_leader() && raft_->is_ready_leader(now) && led_term_ != raft_->term()) {
      led_term_ = raft_->term();
      leader_.start(now, led_term_, subscription_.state());
    }
    apply_committed();
    carry_leader_outputs(now);
    note_replicas();
    auto output = raft_->take_output();
    send_raft(std::exchange(output.messages, {}));
    if (!output.empty()) {
      outputs_.storage.push_back(std::move(output));
    }
  }
  const auto local = std::exchange(loopback_, {});
  for (const auto& envelope : local) {
    receive(now, envelope);
  }
}

FleetControllerOutputs FleetController::take_outputs() { return std::exchange(outputs_, {}); }

}  // namespace larchlever::fleet
