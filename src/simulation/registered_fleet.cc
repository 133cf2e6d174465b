#include "simulation/registered_fleet.h"

#include <algorithm>

#include "core/base/http_status.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::simulation {

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 3;
constexpr int kDomains = 3;
constexpr int kServersPerDomain = 8;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kBeatInterval = milliseconds(1200);
constexpr Duration kPutInterval = milliseconds(2500);
constexpr Duration kWarmJoin = milliseconds(200);
constexpr Duration kColdJoin = seconds(3);
/// Two disks may be lost at once; the next one only once the repair had this time.
constexpr Duration kWipeSpacing = seconds(8);
constexpr size_t kToleratedLosses = 2;
constexpr Duration kStateSaveInterval = milliseconds(400);
constexpr Duration kReportInterval = seconds(1);
constexpr const char* kZones[] = {"a", "b", "c"};
/// An operator waits for an answer before it sends an order again, gives it up after a while, and rests between orders.
constexpr Duration kOrderRetry = seconds(1);
constexpr Duration kOrderPatience = seconds(5);
constexpr Duration kOrderPause = seconds(2);

std::string document_text(int64_t version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[],"services":[{"name":"engines","health_path":"/","max_connections":100,"engine":{"slots":8,)"
         R"("models":[{"name":"large","size":4,"fraction":0.7},{"name":"small","size":2,"fraction":0.3}],)"
         R"("loads_per_s":4,"loads_at_once":6,"cached_prefixes":1}}]})";
}

}  // namespace

RegisteredFleet::RegisteredFleet(const RegisteredFleetOptions& options)
    : options_(options), random_(options.seed), operators_random_(options.seed) {
  auto& fleet = options_.fleet;
  fleet.minimum_voters = 2 * kToleratedLosses + 1;
  fleet.control.minimum_voters = fleet.minimum_voters;
  fleet.control.replica_timeout = milliseconds(1300);
  fleet.control.snapshot_interval_entries = 8;
  fleet.control.snapshot_trailing_entries = 2;
  controls_.resize(kControls);
  for (int number = 0; number < kControls; ++number) {
    controls_[number].name = "10.0.0." + std::to_string(number + 1) + ":7000";
  }
  for (int number = 0; number < kEntries; ++number) {
    fleet::PeerIdentity identity;
    identity.peer_address = "10.0.1." + std::to_string(number + 1) + ":7000";
    identity.serves_requests = true;
    identity.incarnation = Incarnation(1);
    EntryNode entry;
    entry.name = identity.peer_address;
    const std::vector<std::string> seeds = {controls_[0].name, controls_[1].name, controls_[2].name};
    entry.subscription = std::make_unique<fleet::FleetSubscription>(fleet, identity, seeds);
    entries_.push_back(std::move(entry));
  }
  for (int number = 0; number < kDomains * kServersPerDomain; ++number) {
    Place place;
    place.address = "10.0.2." + std::to_string(number + 1) + ":80";
    place.domain = "d" + std::to_string(number / kServersPerDomain);
    place.zone = options_.operators_evacuate ? kZones[number / kServersPerDomain] : kZones[0];
    places_.push_back(std::move(place));
  }
}

bool RegisteredFleet::chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

int64_t RegisteredFleet::draw(int64_t least, int64_t most) {
  return std::uniform_int_distribution<int64_t>(least, most)(random_);
}

Duration RegisteredFleet::network_delay() { return microseconds(draw(300, 4000)); }

void RegisteredFleet::violate(const std::string& what) {
  const auto at = std::chrono::duration_cast<milliseconds>(queue_.now().time_since_epoch()).count();
  result_.violations.push_back("at " + std::to_string(at) + " ms: " + what);
}

void RegisteredFleet::trace(const std::string& what) const {
  if (options_.trace) {
    const auto at = std::chrono::duration_cast<milliseconds>(queue_.now().time_since_epoch()).count();
    options_.trace(std::to_string(at) + " ms " + what);
  }
}

SimulatedInstance* RegisteredFleet::find_instance(const std::string& id) {
  for (auto& place : places_) {
    if (place.instance && place.instance->id() == id) {
      return place.instance.get();
    }
  }
  return nullptr;
}

// ---------------------------------------------------------------- processes

void RegisteredFleet::start_control(ControlNode& node) {
  fleet::PeerIdentity identity;
  identity.peer_address = node.name;
  identity.control_address = node.name;
  identity.incarnation = Incarnation(draw(1, 1'000'000'000));  // Clocks may be set back: no order in it.
  const std::vector<std::string> seeds = {controls_[0].name, controls_[1].name, controls_[2].name};
  node.controller = std::make_unique<fleet::FleetController>(options_.fleet, identity, seeds, random_());
  node.up = true;
  ++node.life;
  if (node.disk.replica_id() == ReplicaId()) {
    node.disk.assign_identity(ReplicaId(draw(1, INT64_MAX - 1)));
  }
  node.controller->restore_state(node.saved_state);
  start_replica(node);
  // The settings are those of the first start, however often a replica starts and whatever it lost.
  const bool is_seed = std::find(seeds.begin(), seeds.end(), node.name) != seeds.end();
  if (is_seed && !holds_log(node)) {
    node.controller->begin_cluster_formation(queue_.now(), node.founder_choice);
  }
}

bool RegisteredFleet::holds_log(const ControlNode& node) {
  return !node.disk.image().entries.empty() || node.disk.image().snapshot.index > 0;
}

void RegisteredFleet::start_replica(ControlNode& node) {
  node.controller->start_replica(queue_.now(), node.disk.replica_id(), Incarnation(++node.boots), node.disk.image());
}

void RegisteredFleet::found_cluster(ControlNode& node) {
  trace(node.name + " founds");
  ++result_.logs_founded;
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

void RegisteredFleet::stop_control(ControlNode& node, bool power_lost) {
  trace(node.name + " stops");
  node.up = false;
  node.controller.reset();
  // Its next start counts its calls anew, and answers none of these.
  const auto is_of_node = [&node](const auto& call) { return call.first.first == node.name; };
  std::erase_if(puts_, is_of_node);
  std::erase_if(pending_zone_calls_, is_of_node);
  node.disk.crash(power_lost ? static_cast<size_t>(draw(0, static_cast<int64_t>(node.disk.in_flight())))
                             : node.disk.in_flight());
}

void RegisteredFleet::sync_disk(ControlNode& node, const consensus::RaftOutput& batch) {
  node.disk.submit(batch);
  const uint64_t life = node.life;
  const auto acknowledge = [this, &node, life, batch] {
    if (node.up && node.life == life) {
      node.controller->handle_storage_synced(queue_.now(), batch);
      carry_outputs(node);
    }
  };
  const Duration sync_time = microseconds(draw(300, 6000));
  if (options_.lying_disks) {
    queue_.after(sync_time, acknowledge);
    return;  // Acknowledged, yet only in the cache.
  }
  queue_.after(sync_time, [&node, life, acknowledge] {
    if (node.up && node.life == life) {
      node.disk.sync_oldest();
      acknowledge();
    }
  });
}

void RegisteredFleet::carry_outputs(ControlNode& node) {
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
    found_cluster(node);
  }
  for (const auto& reply : outputs.replies) {
    if (const auto zone_call = pending_zone_calls_.find({node.name, reply.id});
        zone_call != pending_zone_calls_.end()) {
      ZoneOrder& order = zone_orders_.at(zone_call->second);
      pending_zone_calls_.erase(zone_call);
      if (reply.status == http_status::kOk && !order.acknowledged) {
        ++result_.evacuations_acknowledged;
        order.acknowledged = queue_.now();
      }
      continue;
    }
    const auto put = puts_.find({node.name, reply.id});
    if (put == puts_.end()) {
      continue;
    }
    if (reply.status == http_status::kOk) {
      ++result_.documents_acknowledged;
      newest_acknowledged_ = std::max(newest_acknowledged_, put->second.version);
      acknowledged_at_.try_emplace(put->second.version, queue_.now());
    }
    puts_.erase(put);
  }
}

// ------------------------------------------------------------------ network

bool RegisteredFleet::linked(const std::string& left, const std::string& right) const {
  const auto is_cut = [this](const std::string& name) {
    const auto control =
        std::find_if(controls_.begin(), controls_.end(), [&](const auto& node) { return node.name == name; });
    if (control != controls_.end()) {
      return control->cut;
    }
    const auto entry =
        std::find_if(entries_.begin(), entries_.end(), [&](const auto& node) { return node.name == name; });
    return entry != entries_.end() && entry->cut;
  };
  return !is_cut(left) && !is_cut(right);
}

void RegisteredFleet::send(const wire::Envelope& envelope) {
  if (!linked(envelope.from_node, envelope.to_node) || (!calm_ && chance(0.005))) {
    return;
  }
  queue_.after(network_delay(), [this, envelope] { deliver(envelope); });
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
  if (!linked(envelope.from_node, envelope.to_node)) {
    return;
  }
  for (auto& node : controls_) {
    if (node.name == envelope.to_node && node.up) {
      node.controller->receive(queue_.now(), envelope);
      carry_outputs(node);
      return;
    }
  }
  for (auto& entry : entries_) {
    if (entry.name != envelope.to_node || !envelope.__isset.fleet_update) {
      continue;
    }
    auto received = envelope;
    if (options_.entries_miss_evacuations) {
      received.fleet_update.__isset.evacuations = false;
      received.fleet_update.evacuation_revision = 0;
    }
    entry.subscription->receive(queue_.now(), received);
  }
}

// ------------------------------------------------------------------ servers

int RegisteredFleet::execute(const fleet::InstanceOrder& order) {
  auto* instance = find_instance(order.instance_id);
  if (instance == nullptr) {
    return 0;
  }
  const bool staged =
      std::find(instance->staged().begin(), instance->staged().end(), order.model) != instance->staged().end();
  const bool warm = staged || instance->model() == order.model;
  const bool was_open = instance->is_open_head();
  const SimulatedInstance before = *instance;
  const int status = instance->carry_out(queue_.now(), order, warm ? kWarmJoin : kColdJoin);
  trace("order " + std::to_string(static_cast<int>(order.kind)) + " of " + order.group + " at " + order.instance_id +
        " answered " + std::to_string(status));
  if (order.kind == fleet::OrderKind::kJoin && status == http_status::kAccepted) {
    check_join(before, order);
  }
  if (instance->is_open_head() && !was_open) {
    check_open(*instance);
    ++result_.groups_opened;
  }
  return status;
}

void RegisteredFleet::send_order(ControlNode& node, const fleet::InstanceOrder& order) {
  const uint64_t life = node.life;
  const auto answer = [this, &node, life, order](int status) {
    if (node.up && node.life == life) {
      fleet::InstanceOrderResult result;
      result.order = order;
      result.status = status;
      node.controller->handle_order_result(queue_.now(), result);
    }
  };
  const auto place =
      std::find_if(places_.begin(), places_.end(), [&](const auto& item) { return item.address == order.address; });
  const bool reaches = place != places_.end() && place->reachable && !node.cut;
  if (!calm_ && chance(options_.late_orders)) {
    queue_.after(milliseconds(draw(2000, 12'000)), [this, order] { execute(order); });
    queue_.after(milliseconds(800), [answer] { answer(0); });
    return;
  }
  queue_.after(network_delay(), [this, order, answer, reaches] {
    const int status = reaches ? execute(order) : 0;
    queue_.after(network_delay(), [answer, status] { answer(status); });
  });
}

void RegisteredFleet::beat(Place& place) {
  if (!place.instance) {
    return;
  }
  auto& node = controls_[static_cast<size_t>(draw(0, kControls - 1))];
  const auto report = place.instance->report();
  trace(report.id + " reports " + report.membership.group + " state " + std::to_string(report.membership.state) +
        " to " + node.name + (node.up && !node.cut && place.reachable ? "" : ", lost"));
  if (!node.up || node.cut || !place.reachable) {
    return;
  }
  // As the parsed body would arrive: the controller reads JSON, so the report is written as such.
  const auto& membership = report.membership;
  static const std::map<wire::MembershipState::type, std::string> states = {
      {wire::MembershipState::JOINING, "joining"}, {wire::MembershipState::READY, "ready"},
      {wire::MembershipState::OPEN, "open"},       {wire::MembershipState::CLOSING, "closing"},
      {wire::MembershipState::BROKEN, "broken"},   {wire::MembershipState::NONE, ""}};
  std::string body = R"({"service":"engines","address":")" + report.address + R"(","zone":")" + place.zone +
                     R"(","version":"v1","slots":8,"cold_left_ms":0,"domain":")" + report.domain + R"(","state":")" +
                     (report.state == wire::InstanceState::READY ? "ready" : "draining") + R"(","call_seq":)" +
                     std::to_string(report.call_number) + R"(,"staged":[)";
  for (const auto& staged : report.staged_models) {
    body += "\"" + staged + "\"";
  }
  body += R"(],"models":[{"name":")" + report.model + R"("}])";
  if (!membership.group.empty()) {
    body += R"(,"group":{"name":")" + membership.group + R"(","epoch":)" + std::to_string(membership.epoch) +
            R"(,"rank":)" + std::to_string(membership.rank) + R"(,"state":")" + states.at(membership.state) + R"("})";
  }
  body += "}";
  wire::ControlCall call;
  call.kind = wire::ControlCallKind::HEARTBEAT;
  call.instance_id = report.id;
  call.body = std::move(body);
  node.controller->submit_call(queue_.now(), std::move(call));
  carry_outputs(node);
}

void RegisteredFleet::keep_beating(Place& place) {
  beat(place);
  queue_.after(kBeatInterval, [this, &place] { keep_beating(place); });
}

// ------------------------------------------------------------------- checks

void RegisteredFleet::check_join(const SimulatedInstance& instance, const fleet::InstanceOrder& order) {
  if (instance.membership().group == order.group || instance.members().empty()) {
    return;
  }
  auto* head = find_instance(instance.members().front());
  const bool same = head != nullptr && head->membership().group == instance.membership().group &&
                    head->membership().epoch == instance.membership().epoch;
  if (same && head->is_open_head() && head->id() != instance.id()) {
    violate("TWO: " + instance.id() + " takes a join to " + order.group + " while the head of " +
            instance.membership().group + " is open");
  }
}

void RegisteredFleet::check_open(const SimulatedInstance& head) {
  for (const auto& member : head.members()) {
    if (!ever_ready_.contains({member + "/" + head.membership().group, head.membership().epoch})) {
      violate("PARTIAL: " + head.membership().group + " opens though " + member + " was never ready");
    }
  }
}

const RegisteredFleet::ZoneOrder* RegisteredFleet::settled_order(const std::string& zone, Duration age) const {
  const auto last = std::find_if(zone_orders_.rbegin(), zone_orders_.rend(),
                                 [&zone](const auto& order) { return order.zone == zone; });
  const bool is_settled =
      last != zone_orders_.rend() && last->acknowledged && queue_.now() - *last->acknowledged >= age;
  return is_settled ? &*last : nullptr;
}

void RegisteredFleet::check_evacuations(const std::string& who, const wire::ZoneEvacuations& held, Duration age) {
  for (const std::string zone : kZones) {
    const auto* order = settled_order(zone, age);
    if (order != nullptr && fleet::is_evacuated(held, zone) != order->begins) {
      violate("EVACUATION: " + who + " goes against the order that " + zone + " be " +
              (order->begins ? "evacuated" : "restored"));
    }
  }
}

void RegisteredFleet::check_leases() {
  for (const auto& entry : entries_) {
    const bool serves = options_.entries_ignore_leases || entry.subscription->has_lease(queue_.now());
    if (!serves || entry.subscription->document_version() == 0) {
      continue;
    }
    check_evacuations(entry.name, entry.subscription->evacuations(), options_.fleet.document_lease);
    for (const auto& [version, at] : acknowledged_at_) {
      const bool due = queue_.now() - at > options_.fleet.document_lease;
      if (due && entry.subscription->document_version() < version) {
        violate("LEASE: " + entry.name + " serves by version " +
                std::to_string(entry.subscription->document_version()) + " long after " + std::to_string(version));
        return;
      }
    }
  }
}

void RegisteredFleet::check_rest() {
  size_t leaders = 0;
  bool are_all_evacuated = false;
  for (const auto& node : controls_) {
    if (!node.up || !node.controller->is_leader(queue_.now())) {
      continue;
    }
    ++leaders;
    if (node.controller->log().document_version() < newest_acknowledged_) {
      violate("LOST: version " + std::to_string(newest_acknowledged_) + " was acknowledged, the leader holds " +
              std::to_string(node.controller->log().document_version()));
    }
    const auto& evacuations = node.controller->log().evacuations();
    check_evacuations(node.name, evacuations, Duration::zero());
    // Nothing forms then, and faults may have ended every group.
    are_all_evacuated = evacuations.zones.size() == std::size(kZones);
    for (const auto& group : node.controller->leader_view().groups()) {
      result_.open_at_end += group.phase == wire::GroupPhase::OPEN ? 1 : 0;
    }
  }
  if (result_.logs_founded != 1) {
    violate("FORMATION: " + std::to_string(result_.logs_founded) + " logs were founded");
  }
  if (leaders != 1) {
    violate("REST: " + std::to_string(leaders) + " leaders after the faults ended");
  }
  for (const auto& entry : entries_) {
    if (!entry.subscription->has_lease(queue_.now()) || entry.subscription->document_version() < newest_acknowledged_) {
      violate("REST: " + entry.name + " does not serve by the newest document");
    }
  }
  if (result_.open_at_end == 0 && !are_all_evacuated) {
    violate("REST: no group is open");
  }
}

// ------------------------------------------------------------------- faults

void RegisteredFleet::strike_control() {
  auto& node = controls_[static_cast<size_t>(draw(0, kControls - 1))];
  const size_t down = static_cast<size_t>(
      std::count_if(controls_.begin(), controls_.end(), [](const auto& item) { return !item.up || item.cut; }));
  const int64_t kind = draw(0, 5);
  if (kind == 0) {  // All of them at once; their disks survive.
    for (auto& each : controls_) {
      if (each.up) {
        stop_control(each, chance(0.5));
      }
      queue_.after(milliseconds(draw(100, 900)), [this, &each] {
        if (!each.up) {
          start_control(each);
        }
      });
    }
    return;
  }
  if (!node.up || node.cut || down >= kToleratedLosses) {
    return;
  }
  if (kind == 1) {
    node.cut = true;
    queue_.after(milliseconds(draw(500, 6000)), [&node] { node.cut = false; });
    return;
  }
  const bool wipe = kind == 2 && (last_wipe_ == TimePoint::min() || queue_.now() - last_wipe_ > kWipeSpacing);
  stop_control(node, true);
  if (wipe) {
    last_wipe_ = queue_.now();
    node.disk.lose();
    node.saved_state = {};
    node.founder_choice.clear();
  }
  queue_.after(milliseconds(draw(100, 3000)), [this, &node] {
    if (!node.up) {
      start_control(node);
    }
  });
}

void RegisteredFleet::strike_server() {
  auto& place = places_[static_cast<size_t>(draw(0, std::ssize(places_) - 1))];
  if (!place.instance) {
    return;
  }
  if (chance(0.3)) {  // Cut off from control, while it goes on.
    place.reachable = false;
    queue_.after(milliseconds(draw(1000, 9000)), [&place] { place.reachable = true; });
    return;
  }
  trace(place.instance->id() + " dies");
  place.staged = place.instance->staged();
  place.instance.reset();
  queue_.after(milliseconds(draw(300, 8000)), [this, &place] {
    place.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), place.address,
                                                         place.domain, place.staged);
  });
}

void RegisteredFleet::strike() {
  if (calm_) {
    return;
  }
  ++result_.faults;
  const int64_t kind = draw(0, 9);
  if (kind < 4) {
    strike_control();
  } else if (kind < 9) {
    strike_server();
  } else {
    auto& entry = entries_[static_cast<size_t>(draw(0, kEntries - 1))];
    entry.cut = true;
    queue_.after(milliseconds(draw(500, 9000)), [&entry] { entry.cut = false; });
  }
  const auto mean = std::chrono::duration<double>(options_.mean_fault_interval).count();
  const double wait = std::exponential_distribution<double>(1.0 / mean)(random_);
  queue_.after(Duration(static_cast<int64_t>(wait * 1e6)), [this] { strike(); });
}

void RegisteredFleet::heal_all() {
  calm_ = true;
  for (auto& node : controls_) {
    node.cut = false;
    if (!node.up) {
      start_control(node);
    }
  }
  for (auto& entry : entries_) {
    entry.cut = false;
  }
  for (auto& place : places_) {
    place.reachable = true;
    if (!place.instance) {
      place.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), place.address,
                                                           place.domain, place.staged);
    }
  }
}

