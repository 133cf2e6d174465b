#include "core/fleet/fleet_leader.h"

#include <algorithm>

#include "core/base/http_status.h"
#include "core/fleet/registration.h"
#include "core/fleet/target_health.h"

namespace larchlever::fleet {

namespace {

/// How long a new leader gathers the copies of its predecessor's state before it acts on groups.
constexpr Duration kCollectingTime = milliseconds(700);
constexpr Duration kSupervisionInterval = milliseconds(50);
constexpr Duration kGroupInterval = milliseconds(40);
/// Changes within this time go out together, unless a call waits for them.
constexpr Duration kPushInterval = milliseconds(40);
/// A push that brought no confirmation in this time is repeated.
constexpr Duration kPushRetry = milliseconds(300);
/// How long an entry's word against a group counts.
constexpr Duration kAccusationMemory = seconds(3);
/// A group that any entry saw make progress this recently is not dead, only slow for others.
constexpr Duration kAliveProgress = milliseconds(500);
/// Subscribers silent for this long are forgotten.
constexpr Duration kSubscriberMemory = seconds(30);

std::string error_body(const std::string& message) {
  std::string escaped;
  for (const char character : message) {
    escaped += character == '"' || character == '\\' ? '\'' : character;
  }
  return R"({"error":")" + escaped + R"("})";
}

}  // namespace

FleetLeader::FleetLeader(const FleetOptions& options, FleetIdentity identity)
    : options_(options),
      identity_(std::move(identity)),
      instances_(options.instance_silence),
      groups_(options),
      replicas_(options.control) {}

void FleetLeader::start(TimePoint now, int64_t term, const wire::FleetState& copy) {
  term_ = term;
  version_ = 1;
  history_.start(term);
  next_push_ = now;
  collecting_until_ = now + kCollectingTime;
  instances_.start(now, copy.instances);
  inherited_ = {copy.term, copy.version};
  groups_.start(now, term, copy.groups);
  slots_.start(term);
  slots_.set_groups(groups_.snapshot());  // Requests come at once; the groups are those of before until told otherwise.
  nodes_.clear();
  incarnations_.clear();
  replicas_.start(now);
  subscribers_.clear();
  loads_.clear();
  accusations_.clear();
  progress_.clear();
  waiting_.clear();
  pending_documents_.clear();
  open_calls_.clear();
  outputs_ = Outputs();
}

// ------------------------------------------------------------------- nodes

void FleetLeader::note_report(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.fleet_heartbeat;
  Subscriber& subscriber = subscribers_[envelope.from_node];
  subscriber.last_heard = now;
  subscriber.serves_requests = report.serves_requests && !report.leaving;
  subscriber.document_version = report.document_version;
  subscriber.state_held = {report.held_term, report.held_version};
  subscriber.loads.clear();
  slots_.note_loads(envelope.from_node, report.loads, true, report.grants_term, report.grants_seen);
  for (const auto& load : report.loads) {
    subscriber.loads[load.group] = load;
    if (load.progress_age_ms != kNoProgressAge) {
      TimePoint& progress = progress_.try_emplace(load.group, TimePoint::min()).first->second;
      progress = std::max(progress, now - milliseconds(load.progress_age_ms));
    }
  }
  for (const auto& failure : report.failures) {
    note_failure(now, envelope.from_node, failure.group);
  }
  if (report.traffic_seen) {
    groups_.note_traffic();
  }
  groups_.demand().note_totals(now, envelope.from_node, report.demand);
  if (report.__isset.held_state && is_collecting(now)) {
    instances_.merge(now, report.held_state.instances);
    const std::pair order(report.held_state.term, report.held_state.version);
    if (order > inherited_) {
      // Copies are not joined: an older one may give a server to a group that a newer one has dissolved.
      inherited_ = order;
      groups_.inherit(now, report.held_state.groups);
      slots_.set_groups(groups_.snapshot());
      ++version_;
    }
  }
}

void FleetLeader::note_failure(TimePoint now, const std::string& node, const std::string& group) {
  auto& accusers = accusations_[group];
  accusers[node] = now;
  std::erase_if(accusers, [now](const auto& item) { return now - item.second > kAccusationMemory; });
  const auto& rows = instances_.rows();
  const bool member_silent = std::any_of(rows.begin(), rows.end(), [&](const auto& item) {
    return item.second.instance.silent && item.second.instance.membership.group == group;
  });
  const auto progress = progress_.find(group);
  const bool alive = progress != progress_.end() && now - progress->second < kAliveProgress;
  if (!alive && (accusers.size() >= 2 || member_silent)) {
    groups_.note_failure(group);
  }
}

Incarnation FleetLeader::rank_incarnation(const std::string& node, int64_t incarnation) {
  auto& seen = incarnations_[node];
  const auto found = std::find(seen.begin(), seen.end(), incarnation);
  const auto rank = found - seen.begin() + 1;
  if (found == seen.end()) {
    seen.push_back(incarnation);
  }
  return Incarnation(rank);
}

void FleetLeader::heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                            const DocumentLog& log) {
  const auto& report = envelope.fleet_heartbeat;
  auto arrival = membership::Arrival::kKnown;
  auto* row =
      nodes_.heard(now, envelope.from_node, rank_incarnation(envelope.from_node, envelope.from_incarnation), arrival);
  if (row == nullptr) {
    return;
  }
  row->zone = report.zone;
  row->replica_id = ReplicaId(report.replica_id);
  row->leaving = report.leaving;
  row->peer_address = envelope.from_node;
  row->service_address = report.control_address;
  if (arrival != membership::Arrival::kKnown) {
    subscribers_.erase(envelope.from_node);
    slots_.forget_node(envelope.from_node);
    groups_.demand().forget_node(envelope.from_node);
  }
  note_report(now, envelope);
  send_update(now, envelope.from_node, report.sequence, raft, log);
}

