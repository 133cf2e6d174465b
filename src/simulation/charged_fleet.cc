#include "simulation/charged_fleet.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "core/base/http_status.h"
#include "simulation/virtual_disk.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int kReplicaCount = 5;
constexpr size_t kToleratedReplicaLosses = 2;
constexpr Duration kReplicaTickInterval = milliseconds(20);
/// A replica whose ticks are further apart excludes that time from the timeouts of others, as the daemon does.
constexpr Duration kPauseThreshold = milliseconds(250);
constexpr Duration kEntryTickInterval = milliseconds(25);
constexpr Duration kServerTickInterval = milliseconds(40);
constexpr Duration kHeartbeatInterval = milliseconds(1200);
constexpr Duration kNetworkDelay = microseconds(500);
constexpr Duration kDiskSyncTime = microseconds(500);
constexpr Duration kReportDelay = milliseconds(5);
constexpr Duration kCompleteReportInterval = seconds(1);
constexpr Duration kRequestTime = milliseconds(1800);
constexpr Duration kWarmJoinTime = milliseconds(1100);
constexpr Duration kColdJoinTime = seconds(2);
constexpr Duration kHeadStallTime = seconds(5);
constexpr Duration kCallRetryInterval = seconds(1);
/// How long entries take to notice that a server crashed.
constexpr Duration kCrashDetectionTime = milliseconds(20);
constexpr Duration kEntryRestartTime = milliseconds(500);
/// Processor time of sending or receiving one message: system calls and the event loop.
constexpr Duration kMessageCost = microseconds(5);
constexpr int kPopularParts = 60;
constexpr const char* kServiceName = "engines";
const std::vector<std::string> kModelNames = {"large", "small"};

std::string make_document() {
  return R"({"version":1,"routes":[],"services":[{"name":"engines","health_path":"/","max_connections":1988,"engine":{)"
         R"("slots":22,"kv_capacity":1400000,"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,)"
         R"("read_per_s":46000,"stride":8,"chunk":2048,"loads_per_s":400,"loads_at_once":1000,"cached_prefixes":1,)"
         R"("form_ms":300,"usual":{"prompt":900,"answer":140},"models":[)"
         R"({"name":"large","size":16,"fraction":0.5,"pace":1.0,"load_s":16,"warm_s":1.6},)"
         R"({"name":"small","size":8,"fraction":0.5,"pace":0.6,"load_s":12,"warm_s":1.1}]}}]})";
}

Duration thread_processor_time() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

std::string zone_name(int zone) { return "z" + std::to_string(zone); }

}  // namespace

struct ChargedFleet::Replica {
  std::string name;
  std::string zone;
  std::unique_ptr<fleet::FleetController> controller;
  VirtualDisk disk;
  std::string founder_choice;
  std::deque<Step> steps;
  bool is_busy = false;
  bool is_cut = false;
  bool is_tick_paused = false;
  TimePoint last_tick{};
  ReplicaLoad load;
};

struct ChargedFleet::Entry {
  std::string name;
  std::string relay_address;
  std::string zone;
  int64_t incarnation = 1;
  bool is_running = true;
  std::unique_ptr<fleet::FleetSubscription> subscription;
  fleet::BlockedRequests tracker;
  std::map<int64_t, InFlightRequest> waiting;
  std::map<int64_t, InFlightRequest> permissions;
  std::map<int64_t, InFlightRequest> running;
  std::map<std::string, int> reported_loads;
  std::set<std::string> failed_groups;
  std::map<std::string, int64_t> started_by_model;
  int64_t next_id = 1;
  int64_t grants_term = 0;
  int64_t grants_seen = 0;
  bool is_report_scheduled = false;
  TimePoint next_complete_report{};
};

struct ChargedFleet::Server {
  int zone = 0;
  std::string address;
  std::string domain;
  int64_t born_ms = 1;
  bool is_up = true;
  bool is_gone = false;
  std::unique_ptr<SimulatedInstance> instance;
  TimePoint next_heartbeat{};
};