// --------------------------------------------------------------------- time

void RegisteredFleet::put_document(int64_t version) {
  auto& node = controls_[static_cast<size_t>(draw(0, kControls - 1))];
  if (node.up && !node.cut) {
    wire::ControlCall call;
    call.kind = wire::ControlCallKind::PUT_DOCUMENT;
    call.body = document_text(version);
    const int64_t id = node.controller->submit_call(queue_.now(), std::move(call));
    puts_[{node.name, id}] = {version};
    carry_outputs(node);
  }
  const bool again = !acknowledged_at_.contains(version) && next_version_ == version + 1;
  queue_.after(again ? milliseconds(400) : kPutInterval, [this, again, version] {
    if (!calm_ || again) {
      put_document(again ? version : next_version_++);
    }
  });
}

void RegisteredFleet::begin_zone_order() {
  ZoneOrder order;
  order.zone = kZones[operators_random_() % std::size(kZones)];
  const auto last = std::find_if(zone_orders_.rbegin(), zone_orders_.rend(),
                                 [&order](const auto& other) { return other.zone == order.zone; });
  order.begins = last == zone_orders_.rend() || !last->begins;
  order.first_sent = queue_.now();
  zone_orders_.push_back(order);
  send_zone_order();
}

void RegisteredFleet::send_zone_order() {
  const ZoneOrder& order = zone_orders_.back();
  const bool is_over = order.acknowledged || queue_.now() - order.first_sent > kOrderPatience;
  if (is_over) {
    if (!calm_) {
      queue_.after(kOrderPause, [this] { begin_zone_order(); });
    }
    return;
  }
  auto& node = controls_[operators_random_() % kControls];
  if (node.up && !node.cut) {
    wire::ControlCall call;
    call.kind = order.begins ? wire::ControlCallKind::EVACUATE_ZONE : wire::ControlCallKind::RESTORE_ZONE;
    call.zone = order.zone;
    const int64_t id = node.controller->submit_call(queue_.now(), std::move(call));
    pending_zone_calls_[{node.name, id}] = zone_orders_.size() - 1;
    carry_outputs(node);
  }
  queue_.after(kOrderRetry, [this] { send_zone_order(); });
}