void FleetLeader::send_update(TimePoint now, const std::string& node, int64_t sequence, const consensus::RaftNode& raft,
                              const DocumentLog& log) {
  Subscriber& subscriber = subscribers_[node];
  wire::Envelope envelope;
  envelope.to_node = node;
  envelope.__isset.fleet_update = true;
  auto& update = envelope.fleet_update;
  update.sequence = sequence;
  update.term = term_;
  update.leader = identity_.peer_address;
  update.document_version = log.version();
  update.wants_state = is_collecting(now);
  for (const auto* list : {&raft.replicas().voters, &raft.replicas().learners}) {
    for (const auto& replica : *list) {
      update.control_peers.push_back(replica.node);
    }
  }
  const bool repeat = now - subscriber.document_sent_at > kPushRetry;
  if (subscriber.document_version < log.version() && (repeat || subscriber.document_sent < log.version())) {
    update.__set_document(log.packed());
    subscriber.document_sent = log.version();
    subscriber.document_sent_at = now;
  }
  add_state(now, subscriber, update);
  add_loads_of_others(now, subscriber, update);
  for (const auto& [name, other] : subscribers_) {
    update.serving_nodes += other.serves_requests && now - other.last_heard < options_.node_timeout ? 1 : 0;
  }
  outputs_.envelopes.push_back(std::move(envelope));
}

void FleetLeader::add_state(TimePoint now, Subscriber& subscriber, wire::FleetUpdate& update) {
  const bool repeat = now - subscriber.state_sent_at > kPushRetry;
  const bool behind = subscriber.state_held < std::pair(term_, version_);
  if (!may_publish_to(now, subscriber) || !behind || (!repeat && subscriber.state_sent >= version_)) {
    return;
  }
  if (history_.version() < version_) {
    history_.record(version_, instances_.snapshot(), groups_.snapshot());
  }
  // What was sent a moment ago is on its way in order. Without a confirmation in time, only what was confirmed counts.
  const int64_t confirmed = subscriber.state_held.first == term_ ? subscriber.state_held.second : 0;
  const int64_t base = repeat ? confirmed : std::max(confirmed, subscriber.state_sent);
  if (base > 0) {
    update.__set_state_change(history_.since(base));
  } else {
    update.__set_state(history_.full());
  }
  update.wants_confirmation = !waiting_.empty();
  subscriber.state_sent = version_;
  subscriber.state_sent_at = now;
}

void FleetLeader::add_loads_of_others(TimePoint now, const Subscriber& subscriber, wire::FleetUpdate& update) const {
  for (const auto& [group, total] : loads_) {
    const auto own = subscriber.loads.find(group);
    const wire::GroupLoad none;
    const auto& mine = own == subscriber.loads.end() ? none : own->second;
    wire::GroupLoad load;
    load.group = group;
    load.in_flight = std::max(0, total.in_flight - mine.in_flight);
    load.streaming = std::max(0, total.streaming - mine.streaming);
    load.waiting_tokens = std::max<int64_t>(0, total.waiting_tokens - mine.waiting_tokens);
    const auto progress = progress_.find(group);
    load.progress_age_ms =
        progress == progress_.end() ? kNoProgressAge : static_cast<int32_t>((now - progress->second) / milliseconds(1));
    update.loads.push_back(std::move(load));
  }
}

