#include "core/fleet/fleet_leader.h"

#include <algorithm>

#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// How long a new leader collects copies of the previous leader's state before it acts on groups.
constexpr Duration kStateRecoveryTimeout = milliseconds(700);
constexpr Duration kSupervisionInterval = milliseconds(50);
constexpr Duration kGroupSupervisionInterval = milliseconds(40);
/// Changes within this interval are sent together, unless a call waits for their confirmation.
constexpr Duration kPushInterval = milliseconds(40);
/// How often the loads of all entries are summed.
constexpr Duration kLoadUpdateInterval = milliseconds(100);
/// How often a control replica is told which entries relay requests. They change as seldom as entries come and go.
constexpr Duration kRelayPeerInterval = seconds(1);

GroupChangeReason dissolution_reason(SuspicionCause cause) {
  switch (cause) {
    case SuspicionCause::kStreamsSilent:
    case SuspicionCause::kEntriesReportSilence:
      return GroupChangeReason::kSilentTooLong;
    case SuspicionCause::kEntriesReportFailure:
      return GroupChangeReason::kEntriesReportedFailure;
    case SuspicionCause::kMemberRefused:
    case SuspicionCause::kMemberSilent:
      return GroupChangeReason::kMemberLost;
  }
  return GroupChangeReason::kEntriesReportedFailure;
}

}  // namespace

std::vector<wire::ControlPeer> control_peers_of(const wire::ReplicaSet& replicas) {
  std::vector<wire::ControlPeer> result;
  for (const auto* list : {&replicas.voters, &replicas.learners}) {
    for (const auto& replica : *list) {
      wire::ControlPeer peer;
      peer.address = replica.node;
      peer.zone = replica.zone;
      result.push_back(std::move(peer));
    }
  }
  return result;
}

FleetLeader::FleetLeader(const FleetOptions& options, PeerIdentity identity)
    : options_(options),
      identity_(std::move(identity)),
      control_subscribers_(options.node_timeout),
      instance_directory_(options.instance_timeout),
      group_supervisor_(options),
      slot_scheduler_(options.admission),
      replica_supervisor_(options.control) {}

void FleetLeader::begin_leadership(TimePoint now, int64_t term, const wire::FleetState& copy) {
  term_ = term;
  version_ = 1;
  control_subscribers_.clear();
  control_subscribers_.start_term(term);
  entry_subscribers_.clear();
  next_push_ = now;
  state_recovery_deadline_ = now + kStateRecoveryTimeout;
  instance_directory_.start(now, copy.instances);
  inherited_version_ = {copy.term, copy.version};
  group_supervisor_.start(now, term, copy.groups);
  group_supervisor_.add_released_groups(copy.released_groups);
  slot_scheduler_.start(term);
  server_limits_ = ServerLimits();
  update_scheduler_groups();  // Slot requests arrive at once; use the previous leader's groups until copies are merged.
  node_directory_.clear();
  incarnation_ranks_.clear();
  replica_supervisor_.start(now);
  entry_reports_.clear();
  silent_groups_.clear();
  request_blocker_.start(now, copy.blocked_requests);
  group_loads_.clear();
  unconfirmed_calls_.clear();
  pending_commands_.clear();
  open_call_ids_.clear();
  outputs_ = Outputs();
}

// ------------------------------------------------------------------- nodes

void FleetLeader::record_entry_subscribers(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.fleet_heartbeat;
  EntrySubscribers& entries = entry_subscribers_[envelope.from_node];
  entries.term = report.held_term;
  entries.version = report.entries_hold_version;
  entries.serving_count = report.serving_entries;
  if (report.__isset.relay_peers) {
    entries.relay_peers = report.relay_peers;
  }
  if (report.__isset.held_state && is_recovering_state(now)) {
    merge_state_copy(now, report.held_state);
  }
}

void FleetLeader::merge_state_copy(TimePoint now, const wire::FleetState& copy) {
  instance_directory_.merge(now, copy.instances);
  request_blocker_.add_inherited(now, copy.blocked_requests);
  group_supervisor_.add_released_groups(copy.released_groups);
  const std::pair copy_version(copy.term, copy.version);
  if (copy_version > inherited_version_) {
    // Groups of different copies are not combined: an older copy may hold a group that a newer one has dissolved.
    inherited_version_ = copy_version;
    group_supervisor_.inherit(now, copy.groups);
    update_scheduler_groups();
    ++version_;
  }
}