ChargedFleet::ChargedFleet(const ChargedFleetOptions& options) : options_(options), random_(options.seed) {
  auto& fleet = options_.fleet;
  fleet.minimum_voters = 2 * kToleratedReplicaLosses + 1;
  fleet.control.minimum_voters = fleet.minimum_voters;
  fleet.control.replica_timeout = milliseconds(1300);
  for (int number = 0; number < kReplicaCount; ++number) {
    auto replica = std::make_unique<Replica>();
    replica->name = "10.0.0." + std::to_string(number + 1) + ":7000";
    replica->zone = zone_name(number % options_.zones);
    replicas_by_name_[replica->name] = replica.get();
    replicas_.push_back(std::move(replica));
  }
  const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
  for (int number = 0; number < options_.entries; ++number) {
    auto entry = std::make_unique<Entry>();
    entry->name = "10.1." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + ":7000";
    entry->relay_address = entry->name.substr(0, entry->name.find(':')) + ":7355";
    entry->zone = zone_name(number % options_.zones);
    entries_by_name_[entry->name] = entry.get();
    entries_.push_back(std::move(entry));
  }
  const int domains = options_.zones * options_.domains_per_zone;
  for (int number = 0; number < domains * options_.servers_per_domain; ++number) {
    auto server = std::make_unique<Server>();
    const int domain = number / options_.servers_per_domain;
    server->zone = domain / options_.domains_per_zone;
    server->domain = "d" + std::to_string(domain);
    server->address = "10.2." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) + ":80";
    const std::string id = "i-" + std::to_string(100000 + number);
    // One model's weights are on each host, half of the hosts each.
    const std::vector<std::string> staged = {kModelNames[static_cast<size_t>(number % 2)]};
    server->instance = std::make_unique<SimulatedInstance>(id, server->address, server->domain, staged);
    server->next_heartbeat = TimePoint(milliseconds(draw_integer(0, 1200)));
    servers_by_id_[id] = server.get();
    servers_.push_back(std::move(server));
  }
  for (auto& replica : replicas_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 300)), [this, &replica] { start_replica(*replica); });
  }
  for (auto& entry : entries_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 300)), [this, &entry, seeds] {
      fleet::PeerIdentity identity{entry->name, entry->zone, "", Incarnation(1), true};
      entry->subscription = std::make_unique<fleet::FleetSubscription>(options_.fleet, identity, seeds);
      tick_entry(*entry);
      start_request(*entry);
    });
  }
  for (auto& server : servers_) {
    queue_.schedule_after(milliseconds(draw_integer(0, 40)), [this, &server] { tick_server(*server); });
  }
}

ChargedFleet::~ChargedFleet() = default;

bool ChargedFleet::draw_bool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int64_t ChargedFleet::draw_integer(int64_t minimum, int64_t maximum) {
  return std::uniform_int_distribution<int64_t>(minimum, maximum)(random_);
}

std::string ChargedFleet::incarnation_of(const Server& server) {
  return server.instance->id() + "@" + std::to_string(server.born_ms);
}

// ----------------------------------------------------------------- replicas

void ChargedFleet::post(Replica& replica, const char* name, std::function<void()> work) {
  replica.steps.push_back({name, std::move(work)});
  if (!replica.is_busy) {
    replica.is_busy = true;
    queue_.schedule_after(Duration::zero(), [this, &replica] { run_next_step(replica); });
  }
}

void ChargedFleet::run_next_step(Replica& replica) {
  const Step step = std::move(replica.steps.front());
  replica.steps.pop_front();
  std::vector<wire::Envelope> sent;
  const Duration before = thread_processor_time();
  step.work();
  process_outputs(replica, sent);
  for (const auto& envelope : sent) {
    wire::encode(envelope);
  }
  const Duration used = thread_processor_time() - before + kMessageCost * static_cast<int64_t>(sent.size() + 1);
  const Duration charged = std::chrono::duration_cast<Duration>(used / options_.processor_share);
  replica.load.busy += charged;
  replica.load.busy_by_step[step.name] += charged;
  if (charged > replica.load.longest_step) {
    replica.load.longest_step = charged;
    replica.load.longest_step_name = step.name;
  }
  queue_.schedule_after(charged, [this, &replica, sent = std::move(sent)] {
    for (const auto& envelope : sent) {
      send(envelope);
    }
    replica.is_busy = !replica.steps.empty();
    if (replica.is_busy) {
      run_next_step(replica);
    }
  });
}