bool FleetLeader::may_publish_to(TimePoint now, const Subscriber& subscriber) const {
  // While copies are collected, who holds none is better off with an older one; who holds a newer one keeps it.
  return !is_collecting(now) || subscriber.state_held < inherited_;
}

void FleetLeader::push_news(TimePoint now, const consensus::RaftNode& raft, const DocumentLog& log) {
  std::erase_if(subscribers_, [&](const auto& item) { return now - item.second.last_heard > kSubscriberMemory; });
  for (const auto& [node, subscriber] : subscribers_) {
    const bool live = now - subscriber.last_heard < options_.node_timeout;
    const bool news = subscriber.document_sent < log.version() ||
                      (may_publish_to(now, subscriber) && subscriber.state_sent < version_);
    if (live && news) {
      send_update(now, node, 0, raft, log);
    }
  }
}

void FleetLeader::update_loads(TimePoint now) {
  loads_.clear();
  for (const auto& [node, subscriber] : subscribers_) {
    if (now - subscriber.last_heard > options_.node_timeout) {
      continue;
    }
    for (const auto& [group, load] : subscriber.loads) {
      auto& total = loads_[group];
      total.in_flight += load.in_flight;
      total.streaming += load.streaming;
      total.waiting_tokens += load.waiting_tokens;
    }
  }
  std::map<std::string, int> in_flight;
  for (const auto& [group, total] : loads_) {
    in_flight[group] = total.in_flight;
  }
  groups_.note_loads(std::move(in_flight));
}

// ------------------------------------------------------------------- slots

void FleetLeader::slot_report(TimePoint now, const wire::Envelope& envelope, const DocumentLog& log) {
  const auto& report = envelope.slot_report;
  slots_.note_loads(envelope.from_node, report.loads, false, report.grants_term, report.grants_seen);
  for (const auto& request : report.requests) {
    slots_.add_request(now, envelope.from_node, request);
  }
  answer_slots(now, log);
}

void FleetLeader::answer_slots(TimePoint now, const DocumentLog& log) {
  if (log.parsed() == nullptr) {
    return;  // Entries hold no document either, so none of them serves.
  }
  std::map<std::string, wire::SlotAnswer> answers;
  for (auto& decision : slots_.decide(now, *log.parsed())) {
    answers[decision.node].grants.push_back(std::move(decision.grant));
  }
  for (auto& [node, answer] : answers) {
    answer.term = term_;
    wire::Envelope envelope;
    envelope.to_node = node;
    envelope.__set_slot_answer(answer);
    outputs_.envelopes.push_back(std::move(envelope));
  }
}

void FleetLeader::forget_lost_nodes(TimePoint now) {
  for (const auto& [node, subscriber] : subscribers_) {
    if (now - subscriber.last_heard > options_.node_timeout) {
      slots_.forget_node(node);
    }
  }
}

// ------------------------------------------------------------------- calls

void FleetLeader::answer(const std::string& key, int status, std::string body) {
  const auto call = open_calls_.find(key);
  if (call == open_calls_.end()) {
    return;
  }
  wire::ControlCallReply reply;
  reply.id = call->second;
  reply.status = status;
  reply.body = std::move(body);
  outputs_.replies.emplace_back(key, std::move(reply));
  open_calls_.erase(call);
}

void FleetLeader::call(TimePoint now, const std::string& key, const wire::ControlCall& call,
                       const consensus::RaftNode& raft, const DocumentLog& log) {
  if (!open_calls_.emplace(key, call.id).second) {
    return;  // Repeated while its first arrival is still waiting.
  }
  switch (call.kind) {
    case wire::ControlCallKind::HEARTBEAT:
    case wire::ControlCallKind::DEREGISTER:
      register_instance(now, key, call);
      break;
    case wire::ControlCallKind::PUT_DOCUMENT:
      put_document(key, call, raft, log);
      break;
    case wire::ControlCallKind::GET_DOCUMENT:
      if (log.version() == 0) {
        answer(key, http_status::kServiceUnavailable, error_body("no document was accepted yet; send one"));
      } else {
        answer(key, http_status::kOk, log.content());
      }
      break;
  }
}