void FleetLeader::end_state_recovery_early(TimePoint now, const wire::ReplicaSet& replicas) {
  const auto holds_no_newer_state = [&](const wire::ReplicaAddress& voter) {
    const auto row = node_directory_.all_nodes().find(voter.node);
    return row != node_directory_.all_nodes().end() &&
           control_subscribers_.held_state_version(voter.node) <= inherited_version_;
  };
  if (is_recovering_state(now) && std::all_of(replicas.voters.begin(), replicas.voters.end(), holds_no_newer_state)) {
    state_recovery_deadline_ = now;
  }
}

bool FleetLeader::has_silent_member(const std::string& group) const {
  const auto& rows = instance_directory_.rows();
  return std::any_of(rows.begin(), rows.end(), [&group](const auto& item) {
    return item.second.instance.silent && item.second.instance.membership.group == group;
  });
}

void FleetLeader::handle_reported_failures(TimePoint now, const wire::SlotReport& report) {
  const auto has_missing_heartbeats = [this](const std::string& group) { return has_silent_member(group); };
  for (const auto& group : entry_reports_.failed_groups(now, report, has_missing_heartbeats)) {
    if (group_supervisor_.find_live_group(group) == nullptr) {
      continue;
    }
    group_supervisor_.note_failure(group);  // Groups of a newer state copy are not marked as failed yet.
    const auto entries = entry_reports_.failure_reporters(now, group, FailureEvidence::kSilence);
    if (auto event = silent_groups_.give_up(now, group, SuspicionCause::kEntriesReportFailure,
                                            entry_reports_.last_progress(group), entries)) {
      apply_suspicion_event(now, std::move(*event));
    }
  }
  for (const auto& group : entry_reports_.silent_groups(now, report)) {
    suspect_group(now, group, SuspicionCause::kEntriesReportSilence, now,
                  entry_reports_.failure_reporters(now, group, FailureEvidence::kSilence));
  }
}

void FleetLeader::handle_heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                                   const FleetLog& log) {
  const auto& report = envelope.fleet_heartbeat;
  auto sender_incarnation = membership::SenderIncarnation::kCurrent;
  const auto incarnation = incarnation_ranks_.rank(envelope.from_node, envelope.from_incarnation);
  auto* row = node_directory_.record_heartbeat(now, envelope.from_node, incarnation, sender_incarnation);
  if (row == nullptr || !control_subscribers_.record_heartbeat(now, envelope)) {
    return;
  }
  row->zone = report.zone;
  row->replica_id = ReplicaId(report.replica_id);
  row->leaving = report.leaving;
  row->peer_address = envelope.from_node;
  row->service_address = report.control_address;
  record_entry_subscribers(now, envelope);
  end_state_recovery_early(now, raft.replicas());
  send_update(now, envelope.from_node, report.sequence, raft, log);
}

void FleetLeader::send_update(TimePoint now, const std::string& node, int64_t sequence, const consensus::RaftNode& raft,
                              const FleetLog& log) {
  wire::Envelope envelope;
  envelope.to_node = node;
  envelope.__isset.fleet_update = true;
  auto& update = envelope.fleet_update;
  update.sequence = sequence;
  update.term = term_;
  update.leader = identity_.peer_address;
  update.document_version = log.document_version();
  update.evacuation_revision = log.evacuations().revision;
  update.wants_state = is_recovering_state(now) && control_subscribers_.held_state_version(node) > inherited_version_;
  update.control_peers = control_peers_of(raft.replicas());
  control_subscribers_.add_document(now, node, log.packed_document(), update);
  control_subscribers_.add_evacuations(node, log.evacuations(), update);
  if (may_send_state_to(now, node)) {
    publish_state();
    control_subscribers_.add_state(now, node, update);
  }
  update.wants_confirmation = !unconfirmed_calls_.empty();
  for (const auto& [group, load] : group_loads_) {
    update.loads.push_back(load);
  }
  update.serving_nodes = serving_entries(now);
  set_no_document_age(now, no_document_until_, update);
  add_relay_peers(now, node, update);
  outputs_.envelopes.push_back(std::move(envelope));
}

