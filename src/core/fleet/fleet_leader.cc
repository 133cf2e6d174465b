#include "core/fleet/fleet_leader.h"

#include <algorithm>

#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// How long a new leader gathers the copies of its predecessor's state before it acts on groups.
constexpr Duration kCollectingTime = milliseconds(700);
constexpr Duration kSupervisionInterval = milliseconds(50);
constexpr Duration kGroupInterval = milliseconds(40);
/// Changes within this time go out together, unless a call waits for them.
constexpr Duration kPushInterval = milliseconds(40);
/// How often the entries' loads are summed up.
constexpr Duration kLoadInterval = milliseconds(100);

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

FleetLeader::FleetLeader(const FleetOptions& options, FleetIdentity identity)
    : options_(options),
      identity_(std::move(identity)),
      subscribers_(options.node_timeout),
      instances_(options.instance_silence),
      groups_(options),
      replicas_(options.control) {}

void FleetLeader::start(TimePoint now, int64_t term, const wire::FleetState& copy) {
  term_ = term;
  version_ = 1;
  subscribers_.clear();
  subscribers_.start_term(term);
  entries_of_.clear();
  next_push_ = now;
  collecting_until_ = now + kCollectingTime;
  instances_.start(now, copy.instances);
  inherited_ = {copy.term, copy.version};
  groups_.start(now, term, copy.groups);
  groups_.inherit_released(copy.released_groups);
  slots_.start(term);
  limits_ = ServerLimits();
  update_slot_groups();  // Requests come at once; the groups are those of before until told otherwise.
  nodes_.clear();
  incarnations_.clear();
  replicas_.start(now);
  entry_reports_.start();
  blocker_.start(now, copy.blocked_requests);
  loads_.clear();
  waiting_.clear();
  pending_commands_.clear();
  open_calls_.clear();
  outputs_ = Outputs();
}

// ------------------------------------------------------------------- nodes

void FleetLeader::note_heartbeat(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.fleet_heartbeat;
  EntriesOf& entries = entries_of_[envelope.from_node];
  entries.term = report.held_term;
  entries.version = report.entries_hold_version;
  entries.serving = report.serving_entries;
  if (report.__isset.held_state && is_collecting(now)) {
    take_copy(now, report.held_state);
  }
}

void FleetLeader::take_copy(TimePoint now, const wire::FleetState& copy) {
  instances_.merge(now, copy.instances);
  blocker_.inherit(now, copy.blocked_requests);
  groups_.inherit_released(copy.released_groups);
  const std::pair order(copy.term, copy.version);
  if (order > inherited_) {
    // Copies are not joined: an older one may give a server to a group that a newer one has dissolved.
    inherited_ = order;
    groups_.inherit(now, copy.groups);
    update_slot_groups();
    ++version_;
  }
}

void FleetLeader::end_collecting_early(TimePoint now, const wire::ReplicaSet& replicas) {
  const auto has_nothing_newer = [&](const wire::ReplicaAddress& voter) {
    const auto row = nodes_.all_nodes().find(voter.node);
    return row != nodes_.all_nodes().end() && subscribers_.state_held(voter.node) <= inherited_;
  };
  if (is_collecting(now) && std::all_of(replicas.voters.begin(), replicas.voters.end(), has_nothing_newer)) {
    collecting_until_ = now;
  }
}

void FleetLeader::note_failures(TimePoint now, const wire::SlotReport& report) {
  const auto& rows = instances_.rows();
  const auto has_silent_member = [&rows](const std::string& group) {
    return std::any_of(rows.begin(), rows.end(), [&group](const auto& item) {
      return item.second.instance.silent && item.second.instance.membership.group == group;
    });
  };
  for (const auto& group : entry_reports_.failed_groups(now, report, has_silent_member)) {
    groups_.note_failure(group);
  }
}

void FleetLeader::heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                            const FleetLog& log) {
  const auto& report = envelope.fleet_heartbeat;
  auto sender_incarnation = membership::SenderIncarnation::kCurrent;
  const auto incarnation = incarnations_.rank(envelope.from_node, envelope.from_incarnation);
  auto* row = nodes_.record_heartbeat(now, envelope.from_node, incarnation, sender_incarnation);
  if (row == nullptr || !subscribers_.heard(now, envelope)) {
    return;
  }
  row->zone = report.zone;
  row->replica_id = ReplicaId(report.replica_id);
  row->leaving = report.leaving;
  row->peer_address = envelope.from_node;
  row->service_address = report.control_address;
  note_heartbeat(now, envelope);
  end_collecting_early(now, raft.replicas());
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
  update.document_version = log.version();
  update.evacuation_revision = log.evacuations().revision;
  update.wants_state = is_collecting(now) && subscribers_.state_held(node) > inherited_;
  update.control_peers = control_peers_of(raft.replicas());
  subscribers_.add_document(now, node, log.packed(), update);
  subscribers_.add_evacuations(node, log.evacuations(), update);
  if (may_publish_to(now, node)) {
    publish();
    subscribers_.add_state(now, node, update);
  }
  update.wants_confirmation = !waiting_.empty();
  for (const auto& [group, load] : loads_) {
    update.loads.push_back(load);
  }
  update.serving_nodes = serving_entries(now);
  outputs_.envelopes.push_back(std::move(envelope));
}

