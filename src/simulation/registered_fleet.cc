#include "simulation/registered_fleet.h"

#include <algorithm>

#include "core/base/http_status.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::simulation {

namespace {

constexpr int kControlReplicaCount = 5;
constexpr int kEntryCount = 3;
constexpr int kDomainCount = 3;
constexpr int kServersPerDomain = 8;
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kHeartbeatInterval = milliseconds(1200);
constexpr Duration kDocumentInterval = milliseconds(2500);
constexpr Duration kWarmJoinTime = milliseconds(200);
constexpr Duration kColdJoinTime = seconds(3);
/// Minimum time between disk losses, so that the cluster can replace the lost replica. At most two disks may be lost at
/// once.
constexpr Duration kMinDiskLossInterval = seconds(8);
constexpr size_t kToleratedReplicaLosses = 2;
constexpr Duration kStateSaveInterval = milliseconds(400);
constexpr Duration kTrafficReportInterval = seconds(1);
constexpr const char* kZoneNames[] = {"a", "b", "c"};
/// An operator retries an unacknowledged zone order, gives up after the timeout, and pauses between orders.
constexpr Duration kZoneOrderRetryInterval = seconds(1);
constexpr Duration kZoneOrderTimeout = seconds(5);
constexpr Duration kZoneOrderInterval = seconds(2);
/// Longest delay of a call that arrives once more.
constexpr Duration kMaxCallDelay = seconds(10);

std::string make_document_json(int64_t version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[{"name":"engines","health_path":"/","max_connections":100,"engine":{"slots":8,)"
         R"("models":[{"name":"large","size":4,"fraction":0.7},{"name":"small","size":2,"fraction":0.3}],)"
         R"("loads_per_s":4,"loads_at_once":6,"cached_prefixes":1}}]})";
}

}  // namespace

RegisteredFleet::RegisteredFleet(const RegisteredFleetOptions& options)
    : options_(options), random_(options.seed), operator_random_(options.seed) {
  auto& fleet = options_.fleet;
  fleet.minimum_voters = 2 * kToleratedReplicaLosses + 1;
  fleet.control.minimum_voters = fleet.minimum_voters;
  fleet.control.replica_timeout = milliseconds(1300);
  fleet.control.snapshot_interval_entries = 8;
  fleet.control.snapshot_trailing_entries = 2;
  control_replicas_.resize(kControlReplicaCount);
  for (int number = 0; number < kControlReplicaCount; ++number) {
    control_replicas_[number].name = "10.0.0." + std::to_string(number + 1) + ":7000";
  }
  for (int number = 0; number < kEntryCount; ++number) {
    fleet::PeerIdentity identity;
    identity.peer_address = "10.0.1." + std::to_string(number + 1) + ":7000";
    identity.serves_requests = true;
    identity.incarnation = Incarnation(1);
    EntryNode entry;
    entry.name = identity.peer_address;
    const std::vector<std::string> seeds = {control_replicas_[0].name, control_replicas_[1].name,
                                            control_replicas_[2].name};
    entry.subscription = std::make_unique<fleet::FleetSubscription>(fleet, identity, seeds);
    entries_.push_back(std::move(entry));
  }
  for (int number = 0; number < kDomainCount * kServersPerDomain; ++number) {
    ServerSlot slot;
    slot.address = "10.0.2." + std::to_string(number + 1) + ":80";
    slot.domain = "d" + std::to_string(number / kServersPerDomain);
    slot.zone = options_.enable_zone_orders ? kZoneNames[number / kServersPerDomain] : kZoneNames[0];
    server_slots_.push_back(std::move(slot));
  }
}

bool RegisteredFleet::draw_bool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int64_t RegisteredFleet::draw_integer(int64_t minimum, int64_t maximum) {
  return std::uniform_int_distribution<int64_t>(minimum, maximum)(random_);
}

Duration RegisteredFleet::draw_network_delay() { return microseconds(draw_integer(300, 4000)); }

void RegisteredFleet::add_violation(const std::string& description) {
  const auto elapsed_ms = std::chrono::duration_cast<milliseconds>(queue_.now().time_since_epoch()).count();
  result_.violations.push_back("at " + std::to_string(elapsed_ms) + " ms: " + description);
}

void RegisteredFleet::trace(const std::string& description) const {
  if (options_.trace) {
    const auto elapsed_ms = std::chrono::duration_cast<milliseconds>(queue_.now().time_since_epoch()).count();
    options_.trace(std::to_string(elapsed_ms) + " ms " + description);
  }
}

SimulatedInstance* RegisteredFleet::find_instance(const std::string& id) {
  for (auto& slot : server_slots_) {
    if (slot.instance && slot.instance->id() == id) {
      return slot.instance.get();
    }
  }
  return nullptr;
}

// ---------------------------------------------------------------- processes

void RegisteredFleet::start_control_replica(ControlReplica& node) {
  fleet::PeerIdentity identity;
  identity.peer_address = node.name;
  identity.control_address = node.name;
  identity.incarnation = Incarnation(
      draw_integer(1, 1'000'000'000));  // Random: incarnations are not ordered, since clocks may be set back.
  const std::vector<std::string> seeds = {control_replicas_[0].name, control_replicas_[1].name,
                                          control_replicas_[2].name};
  node.controller = std::make_unique<fleet::FleetController>(options_.fleet, identity, seeds, random_());
  node.is_running = true;
  ++node.process_generation;
  if (node.disk.replica_id() == ReplicaId()) {
    node.disk.assign_identity(ReplicaId(draw_integer(1, INT64_MAX - 1)));
  }
  node.controller->restore_state(node.saved_state);
  start_replica(node);
  // The seed list stays as on the first start, no matter how often a replica restarts or what data it lost.
  const bool is_seed = std::find(seeds.begin(), seeds.end(), node.name) != seeds.end();
  if (is_seed && !has_log(node)) {
    node.controller->begin_cluster_formation(queue_.now(), node.founder_choice);
  }
}

bool RegisteredFleet::has_log(const ControlReplica& node) {
  return !node.disk.image().entries.empty() || node.disk.image().snapshot.index > 0;
}

void RegisteredFleet::start_replica(ControlReplica& node) {
  node.controller->start_replica(queue_.now(), node.disk.replica_id(), Incarnation(++node.start_count),
                                 node.disk.image());
}

void RegisteredFleet::create_cluster_log(ControlReplica& node) {
  trace(node.name + " creates the cluster log");
  ++result_.created_logs;
  wire::ReplicaAddress founder;
  founder.replica_id = node.disk.replica_id().value();
  founder.node = node.name;
  const auto state = consensus::RaftNode::bootstrap(founder);
  consensus::RaftOutput output;
  output.hard_state = state.hard_state;
  output.entries = state.entries;
  node.disk.submit(output);
  while (node.disk.in_flight() > 0) {
    node.disk.sync_oldest();
  }
  start_replica(node);
}

void RegisteredFleet::stop_control_replica(ControlReplica& node, bool lose_unsynced_writes) {
  trace(node.name + " stops");
  node.is_running = false;
  node.controller.reset();
  // Call ids start over after a restart, and the restarted process does not answer pending calls.
  const auto is_of_node = [&node](const auto& call) { return call.first.first == node.name; };
  std::erase_if(pending_documents_, is_of_node);
  std::erase_if(pending_zone_calls_, is_of_node);
  node.disk.crash(lose_unsynced_writes
                      ? static_cast<size_t>(draw_integer(0, static_cast<int64_t>(node.disk.in_flight())))
                      : node.disk.in_flight());
}

void RegisteredFleet::sync_disk(ControlReplica& node, const consensus::RaftOutput& batch) {
  node.disk.submit(batch);
  const uint64_t process_generation = node.process_generation;
  const auto acknowledge = [this, &node, process_generation, batch] {
    if (node.is_running && node.process_generation == process_generation) {
      node.controller->handle_storage_synced(queue_.now(), batch);
      process_outputs(node);
    }
  };
  const Duration sync_time = microseconds(draw_integer(300, 6000));
  if (options_.acknowledge_unsynced_writes) {
    queue_.schedule_after(sync_time, acknowledge);
    return;  // Acknowledged, but never synced to disk.
  }
  queue_.schedule_after(sync_time, [&node, process_generation, acknowledge] {
    if (node.is_running && node.process_generation == process_generation) {
      node.disk.sync_oldest();
      acknowledge();
    }
  });
}

void RegisteredFleet::process_outputs(ControlReplica& node) {
  auto outputs = node.controller->take_outputs();
  for (const auto& envelope : outputs.envelopes) {
    send(envelope);
  }
  for (const auto& batch : outputs.storage_batches) {
    sync_disk(node, batch);
  }
  for (const auto& order : outputs.orders) {
    send_order(node, order);
  }
  if (outputs.founder_choice) {
    node.founder_choice = *outputs.founder_choice;
    node.controller->founder_choice_stored();
  }
  if (outputs.create_log) {
    create_cluster_log(node);
  }
  for (const auto& reply : outputs.replies) {
    if (const auto zone_call = pending_zone_calls_.find({node.name, reply.id});
        zone_call != pending_zone_calls_.end()) {
      ZoneOrder& order = zone_orders_.at(zone_call->second);
      pending_zone_calls_.erase(zone_call);
      if (reply.status == http_status::kOk && !order.acknowledged_at) {
        ++result_.evacuations_acknowledged;
        order.acknowledged_at = queue_.now();
      }
      continue;
    }
    const auto pending_document = pending_documents_.find({node.name, reply.id});
    if (pending_document == pending_documents_.end()) {
      continue;
    }
    if (reply.status == http_status::kOk) {
      ++result_.documents_acknowledged;
      newest_acknowledged_version_ = std::max(newest_acknowledged_version_, pending_document->second.version);
      document_acknowledged_at_.try_emplace(pending_document->second.version, queue_.now());
    }
    pending_documents_.erase(pending_document);
  }
}

// ------------------------------------------------------------------ network

bool RegisteredFleet::is_linked(const std::string& left, const std::string& right) const {
  const auto is_node_isolated = [this](const std::string& name) {
    const auto control = std::find_if(control_replicas_.begin(), control_replicas_.end(),
                                      [&](const auto& node) { return node.name == name; });
    if (control != control_replicas_.end()) {
      return control->is_isolated;
    }
    const auto entry =
        std::find_if(entries_.begin(), entries_.end(), [&](const auto& node) { return node.name == name; });
    return entry != entries_.end() && entry->is_isolated;
  };
  return !is_node_isolated(left) && !is_node_isolated(right);
}

void RegisteredFleet::send(const wire::Envelope& envelope) {
  if (!is_linked(envelope.from_node, envelope.to_node) || (!faults_ended_ && draw_bool(0.005))) {
    return;
  }
  queue_.schedule_after(draw_network_delay(), [this, envelope] { deliver(envelope); });
  if (envelope.__isset.control_call && options_.late_call_probability > 0) {
    repeat_call_late(envelope);
  }
}

void RegisteredFleet::repeat_call_late(const wire::Envelope& envelope) {
  if (std::bernoulli_distribution(options_.late_call_probability)(operator_random_)) {
    std::uniform_int_distribution<int64_t> delay(0, kMaxCallDelay.count());
    queue_.schedule_after(Duration(delay(operator_random_)), [this, envelope] { deliver(envelope); });
  }
}

void RegisteredFleet::send_from(const EntryNode& entry, wire::Envelope envelope) {
  envelope.from_node = entry.name;
  envelope.from_incarnation = 1;
  send(envelope);
}

void RegisteredFleet::report_traffic(const EntryNode& entry) {
  wire::Envelope envelope;
  envelope.to_node = entry.subscription->leader();
  envelope.__isset.slot_report = true;
  envelope.slot_report.is_complete = true;
  envelope.slot_report.traffic_seen = true;
  send_from(entry, std::move(envelope));
}

void RegisteredFleet::deliver(const wire::Envelope& envelope) {
  if (!is_linked(envelope.from_node, envelope.to_node)) {
    return;
  }
  for (auto& node : control_replicas_) {
    if (node.name == envelope.to_node && node.is_running) {
      node.controller->receive(queue_.now(), envelope);
      process_outputs(node);
      return;
    }
  }
  for (auto& entry : entries_) {
    if (entry.name != envelope.to_node || !envelope.__isset.fleet_update) {
      continue;
    }
    auto received = envelope;
    if (options_.entries_ignore_evacuations) {
      received.fleet_update.__isset.evacuations = false;
      received.fleet_update.evacuation_revision = 0;
    }
    entry.subscription->receive(queue_.now(), received);
  }
}

// ------------------------------------------------------------------ servers

int RegisteredFleet::execute_instance_order(const fleet::InstanceOrder& order) {
  auto* instance = find_instance(order.instance_id);
  if (instance == nullptr) {
    return 0;
  }
  const bool staged =
      std::find(instance->staged().begin(), instance->staged().end(), order.model) != instance->staged().end();
  const bool is_warm = staged || instance->model() == order.model;
  const bool was_open_head = instance->is_open_head();
  const SimulatedInstance instance_before = *instance;
  const int status = instance->execute_order(queue_.now(), order, is_warm ? kWarmJoinTime : kColdJoinTime);
  trace("order " + std::to_string(static_cast<int>(order.kind)) + " of " + order.group + " at " + order.instance_id +
        " answered " + std::to_string(status));
  if (order.kind == fleet::OrderKind::kJoin && status == http_status::kAccepted) {
    check_join_order(instance_before, order);
  }
  if (instance->is_open_head() && !was_open_head) {
    check_opened_group(*instance);
    ++result_.groups_opened;
  }
  return status;
}

void RegisteredFleet::send_order(ControlReplica& node, const fleet::InstanceOrder& order) {
  const uint64_t process_generation = node.process_generation;
  const auto report_result = [this, &node, process_generation, order](int status) {
    if (node.is_running && node.process_generation == process_generation) {
      fleet::InstanceOrderResult result;
      result.order = order;
      result.status = status;
      node.controller->handle_order_result(queue_.now(), result);
    }
  };
  const auto slot = std::find_if(server_slots_.begin(), server_slots_.end(),
                                 [&](const auto& item) { return item.address == order.address; });
  const bool is_reachable = slot != server_slots_.end() && slot->reachable && !node.is_isolated;
  if (!faults_ended_ && draw_bool(options_.late_order_probability)) {
    queue_.schedule_after(milliseconds(draw_integer(2000, 12'000)), [this, order] { execute_instance_order(order); });
    queue_.schedule_after(milliseconds(800), [report_result] { report_result(0); });
    return;
  }
  queue_.schedule_after(draw_network_delay(), [this, order, report_result, is_reachable] {
    const int status = is_reachable ? execute_instance_order(order) : 0;
    queue_.schedule_after(draw_network_delay(), [report_result, status] { report_result(status); });
  });
}

void RegisteredFleet::send_heartbeat(ServerSlot& slot) {
  if (!slot.instance) {
    return;
  }
  auto& node = control_replicas_[static_cast<size_t>(draw_integer(0, kControlReplicaCount - 1))];
  auto report = slot.instance->take_report();
  report.zone = slot.zone;
  trace(report.id + " reports " + report.membership.group + " state " + std::to_string(report.membership.state) +
        " to " + node.name + (node.is_running && !node.is_isolated && slot.reachable ? "" : ", lost"));
  if (!node.is_running || node.is_isolated || !slot.reachable) {
    return;
  }
  wire::ControlCall call;
  call.kind = wire::ControlCallKind::HEARTBEAT;
  call.instance_id = report.id;
  call.body = heartbeat_body(report);
  node.controller->submit_call(queue_.now(), std::move(call));
  process_outputs(node);
}

void RegisteredFleet::send_periodic_heartbeats(ServerSlot& slot) {
  send_heartbeat(slot);
  queue_.schedule_after(kHeartbeatInterval, [this, &slot] { send_periodic_heartbeats(slot); });
}

// ------------------------------------------------------------------- checks

void RegisteredFleet::check_join_order(const SimulatedInstance& instance, const fleet::InstanceOrder& order) {
  if (instance.membership().group == order.group || instance.members().empty()) {
    return;
  }
  auto* head = find_instance(instance.members().front());
  const bool is_same_group = head != nullptr && head->membership().group == instance.membership().group &&
                             head->membership().epoch == instance.membership().epoch;
  if (is_same_group && head->is_open_head() && head->id() != instance.id()) {
    add_violation("TWO: " + instance.id() + " accepts a join to " + order.group + " while the head of " +
                  instance.membership().group + " is open");
  }
}

void RegisteredFleet::check_opened_group(const SimulatedInstance& head) {
  for (const auto& member : head.members()) {
    if (!ready_memberships_.contains({member + "/" + head.membership().group, head.membership().epoch})) {
      add_violation("PARTIAL: " + head.membership().group + " opens although " + member + " was never ready");
    }
  }
}

const RegisteredFleet::ZoneOrder* RegisteredFleet::find_acknowledged_order(const std::string& zone,
                                                                           Duration minimum_age) const {
  const auto last = std::find_if(zone_orders_.rbegin(), zone_orders_.rend(),
                                 [&zone](const auto& order) { return order.zone == zone; });
  const bool is_acknowledged =
      last != zone_orders_.rend() && last->acknowledged_at && queue_.now() - *last->acknowledged_at >= minimum_age;
  return is_acknowledged ? &*last : nullptr;
}

void RegisteredFleet::check_evacuations(const std::string& node_name, const wire::ZoneEvacuations& node_evacuations,
                                        Duration minimum_age) {
  for (const std::string zone : kZoneNames) {
    const auto* order = find_acknowledged_order(zone, minimum_age);
    if (order != nullptr && fleet::is_evacuated(node_evacuations, zone) != order->is_evacuation) {
      add_violation("EVACUATION: " + node_name + " contradicts the acknowledged order that " + zone + " be " +
                    (order->is_evacuation ? "evacuated" : "restored"));
    }
  }
}

void RegisteredFleet::check_leases() {
  for (const auto& entry : entries_) {
    const bool may_serve = options_.entries_ignore_leases || entry.subscription->has_lease(queue_.now());
    if (!may_serve || entry.subscription->document_version() == 0) {
      continue;
    }
    check_evacuations(entry.name, entry.subscription->evacuations(), options_.fleet.document_lease);
    for (const auto& [version, acknowledgement_time] : document_acknowledged_at_) {
      const bool is_lease_expired = queue_.now() - acknowledgement_time > options_.fleet.document_lease;
      if (is_lease_expired && entry.subscription->document_version() < version) {
        add_violation("LEASE: " + entry.name + " serves with version " +
                      std::to_string(entry.subscription->document_version()) + " long after " +
                      std::to_string(version));
        return;
      }
    }
  }
}

void RegisteredFleet::check_final_state() {
  size_t leaders = 0;
  bool are_all_evacuated = false;
  for (const auto& node : control_replicas_) {
    if (!node.is_running || !node.controller->is_leader(queue_.now())) {
      continue;
    }
    ++leaders;
    if (node.controller->log().document_version() < newest_acknowledged_version_) {
      add_violation("LOST: version " + std::to_string(newest_acknowledged_version_) +
                    " was acknowledged, but the leader has " +
                    std::to_string(node.controller->log().document_version()));
    }
    const auto& evacuations = node.controller->log().evacuations();
    check_evacuations(node.name, evacuations, Duration::zero());
    // With all zones evacuated no new group is formed, and faults may have ended all existing ones.
    are_all_evacuated = evacuations.zones.size() == std::size(kZoneNames);
    for (const auto& group : node.controller->leader_view().groups()) {
      result_.open_groups_at_end += group.phase == wire::GroupPhase::OPEN ? 1 : 0;
    }
  }
  if (result_.created_logs != 1) {
    add_violation("FORMATION: " + std::to_string(result_.created_logs) + " logs were created");
  }
  if (leaders != 1) {
    add_violation("REST: " + std::to_string(leaders) + " leaders after the faults ended");
  }
  for (const auto& entry : entries_) {
    if (!entry.subscription->has_lease(queue_.now()) ||
        entry.subscription->document_version() < newest_acknowledged_version_) {
      add_violation("REST: " + entry.name + " does not serve with the newest document");
    }
  }
  if (result_.open_groups_at_end == 0 && !are_all_evacuated) {
    add_violation("REST: no group is open");
  }
}

// ------------------------------------------------------------------- faults

void RegisteredFleet::inject_control_fault() {
  auto& node = control_replicas_[static_cast<size_t>(draw_integer(0, kControlReplicaCount - 1))];
  const size_t unavailable_replicas =
      static_cast<size_t>(std::count_if(control_replicas_.begin(), control_replicas_.end(),
                                        [](const auto& item) { return !item.is_running || item.is_isolated; }));
  const int64_t kind = draw_integer(0, 5);
  if (kind == 0) {  // All replicas crash at once; their disks survive.
    for (auto& replica : control_replicas_) {
      if (replica.is_running) {
        stop_control_replica(replica, draw_bool(0.5));
      }
      queue_.schedule_after(milliseconds(draw_integer(100, 900)), [this, &replica] {
        if (!replica.is_running) {
          start_control_replica(replica);
        }
      });
    }
    return;
  }
  if (!node.is_running || node.is_isolated || unavailable_replicas >= kToleratedReplicaLosses) {
    return;
  }
  if (kind == 1) {
    node.is_isolated = true;
    queue_.schedule_after(milliseconds(draw_integer(500, 6000)), [&node] { node.is_isolated = false; });
    return;
  }
  const bool loses_disk =
      kind == 2 && (last_disk_loss_ == TimePoint::min() || queue_.now() - last_disk_loss_ > kMinDiskLossInterval);
  stop_control_replica(node, true);
  if (loses_disk) {
    last_disk_loss_ = queue_.now();
    node.disk.replace_with_empty();
    node.saved_state = {};
    node.founder_choice.clear();
  }
  queue_.schedule_after(milliseconds(draw_integer(100, 3000)), [this, &node] {
    if (!node.is_running) {
      start_control_replica(node);
    }
  });
}

void RegisteredFleet::inject_server_fault() {
  auto& slot = server_slots_[static_cast<size_t>(draw_integer(0, std::ssize(server_slots_) - 1))];
  if (!slot.instance) {
    return;
  }
  if (draw_bool(0.3)) {  // The server keeps running but is unreachable from the control replicas.
    slot.reachable = false;
    queue_.schedule_after(milliseconds(draw_integer(1000, 9000)), [&slot] { slot.reachable = true; });
    return;
  }
  trace(slot.instance->id() + " dies");
  slot.staged = slot.instance->staged();
  slot.instance.reset();
  queue_.schedule_after(milliseconds(draw_integer(300, 8000)), [this, &slot] {
    slot.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), slot.address,
                                                        slot.domain, slot.staged);
  });
}

void RegisteredFleet::inject_fault() {
  if (faults_ended_) {
    return;
  }
  ++result_.faults;
  const int64_t kind = draw_integer(0, 9);
  if (kind < 4) {
    inject_control_fault();
  } else if (kind < 9) {
    inject_server_fault();
  } else {
    auto& entry = entries_[static_cast<size_t>(draw_integer(0, kEntryCount - 1))];
    entry.is_isolated = true;
    queue_.schedule_after(milliseconds(draw_integer(500, 9000)), [&entry] { entry.is_isolated = false; });
  }
  const auto mean_seconds = std::chrono::duration<double>(options_.mean_fault_interval).count();
  const double interval_seconds = std::exponential_distribution<double>(1.0 / mean_seconds)(random_);
  queue_.schedule_after(Duration(static_cast<int64_t>(interval_seconds * 1e6)), [this] { inject_fault(); });
}

void RegisteredFleet::repair_all() {
  faults_ended_ = true;
  for (auto& node : control_replicas_) {
    node.is_isolated = false;
    if (!node.is_running) {
      start_control_replica(node);
    }
  }
  for (auto& entry : entries_) {
    entry.is_isolated = false;
  }
  for (auto& slot : server_slots_) {
    slot.reachable = true;
    if (!slot.instance) {
      slot.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), slot.address,
                                                          slot.domain, slot.staged);
    }
  }
}

// --------------------------------------------------------------------- time

void RegisteredFleet::put_document(int64_t version) {
  auto& node = control_replicas_[static_cast<size_t>(draw_integer(0, kControlReplicaCount - 1))];
  if (node.is_running && !node.is_isolated) {
    wire::ControlCall call;
    call.kind = wire::ControlCallKind::PUT_DOCUMENT;
    call.body = make_document_json(version);
    const int64_t id = node.controller->submit_call(queue_.now(), std::move(call));
    pending_documents_[{node.name, id}] = {version};
    process_outputs(node);
  }
  const bool is_retry = !document_acknowledged_at_.contains(version) && next_version_ == version + 1;
  queue_.schedule_after(is_retry ? milliseconds(400) : kDocumentInterval, [this, is_retry, version] {
    if (!faults_ended_ || is_retry) {
      put_document(is_retry ? version : next_version_++);
    }
  });
}

void RegisteredFleet::start_zone_order() {
  ZoneOrder order;
  order.zone = kZoneNames[operator_random_() % std::size(kZoneNames)];
  const auto last = std::find_if(zone_orders_.rbegin(), zone_orders_.rend(),
                                 [&order](const auto& other) { return other.zone == order.zone; });
  order.is_evacuation = last == zone_orders_.rend() || !last->is_evacuation;
  order.first_sent_at = queue_.now();
  zone_orders_.push_back(order);
  send_zone_order();
}

void RegisteredFleet::send_zone_order() {
  const ZoneOrder& order = zone_orders_.back();
  const bool is_finished = order.acknowledged_at || queue_.now() - order.first_sent_at > kZoneOrderTimeout;
  if (is_finished) {
    if (!faults_ended_) {
      queue_.schedule_after(kZoneOrderInterval, [this] { start_zone_order(); });
    }
    return;
  }
  auto& node = control_replicas_[operator_random_() % kControlReplicaCount];
  if (node.is_running && !node.is_isolated) {
    wire::ControlCall call;
    call.kind = order.is_evacuation ? wire::ControlCallKind::EVACUATE_ZONE : wire::ControlCallKind::RESTORE_ZONE;
    call.zone = order.zone;
    const int64_t id = node.controller->submit_call(queue_.now(), std::move(call));
    pending_zone_calls_[{node.name, id}] = zone_orders_.size() - 1;
    process_outputs(node);
  }
  queue_.schedule_after(kZoneOrderRetryInterval, [this] { send_zone_order(); });
}

void RegisteredFleet::tick() {
  const TimePoint now = queue_.now();
  for (auto& node : control_replicas_) {
    if (!node.is_running) {
      continue;
    }
    node.controller->tick(now);
    if (now - node.state_saved_at > kStateSaveInterval) {
      node.state_saved_at = now;
      node.saved_state = node.controller->subscription().state();
    }
    process_outputs(node);
    if (node.controller->needs_new_identity()) {
      node.disk.assign_identity(ReplicaId(draw_integer(1, INT64_MAX - 1)));
      node.founder_choice.clear();
      start_replica(node);
    }
  }
  for (auto& entry : entries_) {
    if (auto heartbeat = entry.subscription->tick(now, {})) {
      send_from(entry, std::move(*heartbeat));
    }
    if (now - entry.traffic_reported_at > kTrafficReportInterval) {
      entry.traffic_reported_at = now;
      report_traffic(entry);
    }
  }
  for (auto& slot : server_slots_) {
    if (!slot.instance) {
      continue;
    }
    auto& instance = *slot.instance;
    instance.advance(now);
    const auto& membership = instance.membership();
    if (membership.state == wire::MembershipState::READY) {
      ready_memberships_.emplace(instance.id() + "/" + membership.group, membership.epoch);
    }
    for (const auto& id : instance.members()) {
      auto* member = find_instance(id);
      const bool is_present = member != nullptr && member->membership().group == membership.group &&
                              member->membership().epoch == membership.epoch;
      if (!is_present) {
        instance.handle_missing_member(now, options_.head_stall_time);
      }
    }
    if (instance.has_unreported_changes()) {
      send_heartbeat(slot);
    }
  }
  check_leases();
  queue_.schedule_after(kTickInterval, [this] { tick(); });
}

RegisteredFleetResult RegisteredFleet::run() {
  for (size_t number = 0; number < control_replicas_.size(); ++number) {
    queue_.schedule_after(milliseconds(draw_integer(0, 300)),
                          [this, number] { start_control_replica(control_replicas_[number]); });
  }
  for (auto& slot : server_slots_) {
    slot.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), slot.address,
                                                        slot.domain, std::vector<std::string>());
    const Duration offset = milliseconds(draw_integer(0, 1200));
    queue_.schedule_after(offset, [this, &slot] { send_periodic_heartbeats(slot); });
  }
  queue_.schedule_after(kTickInterval, [this] { tick(); });
  queue_.schedule_after(milliseconds(600), [this] { put_document(next_version_++); });
  queue_.schedule_after(seconds(6), [this] { inject_fault(); });
  if (options_.enable_zone_orders) {
    queue_.schedule_after(seconds(6), [this] { start_zone_order(); });
  }
  queue_.schedule_after(options_.fault_duration, [this] { repair_all(); });
  const auto should_stop = [this] { return !result_.violations.empty(); };
  queue_.run_until(TimePoint(options_.fault_duration + options_.recovery_duration), should_stop);
  if (result_.violations.empty()) {
    check_final_state();
  }
  return result_;
}

}  // namespace larchlever::simulation