void FleetLeader::publish_state() {
  if (control_subscribers_.history().version() < version_) {
    wire::FleetState state;
    state.version = version_;
    state.instances = instance_directory_.snapshot();
    state.groups = group_supervisor_.snapshot();
    state.blocked_requests = request_blocker_.rows();
    state.released_groups = group_supervisor_.released_groups(instance_directory_);
    control_subscribers_.publish(state);
  }
}

bool FleetLeader::may_send_state_to(TimePoint now, const std::string& node) const {
  // During state recovery only nodes with an older copy get the inherited one; a node with a newer copy must keep it.
  return !is_recovering_state(now) || control_subscribers_.held_state_version(node) < inherited_version_;
}

int FleetLeader::serving_entries(TimePoint now) const {
  int count = 0;
  for (const auto& node : control_subscribers_.live_nodes(now)) {
    const auto entries = entry_subscribers_.find(node);
    count += entries == entry_subscribers_.end() ? 0 : entries->second.serving_count;
  }
  return count;
}

void FleetLeader::add_relay_peers(TimePoint now, const std::string& node, wire::FleetUpdate& update) {
  EntrySubscribers& receiver = entry_subscribers_[node];
  if (now < receiver.next_relay_peers) {
    return;
  }
  receiver.next_relay_peers = now + kRelayPeerInterval;
  update.__isset.relay_peers = true;
  for (const auto& replica : control_subscribers_.live_nodes(now)) {
    const auto entries = entry_subscribers_.find(replica);
    if (entries != entry_subscribers_.end()) {
      update.relay_peers.insert(update.relay_peers.end(), entries->second.relay_peers.begin(),
                                entries->second.relay_peers.end());
    }
  }
}

void FleetLeader::push_updates(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log) {
  if (!is_recovering_state(now)) {
    publish_state();
  }
  const LogRevisions newest{log.document_version(), log.evacuations().revision};
  for (const auto& node : control_subscribers_.nodes_to_update(now, newest)) {
    if (control_subscribers_.held_state_version(node).first > 0 || may_send_state_to(now, node)) {
      send_update(now, node, 0, raft, log);
    }
  }
}

void FleetLeader::update_loads(TimePoint now) {
  group_loads_ = entry_reports_.total_loads(now);
  std::map<std::string, int> in_flight;
  for (const auto& [group, total] : group_loads_) {
    in_flight[group] = total.in_flight;
  }
  group_supervisor_.note_loads(std::move(in_flight));
}

// ------------------------------------------------------------------- slots

void FleetLeader::handle_slot_report(TimePoint now, const wire::Envelope& envelope, const FleetLog& log) {
  const auto& report = envelope.slot_report;
  const std::string& node = envelope.from_node;
  if (entry_reports_.record(now, envelope)) {
    slot_scheduler_.forget_node(node);
    group_supervisor_.demand().forget_node(node);
  }
  handle_reported_failures(now, report);
  if (report.traffic_seen) {
    group_supervisor_.note_traffic();
  }
  if (log.parsed_document() != nullptr) {
    slot_scheduler_.note_pauses(now, *log.parsed_document(), node, report.loads);
  }
  slot_scheduler_.note_response_times(now, node, report.loads);
  slot_scheduler_.note_loads(node, report.loads, report.is_complete, report.grants_term, report.grants_seen);
  slot_scheduler_.note_quiet_groups(now, node, report.quiet_groups);
  record_server_ends(now, report);
  record_server_limits(now, report);
  suspect_stalled_groups(now, log);
  review_suspected_groups(now);
  for (const auto& request : report.requests) {
    if (request.__isset.trial_of) {
      answer_trial_request(now, node, request);
    } else if (request.__isset.repeat_of) {
      answer_repeat_request(now, node, request);
    } else {
      slot_scheduler_.add_request(now, node, request);
    }
  }
  answer_slot_requests(now, log);
  if (report.is_complete) {
    group_supervisor_.demand().note_totals(now, node, report.demand);
    acknowledge_report(node);
  }
}