void FleetLeader::publish() {
  if (subscribers_.history().version() < version_) {
    wire::FleetState state;
    state.version = version_;
    state.instances = instances_.snapshot();
    state.groups = groups_.snapshot();
    state.blocked_requests = blocker_.rows();
    state.released_groups = groups_.released_groups(instances_);
    subscribers_.publish(state);
  }
}

bool FleetLeader::may_publish_to(TimePoint now, const std::string& node) const {
  // While copies are collected, who holds none is better off with an older one; who holds a newer one keeps it.
  return !is_collecting(now) || subscribers_.state_held(node) < inherited_;
}

int FleetLeader::serving_entries(TimePoint now) const {
  int count = 0;
  for (const auto& node : subscribers_.live_nodes(now)) {
    const auto entries = entries_of_.find(node);
    count += entries == entries_of_.end() ? 0 : entries->second.serving;
  }
  return count;
}

void FleetLeader::push_news(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log) {
  if (!is_collecting(now)) {
    publish();
  }
  const LogRevisions newest{log.version(), log.evacuations().revision};
  for (const auto& node : subscribers_.nodes_behind(now, newest)) {
    if (subscribers_.state_held(node).first > 0 || may_publish_to(now, node)) {
      send_update(now, node, 0, raft, log);
    }
  }
}

void FleetLeader::update_loads(TimePoint now) {
  loads_ = entry_reports_.totals(now);
  std::map<std::string, int> in_flight;
  for (const auto& [group, total] : loads_) {
    in_flight[group] = total.in_flight;
  }
  groups_.note_loads(std::move(in_flight));
}

// ------------------------------------------------------------------- slots

void FleetLeader::slot_report(TimePoint now, const wire::Envelope& envelope, const FleetLog& log) {
  const auto& report = envelope.slot_report;
  const std::string& node = envelope.from_node;
  if (entry_reports_.note(now, envelope)) {
    slots_.forget_node(node);
    groups_.demand().forget_node(node);
  }
  note_failures(now, report);
  if (report.traffic_seen) {
    groups_.note_traffic();
  }
  slots_.note_loads(node, report.loads, report.is_complete, report.grants_term, report.grants_seen);
  slots_.note_quiet(now, node, report.quiet_groups);
  note_server_ends(now, report);
  note_server_limits(now, report);
  fail_silent_groups(now, log);
  for (const auto& request : report.requests) {
    if (request.__isset.trial_of) {
      answer_trial(now, node, request);
    } else if (request.__isset.repeat_of) {
      answer_repeat(now, node, request);
    } else {
      slots_.add_request(now, node, request);
    }
  }
  answer_slots(now, log);
  if (report.is_complete) {
    groups_.demand().note_totals(now, node, report.demand);
    confirm_report(node);
  }
}

void FleetLeader::note_server_ends(TimePoint now, const wire::SlotReport& report) {
  bool changed = false;
  for (const auto& end : report.server_ends) {
    const TimePoint ended_at = now - milliseconds(std::max<int64_t>(0, end.age_ms));
    const Certainty certainty = end.is_likely ? Certainty::kLikely : Certainty::kProved;
    const bool is_news =
        blocker_.note_end({requests::RequestFingerprint(end.fingerprint), end.instance_id, ended_at, certainty});
    changed = changed || is_news;
  }
  for (const int64_t fingerprint : report.answered_requests) {
    const bool is_news = blocker_.note_answered(requests::RequestFingerprint(fingerprint));
    changed = changed || is_news;
  }
  if (changed) {
    ++version_;
    next_push_ = now;  // Every entry goes on sending the request until it learns of this.
  }
}

void FleetLeader::note_server_limits(TimePoint now, const wire::SlotReport& report) {
  bool changed = false;
  for (const auto& limit : report.server_limits) {
    const LimitObservation observation{limit.incarnation,
                                       limit.__isset.per_second ? std::optional(limit.per_second) : std::nullopt,
                                       now - milliseconds(std::max<int64_t>(0, limit.age_ms))};
    const bool is_news =
        limits_.observe(observation) && instances_.set_limit(observation.incarnation, observation.per_second);
    changed = changed || is_news;
  }
  if (changed) {
    ++version_;
    next_push_ = now;  // Entries that choose by themselves need it at once.
    update_slot_groups();
  }
}

