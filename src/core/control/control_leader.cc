#include "core/control/control_leader.h"

#include <algorithm>

namespace larchlever::control {

namespace {

constexpr size_t kLargestClaimBatch = 512;
constexpr size_t kClaimBatchesInFlight = 4;
constexpr size_t kRememberedReplies = 64;
constexpr size_t kAuditPage = 500;
constexpr Duration kSupervisionInterval = milliseconds(50);
constexpr Duration kWatchInterval = milliseconds(200);

}  // namespace

ControlLeader::ControlLeader(const ControlOptions& options, std::string node)
    : options_(options), node_(std::move(node)), groups_(options), replicas_(options) {}

void ControlLeader::start(TimePoint now) {
  // Every lease of an earlier leader was granted while that leader held the log's lease, which ended before we could
  // be elected; so none outlives this moment by more than the longest lease.
  quiet_until_ = now + with_drift_margin(options_.longest_lease());
  nodes_.clear();
  presence_.clear();
  budgets_.clear();
  reply_times_.clear();
  watches_.clear();
  watch_basis_.clear();
  pending_changes_.clear();
  claim_batch_ = Proposal();
  in_flight_.clear();
  tenants_.clear();
  tenants_revision_ = Revision(-1);
  outputs_ = Outputs();
  groups_.start(now, quiet_until_);
  replicas_.start(now);
  next_supervision_ = now;
  next_watch_update_ = now;
  // Watch versions must differ between leaderships, else a node would take an old list for the present one.
  watch_version_ = to_microseconds(now);
}

wire::Envelope& ControlLeader::envelope_to(const std::string& node) {
  auto& envelope = outputs_.envelopes.emplace_back();
  envelope.to_node = node;
  return envelope;
}

// --------------------------------------------------------------- heartbeats

wire::HeartbeatReply ControlLeader::heartbeat(TimePoint now, const wire::Envelope& envelope,
                                              const consensus::RaftNode& raft, const ControlState& state) {
  const wire::Heartbeat& heartbeat = envelope.heartbeat;
  const std::string& node = envelope.from_node;
  wire::HeartbeatReply reply;
  reply.sequence = heartbeat.sequence;
  reply.leader = node_;
  reply.term = raft.term();
  ++stats_.heartbeats;

  membership::Arrival arrival{};
  const auto* before = nodes_.find(node);
  const Incarnation previous = before == nullptr ? Incarnation() : before->incarnation;
  auto* row = nodes_.heard(now, node, Incarnation(envelope.from_incarnation), arrival);
  if (row == nullptr) {
    ++stats_.stale_heartbeats;
    return reply;
  }
  if (arrival == membership::Arrival::kNewIncarnation) {
    reply_times_.erase(node);
    wire::Command command;
    wire::EntryLoss loss;
    loss.entry = node;
    loss.incarnation = previous.value();
    command.__set_entry_loss(loss);
    propose(std::move(command));
  }
  row->zone = heartbeat.zone;
  row->leaving = heartbeat.leaving;
  row->replica_id = ReplicaId(heartbeat.replica_id);
  row->peer_address = heartbeat.peer_address;
  row->service_address = heartbeat.service_address;
  row->applied_revision = std::max(row->applied_revision, Revision(heartbeat.applied_revision));
  note_sightings(now, node, heartbeat);

  const TimePoint configuration_until = now + with_drift_margin(options_.configuration_lease);
  row->configuration_lease_until = std::max(row->configuration_lease_until, configuration_until);
  fill_records(heartbeat, state, reply);
  reply.lease_ms = static_cast<int32_t>(std::chrono::duration_cast<milliseconds>(options_.configuration_lease).count());
  reply.serve_lease_ms = static_cast<int32_t>(std::chrono::duration_cast<milliseconds>(options_.serve_lease).count());
  if (!heartbeat.leaving) {
    reply.leases = groups_.grant_leases(now, state, presence_);
  }
  fill_budgets(now, configuration_until, node, heartbeat, state, reply);
  reply.watch_version = watch_version_;
  if (heartbeat.watch_version != watch_version_) {
    for (const auto& machine : watches_[node]) {
      wire::WatchTarget target;
      target.machine = machine;
      const auto hint = hints_.find(machine);
      const auto known = state.machines().find(machine);
      target.endpoint = hint != hints_.end()              ? hint->second.endpoint
                        : known != state.machines().end() ? known->second.endpoint
                                                          : "";
      reply.watches.push_back(std::move(target));
    }
  }
  auto& times = reply_times_[node];
  times[heartbeat.sequence] = now;
  while (times.size() > kRememberedReplies) {
    times.erase(times.begin());
  }
  return reply;
}

void ControlLeader::note_sightings(TimePoint now, const std::string& node, const wire::Heartbeat& heartbeat) {
  // The heartbeat was sent after the node received the reply it acknowledges, which we sent at a time that we know.
  // So "seen N ms ago" proves a sighting no earlier than that time less N, however long this heartbeat travelled.
  const auto& times = reply_times_[node];
  const auto acknowledged = times.find(heartbeat.acknowledged_sequence);
  if (acknowledged == times.end() || acknowledged->second > now) {
    return;
  }
  for (const auto& sighting : heartbeat.sightings) {
    presence_.note(sighting, acknowledged->second - milliseconds(sighting.seen_ago_ms));
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
    reply.records = state.records().all_live();
  }
}

void ControlLeader::fill_budgets(TimePoint now, TimePoint until, const std::string& node,
                                 const wire::Heartbeat& heartbeat, const ControlState& state,
                                 wire::HeartbeatReply& reply) {
  if (heartbeat.leaving) {
    budgets_.forget_node(node);
    return;
  }
  if (tenants_revision_ != state.records().revision()) {
    tenants_revision_ = state.records().revision();
    tenants_ = config::read_all<wire::Tenant>(state.records(), config::kTenantPrefix);
  }
  std::map<std::string_view, admission::BudgetAllocator::Report> reports;
  for (const auto& demand : heartbeat.demand) {
    reports[demand.tenant] = {demand.running, demand.waiting, demand.held};
  }
  for (const auto& tenant : tenants_) {
    const auto& report = reports[tenant.name];
    wire::TenantBudget budget;
    budget.tenant = tenant.name;
    budget.concurrent =
        budgets_.grant(now, tenant.name, tenant.max_concurrent, node, report, until, now >= quiet_until_);
    reply.budgets.push_back(std::move(budget));
  }
}

// ------------------------------------------------------------------- claims

void ControlLeader::claim_request(const std::string& node, const wire::ClaimRequest& request) {
  ++stats_.claims;
  claim_batch_.command.claims.claims.push_back(request.claim);
  claim_batch_.command.__isset.claims = true;
  claim_batch_.claim_requests.emplace_back(node, request.request_id);
}

void ControlLeader::resolution_request(const std::string& node, const wire::ResolutionRequest& request) {
  claim_batch_.command.resolutions.push_back(request.resolution);
  claim_batch_.command.__isset.resolutions = true;
  claim_batch_.resolution_requests.emplace_back(node, request.request_id);
}

// --------------------------------------------------------- operators' calls

wire::OperatorReply& ControlLeader::operator_reply(const std::string& node, int64_t request_id) {
  auto& envelope = envelope_to(node);
  envelope.__isset.operator_reply = true;
  envelope.operator_reply.request_id = request_id;
  envelope.operator_reply.leader = node_;
  return envelope.operator_reply;
}

void ControlLeader::operator_request(TimePoint now, const std::string& node, const wire::OperatorRequest& request,
                                     const consensus::RaftNode& raft, const ControlState& state) {
  const bool changes = request.action == wire::OperatorAction::APPLY || request.action == wire::OperatorAction::DRAIN;
  if (!changes) {
    auto& reply = operator_reply(node, request.request_id);
    reply.answer.revision = state.records().revision().value();
    if (request.action == wire::OperatorAction::GET) {
      for (const auto* record : state.records().with_prefix(request.prefix)) {
        reply.records.push_back(*record);
      }
    } else if (request.action == wire::OperatorAction::AUDIT) {
      const auto& audit = state.audit();
      const size_t from = audit.size() > kAuditPage ? audit.size() - kAuditPage : 0;
      reply.audit.assign(audit.begin() + static_cast<std::ptrdiff_t>(from), audit.end());
    } else {
      reply.__set_status(status(now, raft, state));
    }
    return;
  }
  if (request.action == wire::OperatorAction::APPLY && request.dry_run) {
    operator_reply(node, request.request_id).answer = state.evaluate(request.change);
    return;
  }
  const std::string& command_id =
      request.action == wire::OperatorAction::APPLY ? request.change.command_id : request.drain.command_id;
  if (const auto* first = state.find_answer(command_id)) {
    track_change(now, node, request.request_id, *first);
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

void ControlLeader::track_change(TimePoint now, const std::string& node, int64_t request_id,
                                 const wire::ChangeAnswer& answer) {
  if (answer.verdict != wire::Verdict::ACCEPTED) {
    operator_reply(node, request_id).answer = answer;
    return;
  }
  std::erase_if(pending_changes_, [&](const auto& item) { return item.node == node && item.request_id == request_id; });
  pending_changes_.push_back(PendingChange{node, request_id, answer, now + options_.in_force_timeout});
  answer_changes(now);
}

void ControlLeader::answer_changes(TimePoint now) {
  std::erase_if(pending_changes_, [&](const PendingChange& change) {
    // Before the quiet time has passed, a holder of a lease from an earlier leader may be unknown to us.
    const auto missing = nodes_.unconfirmed(now, Revision(change.answer.revision));
    const bool in_force = now >= quiet_until_ && missing.empty();
    if (!in_force && now < change.deadline) {
      return false;
    }
    auto& reply = operator_reply(change.node, change.request_id);
    reply.answer = change.answer;
    reply.in_force = in_force;
    reply.missing_nodes = missing;
    return true;
  });
}

wire::StatusReport ControlLeader::status(TimePoint now, const consensus::RaftNode& raft,
                                         const ControlState& state) const {
  wire::StatusReport report;
  report.leader = node_;
  report.term = raft.term();
  report.commit_index = raft.commit_index();
  report.replicas = raft.replicas();
  for (const auto& [name, row] : nodes_.rows()) {
    wire::NodeStatus status;
    status.node = name;
    status.zone = row.zone;
    status.incarnation = row.incarnation.value();
    status.revision = row.applied_revision.value();
    status.live = now - row.last_heard <= options_.node_timeout;
    status.leaving = row.leaving;
    status.replica_id = row.replica_id.value();
    status.service_address = row.service_address;
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

void ControlLeader::membership_list(const std::vector<wire::Machine>& machines) {
  std::set<std::string> leaving;
  for (const auto& machine : machines) {
    hints_[machine.id] = machine;
    if (machine.leaving) {
      leaving.insert(machine.id);
    }
  }
  groups_.set_leaving(std::move(leaving));
}

void ControlLeader::update_watches(TimePoint now, const ControlState& state) {
  std::vector<membership::WatcherCandidate> candidates;
  std::vector<std::string> basis;
  for (const auto* row : nodes_.live(now, options_.node_timeout)) {
    candidates.push_back({row->node, row->zone});
    basis.push_back(row->node + "@" + row->zone);
  }
  std::vector<std::string> machines;
  for (const auto& [id, hint] : hints_) {
    machines.push_back(id);
  }
  for (const auto& [id, machine] : state.machines()) {
    if (!hints_.contains(id)) {
      machines.push_back(id);
    }
  }
  basis.insert(basis.end(), machines.begin(), machines.end());
  if (basis == watch_basis_) {
    return;
  }
  watch_basis_ = std::move(basis);
  watches_ = membership::assign_watchers(candidates, machines, options_.watchers_per_machine);
  ++watch_version_;
}

void ControlLeader::propose_observations(const ControlState& state) {
  for (const auto& [id, sighting] : presence_.all()) {
    const auto known = state.machines().find(id);
    const auto hint = hints_.find(id);
    const bool is_new = known == state.machines().end();
    const bool reborn = !is_new && known->second.incarnation < sighting.incarnation;
    const bool leaves = !is_new && hint != hints_.end() && hint->second.leaving && !known->second.leaving;
    if ((is_new && hint == hints_.end()) || !(is_new || reborn || leaves)) {
      continue;
    }
    wire::Command command;
    wire::MachineObservation observation;
    observation.machine = is_new ? hint->second : known->second;
    observation.machine.leaving = observation.machine.leaving || leaves;
    observation.machine.incarnation = sighting.incarnation;
    command.__set_machine_observation(observation);
    propose(std::move(command));
  }
}

void ControlLeader::propose_entry_losses(TimePoint now) {
  for (const auto& row : nodes_.forget_silent(now, options_.node_forget)) {
    wire::Command command;
    wire::EntryLoss loss;
    loss.entry = row.node;
    loss.incarnation = row.incarnation.value();
    command.__set_entry_loss(loss);
    propose(std::move(command));
    budgets_.forget_node(row.node);
    reply_times_.erase(row.node);
  }
}

// ---------------------------------------------------------------- proposals

void ControlLeader::propose(wire::Command command) {
  Proposal proposal;
  proposal.command = std::move(command);
  outputs_.proposals.push_back(std::move(proposal));
}

void ControlLeader::proposed(int64_t index, int64_t term, Proposal proposal) {
  proposal.term = term;
  in_flight_[index] = std::move(proposal);
}

void ControlLeader::applied(TimePoint now, int64_t index, int64_t term, const ApplyResult& result) {
  const auto found = in_flight_.find(index);
  if (found == in_flight_.end()) {
    return;
  }
  const Proposal proposal = std::move(found->second);
  in_flight_.erase(found);
  if (proposal.term != term) {
    return;
  }
  for (size_t position = 0; position < proposal.claim_requests.size(); ++position) {
    const auto& [node, request_id] = proposal.claim_requests[position];
    const auto& decision = result.claim_decisions[position];
    auto& envelope = envelope_to(node);
    envelope.__isset.claim_reply = true;
    envelope.claim_reply.request_id = request_id;
    envelope.claim_reply.decided = true;
    envelope.claim_reply.granted = decision.granted;
    envelope.claim_reply.standing = decision.standing;
    envelope.claim_reply.message = decision.expired_key ? "expired" : "";
  }
  for (const auto& [node, request_id] : proposal.resolution_requests) {
    auto& envelope = envelope_to(node);
    envelope.__isset.resolution_reply = true;
    envelope.resolution_reply.request_id = request_id;
  }
  if (proposal.operator_request && result.change_answer) {
    track_change(now, proposal.operator_request->first, proposal.operator_request->second, *result.change_answer);
  }
}

void ControlLeader::tick(TimePoint now, const consensus::RaftNode& raft, const ControlState& state) {
  if (now >= next_watch_update_) {
    next_watch_update_ = now + kWatchInterval;
    update_watches(now, state);
  }
  answer_changes(now);
  size_t claim_batches = 0;
  bool supervising = true;
  for (const auto& [index, proposal] : in_flight_) {
    const bool claims = !proposal.claim_requests.empty() || !proposal.resolution_requests.empty();
    claim_batches += claims ? 1 : 0;
    supervising = supervising && claims;
  }
  const bool has_claims = !claim_batch_.claim_requests.empty() || !claim_batch_.resolution_requests.empty();
  if (has_claims &&
      (claim_batches < kClaimBatchesInFlight || claim_batch_.claim_requests.size() >= kLargestClaimBatch)) {
    ++stats_.claim_batches;
    outputs_.proposals.push_back(std::move(claim_batch_));
    claim_batch_ = Proposal();
  }
  // Supervision waits for its own earlier proposals, so that it always judges a state that includes them.
  if (!supervising || now < next_supervision_) {
    return;
  }
  next_supervision_ = now + kSupervisionInterval;
  propose_observations(state);
  propose_entry_losses(now);
  auto actions = groups_.tick(now, raft.term(), state, presence_);
  for (auto& command : actions.proposals) {
    propose(std::move(command));
  }
  outputs_.orders.insert(outputs_.orders.end(), actions.orders.begin(), actions.orders.end());
  outputs_.replicas = replicas_.next_change(now, raft, nodes_);
}

ControlLeader::Outputs ControlLeader::take_outputs() {
  Outputs result = std::move(outputs_);
  outputs_ = Outputs();
  return result;
}

}  // namespace larchlever::control