void FleetLeader::record_server_ends(TimePoint now, const wire::SlotReport& report) {
  bool changed = false;
  for (const auto& end : report.server_ends) {
    const TimePoint ended_at = now - milliseconds(std::max<int64_t>(0, end.age_ms));
    const CrashCertainty certainty = end.is_likely ? CrashCertainty::kLikely : CrashCertainty::kConfirmed;
    const CauseKind kind = end.__isset.request_of_part ? CauseKind::kPromptPart : CauseKind::kRequest;
    const bool is_new_information =
        request_blocker_.note_server_end({requests::RequestFingerprint(end.fingerprint), end.instance_id, ended_at,
                                          certainty, kind, requests::RequestFingerprint(end.request_of_part)});
    changed = changed || is_new_information;
  }
  for (const int64_t fingerprint : report.answered_requests) {
    const bool is_new_information = request_blocker_.note_answered(now, requests::RequestFingerprint(fingerprint));
    changed = changed || is_new_information;
  }
  if (changed) {
    ++version_;
    next_push_ = now;  // Entries keep sending the request until they learn that it is blocked.
  }
}

void FleetLeader::record_server_limits(TimePoint now, const wire::SlotReport& report) {
  bool changed = false;
  for (const auto& limit : report.server_limits) {
    const LimitObservation observation{limit.incarnation,
                                       limit.__isset.per_second ? std::optional(limit.per_second) : std::nullopt,
                                       now - milliseconds(std::max<int64_t>(0, limit.age_ms))};
    const bool is_new_information = server_limits_.observe(observation) &&
                                    instance_directory_.set_rate_limit(observation.incarnation, observation.per_second);
    changed = changed || is_new_information;
  }
  if (changed) {
    ++version_;
    next_push_ = now;  // Entries that choose servers without the leader need the limit at once.
    update_scheduler_groups();
  }
}

void FleetLeader::answer_trial_request(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  const bool is_granted = request_blocker_.grant_trial(now, requests::RequestFingerprint(request.trial_of));
  version_ += is_granted ? 1 : 0;
  send_verdict(node, request.id, is_granted);
}

void FleetLeader::answer_repeat_request(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  send_verdict(node, request.id, request_blocker_.grant_retry(now, requests::RequestFingerprint(request.repeat_of)));
}

void FleetLeader::send_verdict(const std::string& node, int64_t id, bool is_granted) {
  wire::SlotGrant grant;
  grant.id = id;
  grant.verdict = is_granted ? wire::SlotVerdict::GRANTED : wire::SlotVerdict::BUSY;
  wire::SlotAnswer answer;
  answer.grants.push_back(std::move(grant));
  send_slot_answer(node, std::move(answer));
}

void FleetLeader::send_slot_answer(const std::string& node, wire::SlotAnswer answer) {
  answer.term = term_;
  wire::Envelope envelope;
  envelope.to_node = node;
  envelope.__set_slot_answer(answer);
  outputs_.envelopes.push_back(std::move(envelope));
}

void FleetLeader::acknowledge_report(const std::string& node) { send_slot_answer(node, {}); }

void FleetLeader::answer_slot_requests(TimePoint now, const FleetLog& log) {
  if (log.parsed_document() == nullptr) {
    return;  // Without a document no entry serves requests.
  }
  std::map<std::string, wire::SlotAnswer> answers;
  for (auto& decision : slot_scheduler_.decide(now, *log.parsed_document())) {
    answers[decision.node].grants.push_back(std::move(decision.grant));
  }
  for (auto& [node, answer] : answers) {
    send_slot_answer(node, std::move(answer));
  }
}

void FleetLeader::suspect_stalled_groups(TimePoint now, const FleetLog& log) {
  if (log.parsed_document() == nullptr) {
    return;
  }
  for (const auto& group : slot_scheduler_.find_failed_groups(now, *log.parsed_document())) {
    suspect_group(now, group.name, SuspicionCause::kStreamsSilent, group.streams.silent_since, group.streams.entries);
  }
}

void FleetLeader::suspect_group(TimePoint now, const std::string& group, SuspicionCause cause, TimePoint silent_since,
                                const std::vector<std::string>& entries) {
  auto event = group_supervisor_.find_live_group(group) == nullptr
                   ? std::nullopt
                   : silent_groups_.suspect(now, group, cause, silent_since, entries);
  if (!event) {
    return;
  }
  apply_suspicion_event(now, std::move(*event));
  for (const auto& node : slot_scheduler_.nodes_using_group(group)) {
    wire::SlotAnswer answer;
    answer.failed_groups.push_back(group);
    send_slot_answer(node, std::move(answer));
  }
}