void FleetLeader::answer_trial(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  const bool is_granted = blocker_.grant_trial(now, requests::RequestFingerprint(request.trial_of));
  version_ += is_granted ? 1 : 0;
  answer_question(node, request.id, is_granted);
}

void FleetLeader::answer_repeat(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  answer_question(node, request.id, blocker_.grant_repeat(now, requests::RequestFingerprint(request.repeat_of)));
}

void FleetLeader::answer_question(const std::string& node, int64_t id, bool is_granted) {
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

void FleetLeader::confirm_report(const std::string& node) { send_slot_answer(node, {}); }

void FleetLeader::answer_slots(TimePoint now, const FleetLog& log) {
  if (log.parsed() == nullptr) {
    return;  // Entries hold no document either, so none of them serves.
  }
  std::map<std::string, wire::SlotAnswer> answers;
  for (auto& decision : slots_.decide(now, *log.parsed())) {
    answers[decision.node].grants.push_back(std::move(decision.grant));
  }
  for (auto& [node, answer] : answers) {
    send_slot_answer(node, std::move(answer));
  }
}

void FleetLeader::fail_silent_groups(TimePoint now, const FleetLog& log) {
  if (log.parsed() == nullptr) {
    return;
  }
  std::map<std::string, wire::SlotAnswer> answers;
  for (const auto& group : slots_.find_failed_groups(now, *log.parsed())) {
    groups_.note_failure(group);
    for (const auto& node : slots_.nodes_at(group)) {
      answers[node].failed_groups.push_back(group);
    }
  }
  for (auto& [node, answer] : answers) {
    send_slot_answer(node, std::move(answer));
  }
}

void FleetLeader::forget_lost_entries(TimePoint now) {
  for (const auto& node : entry_reports_.forget_silent(now)) {
    slots_.forget_node(node);
    groups_.demand().forget_node(node);
  }
}

// ------------------------------------------------------------------- zones

void FleetLeader::note_evacuations(TimePoint now, const FleetLog& log) {
  if (log.evacuations().revision == evacuations_.revision) {
    return;
  }
  for (const auto& zone : evacuations_.zones) {
    if (!is_evacuated(log.evacuations(), zone)) {
      version_ += instances_.expect_cold(now, zone) ? 1 : 0;
    }
  }
  evacuations_ = log.evacuations();
  groups_.set_evacuations(evacuations_);
  update_slot_groups();
}

void FleetLeader::update_slot_groups() {
  auto groups = groups_.snapshot();
  std::erase_if(groups, [this](const auto& group) { return is_evacuated(evacuations_, group); });
  std::vector<RatedServer> rated;
  for (const auto& [id, row] : instances_.rows()) {
    const auto limit = limit_of(row.instance);
    if (row.instance.cold || limit) {
      rated.push_back({incarnation_of(row.instance), row.instance.cold, limit});
    }
  }
  slots_.set_rated_servers(rated);
  std::map<std::string, std::string> rated_heads;
  for (const auto& group : groups) {
    const auto* head = group.members.empty() ? nullptr : instances_.find(group.members.front());
    if (head != nullptr && (head->cold || limit_of(*head))) {
      rated_heads[group.name] = incarnation_of(*head);
    }
  }
  slots_.set_groups(groups, rated_heads);
}

// -------------------------------------------------------------------- time

void FleetLeader::tick(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log) {
  note_evacuations(now, log);
  if (now >= next_supervision_) {
    next_supervision_ = now + kSupervisionInterval;
    outputs_.replicas = replicas_.next_replica_set(now, raft, nodes_);
    forget_lost_entries(now);
    version_ += instances_.tick(now) ? 1 : 0;
    version_ += blocker_.tick(now) ? 1 : 0;
  }
  if (now >= next_load_sum_) {
    next_load_sum_ = now + kLoadInterval;
    update_loads(now);
  }
  if (!is_collecting(now) && log.parsed() != nullptr && now >= next_group_tick_) {
    next_group_tick_ = now + kGroupInterval;
    version_ += groups_.tick(now, *log.parsed(), instances_) ? 1 : 0;
    update_slot_groups();
    outputs_.orders = groups_.take_orders();
    outputs_.decisions = groups_.take_decisions();
  }
  if (now >= next_push_ || !waiting_.empty()) {
    next_push_ = now + kPushInterval;
    push_news(now, raft, log);
  }
  answer_confirmed(now);
  fail_silent_groups(now, log);
  answer_slots(now, log);
}

void FleetLeader::note_own_pause(TimePoint now, Duration pause) {
  subscribers_.note_own_pause(now, pause);
  instances_.note_own_pause(now, pause);
  entry_reports_.note_own_pause(now, pause);
  nodes_.exclude_own_pause(now, pause);
}

FleetLeader::Outputs FleetLeader::take_outputs() {
  Outputs result = std::move(outputs_);
  outputs_ = Outputs();
  return result;
}

}  // namespace larchlever::fleet