void RegisteredFleet::tick() {
  const TimePoint now = queue_.now();
  for (auto& node : controls_) {
    if (!node.up) {
      continue;
    }
    node.controller->tick(now);
    if (now - node.saved_at > kStateSaveInterval) {
      node.saved_at = now;
      node.saved_state = node.controller->subscription().state();
    }
    carry_outputs(node);
    if (node.controller->needs_new_identity()) {
      node.disk.assign_identity(ReplicaId(draw(1, INT64_MAX - 1)));
      node.founder_choice.clear();
      start_replica(node);
    }
  }
  for (auto& entry : entries_) {
    if (auto heartbeat = entry.subscription->tick(now, {})) {
      send_from(entry, std::move(*heartbeat));
    }
    if (now - entry.reported_at > kReportInterval) {
      entry.reported_at = now;
      report_traffic(entry);
    }
  }
  for (auto& place : places_) {
    if (!place.instance) {
      continue;
    }
    auto& instance = *place.instance;
    instance.advance(now);
    const auto& membership = instance.membership();
    if (membership.state == wire::MembershipState::READY) {
      ever_ready_.emplace(instance.id() + "/" + membership.group, membership.epoch);
    }
    for (const auto& id : instance.members()) {
      auto* member = find_instance(id);
      const bool present = member != nullptr && member->membership().group == membership.group &&
                           member->membership().epoch == membership.epoch;
      if (!present) {
        instance.note_incomplete(now, options_.server_stall);
      }
    }
    if (instance.has_news()) {
      beat(place);
    }
  }
  check_leases();
  queue_.after(kTick, [this] { tick(); });
}

RegisteredFleetResult RegisteredFleet::run() {
  for (size_t number = 0; number < controls_.size(); ++number) {
    queue_.after(milliseconds(draw(0, 300)), [this, number] { start_control(controls_[number]); });
  }
  for (auto& place : places_) {
    place.instance = std::make_unique<SimulatedInstance>("i" + std::to_string(next_instance_++), place.address,
                                                         place.domain, std::vector<std::string>());
    const Duration offset = milliseconds(draw(0, 1200));
    queue_.after(offset, [this, &place] { keep_beating(place); });
  }
  queue_.after(kTick, [this] { tick(); });
  queue_.after(milliseconds(600), [this] { put_document(next_version_++); });
  queue_.after(seconds(6), [this] { strike(); });
  if (options_.operators_evacuate) {
    queue_.after(seconds(6), [this] { begin_zone_order(); });
  }
  queue_.after(options_.fault_time, [this] { heal_all(); });
  const auto stop = [this] { return !result_.violations.empty(); };
  queue_.run_until(TimePoint(options_.fault_time + options_.calm_time), stop);
  if (result_.violations.empty()) {
    check_rest();
  }
  return result_;
}

}  // namespace larchlever::simulation