void ChargedFleet::start_replica(Replica& replica) {
  fleet::PeerIdentity identity;
  identity.peer_address = replica.name;
  identity.control_address = replica.name;
  identity.zone = replica.zone;
  identity.incarnation = Incarnation(1);
  const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
  replica.controller = std::make_unique<fleet::FleetController>(options_.fleet, identity, seeds, random_());
  replica.disk.assign_identity(ReplicaId(draw_integer(1, INT64_MAX - 1)));
  replica.controller->start_replica(queue_.now(), replica.disk.replica_id(), Incarnation(1), replica.disk.image());
  if (std::find(seeds.begin(), seeds.end(), replica.name) != seeds.end()) {
    replica.controller->begin_cluster_formation(queue_.now(), "");
  }
  replica.last_tick = queue_.now();
  post(replica, "tick", [this, &replica] { tick_replica(replica); });
}

void ChargedFleet::tick_replica(Replica& replica) {
  const TimePoint now = queue_.now();
  const Duration gap = now - replica.last_tick;
  if (gap > kPauseThreshold) {
    replica.controller->note_own_pause(now, gap);
  }
  replica.load.longest_tick_gap = std::max(replica.load.longest_tick_gap, gap);
  replica.last_tick = now;
  replica.controller->tick(now);
  if (replica.controller->is_leader(now) && replica.name != last_leader_) {
    last_leader_ = replica.name;
    ++result_.leader_changes;
  }
  queue_.schedule_after(kReplicaTickInterval,
                        [this, &replica] { post(replica, "tick", [this, &replica] { tick_replica(replica); }); });
}

void ChargedFleet::process_outputs(Replica& replica, std::vector<wire::Envelope>& sent) {
  auto outputs = replica.controller->take_outputs();
  sent = std::move(outputs.envelopes);
  for (const auto& batch : outputs.storage_batches) {
    replica.disk.submit(batch);
    queue_.schedule_after(kDiskSyncTime, [this, &replica, batch] {
      replica.disk.sync_oldest();
      post(replica, "storage",
           [this, &replica, batch] { replica.controller->handle_storage_synced(queue_.now(), batch); });
    });
  }
  for (const auto& order : outputs.orders) {
    execute_order(replica, order);
  }
  if (outputs.founder_choice) {
    replica.founder_choice = *outputs.founder_choice;
    replica.controller->founder_choice_stored();
  }
  if (outputs.create_log) {
    wire::ReplicaAddress founder;
    founder.replica_id = replica.disk.replica_id().value();
    founder.node = replica.name;
    founder.zone = replica.zone;
    const auto state = consensus::RaftNode::bootstrap(founder);
    consensus::RaftOutput output;
    output.hard_state = state.hard_state;
    output.entries = state.entries;
    replica.disk.submit(output);
    replica.disk.sync_oldest();
    replica.controller->start_replica(queue_.now(), replica.disk.replica_id(), Incarnation(2), replica.disk.image());
  }
  for (const auto& reply : outputs.replies) {
    const auto leaving = pending_leavings_.find({replica.name, reply.id});
    if (leaving != pending_leavings_.end() && reply.status == http_status::kOk) {
      Leaving& acknowledged = leavings_.at(leaving->second);
      acknowledged.acknowledged_at = std::min(acknowledged.acknowledged_at, queue_.now());
    }
  }
}

