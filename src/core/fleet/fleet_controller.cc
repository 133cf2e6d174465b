#include "core/fleet/fleet_controller.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/base/http_status.h"
#include "core/fleet/registration.h"
#include "wire/codec.h"

namespace larchlever::fleet {

namespace {

constexpr Duration kCallRetry = milliseconds(250);
constexpr Duration kHandOverRetry = milliseconds(300);
/// How often entries are looked at that did not confirm what was pushed to them.
constexpr Duration kDistributionInterval = milliseconds(100);
/// A replica that has not heard the leader for longer than this may be cut off from it: instances are sent elsewhere
/// while their last heartbeat that got through is still young enough.
constexpr int64_t kRegistrationPatienceMs = 1000;

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
      seeds_(std::move(seeds)),
      random_seed_(random_seed),
      subscription_(options, identity, seeds_),
      leader_(options, identity),
      distributor_(options),
      registrations_(options.instance_silence) {}

void FleetController::start_replica(TimePoint now, ReplicaId replica_id, Incarnation boot,
                                    consensus::PersistedState persisted) {
  log_ = FleetLog();
  led_term_ = -1;
  last_snapshot_index_ = persisted.snapshot.index;
  if (!persisted.snapshot_state.empty()) {
    log_.restore(persisted.snapshot_state);
  }
  raft_.emplace(replica_id, boot, options_.raft, std::move(persisted), random_seed_, now);
}

// ---------------------------------------------------------------- formation

void FleetController::begin_forming(TimePoint now, const std::string& stored_choice) {
  formation_.emplace(now, identity_.peer_address, seeds_, stored_choice);
}

void FleetController::choice_stored() {
  if (formation_) {
    formation_->choice_stored();
  }
}

void FleetController::tick_formation(TimePoint now) {
  if (!formation_) {
    return;
  }
  if (holds_log() || formation_->is_over()) {
    formation_.reset();
    return;
  }
  for (auto& notice : formation_->tick(now)) {
    send(std::move(notice));
  }
  outputs_.founder_choice = formation_->choice_to_store();
  outputs_.founds_cluster = formation_->may_found();
}

void FleetController::handle_formation(TimePoint now, const wire::Envelope& envelope) {
  if (formation_) {
    formation_->receive(now, envelope.from_node, envelope.formation);
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
  return raft_ && raft_->is_ready_leader(now) && led_term_ == raft_->term();
}

void FleetController::tick(TimePoint now) {
  tick_formation(now);
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
  content.serving_entries = distributor_.serving_entries(now);
  content.entries_hold_version = distributor_.entries_hold_version(now);
  if (auto heartbeat = subscription_.tick(now, content)) {
    send(std::move(*heartbeat));
  }
  resend_calls(now);
  forward_registrations(now);
  if (is_leader(now)) {
    leader_.tick(now, *raft_, log_);
  }
  if (now >= next_distribution_) {
    next_distribution_ = now + kDistributionInterval;
    distribute_news(now, false);
  }
  process(now);
}

void FleetController::receive(TimePoint now, const wire::Envelope& envelope) {
  if (envelope.__isset.raft) {
    if (raft_) {
      replica_routes_.note(envelope.raft.from_replica, envelope.from_node);
      raft_->step(now, envelope.raft);
    }
  } else if (envelope.__isset.formation) {
    handle_formation(now, envelope);
  } else if (envelope.__isset.fleet_heartbeat) {
    handle_heartbeat(now, envelope);
  } else if (envelope.__isset.fleet_update) {
    if (subscription_.receive(now, envelope)) {
      distribute_news(now, envelope.fleet_update.wants_confirmation);
    }
  } else if (envelope.__isset.registrations) {
    handle_registrations(now, envelope);
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

std::string FleetController::known_leader() const {
  const std::string by_log = leader_node();
  return by_log.empty() ? subscription_.leader() : by_log;
}

DistributorSource FleetController::distributor_source() const {
  const bool has_replicas = raft_ && !raft_->replicas().voters.empty();
  return {subscription_, leader_node(), has_replicas ? control_peers_of(raft_->replicas()) : subscription_.peers()};
}

void FleetController::handle_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  if (envelope.fleet_heartbeat.serves_requests) {
    handle_entry(now, envelope);
    return;
  }
  subscription_.add_peers(std::vector<std::string>{envelope.from_node});
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

void FleetController::handle_entry(TimePoint now, const wire::Envelope& envelope) {
  const int64_t held_before = distributor_.entries_hold_version(now);
  distributor_.heartbeat(now, envelope, distributor_source());
  for (auto& answer : distributor_.take_envelopes()) {
    send(std::move(answer));
  }
  if (distributor_.entries_hold_version(now) > held_before) {
    subscription_.report_now();  // A call may wait for exactly this.
  }
}

void FleetController::distribute_news(TimePoint now, bool wants_confirmation) {
  distributor_.push_news(now, distributor_source(), wants_confirmation);
  for (auto& envelope : distributor_.take_envelopes()) {
    send(std::move(envelope));
  }
}

void FleetController::handle_registrations(TimePoint now, const wire::Envelope& envelope) {
  if (is_leader(now)) {
    leader_.registrations(now, envelope.registrations);
  }
  // Otherwise silent: the replica that sent them sends them again to whoever leads by then.
}

void FleetController::forward_registrations(TimePoint now) {
  const auto batch = registrations_.next_batch(now, leader_node(), raft_ ? raft_->term() : 0);
  if (batch) {
    wire::Envelope envelope;
    envelope.to_node = leader_node();
    envelope.__set_registrations(*batch);
    send(std::move(envelope));
  }
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
  if (!take_registration(now, call)) {
    calls_[id] = {std::move(call), now + options_.call_patience, now};
    resend_calls(now);
  }
  process(now);
  return id;
}

bool FleetController::take_registration(TimePoint now, const wire::ControlCall& call) {
  if (call.kind == wire::ControlCallKind::DEREGISTER) {
    registrations_.forget(call.instance_id);
  }
  if (call.kind != wire::ControlCallKind::HEARTBEAT) {
    return false;
  }
  auto parsed = parse_registration(call.instance_id, call.body);
  if (const auto* fault = std::get_if<MalformedReport>(&parsed)) {
    refuse(call, *fault);
    return true;
  }
  auto* report = std::get_if<wire::Instance>(&parsed);
  if (const auto fault = find_service_fault(*report)) {
    refuse(call, *fault);
    return true;
  }
  if (report->state == wire::InstanceState::DRAINING) {
    registrations_.forget(call.instance_id);
    return false;
  }
  registrations_.note(now, std::move(*report));
  if (hears_leader(now)) {
    reply(call.id, http_status::kOk, "{}");
  } else {
    reply(call.id, http_status::kServiceUnavailable, error_body("no leader within reach; report to another replica"));
  }
  return true;
}

std::optional<MalformedReport> FleetController::find_service_fault(const wire::Instance& report) const {
  auto fault = find_unknown_service(report, log_.parsed().get());
  if (!fault) {
    return std::nullopt;
  }
  // A server whose service was taken out of the configuration goes on reporting, and may say that it leaves.
  const auto& instances = subscription_.state().instances;
  const bool is_known = std::any_of(instances.begin(), instances.end(), [&report](const auto& instance) {
    return instance.id == report.id && instance.service_name == report.service_name;
  });
  return is_known ? std::nullopt : std::move(fault);
}

void FleetController::refuse(const wire::ControlCall& call, const MalformedReport& fault) {
  outputs_.malformed_reports.emplace_back(call.instance_id, fault);
  reply(call.id, http_status::kBadRequest, error_body(fault.message));
}

bool FleetController::hears_leader(TimePoint now) const {
  return subscription_.answer_age_ms(now) <= kRegistrationPatienceMs;
}

void FleetController::reply(int64_t id, int status, std::string body) {
  wire::ControlCallReply reply;
  reply.id = id;
  reply.status = status;
  reply.body = std::move(body);
  outputs_.replies.push_back(std::move(reply));
}

void FleetController::resend_calls(TimePoint now) {
  const std::string leader = known_leader();
  for (auto item = calls_.begin(); item != calls_.end();) {
    PendingCall& pending = item->second;
    if (now >= pending.deadline) {
      reply(item->first, http_status::kServiceUnavailable, {});
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
      leader_.applied(entry.index, entry.term);
    }
  }
  if (log_.applied_index() - last_snapshot_index_ >= options_.control.snapshot_interval_entries) {
    last_snapshot_index_ = log_.applied_index();
    raft_->compact(log_.applied_index(), log_.snapshot(), options_.control.snapshot_trailing_entries);
  }
}

void FleetController::carry_leader_outputs(TimePoint now) {
  auto outputs = leader_.take_outputs();
  if (!is_leader(now)) {
    return;  // Deposed in the meantime: nothing of this leaves.
  }
  for (const auto& proposal : outputs.proposals) {
    leader_.proposed(proposal.call_key, raft_->propose(now, wire::encode(proposal.command)), raft_->term());
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