void FleetLeader::review_suspected_groups(TimePoint now) {
  for (const auto& group : silent_groups_.groups_to_review()) {
    if (auto event = silent_groups_.review(now, group, suspected_group_state(group))) {
      apply_suspicion_event(now, std::move(*event));
    }
  }
}

bool FleetLeader::is_serving_member(const wire::EngineGroup& group, const std::string& instance_id,
                                    const std::string& address) const {
  const auto* instance = instance_directory_.find(instance_id);
  const bool is_member = std::find(group.members.begin(), group.members.end(), instance_id) != group.members.end();
  return is_member && group.phase == wire::GroupPhase::OPEN && instance != nullptr && instance->address == address &&
         instance->state == wire::InstanceState::READY;
}

void FleetLeader::probe_suspected_groups(TimePoint now) {
  for (const auto& name : silent_groups_.take_groups_to_probe(now)) {
    const auto* group = group_supervisor_.find_live_group(name);
    if (group == nullptr) {
      continue;
    }
    for (const auto& member : group->members) {
      const auto* instance = instance_directory_.find(member);
      if (instance != nullptr && is_serving_member(*group, member, instance->address)) {
        outputs_.member_probes.push_back({name, member, instance->address});
      }
    }
  }
}

void FleetLeader::handle_member_probe(TimePoint now, const MemberProbe& probe, MemberProbeResult result) {
  const auto* group = group_supervisor_.find_live_group(probe.group);
  if (group == nullptr || !is_serving_member(*group, probe.instance_id, probe.address)) {
    return;
  }
  if (auto event = silent_groups_.note_probe(now, probe.group, result)) {
    apply_suspicion_event(now, std::move(*event));
  }
}

SuspectedGroupState FleetLeader::suspected_group_state(const std::string& name) const {
  SuspectedGroupState state;
  state.last_progress = entry_reports_.last_progress(name);
  state.are_streams_moving = slot_scheduler_.are_streams_moving(name);
  state.has_requests = slot_scheduler_.in_flight(name) > 0;
  const auto* group = group_supervisor_.find_live_group(name);
  if (group == nullptr) {
    return state;
  }
  state.all_members_reported_at = TimePoint::max();
  for (const auto& member : group->members) {
    const auto row = instance_directory_.rows().find(member);
    const bool is_known = row != instance_directory_.rows().end();
    state.has_silent_member = state.has_silent_member || (is_known && row->second.instance.silent);
    const TimePoint reported_at = is_known ? row->second.last_report_at : TimePoint::min();
    state.all_members_reported_at = std::min(state.all_members_reported_at, reported_at);
  }
  return state;
}

void FleetLeader::apply_suspicion_event(TimePoint now, SuspicionEvent event) {
  switch (event.step) {
    case SuspicionStep::kSuspected:
      slot_scheduler_.suspend_group(event.group);
      break;
    case SuspicionStep::kCleared:
      slot_scheduler_.resume_group(now, event.group);
      break;
    case SuspicionStep::kGivenUp:
      slot_scheduler_.suspend_group(event.group);
      group_supervisor_.note_failure(event.group, dissolution_reason(event.cause));
      break;
  }
  outputs_.suspicion_events.push_back(std::move(event));
}

void FleetLeader::remove_timed_out_entries(TimePoint now) {
  for (const auto& node : entry_reports_.remove_timed_out(now)) {
    slot_scheduler_.forget_node(node);
    group_supervisor_.demand().forget_node(node);
  }
}

// ------------------------------------------------------------------- zones

void FleetLeader::adopt_evacuations(TimePoint now, const FleetLog& log) {
  if (log.evacuations().revision == adopted_evacuations_.revision) {
    return;
  }
  for (const auto& zone : adopted_evacuations_.zones) {
    if (!is_evacuated(log.evacuations(), zone)) {
      version_ += instance_directory_.mark_zone_cold(now, zone) ? 1 : 0;
    }
  }
  adopted_evacuations_ = log.evacuations();
  group_supervisor_.set_evacuations(adopted_evacuations_);
  update_scheduler_groups();
}