int ChargedFleet::leader_index() const {
  for (size_t index = 0; index < replicas_.size(); ++index) {
    const auto& controller = replicas_[index]->controller;
    if (controller != nullptr && controller->is_leader(queue_.now())) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

// ------------------------------------------------------------------ network

void ChargedFleet::send(const wire::Envelope& envelope) {
  const auto receiver = replicas_by_name_.find(envelope.to_node);
  const auto sender = replicas_by_name_.find(envelope.from_node);
  if (receiver != replicas_by_name_.end()) {
    const bool is_cut = sender != replicas_by_name_.end() && (sender->second->is_cut || receiver->second->is_cut);
    if (is_cut) {
      return;
    }
    queue_.schedule_after(kNetworkDelay, [this, &replica = *receiver->second, encoded = wire::encode(envelope)] {
      if (replica.controller == nullptr) {
        return;
      }
      const auto decoded = wire::decode<wire::Envelope>(encoded);
      const char* name = decoded->__isset.raft            ? "consensus"
                         : decoded->__isset.slot_report   ? "slot_report"
                         : decoded->__isset.registrations ? "registrations"
                         : decoded->__isset.fleet_heartbeat && decoded->fleet_heartbeat.serves_requests
                             ? "entry_heartbeat"
                         : decoded->__isset.fleet_heartbeat ? "replica_heartbeat"
                         : decoded->__isset.fleet_update    ? "update"
                                                            : "other";
      post(replica, name, [this, &replica, encoded] {
        replica.controller->receive(queue_.now(), *wire::decode<wire::Envelope>(encoded));
      });
    });
    return;
  }
  const auto entry = entries_by_name_.find(envelope.to_node);
  if (entry != entries_by_name_.end()) {
    queue_.schedule_after(kNetworkDelay,
                          [this, &entry = *entry->second, envelope] { deliver_to_entry(entry, envelope); });
  }
}

void ChargedFleet::send_from(const Entry& entry, wire::Envelope envelope) {
  envelope.from_node = entry.name;
  envelope.from_incarnation = entry.incarnation;
  send(envelope);
}

// ------------------------------------------------------------------ entries

void ChargedFleet::deliver_to_entry(Entry& entry, const wire::Envelope& envelope) {
  if (!entry.is_running || entry.subscription == nullptr) {
    return;
  }
  const TimePoint now = queue_.now();
  if (envelope.__isset.fleet_update) {
    const bool changed = entry.subscription->receive(now, envelope);
    if (changed) {
      entry.tracker.update(now, entry.subscription->state().blocked_requests);
      note_leavings(entry);
      send_heartbeat_if_due(entry);
      if (entry.tracker.has_unreported()) {
        report_load_soon(entry);
      }
    }
    return;
  }
  if (!envelope.__isset.slot_answer || envelope.slot_answer.term < entry.grants_term) {
    return;
  }
  if (envelope.slot_answer.term > entry.grants_term) {
    entry.grants_term = envelope.slot_answer.term;
    entry.grants_seen = 0;
  }
  for (const auto& grant : envelope.slot_answer.grants) {
    entry.grants_seen = std::max(entry.grants_seen, grant.sequence);
    if (const auto permission = entry.permissions.find(grant.id); permission != entry.permissions.end()) {
      auto request = std::move(permission->second);
      entry.permissions.erase(permission);
      if (grant.verdict == wire::SlotVerdict::GRANTED) {
        ask_for_slot(entry, std::move(request));
      } else {
        ++result_.withheld_requests;
      }
      continue;
    }
    const auto waiting = entry.waiting.find(grant.id);
    if (waiting == entry.waiting.end() || grant.verdict == wire::SlotVerdict::QUEUED) {
      continue;
    }
    if (grant.verdict == wire::SlotVerdict::GRANTED) {
      auto request = std::move(waiting->second);
      request.group = grant.group;
      request.started_at = now;
      const int64_t id = grant.id;
      entry.running.emplace(id, std::move(request));
      queue_.schedule_after(kRequestTime, [this, &entry, id] { finish_request(entry, id); });
      report_load_soon(entry);
    }
    entry.waiting.erase(waiting);
  }
}

void ChargedFleet::start_request(Entry& entry) {
  const double mean_seconds = options_.entries / options_.requests_per_second;
  const double wait_seconds = std::exponential_distribution<double>(1 / mean_seconds)(random_);
  queue_.schedule_after(microseconds(static_cast<int64_t>(wait_seconds * 1e6)),
                        [this, &entry] { start_request(entry); });
  if (!entry.is_running || !entry.subscription->has_lease(queue_.now()) || entry.subscription->leader().empty()) {
    return;
  }
  ++result_.requests;
  InFlightRequest request;
  request.fingerprint = requests::RequestFingerprint(next_fingerprint_++);
  request.model = kModelNames[static_cast<size_t>(draw_integer(0, 1))];
  ++entry.started_by_model[request.model];
  request.parts.emplace_back(draw_integer(1, kPopularParts));
  request.parts.emplace_back(next_fingerprint_++);
  const TimePoint now = queue_.now();
  for (const auto part : request.parts) {
    const auto verdict = entry.tracker.verdict_for(now, part);
    if (verdict == fleet::BlockedRequests::Verdict::kBlocked) {
      ++result_.withheld_requests;
      return;
    }
    if (verdict == fleet::BlockedRequests::Verdict::kSuspected && !entry.tracker.is_sound_part(now, part)) {
      wire::SlotRequest permission;
      permission.id = entry.next_id++;
      permission.__set_repeat_of(part.value());
      entry.permissions.emplace(permission.id, std::move(request));
      send_report(entry, {permission}, false);
      return;
    }
  }
  ask_for_slot(entry, std::move(request));
}

void ChargedFleet::ask_for_slot(Entry& entry, InFlightRequest request) {
  wire::SlotRequest slot;
  slot.id = entry.next_id++;
  slot.service_name = kServiceName;
  slot.model = request.model;
  slot.prompt_tokens = 900;
  slot.first_event_ms = 400;
  slot.gap_ms = 250;
  slot.patience_ms = 200;
  entry.waiting.emplace(slot.id, std::move(request));
  send_report(entry, {slot}, false);
}

void ChargedFleet::finish_request(Entry& entry, int64_t id) {
  const auto found = entry.running.find(id);
  if (found == entry.running.end()) {
    return;  // Its server crashed.
  }
  entry.tracker.note_answered(queue_.now(), found->second.fingerprint);
  for (const auto part : found->second.parts) {
    entry.tracker.note_answered(queue_.now(), part, fleet::CauseKind::kPromptPart);
  }
  entry.running.erase(found);
  report_load_soon(entry);
}

void ChargedFleet::report_load_soon(Entry& entry) {
  if (std::exchange(entry.is_report_scheduled, true)) {
    return;
  }
  queue_.schedule_after(kReportDelay, [this, &entry] {
    if (std::exchange(entry.is_report_scheduled, false) && entry.is_running) {
      send_report(entry, {}, false);
    }
  });
}

void ChargedFleet::send_report(Entry& entry, std::vector<wire::SlotRequest> requests, bool is_complete) {
  entry.is_report_scheduled = false;
  wire::Envelope envelope;
  envelope.to_node = entry.subscription->leader();
  envelope.__isset.slot_report = true;
  auto& report = envelope.slot_report;
  report.requests = std::move(requests);
  report.grants_term = entry.grants_term;
  report.grants_seen = entry.grants_seen;
  report.traffic_seen = true;
  report.is_complete = is_complete;
  std::map<std::string, int> loads;
  for (const auto& [id, request] : entry.running) {
    ++loads[request.group];
  }
  auto reported = std::exchange(entry.reported_loads, loads);
  for (const auto& [group, in_flight] : loads) {
    const auto before = reported.find(group);
    if (is_complete || before == reported.end() || before->second != in_flight) {
      wire::GroupLoad load;
      load.group = group;
      load.in_flight = in_flight;
      load.streaming = in_flight;
      report.loads.push_back(load);
    }
    reported.erase(group);
  }
  for (const auto& [group, in_flight] : reported) {
    wire::GroupLoad load;
    load.group = group;
    report.loads.push_back(load);
  }
  report.server_ends = entry.tracker.take_unreported_ends(queue_.now());
  report.answered_requests = entry.tracker.take_answered_requests();
  if (is_complete) {
    for (const auto& [model, started] : entry.started_by_model) {
      wire::ModelDemand demand;
      demand.service_name = kServiceName;
      demand.model = model;
      demand.received = started;
      demand.prompt_tokens = started * 900;
      demand.answer_tokens = started * 140;
      demand.target_latency_ms = 400;
      report.demand.push_back(demand);
    }
    for (const auto& group : entry.failed_groups) {
      wire::GroupFailure failure;
      failure.group = group;
      report.failures.push_back(failure);
    }
    entry.failed_groups.clear();
  }
  send_from(entry, std::move(envelope));
}

void ChargedFleet::send_heartbeat_if_due(Entry& entry) {
  wire::FleetHeartbeat content;
  content.__set_relay_address(entry.relay_address);
  if (auto heartbeat = entry.subscription->tick(queue_.now(), content)) {
    send_from(entry, std::move(*heartbeat));
  }
}

void ChargedFleet::tick_entry(Entry& entry) {
  queue_.schedule_after(kEntryTickInterval, [this, &entry] { tick_entry(entry); });
  if (!entry.is_running) {
    return;
  }
  const TimePoint now = queue_.now();
  send_heartbeat_if_due(entry);
  if (entry.subscription->leader().empty()) {
    return;
  }
  if (now >= entry.next_complete_report || !entry.failed_groups.empty()) {
    entry.next_complete_report = now + kCompleteReportInterval;
    send_report(entry, {}, true);
  }
}

void ChargedFleet::note_leavings(Entry& entry) {
  for (const auto& leaving : leavings_) {
    if (leaving.acknowledged_at == TimePoint::max()) {
      continue;
    }
    const auto& state = entry.subscription->state();
    const bool is_known = std::none_of(state.instances.begin(), state.instances.end(), [&](const auto& instance) {
      return instance.id == leaving.instance && instance.state == wire::InstanceState::READY;
    });
    if (!is_known) {
      result_.longest_leaving_delay = std::max(result_.longest_leaving_delay, queue_.now() - leaving.acknowledged_at);
    }
  }
}

// ------------------------------------------------------------------ servers

void ChargedFleet::tick_server(Server& server) {
  queue_.schedule_after(kServerTickInterval, [this, &server] { tick_server(server); });
  if (!server.is_up || server.is_gone) {
    return;
  }
  const TimePoint now = queue_.now();
  auto& instance = *server.instance;
  instance.advance(now);
  if (instance.is_open_head()) {
    for (const auto& id : instance.members()) {
      const Server& member = *servers_by_id_.at(id);
      if (!member.is_up || member.instance->membership().group != instance.membership().group) {
        instance.handle_missing_member(now, kHeadStallTime);
      }
    }
  }
  if (instance.has_unreported_changes() || now >= server.next_heartbeat) {
    server.next_heartbeat = now + kHeartbeatInterval;
    send_heartbeat(server);
  }
}

void ChargedFleet::send_heartbeat(Server& server) {
  auto report = server.instance->take_report();
  report.zone = zone_name(server.zone);
  report.born_ms = server.born_ms;
  wire::ControlCall call;
  call.kind = wire::ControlCallKind::HEARTBEAT;
  call.instance_id = report.id;
  call.body = heartbeat_body(report);
  Replica& replica = *replicas_[static_cast<size_t>(server.zone % kReplicaCount)];
  if (replica.controller == nullptr) {
    return;
  }
  post(replica, "server_heartbeat", [this, &replica, call] { replica.controller->submit_call(queue_.now(), call); });
}

void ChargedFleet::execute_order(Replica& replica, const fleet::InstanceOrder& order) {
  queue_.schedule_after(kNetworkDelay, [this, &replica, order] {
    Server& server = *servers_by_id_.at(order.instance_id);
    int status = 0;
    if (server.is_up && !server.is_gone) {
      const auto& staged = server.instance->staged();
      const bool is_warm = std::find(staged.begin(), staged.end(), order.model) != staged.end();
      status = server.instance->execute_order(queue_.now(), order, is_warm ? kWarmJoinTime : kColdJoinTime);
    }
    queue_.schedule_after(kNetworkDelay, [this, &replica, order, status] {
      post(replica, "order_result", [this, &replica, order, status] {
        fleet::InstanceOrderResult result;
        result.order = order;
        result.status = status;
        replica.controller->handle_order_result(queue_.now(), result);
      });
    });
  });
}

void ChargedFleet::lose_requests(const std::string& group, const std::string& incarnation) {
  for (auto& entry : entries_) {
    const bool is_affected = std::any_of(entry->running.begin(), entry->running.end(),
                                         [&group](const auto& item) { return item.second.group == group; });
    if (!is_affected) {
      continue;
    }
    const TimePoint lost_at = queue_.now();
    queue_.schedule_after(kCrashDetectionTime, [this, &entry = *entry, group, incarnation, lost_at] {
      for (auto item = entry.running.begin(); item != entry.running.end();) {
        if (item->second.group != group || item->second.started_at > lost_at) {
          ++item;
          continue;
        }
        entry.tracker.note_server_end({item->second.fingerprint, incarnation, lost_at});
        for (const auto part : item->second.parts) {
          if (!entry.tracker.is_sound_part(lost_at, part)) {
            entry.tracker.note_server_end({part, incarnation, lost_at, fleet::CrashCertainty::kConfirmed,
                                           fleet::CauseKind::kPromptPart, item->second.fingerprint});
          }
        }
        item = entry.running.erase(item);
      }
      entry.failed_groups.insert(group);
      report_load_soon(entry);
    });
  }
}

void ChargedFleet::crash(Server& server, Duration down_time) {
  if (!server.is_up) {
    return;
  }
  server.is_up = false;
  const auto& membership = server.instance->membership();
  if (!membership.group.empty()) {
    lose_requests(membership.group, incarnation_of(server));
  }
  queue_.schedule_after(down_time, [this, &server] {
    server.is_up = true;
    server.born_ms += 1 + queue_.now().time_since_epoch() / milliseconds(1);
    server.instance = std::make_unique<SimulatedInstance>(server.instance->id(), server.address, server.domain,
                                                          server.instance->staged());
  });
}

// ------------------------------------------------------------------- events

void ChargedFleet::crash_zone(int zone, Duration down_time) {
  for (auto& server : servers_) {
    if (server->zone == zone) {
      crash(*server, down_time);
    }
  }
}

void ChargedFleet::cut_replica(int index, Duration duration) {
  Replica& replica = *replicas_.at(static_cast<size_t>(index));
  replica.is_cut = true;
  queue_.schedule_after(duration, [&replica] { replica.is_cut = false; });
}

void ChargedFleet::restart_entries(double share, Duration duration) {
  for (auto& item : entries_) {
    if (!draw_bool(share)) {
      continue;
    }
    Entry& entry = *item;
    queue_.schedule_after(microseconds(draw_integer(0, duration.count())), [this, &entry] {
      entry.is_running = false;
      queue_.schedule_after(kEntryRestartTime, [this, &entry] {
        const std::vector<std::string> seeds = {replicas_[0]->name, replicas_[1]->name, replicas_[2]->name};
        ++entry.incarnation;
        entry.is_running = true;
        const fleet::PeerIdentity identity{entry.name, entry.zone, "", Incarnation(entry.incarnation), true};
        entry.subscription = std::make_unique<fleet::FleetSubscription>(options_.fleet, identity, seeds);
        entry.tracker = {};
        entry.waiting.clear();
        entry.permissions.clear();
        entry.running.clear();
        entry.reported_loads.clear();
        entry.grants_term = 0;
        entry.grants_seen = 0;
      });
    });
  }
}

void ChargedFleet::report_server_ends(int count, Duration duration) {
  for (int number = 0; number < count; ++number) {
    queue_.schedule_after(duration * number / count, [this] {
      Entry& entry = *entries_[static_cast<size_t>(draw_integer(0, static_cast<int64_t>(entries_.size()) - 1))];
      const Server& server = *servers_[static_cast<size_t>(draw_integer(0, static_cast<int64_t>(servers_.size()) - 1))];
      const requests::RequestFingerprint request(next_fingerprint_++);
      const TimePoint now = queue_.now();
      entry.tracker.note_server_end({request, incarnation_of(server), now, fleet::CrashCertainty::kLikely});
      entry.tracker.note_server_end({requests::RequestFingerprint(next_fingerprint_++), incarnation_of(server), now,
                                     fleet::CrashCertainty::kLikely, fleet::CauseKind::kPromptPart, request});
      report_load_soon(entry);
    });
  }
}

void ChargedFleet::deregister_head(int index) {
  const auto head = std::find_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return !server->is_gone && server->instance->is_open_head();
  });
  if (head == servers_.end()) {
    return;
  }
  (*head)->is_gone = true;
  leavings_.push_back({(*head)->instance->id()});
  const size_t number = leavings_.size() - 1;
  auto send_call = std::make_shared<std::function<void()>>();
  *send_call = [this, index, number, send_call] {
    if (leavings_[number].acknowledged_at != TimePoint::max()) {
      return;
    }
    Replica& replica = *replicas_.at(static_cast<size_t>(index));
    post(replica, "deregister", [this, &replica, number] {
      wire::ControlCall call;
      call.kind = wire::ControlCallKind::DEREGISTER;
      call.instance_id = leavings_[number].instance;
      pending_leavings_[{replica.name, replica.controller->submit_call(queue_.now(), call)}] = number;
    });
    queue_.schedule_after(kCallRetryInterval, *send_call);
  };
  (*send_call)();
}

