#include "core/fleet/fleet_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/base/http_status.h"
#include "core/fleet/registration.h"
#include "wire/codec.h"

namespace larchlever::fleet {

namespace {

constexpr Duration kCallRetryInterval = milliseconds(250);
constexpr Duration kLeadershipTransferRetryInterval = milliseconds(300);
/// How often entries with unconfirmed updates are checked.
constexpr Duration kEntryPushInterval = milliseconds(100);
/// How often the leader is told which entries relay requests.
constexpr Duration kRelayPeerInterval = seconds(1);
/// A replica without an answer from the leader for longer than this may be partitioned from it. It then rejects
/// heartbeats of instances, so that they report to another replica before the leader considers them silent.
constexpr int64_t kMaxLeaderSilenceMs = 1000;

/// Identifies a call at the leader: the forwarding replica, its incarnation and the call's id there.
std::string call_key(const wire::Envelope& envelope) {
  return envelope.from_node + "/" + std::to_string(envelope.from_incarnation) + "/" +
         std::to_string(envelope.control_call.id);
}

}  // namespace

FleetController::FleetController(const FleetOptions& options, const PeerIdentity& identity,
                                 std::vector<std::string> seeds, uint64_t random_seed)
    : options_(options),
      identity_(identity),
      seeds_(std::move(seeds)),
      random_seed_(random_seed),
      subscription_(options, identity, seeds_),
      leader_(options, identity),
      entry_distributor_(options),
      registration_relay_(options.instance_timeout) {}

void FleetController::start_replica(TimePoint now, ReplicaId replica_id, Incarnation boot,
                                    consensus::PersistedState persisted) {
  log_ = FleetLog();
  leadership_term_ = -1;
  last_snapshot_index_ = persisted.snapshot.index;
  if (!persisted.snapshot_state.empty()) {
    log_.restore(persisted.snapshot_state);
  }
  raft_.emplace(replica_id, boot, options_.raft, std::move(persisted), random_seed_, now);
}

// ---------------------------------------------------------------- formation

void FleetController::begin_cluster_formation(TimePoint now, const std::string& stored_choice) {
  formation_.emplace(now, identity_.peer_address, seeds_, stored_choice);
}

void FleetController::founder_choice_stored() {
  if (formation_) {
    formation_->founder_choice_stored();
  }
}

void FleetController::tick_formation(TimePoint now) {
  if (!formation_) {
    return;
  }
  if (holds_log() || formation_->log_exists()) {
    formation_.reset();
    return;
  }
  for (auto& notice : formation_->tick(now)) {
    send(std::move(notice));
  }
  outputs_.founder_choice = formation_->founder_choice_to_store();
  outputs_.create_log = formation_->may_create_log();
}

void FleetController::handle_formation_notice(TimePoint now, const wire::Envelope& envelope) {
  if (formation_) {
    formation_->receive_notice(now, envelope.from_node, envelope.formation);
  }
  if (holds_log() && !envelope.formation.holds_log) {
    wire::Envelope answer;
    answer.to_node = envelope.from_node;
    answer.__isset.formation = true;
    answer.formation.holds_log = true;
    send(std::move(answer));
  }
}

// ------------------------------------------------------------------- inputs

bool FleetController::is_leader(TimePoint now) const {
  return raft_ && raft_->is_ready_leader(now) && leadership_term_ == raft_->term();
}

void FleetController::tick(TimePoint now) {
  tick_formation(now);
  if (raft_) {
    raft_->tick(now);
    subscription_.set_leader_hint(leader_node());
    if (is_leaving_ && raft_->is_leader() && now >= next_leadership_transfer_) {
      next_leadership_transfer_ = now + kLeadershipTransferRetryInterval;
      raft_->transfer_leadership(now);
    }
  }
  wire::FleetHeartbeat content;
  content.replica_id = raft_ ? raft_->id().value() : 0;
  content.leaving = is_leaving_;
  content.serving_entries = entry_distributor_.serving_entries(now);
  content.entries_hold_version = entry_distributor_.entries_hold_version(now);
  if (now >= next_relay_peers_) {
    content.__set_relay_peers(entry_distributor_.relay_peers_to_share(now, identity_.peer_address));
  }
  if (auto heartbeat = subscription_.tick(now, content)) {
    if (content.__isset.relay_peers) {
      next_relay_peers_ = now + kRelayPeerInterval;
    }
    send(std::move(*heartbeat));
  }
  send_pending_calls(now);
  forward_registrations(now);
  if (is_leader(now)) {
    leader_.tick(now, *raft_, log_);
  }
  if (now >= next_entry_push_) {
    next_entry_push_ = now + kEntryPushInterval;
    push_updates_to_entries(now, false);
  }
  process_replica_outputs(now);
}

void FleetController::receive(TimePoint now, const wire::Envelope& envelope) {
  if (envelope.__isset.raft) {
    if (raft_) {
      replica_routes_.set_node(envelope.raft.from_replica, envelope.from_node);
      raft_->step(now, envelope.raft);
    }
  } else if (envelope.__isset.formation) {
    handle_formation_notice(now, envelope);
  } else if (envelope.__isset.fleet_heartbeat) {
    handle_heartbeat(now, envelope);
  } else if (envelope.__isset.fleet_update) {
    if (subscription_.receive(now, envelope)) {
      push_updates_to_entries(now, envelope.fleet_update.wants_confirmation);
    }
  } else if (envelope.__isset.registrations) {
    handle_registrations(now, envelope);
  } else if (envelope.__isset.slot_report) {
    // Only the leader answers; an entry that gets no answer chooses a server on its own.
    if (is_leader(now)) {
      leader_.handle_slot_report(now, envelope, log_);
    }
  } else if (envelope.__isset.control_call) {
    handle_call(now, envelope);
  } else if (envelope.__isset.control_call_reply) {
    handle_call_reply(now, envelope.control_call_reply);
  }
  process_replica_outputs(now);
}

void FleetController::handle_storage_synced(TimePoint now, consensus::RaftOutput batch) {
  if (raft_) {
    send_raft(std::move(batch.messages_after_sync));
    raft_->mark_synced(now, batch.ticket);
    process_replica_outputs(now);
  }
}

std::string FleetController::known_leader() const {
  const std::string leader_from_log = leader_node();
  return leader_from_log.empty() ? subscription_.leader() : leader_from_log;
}

DistributorSource FleetController::distributor_source() const {
  const bool has_replicas = raft_ && !raft_->replicas().voters.empty();
  return {subscription_, leader_node(), has_replicas ? control_peers_of(raft_->replicas()) : subscription_.peers()};
}

void FleetController::handle_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  if (envelope.fleet_heartbeat.serves_requests) {
    handle_entry_heartbeat(now, envelope);
    return;
  }
  subscription_.add_peers(std::vector<std::string>{envelope.from_node});
  if (is_leader(now)) {
    leader_.handle_heartbeat(now, envelope, *raft_, log_);
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

void FleetController::handle_entry_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  const int64_t previously_held_version = entry_distributor_.entries_hold_version(now);
  entry_distributor_.handle_heartbeat(now, envelope, distributor_source());
  for (auto& answer : entry_distributor_.take_envelopes()) {
    send(std::move(answer));
  }
  if (entry_distributor_.entries_hold_version(now) > previously_held_version) {
    subscription_.send_heartbeat_on_next_tick();  // A call may be waiting for this confirmation.
  }
}

void FleetController::push_updates_to_entries(TimePoint now, bool wants_confirmation) {
  entry_distributor_.push_updates(now, distributor_source(), wants_confirmation);
  for (auto& envelope : entry_distributor_.take_envelopes()) {
    send(std::move(envelope));
  }
}

void FleetController::handle_registrations(TimePoint now, const wire::Envelope& envelope) {
  if (is_leader(now)) {
    leader_.handle_registrations(now, envelope.registrations);
  }
  // Not the leader: no answer, since the sending replica resends all registrations to the next leader.
}

void FleetController::forward_registrations(TimePoint now) {
  const auto batch = registration_relay_.next_batch(now, leader_node(), raft_ ? raft_->term() : 0);
  if (batch) {
    wire::Envelope envelope;
    envelope.to_node = leader_node();
    envelope.__set_registrations(*batch);
    send(std::move(envelope));
  }
}

void FleetController::handle_call(TimePoint now, const wire::Envelope& envelope) {
  if (is_leader(now)) {
    leader_.handle_call(now, call_key(envelope), envelope.control_call, *raft_, log_);
  }
  // Not the leader: no answer, since the forwarding replica retries the call with the leader known then.
}

void FleetController::handle_call_reply(TimePoint now, const wire::ControlCallReply& reply) {
  const auto answered = pending_calls_.extract(reply.id);
  if (answered.empty()) {
    return;
  }
  const PendingCall& pending = answered.mapped();
  if (pending.zone_change == nullptr) {
    outputs_.replies.push_back(reply);
    return;
  }
  const auto next = pending.zone_change->continue_after(pending.call, reply);
  if (const auto* step = std::get_if<wire::ControlCall>(&next)) {
    forward_zone_change(now, *step, pending.deadline, pending.zone_change);
  } else {
    outputs_.replies.push_back(std::get<wire::ControlCallReply>(next));
  }
}

void FleetController::forward_zone_change(TimePoint now, wire::ControlCall step, TimePoint deadline,
                                          std::shared_ptr<ZoneChange> zone_change) {
  step.id = next_call_id_++;  // A late reply to an earlier step is not taken for the reply to this one.
  pending_calls_[step.id] = {step, deadline, now, std::move(zone_change)};
  send_pending_calls(now);
}

int64_t FleetController::submit_call(TimePoint now, wire::ControlCall call, IsCallerWaiting is_caller_waiting) {
  call.id = next_call_id_++;
  const int64_t id = call.id;
  const TimePoint deadline = now + options_.call_timeout;
  if (is_zone_change(call)) {
    const auto zone_change = std::make_shared<ZoneChange>(std::move(call), std::move(is_caller_waiting));
    forward_zone_change(now, zone_change->make_query(), deadline, zone_change);
  } else if (!try_accept_registration(now, call)) {
    pending_calls_[id] = {std::move(call), deadline, now, nullptr};
    send_pending_calls(now);
  }
  process_replica_outputs(now);
  return id;
}

bool FleetController::try_accept_registration(TimePoint now, const wire::ControlCall& call) {
  if (call.kind == wire::ControlCallKind::DEREGISTER) {
    registration_relay_.remove(call.instance_id);
  }
  if (call.kind != wire::ControlCallKind::HEARTBEAT) {
    return false;
  }
  auto parsed = parse_registration(call.instance_id, call.body);
  if (const auto* error = std::get_if<MalformedReport>(&parsed)) {
    reject_report(call, *error);
    return true;
  }
  auto* report = std::get_if<wire::Instance>(&parsed);
  if (const auto error = find_service_error(*report)) {
    reject_report(call, *error);
    return true;
  }
  if (report->state == wire::InstanceState::DRAINING) {
    registration_relay_.remove(call.instance_id);
    return false;
  }
  registration_relay_.record_heartbeat(now, std::move(*report));
  if (has_recent_leader_contact(now)) {
    reply(call.id, http_status::kOk, "{}");
  } else {
    reply(call.id, http_status::kServiceUnavailable, error_body("no leader is reachable; report to another replica"));
  }
  return true;
}

std::optional<MalformedReport> FleetController::find_service_error(const wire::Instance& report) const {
  auto error = find_unknown_service(report, log_.parsed_document().get());
  if (!error) {
    return std::nullopt;
  }
  // A registered instance whose service was removed from the configuration may keep reporting, so that it can drain.
  const auto& instances = subscription_.state().instances;
  const bool is_already_registered = std::any_of(instances.begin(), instances.end(), [&report](const auto& instance) {
    return instance.id == report.id && instance.service_name == report.service_name;
  });
  return is_already_registered ? std::nullopt : std::move(error);
}

void FleetController::reject_report(const wire::ControlCall& call, const MalformedReport& error) {
  outputs_.malformed_reports.emplace_back(call.instance_id, error);
  reply(call.id, http_status::kBadRequest, error_body(error.message));
}

bool FleetController::has_recent_leader_contact(TimePoint now) const {
  return subscription_.last_answer_age_ms(now) <= kMaxLeaderSilenceMs;
}

void FleetController::reply(int64_t id, int status, std::string body) {
  wire::ControlCallReply reply;
  reply.id = id;
  reply.status = status;
  reply.body = std::move(body);
  outputs_.replies.push_back(std::move(reply));
}

void FleetController::send_pending_calls(TimePoint now) {
  const std::string leader = known_leader();
  for (auto item = pending_calls_.begin(); item != pending_calls_.end();) {
    PendingCall& pending = item->second;
    if (now >= pending.deadline) {
      reply(pending.zone_change ? pending.zone_change->id() : item->first, http_status::kServiceUnavailable, {});
      item = pending_calls_.erase(item);
      continue;
    }
    if (now >= pending.next_send && !leader.empty()) {
      pending.next_send = now + kCallRetryInterval;
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
    loopback_messages_.push_back(std::move(envelope));
  } else if (!envelope.to_node.empty()) {
    outputs_.envelopes.push_back(std::move(envelope));
  }
}

void FleetController::send_raft(std::vector<wire::RaftMessage> messages) {
  for (auto& envelope : replica_routes_.make_envelopes(std::move(messages))) {
    send(std::move(envelope));
  }
}

void FleetController::record_replica_addresses() {
  replica_routes_.set_nodes(raft_->replicas());
  subscription_.add_peers(control_peers_of(raft_->replicas()));
}

void FleetController::apply_committed() {
  if (auto snapshot = raft_->take_installed_snapshot()) {
    log_.restore(snapshot->state);
    last_snapshot_index_ = snapshot->header.index;
  }
  for (const auto& entry : raft_->take_committed()) {
    if (entry.kind == wire::EntryKind::COMMAND) {
      log_.apply(entry.index, entry.payload);
      leader_.command_applied(entry.index, entry.term);
    }
  }
  if (log_.applied_index() - last_snapshot_index_ >= options_.control.snapshot_interval_entries) {
    last_snapshot_index_ = log_.applied_index();
    raft_->compact(log_.applied_index(), log_.snapshot(), options_.control.snapshot_trailing_entries);
  }
}

void FleetController::forward_leader_outputs(TimePoint now) {
  auto outputs = leader_.take_outputs();
  if (!is_leader(now)) {
    return;  // The leadership ended in the meantime; its outputs must not be sent.
  }
  for (const auto& proposal : outputs.proposals) {
    leader_.command_proposed(proposal.call_key, raft_->propose(now, wire::encode(proposal.command)), raft_->term());
  }
  if (outputs.proposed_replicas) {
    raft_->propose_replicas(now, *outputs.proposed_replicas);
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
  outputs_.zone_calls.insert(outputs_.zone_calls.end(), outputs.zone_calls.begin(), outputs.zone_calls.end());
  outputs_.orders.insert(outputs_.orders.end(), outputs.orders.begin(), outputs.orders.end());
  outputs_.decisions.insert(outputs_.decisions.end(), outputs.decisions.begin(), outputs.decisions.end());
  outputs_.suspicion_events.insert(outputs_.suspicion_events.end(), outputs.suspicion_events.begin(),
                                   outputs.suspicion_events.end());
  outputs_.member_probes.insert(outputs_.member_probes.end(), outputs.member_probes.begin(),
                                outputs.member_probes.end());
  outputs_.plain_speed_changes.insert(outputs_.plain_speed_changes.end(), outputs.plain_speed_changes.begin(),
                                      outputs.plain_speed_changes.end());
}

void FleetController::process_replica_outputs(TimePoint now) {
  if (raft_) {
    if (raft_->is_leader() && raft_->is_ready_leader(now) && leadership_term_ != raft_->term()) {
      leadership_term_ = raft_->term();
      leader_.begin_leadership(now, leadership_term_, subscription_.state());
    }
    apply_committed();
    forward_leader_outputs(now);
    record_replica_addresses();
    auto output = raft_->take_output();
    send_raft(std::exchange(output.messages, {}));
    if (!output.empty()) {
      outputs_.storage_batches.push_back(std::move(output));
    }
  }
  const auto loopback_messages = std::exchange(loopback_messages_, {});
  for (const auto& envelope : loopback_messages) {
    receive(now, envelope);
  }
}

FleetControllerOutputs FleetController::take_outputs() { return std::exchange(outputs_, {}); }

}  // namespace larchlever::fleet