void FleetLeader::register_instance(TimePoint now, const std::string& key, const wire::ControlCall& call) {
  bool changed = false;
  bool leaving = true;
  if (call.kind == wire::ControlCallKind::DEREGISTER) {
    changed = instances_.deregister(now, call.instance_id);
  } else {
    std::string error;
    const auto report = parse_registration(call.instance_id, call.body, error);
    if (!report) {
      answer(key, http_status::kBadRequest, error_body(error));
      return;
    }
    leaving = report->state == wire::InstanceState::DRAINING;
    changed = instances_.heard(now, *report);
  }
  version_ += changed ? 1 : 0;
  if (leaving) {
    // Acknowledged only once every live node knows: from then on no new work may reach the instance.
    waiting_.push_back({key, version_, now});
  } else {
    answer(key, http_status::kOk, "{}");
  }
}

void FleetLeader::put_document(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                               const DocumentLog& log) {
  const auto parsed = document::parse_document(call.body);
  if (parsed.document == nullptr) {
    answer(key, http_status::kBadRequest, error_body(parsed.error.message));
    return;
  }
  if (raft.replicas().voters.size() < options_.minimum_voters) {
    answer(key, http_status::kServiceUnavailable,
           error_body("the log has too few voters yet; send the document again"));
    return;
  }
  if (parsed.document->version <= log.version()) {
    answer(key, http_status::kOk, "{}");
    return;
  }
  outputs_.proposals.emplace_back(pack_document(parsed.document->version, call.body), key);
}

void FleetLeader::proposed(const std::string& key, std::optional<int64_t> index, int64_t term) {
  if (!index) {
    answer(key, http_status::kServiceUnavailable, error_body("leadership ended; send the document again"));
    return;
  }
  pending_documents_[*index] = {key, term};
}

void FleetLeader::applied(int64_t index, int64_t term) {
  const auto pending = pending_documents_.find(index);
  if (pending == pending_documents_.end()) {
    return;
  }
  const auto [key, proposed_term] = pending->second;
  pending_documents_.erase(pending);
  if (term == proposed_term) {
    answer(key, http_status::kOk, "{}");
  } else {
    answer(key, http_status::kServiceUnavailable, error_body("leadership changed; send the document again"));
  }
}

void FleetLeader::answer_confirmed(TimePoint now) {
  std::vector<WaitingCall> still_waiting;
  for (const auto& waiting : waiting_) {
    if (!open_calls_.contains(waiting.key)) {
      continue;
    }
    bool confirmed = !is_collecting(now);
    bool published = confirmed;
    for (const auto& [node, subscriber] : subscribers_) {
      const bool live = now - subscriber.last_heard < options_.node_timeout;
      const bool holds = subscriber.state_held >= std::pair(term_, waiting.version);
      confirmed = confirmed && (holds || !live);
      published = published && (subscriber.state_sent >= waiting.version || !live);
    }
    const bool patience_over = now - waiting.since > options_.confirmation_patience;
    if (confirmed || (published && patience_over)) {
      answer(waiting.key, http_status::kOk, "{}");
    } else {
      still_waiting.push_back(waiting);
    }
  }
  waiting_ = std::move(still_waiting);
}

// -------------------------------------------------------------------- time

void FleetLeader::tick(TimePoint now, const consensus::RaftNode& raft, const DocumentLog& log) {
  if (now >= next_supervision_) {
    next_supervision_ = now + kSupervisionInterval;
    outputs_.replicas = replicas_.next_change(now, raft, nodes_);
    update_loads(now);
    forget_lost_nodes(now);
    version_ += instances_.tick(now) ? 1 : 0;
  }
  if (!is_collecting(now) && log.parsed() != nullptr && now >= next_group_tick_) {
    next_group_tick_ = now + kGroupInterval;
    version_ += groups_.tick(now, *log.parsed(), instances_) ? 1 : 0;
    slots_.set_groups(groups_.snapshot());
    outputs_.orders = groups_.take_orders();
    outputs_.decisions = groups_.take_decisions();
  }
  if (now >= next_push_ || !waiting_.empty()) {
    next_push_ = now + kPushInterval;
    push_news(now, raft, log);
  }
  answer_confirmed(now);
  answer_slots(now, log);
}

FleetLeader::Outputs FleetLeader::take_outputs() {
  Outputs result = std::move(outputs_);
  outputs_ = Outputs();
  return result;
}

}  // namespace larchlever::fleet
