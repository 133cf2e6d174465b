#include "core/control/control_leader.h"

#include <algorithm>

namespace larchlever::control {

namespace {

constexpr size_t kMaxClaimsPerBatch = 512;
constexpr size_t kMaxClaimBatchesInFlight = 4;
constexpr size_t kMaxReplyTimesPerNode = 64;
constexpr size_t kMaxAuditRecordsPerReply = 500;
constexpr Duration kSupervisionInterval = milliseconds(50);
constexpr Duration kWatchUpdateInterval = milliseconds(200);

}  // namespace

ControlLeader::ControlLeader(const ControlOptions& options, std::string node)
    : options_(options), node_(std::move(node)), groups_(options), replicas_(options) {}

void ControlLeader::start(TimePoint now) {
  // Every earlier leader granted its leases while it held the leader lease of the log, which expired before this node
  // could be elected. So no such lease lasts longer than the longest lease period from now.
  old_leases_until_ = now + with_drift_margin(options_.longest_lease());
  nodes_.clear();
  presence_.clear();
  budgets_.clear();
  reply_sent_at_.clear();
  watch_assignment_.clear();
  watch_inputs_.clear();
  pending_changes_.clear();
  claim_batch_ = Proposal();
  in_flight_proposals_.clear();
  tenants_.clear();
  tenants_revision_ = Revision(-1);
  outputs_ = Outputs();
  groups_.start(now, old_leases_until_);
  replicas_.start(now);
  next_supervision_at_ = now;
  next_watch_update_at_ = now;
  // Watch versions must differ between terms; otherwise a node would mistake a previous leader's list for the current
  // one.
  watch_version_ = to_microseconds(now);
}

wire::Envelope& ControlLeader::add_envelope(const std::string& node) {
  auto& envelope = outputs_.envelopes.emplace_back();
  envelope.to_node = node;
  return envelope;
}

// --------------------------------------------------------------- heartbeats

wire::HeartbeatReply ControlLeader::on_heartbeat(TimePoint now, const wire::Envelope& envelope,
                                                 const consensus::RaftNode& raft, const ControlState& state) {
  const wire::Heartbeat& heartbeat = envelope.heartbeat;
  const std::string& node = envelope.from_node;
  wire::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.leader = node_;
  reply.term = raft.term();
  ++stats_.heartbeats;

  membership::SenderIncarnation sender_incarnation{};
  const auto* known_node = nodes_.find(node);
  const Incarnation previous_incarnation = known_node == nullptr ? Incarnation() : known_node->incarnation;
  auto* node_record = nodes_.record_heartbeat(now, node, Incarnation(envelope.from_incarnation), sender_incarnation);
  if (node_record == nullptr) {
    ++stats_.stale_heartbeats;
    return reply;
  }
  if (sender_incarnation == membership::SenderIncarnation::kNewIncarnation) {
    reply_sent_at_.erase(node);
    wire::Command command;
    wire::EntryLoss loss;
    loss.entry = node;
    loss.incarnation = previous_incarnation.value();
    command.__set_entry_loss(loss);
    propose(std::move(command));
  }
  node_record->zone = heartbeat.zone;
  node_record->leaving = heartbeat.leaving;
  node_record->replica_id = ReplicaId(heartbeat.replica_id);
  node_record->peer_address = heartbeat.peer_address;
  node_record->service_address = heartbeat.service_address;
  node_record->applied_revision = std::max(node_record->applied_revision, Revision(heartbeat.applied_revision));
  record_sightings(now, node, heartbeat);

  const TimePoint configuration_until = now + with_drift_margin(options_.configuration_lease);
  node_record->configuration_lease_until = std::max(node_record->configuration_lease_until, configuration_until);
  fill_records(heartbeat, state, reply);
  reply.lease_ms = static_cast<int32_t>(std::chrono::duration_cast<milliseconds>(options_.configuration_lease).count());
  reply.serve_lease_ms = static_cast<int32_t>(std::chrono::duration_cast<milliseconds>(options_.serve_lease).count());
  if (!heartbeat.leaving) {
    reply.leases = groups_.grant_leases(now, state, presence_);
  }
  fill_budgets(now, configuration_until, node, heartbeat, state, reply);
  reply.watch_version = watch_version_;
  if (heartbeat.watch_version != watch_version_) {
    for (const auto& machine : watch_assignment_[node]) {
      wire::WatchTarget target;
      target.machine = machine;
      const auto listed = listed_machines_.find(machine);
      const auto known_machine = state.machines().find(machine);
      target.endpoint = listed != listed_machines_.end()          ? listed->second.endpoint
                        : known_machine != state.machines().end() ? known_machine->second.endpoint
                                                                  : "";
      reply.watches.push_back(std::move(target));
    }
  }
  auto& sent_times = reply_sent_at_[node];
  sent_times[heartbeat.sequence] = now;
  while (sent_times.size() > kMaxReplyTimesPerNode) {
    sent_times.erase(sent_times.begin());
  }
  return reply;
}

void ControlLeader::record_sightings(TimePoint now, const std::string& node, const wire::Heartbeat& heartbeat) {
  // The node sent this heartbeat after it received the acknowledged reply, whose send time is known here. So a machine
  // "seen N ms ago" was seen no earlier than that time minus N, whatever the heartbeat's transit delay.
  const auto& sent_times = reply_sent_at_[node];
  const auto acknowledged_reply = sent_times.find(heartbeat.acknowledged_sequence);
  if (acknowledged_reply == sent_times.end() || acknowledged_reply->second > now) {
    return;
  }
  for (const auto& sighting : heartbeat.sightings) {
    presence_.record_sighting(sighting, acknowledged_reply->second - milliseconds(sighting.seen_ago_ms));
  }
}

void ControlLeader::fill_records(const wire::Heartbeat& heartbeat, const ControlState& state,
                                 wire::HeartbeatReply& reply) {
  reply.revision = state.records().revision().value();
  auto changes = heartbeat.applied_revision == 0 ? std::nullopt
                                                 : state.records().changes_since(Revision(heartbeat.applied_revision));
  reply.full = !changes.has_value();
  if (changes) {
    reply.records = std::move(*changes);
  } else {
    ++stats_.full_copies_sent;
    reply.records = state.records().live_records();
  }
}

void ControlLeader::fill_budgets(TimePoint now, TimePoint budgets_until, const std::string& node,
                                 const wire::Heartbeat& heartbeat, const ControlState& state,
                                 wire::HeartbeatReply& reply) {
  if (heartbeat.leaving) {
    budgets_.remove_node(node);
    return;
  }
  if (tenants_revision_ != state.records().revision()) {
    tenants_revision_ = state.records().revision();
    tenants_ = config::read_all<wire::Tenant>(state.records(), config::kTenantPrefix);
  }
  std::map<std::string_view, admission::BudgetAllocator::DemandReport> reports;
  for (const auto& demand : heartbeat.demand) {
    reports[demand.tenant] = {demand.running, demand.waiting, demand.held};
  }
  for (const auto& tenant : tenants_) {
    const auto& report = reports[tenant.name];
    wire::TenantBudget budget;
    budget.tenant = tenant.name;
    budget.concurrent =
        budgets_.grant(now, tenant.name, tenant.max_concurrent, node, report, budgets_until, now >= old_leases_until_);
    reply.budgets.push_back(std::move(budget));
  }
}

// ------------------------------------------------------------------- claims

void ControlLeader::on_claim_request(const std::string& node, const wire::ClaimRequest& request) {
  ++stats_.claims;
  claim_batch_.command.claims.claims.push_back(request.claim);
  claim_batch_.command.__isset.claims = true;
  claim_batch_.claim_requests.emplace_back(node, request.request_id);
}

void ControlLeader::on_resolution_request(const std::string& node, const wire::ResolutionRequest& request) {
  claim_batch_.command.resolutions.push_back(request.resolution);
  claim_batch_.command.__isset.resolutions = true;
  claim_batch_.resolution_requests.emplace_back(node, request.request_id);
}

// -------------------------------------------------------- operator requests

wire::OperatorReply& ControlLeader::add_operator_reply(const std::string& node, int64_t request_id) {
  auto& envelope = add_envelope(node);
  envelope.__isset.operator_reply = true;
  envelope.operator_reply.request_id = request_id;
  envelope.operator_reply.leader = node_;
  return envelope.operator_reply;
}

void ControlLeader::on_operator_request(TimePoint now, const std::string& node, const wire::OperatorRequest& request,
                                        const consensus::RaftNode& raft, const ControlState& state) {
  const bool is_change = request.action == wire::OperatorAction::APPLY || request.action == wire::OperatorAction::DRAIN;
  if (!is_change) {
    auto& reply = add_operator_reply(node, request.request_id);
    reply.answer.revision = state.records().revision().value();
    if (request.action == wire::OperatorAction::GET) {
      for (const auto* record : state.records().find_by_prefix(request.prefix)) {
        reply.records.push_back(*record);
      }
    } else if (request.action == wire::OperatorAction::AUDIT) {
      const auto& audit = state.audit();
      const size_t first_record = audit.size() > kMaxAuditRecordsPerReply ? audit.size() - kMaxAuditRecordsPerReply : 0;
      reply.audit.assign(audit.begin() + static_cast<std::ptrdiff_t>(first_record), audit.end());
    } else {
      reply.__set_status(make_status_report(now, raft, state));
    }
    return;
  }
  if (request.action == wire::OperatorAction::APPLY && request.dry_run) {
    add_operator_reply(node, request.request_id).answer = state.check_change(request.change);
    return;
  }
  const std::string& command_id =
      request.action == wire::OperatorAction::APPLY ? request.change.command_id : request.drain.command_id;
  if (const auto* earlier_answer = state.find_answer(command_id)) {
    add_pending_change(now, node, request.request_id, *earlier_answer);
    return;
  }
  Proposal proposal;
  if (request.action == wire::OperatorAction::APPLY) {
    proposal.command.__set_change(request.change);
  } else {
    proposal.command.__set_drain(request.drain);
  }
  proposal.operator_request = {node, request.request_id};
  outputs_.proposals.push_back(std::move(proposal));
}

void ControlLeader::add_pending_change(TimePoint now, const std::string& node, int64_t request_id,
                                       const wire::ChangeAnswer& answer) {
  if (answer.verdict != wire::Verdict::ACCEPTED) {
    add_operator_reply(node, request_id).answer = answer;
    return;
  }
  std::erase_if(pending_changes_, [&](const auto& item) { return item.node == node && item.request_id == request_id; });
  pending_changes_.push_back(PendingChange{node, request_id, answer, now + options_.in_force_timeout});
  answer_pending_changes(now);
}

void ControlLeader::answer_pending_changes(TimePoint now) {
  std::erase_if(pending_changes_, [&](const PendingChange& change) {
    // Until the predecessor's leases have expired, a lease holder may be unknown to this leader.
    const auto missing = nodes_.unconfirmed_lease_holders(now, Revision(change.answer.revision));
    const bool in_force = now >= old_leases_until_ && missing.empty();
    if (!in_force && now < change.deadline) {
      return false;
    }
    auto& reply = add_operator_reply(change.node, change.request_id);
    reply.answer = change.answer;
    reply.in_force = in_force;
    reply.missing_nodes = missing;
    return true;
  });
}

wire::StatusReport ControlLeader::make_status_report(TimePoint now, const consensus::RaftNode& raft,
                                                     const ControlState& state) const {
  wire::StatusReport report;
  report.leader = node_;
  report.term = raft.term();
  report.commit_index = raft.commit_index();
  report.replicas = raft.replicas();
  for (const auto& [name, node_record] : nodes_.all_nodes()) {
    wire::NodeStatus status;
    status.node = name;
    status.zone = node_record.zone;
    status.incarnation = node_record.incarnation.value();
    status.revision = node_record.applied_revision.value();
    status.live = now - node_record.last_heartbeat_at <= options_.node_timeout;
    status.leaving = node_record.leaving;
    status.replica_id = node_record.replica_id.value();
    status.service_address = node_record.service_address;
    report.nodes.push_back(std::move(status));
  }
  for (const auto& [id, machine] : state.machines()) {
    report.machines.push_back(machine);
  }
  for (const auto& [id, group] : state.groups()) {
    report.groups.push_back(group);
  }
  report.stranded_accelerators = groups_.last_plan().stranded_accelerators;
  return report;
}

// ------------------------------------------------------- machines and nodes

void ControlLeader::on_membership_list(const std::vector<wire::Machine>& machines) {
  std::set<std::string> leaving;
  for (const auto& machine : machines) {
    listed_machines_[machine.id] = machine;
    if (machine.leaving) {
      leaving.insert(machine.id);
    }
  }
  groups_.set_leaving_machines(std::move(leaving));
}

void ControlLeader::update_watches(TimePoint now, const ControlState& state) {
  std::vector<membership::WatcherCandidate> candidates;
  std::vector<std::string> inputs;
  for (const auto* node_record : nodes_.live_nodes(now, options_.node_timeout)) {
    candidates.push_back({node_record->node, node_record->zone});
    inputs.push_back(node_record->node + "@" + node_record->zone);
  }
  std::vector<std::string> machines;
  for (const auto& [id, listed] : listed_machines_) {
    machines.push_back(id);
  }
  for (const auto& [id, machine] : state.machines()) {
    if (!listed_machines_.contains(id)) {
      machines.push_back(id);
    }
  }
  inputs.insert(inputs.end(), machines.begin(), machines.end());
  if (inputs == watch_inputs_) {
    return;
  }
  watch_inputs_ = std::move(inputs);
  watch_assignment_ = membership::assign_watchers(candidates, machines, options_.watchers_per_machine);
  ++watch_version_;
}

void ControlLeader::propose_observations(const ControlState& state) {
  for (const auto& [id, sighting] : presence_.all_sightings()) {
    const auto known_machine = state.machines().find(id);
    const auto listed = listed_machines_.find(id);
    const bool is_new = known_machine == state.machines().end();
    const bool restarted = !is_new && known_machine->second.incarnation < sighting.incarnation;
    const bool newly_leaving =
        !is_new && listed != listed_machines_.end() && listed->second.leaving && !known_machine->second.leaving;
    if ((is_new && listed == listed_machines_.end()) || !(is_new || restarted || newly_leaving)) {
      continue;
    }
    wire::Command command;
    wire::MachineObservation observation;
    observation.machine = is_new ? listed->second : known_machine->second;
    observation.machine.leaving = observation.machine.leaving || newly_leaving;
    observation.machine.incarnation = sighting.incarnation;
    command.__set_machine_observation(observation);
    propose(std::move(command));
  }
}

void ControlLeader::propose_entry_losses(TimePoint now) {
  for (const auto& node_record : nodes_.remove_silent(now, options_.node_removal_timeout)) {
    wire::Command command;
    wire::EntryLoss loss;
    loss.entry = node_record.node;
    loss.incarnation = node_record.incarnation.value();
    command.__set_entry_loss(loss);
    propose(std::move(command));
    budgets_.remove_node(node_record.node);
    reply_sent_at_.erase(node_record.node);
  }
}

// ---------------------------------------------------------------- proposals

void ControlLeader::propose(wire::Command command) {
  Proposal proposal;
  proposal.command = std::move(command);
  outputs_.proposals.push_back(std::move(proposal));
}

void ControlLeader::on_proposal_appended(int64_t index, int64_t term, Proposal proposal) {
  proposal.term = term;
  in_flight_proposals_[index] = std::move(proposal);
}

void ControlLeader::on_entry_applied(TimePoint now, int64_t index, int64_t term, const ApplyResult& result) {
  const auto found = in_flight_proposals_.find(index);
  if (found == in_flight_proposals_.end()) {
    return;
  }
  const Proposal proposal = std::move(found->second);
  in_flight_proposals_.erase(found);
  if (proposal.term != term) {
    return;
  }
  for (size_t position = 0; position < proposal.claim_requests.size(); ++position) {
    const auto& [node, request_id] = proposal.claim_requests[position];
    const auto& decision = result.claim_decisions[position];
    auto& envelope = add_envelope(node);
    envelope.__isset.claim_reply = true;
    envelope.claim_reply.request_id = request_id;
    envelope.claim_reply.decided = true;
    envelope.claim_reply.granted = decision.granted;
    envelope.claim_reply.standing = decision.existing_claim;
    envelope.claim_reply.message = decision.key_expired ? "expired" : "";
  }
  for (const auto& [node, request_id] : proposal.resolution_requests) {
    auto& envelope = add_envelope(node);
    envelope.__isset.resolution_reply = true;
    envelope.resolution_reply.request_id = request_id;
  }
  if (proposal.operator_request && result.change_answer) {
    add_pending_change(now, proposal.operator_request->first, proposal.operator_request->second, *result.change_answer);
  }
}

void ControlLeader::tick(TimePoint now, const consensus::RaftNode& raft, const ControlState& state) {
  if (now >= next_watch_update_at_) {
    next_watch_update_at_ = now + kWatchUpdateInterval;
    update_watches(now, state);
  }
  answer_pending_changes(now);
  size_t claim_batches = 0;
  bool may_supervise = true;
  for (const auto& [index, proposal] : in_flight_proposals_) {
    const bool is_claim_batch = !proposal.claim_requests.empty() || !proposal.resolution_requests.empty();
    claim_batches += is_claim_batch ? 1 : 0;
    may_supervise = may_supervise && is_claim_batch;
  }
  const bool has_claims = !claim_batch_.claim_requests.empty() || !claim_batch_.resolution_requests.empty();
  if (has_claims &&
      (claim_batches < kMaxClaimBatchesInFlight || claim_batch_.claim_requests.size() >= kMaxClaimsPerBatch)) {
    ++stats_.claim_batches;
    outputs_.proposals.push_back(std::move(claim_batch_));
    claim_batch_ = Proposal();
  }
  // Supervision waits until its earlier proposals are applied, so that its decisions take them into account.
  if (!may_supervise || now < next_supervision_at_) {
    return;
  }
  next_supervision_at_ = now + kSupervisionInterval;
  propose_observations(state);
  propose_entry_losses(now);
  auto actions = groups_.tick(now, raft.term(), state, presence_);
  for (auto& command : actions.proposals) {
    propose(std::move(command));
  }
  outputs_.orders.insert(outputs_.orders.end(), actions.orders.begin(), actions.orders.end());
  outputs_.replicas = replicas_.next_replica_set(now, raft, nodes_);
}

ControlLeader::Outputs ControlLeader::take_outputs() {
  Outputs result = std::move(outputs_);
  outputs_ = Outputs();
  return result;
}

}  // namespace larchlever::control