void FleetLeader::update_scheduler_groups() {
  auto groups = group_supervisor_.snapshot();
  retain_suspicions(groups);
  std::erase_if(groups, [this](const auto& group) { return is_evacuated(adopted_evacuations_, group); });
  std::vector<RateLimitedServer> rated_servers;
  for (const auto& [id, row] : instance_directory_.rows()) {
    const auto limit = rate_limit_of(row.instance);
    if (row.instance.cold || limit) {
      rated_servers.push_back({incarnation_name(row.instance), row.instance.cold, limit});
    }
  }
  slot_scheduler_.set_rate_limited_servers(rated_servers);
  std::map<std::string, std::string> rated_heads;
  for (const auto& group : groups) {
    const auto* head = group.members.empty() ? nullptr : instance_directory_.find(group.members.front());
    if (head != nullptr && (head->cold || rate_limit_of(*head))) {
      rated_heads[group.name] = incarnation_name(*head);
    }
  }
  slot_scheduler_.set_groups(groups, rated_heads);
  if (options_.admission.plain_server_slots) {
    slot_scheduler_.set_plain_servers(available_plain_servers());
  }
}

void FleetLeader::retain_suspicions(const std::vector<wire::EngineGroup>& groups) {
  std::set<std::string> kept;
  for (const auto& group : groups) {
    if (group.phase != wire::GroupPhase::DISSOLVING) {
      kept.insert(group.name);
    }
  }
  silent_groups_.retain(kept);
}

std::vector<PlainServer> FleetLeader::available_plain_servers() const {
  std::vector<PlainServer> result;
  for (const auto& [id, row] : instance_directory_.rows()) {
    const auto& instance = row.instance;
    // Members of groups get no requests of their own, and entries avoid silent servers if there are others.
    const bool is_available = instance.state == wire::InstanceState::READY && instance.membership.group.empty() &&
                              !is_evacuated(adopted_evacuations_, instance.zone);
    if (is_available) {
      result.push_back({incarnation_name(instance), instance.service_name, instance.slots});
    }
  }
  return result;
}

// -------------------------------------------------------------------- time

void FleetLeader::tick(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log) {
  if (log.document_version() == 0) {
    no_document_until_ = now;
  }
  adopt_evacuations(now, log);
  if (now >= next_supervision_) {
    next_supervision_ = now + kSupervisionInterval;
    outputs_.proposed_replicas = replica_supervisor_.next_replica_set(now, raft, node_directory_);
    remove_timed_out_entries(now);
    version_ += instance_directory_.tick(now) ? 1 : 0;
    if (request_blocker_.tick(now)) {
      ++version_;
      next_push_ = now;  // A block must reach all entries before they send more.
    }
  }
  if (now >= next_load_update_) {
    next_load_update_ = now + kLoadUpdateInterval;
    update_loads(now);
  }
  if (!is_recovering_state(now) && log.parsed_document() != nullptr && now >= next_group_supervision_) {
    next_group_supervision_ = now + kGroupSupervisionInterval;
    version_ += group_supervisor_.tick(now, *log.parsed_document(), instance_directory_) ? 1 : 0;
    update_scheduler_groups();
    outputs_.orders = group_supervisor_.take_orders();
    outputs_.decisions = group_supervisor_.take_decisions();
  }
  if (now >= next_push_ || !unconfirmed_calls_.empty()) {
    next_push_ = now + kPushInterval;
    push_updates(now, raft, log);
  }
  reply_to_confirmed_calls(now);
  suspect_stalled_groups(now, log);
  review_suspected_groups(now);
  probe_suspected_groups(now);
  answer_slot_requests(now, log);
  for (auto& change : slot_scheduler_.take_plain_speed_changes(now)) {
    outputs_.plain_speed_changes.push_back(std::move(change));
  }
}

void FleetLeader::note_own_pause(TimePoint now, Duration pause) {
  control_subscribers_.note_own_pause(now, pause);
  instance_directory_.note_own_pause(now, pause);
  entry_reports_.note_own_pause(now, pause);
  silent_groups_.note_own_pause(now, pause);
  node_directory_.exclude_own_pause(now, pause);
}

FleetLeader::Outputs FleetLeader::take_outputs() {
  Outputs result = std::move(outputs_);
  outputs_ = Outputs();
  return result;
}

}  // namespace larchlever::fleet