// ------------------------------------------------------------------ running

void ChargedFleet::advance(Duration duration) {
  queue_.run_until(queue_.now() + duration, [] { return false; });
}

bool ChargedFleet::wait_until_serving(double share, Duration timeout) {
  const TimePoint deadline = queue_.now() + timeout;
  bool is_document_sent = false;
  while (queue_.now() < deadline) {
    advance(milliseconds(100));
    const int leader = leader_index();
    if (leader < 0) {
      continue;
    }
    auto& replica = *replicas_[static_cast<size_t>(leader)];
    if (replica.controller->log().document_version() == 0 &&
        replica.controller->raft()->replicas().voters.size() >= options_.fleet.minimum_voters && !is_document_sent) {
      is_document_sent = true;
      post(replica, "document", [this, &replica] {
        wire::ControlCall call;
        call.kind = wire::ControlCallKind::PUT_DOCUMENT;
        call.body = make_document();
        replica.controller->submit_call(queue_.now(), call);
      });
    }
    size_t serving = 0;
    for (const auto& group : replica.controller->leader_view().groups()) {
      serving += group.phase == wire::GroupPhase::OPEN ? group.members.size() : 0;
    }
    if (static_cast<double>(serving) >= share * static_cast<double>(servers_.size())) {
      return true;
    }
  }
  return false;
}

void ChargedFleet::reset_measurements() {
  result_ = ChargedFleetResult();
  measured_since_ = queue_.now();
  for (auto& replica : replicas_) {
    replica->load = ReplicaLoad();
  }
}

ChargedFleetResult ChargedFleet::result() {
  const int leader = leader_index();
  if (leader >= 0) {
    result_.leader = replicas_[static_cast<size_t>(leader)]->load;
    for (const auto& row : replicas_[static_cast<size_t>(leader)]->controller->leader_view().blocked_requests()) {
      (row.is_suspect ? result_.suspected_parts : result_.blocked_causes) += 1;
    }
  }
  result_.elapsed = queue_.now() - measured_since_;
  result_.acknowledged_leavings =
      static_cast<uint64_t>(std::count_if(leavings_.begin(), leavings_.end(), [](const Leaving& leaving) {
        return leaving.acknowledged_at != TimePoint::max();
      }));
  return result_;
}

}  // namespace larchlever::simulation
