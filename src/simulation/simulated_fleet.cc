#include "simulation/simulated_fleet.h"

#include <algorithm>
#include <ctime>

#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int64_t kWallClockStart = 1'700'000'000'000;
constexpr size_t kFrameHeader = 16;
constexpr int64_t kIncarnationStep = 1'000'000;
constexpr Duration kMembershipInterval = seconds(1);

int64_t thread_time_ns() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetOptions& options, EventQueue& queue, InvariantMonitor& monitor)
    : options_(options), queue_(queue), monitor_(monitor), random_(options.seed) {
  for (const auto& zone : options_.zones) {
    for (int domain = 1; domain <= zone.domains; ++domain) {
      for (int number = 1; number <= zone.machines_per_domain; ++number) {
        SimulatedMachine machine;
        machine.zone = zone.name;
        machine.domain = zone.name + "-d" + std::to_string(domain);
        machine.id = machine.domain + "-m" + std::to_string(number);
        machine.accelerators = zone.accelerators;
        machine.checks_fences = zone.checks_fences;
        machines_[machine.id] = machine;
      }
    }
  }
  std::uniform_real_distribution<double> drift(-options_.clock_drift, options_.clock_drift);
  std::vector<std::string> control_nodes;
  for (int number = 1; number <= options_.nodes; ++number) {
    SimulatedNode node;
    node.name = "n" + std::to_string(number);
    node.zone = options_.zones[static_cast<size_t>(number - 1) % options_.zones.size()].name;
    node.has_disk = number <= options_.disks;
    node.clock_rate = 1.0 + drift(random_);
    if (node.has_disk) {
      control_nodes.push_back(node.name);
    }
    nodes_.emplace(node.name, std::move(node));
  }
  options_.controller.control_nodes = control_nodes;
}

TimePoint SimulatedFleet::local_now(const SimulatedNode& node) const {
  const auto elapsed = static_cast<double>(queue_.now().time_since_epoch().count());
  return TimePoint(Duration(static_cast<int64_t>(elapsed * node.clock_rate)) + seconds(1000));
}

Duration SimulatedFleet::random_delay() {
  std::exponential_distribution<double> jitter(1.0 / static_cast<double>(options_.network_jitter.count()));
  return options_.network_delay + Duration(static_cast<int64_t>(jitter(random_))) + network_.extra_delay;
}

void SimulatedFleet::start() {
  SimulatedNode& first = nodes_.begin()->second;
  wire::ReplicaAddress address;
  address.replica_id = next_replica_++;
  address.node = first.name;
  address.zone = first.zone;
  first.disk.assign_identity(ReplicaId(address.replica_id));
  const auto state = consensus::RaftNode::bootstrap(address);
  consensus::RaftOutput output;
  output.hard_state = state.hard_state;
  output.entries = state.entries;
  first.disk.submit(output);
  first.disk.sync_oldest();
  for (auto& [name, node] : nodes_) {
    start_node(node);
  }
}

void SimulatedFleet::start_node(SimulatedNode& node) {
  node.running = true;
  node.paused_until = TimePoint::min();
  node.syncing = false;
  ++node.generation;
  next_incarnation_ += kIncarnationStep;
  node.incarnation = next_incarnation_;
  node::NodeIdentity identity;
  identity.node = node.name;
  identity.zone = node.zone;
  identity.incarnation = Incarnation(node.incarnation);
  auto options = options_.controller;
  options.seed = random_();
  node.controller = std::make_unique<node::NodeController>(options, identity, local_now(node));
  if (node.has_disk) {
    if (node.disk.replica_id() == ReplicaId()) {
      node.disk.assign_identity(ReplicaId(next_replica_++));
    }
    node.controller->start_replica(local_now(node), node.disk.replica_id(), node.disk.image());
  }
  const auto offset = Duration(static_cast<int64_t>(chance() * static_cast<double>(options_.tick.count())));
  const std::string name = node.name;
  const uint64_t generation = node.generation;
  queue_.after(offset, [this, name, generation] { tick(name, generation); });
  queue_.after(offset, [this, name, generation] { poll(name, generation); });
  queue_.after(offset, [this, name, generation] { publish_members(name, generation); });
}

void SimulatedFleet::crash(const std::string& name) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running) {
    return;
  }
  node.running = false;
  ++node.generation;
  node.controller.reset();
  const size_t in_flight = node.disk.in_flight();
  node.disk.crash(in_flight == 0 ? 0 : std::uniform_int_distribution<size_t>(0, in_flight)(random_));
}

void SimulatedFleet::restart(const std::string& name) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running) {
    start_node(node);
  }
}

void SimulatedFleet::pause(const std::string& name, Duration duration) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running) {
    return;
  }
  node.paused_until = std::max(node.paused_until, queue_.now() + duration);
}

void SimulatedFleet::lose_disk(const std::string& name) { nodes_.at(name).disk.lose(); }

bool SimulatedFleet::roll_back_disk(const std::string& name) { return nodes_.at(name).disk.roll_back(); }

SimulatedNode* SimulatedFleet::leader() {
  for (auto& [name, node] : nodes_) {
    if (is_up(node) && node.controller->acts_as_leader(local_now(node))) {
      return &node;
    }
  }
  return nullptr;
}

void SimulatedFleet::on_node(const std::string& name, uint64_t generation, std::function<void(SimulatedNode&)> action) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running || node.generation != generation) {
    return;
  }
  if (queue_.now() < node.paused_until) {
    queue_.at(node.paused_until,
              [this, name, generation, action = std::move(action)] { on_node(name, generation, action); });
    return;
  }
  action(node);
}

void SimulatedFleet::tick(const std::string& name, uint64_t generation) {
  on_node(name, generation, [this, name, generation](SimulatedNode& node) {
    book(node, [&] { node.controller->tick(local_now(node), kWallClockStart + to_microseconds(queue_.now()) / 1000); });
    pump(node);
    if (on_tick) {
      on_tick(node);
    }
    check(node);
    if (node.controller->needs_new_identity()) {
      node.disk.assign_identity(ReplicaId(next_replica_++));
      node.syncing = false;
      node.controller->start_replica(local_now(node), node.disk.replica_id(), {});
    }
    queue_.after(options_.tick, [this, name, generation] { tick(name, generation); });
  });
}

void SimulatedFleet::check(SimulatedNode& node) {
  const auto& state = node.controller->state();
  if (node.controller->raft() != nullptr && state.applied_index() > 0) {
    monitor_.applied(queue_.now(), node.name, state.applied_index(), state.history_digest());
  }
  std::vector<std::string> leaders;
  for (auto& [name, other] : nodes_) {
    if (is_up(other) && other.controller->raft() != nullptr && other.controller->raft()->has_lease(local_now(other))) {
      leaders.push_back(name);
    }
  }
  monitor_.lease_holders(queue_.now(), leaders);
  if (!leaders.empty() && leaders.front() == node.name) {
    monitor_.groups(queue_.now(), node.name, state);
  }
}

// ------------------------------------------------------------------ network

void SimulatedFleet::book(SimulatedNode& node, const std::function<void()>& work) {
  if (!options_.measure) {
    work();
    return;
  }
  const int64_t before = thread_time_ns();
  work();
  node.cost.processor_ns += thread_time_ns() - before;
}

void SimulatedFleet::transmit(SimulatedNode& from, const wire::Envelope& envelope) {
  ++messages_;
  if (options_.measure) {
    std::string bytes;
    book(from, [&] { bytes = wire::encode(envelope); });
    from.cost.bytes_sent += bytes.size() + kFrameHeader;
    ++from.cost.messages_sent;
    SimulatedNode& to = nodes_.at(envelope.to_node);
    to.cost.bytes_received += bytes.size() + kFrameHeader;
    book(to, [&] { wire::decode<wire::Envelope>(bytes); });
  }
  if (network_.cuts.contains({envelope.from_node, envelope.to_node}) || chance() < network_.loss) {
    return;
  }
  const int copies = chance() < network_.duplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    queue_.after(random_delay(), [this, envelope] { deliver(envelope.to_node, envelope); });
  }
}

void SimulatedFleet::deliver(const std::string& to, wire::Envelope envelope) {
  const auto found = nodes_.find(to);
  if (found == nodes_.end() || !found->second.running) {
    return;
  }
  on_node(to, found->second.generation, [this, envelope = std::move(envelope)](SimulatedNode& node) {
    book(node, [&] { node.controller->receive(local_now(node), envelope); });
    pump(node);
  });
}

void SimulatedFleet::pump(SimulatedNode& node) {
  auto outputs = node.controller->take_outputs();
  for (const auto& envelope : outputs.envelopes) {
    transmit(node, envelope);
  }
  for (auto& batch : outputs.storage) {
    node.disk.submit(batch);
    if (options_.defects.lying_disk) {
      node.controller->on_storage_written(local_now(node), std::move(batch));
    }
  }
  start_sync(node);
  for (const auto& order : outputs.orders) {
    send_order(node, order);
  }
  for (const auto& outcome : outputs.claim_outcomes) {
    if (on_claim) {
      on_claim(node, outcome);
    }
  }
  for (const auto& reply : outputs.operator_replies) {
    if (on_operator_reply) {
      on_operator_reply(node, reply);
    }
  }
}

void SimulatedFleet::start_sync(SimulatedNode& node) {
  if (node.syncing || node.disk.in_flight() == 0) {
    return;
  }
  node.syncing = true;
  const std::string name = node.name;
  const uint64_t generation = node.generation;
  const ReplicaId identity = node.disk.replica_id();
  std::exponential_distribution<double> spread(1.0 / static_cast<double>(options_.disk_sync.count()));
  const Duration delay = options_.disk_sync / 2 + Duration(static_cast<int64_t>(spread(random_)));
  queue_.after(delay, [this, name, generation, identity] {
    SimulatedNode& target = nodes_.at(name);
    if (!target.running || target.generation != generation || target.disk.replica_id() != identity ||
        target.disk.in_flight() == 0) {
      return;
    }
    // Read before it leaves the queue: the controller gets the batch back once it is on disk.
    consensus::RaftOutput batch = target.disk.oldest();
    target.disk.sync_oldest();
    target.syncing = false;
    on_node(name, generation, [this, identity, batch = std::move(batch)](SimulatedNode& running) {
      if (running.disk.replica_id() == identity && !options_.defects.lying_disk) {
        ++running.cost.synced_batches;
        book(running, [&] { running.controller->on_storage_written(local_now(running), batch); });
        pump(running);
      }
    });
    start_sync(target);
  });
}

// --------------------------------------------------------------- back ends

bool SimulatedFleet::machine_link_is_cut(const std::string& node) const {
  return network_.cuts.contains({node, "machines"}) || network_.cuts.contains({"machines", node});
}

void SimulatedFleet::poll(const std::string& name, uint64_t generation) {
  on_node(name, generation, [this, name, generation](SimulatedNode& node) {
    const TimePoint asked_at = local_now(node);
    for (const auto& target : node.controller->entry().watch_targets()) {
      if (machine_link_is_cut(name)) {
        continue;
      }
      const std::string id = target.machine;
      queue_.after(random_delay(), [this, id, name, generation, asked_at] {
        const auto machine = machines_.find(id);
        if (machine == machines_.end() || !machine->second.available()) {
          return;
        }
        const auto sighting = machine->second.state(queue_.now());
        queue_.after(random_delay(), [this, name, generation, asked_at, sighting] {
          on_node(name, generation, [asked_at, sighting](SimulatedNode& watcher) {
            watcher.controller->on_sighting(asked_at, sighting);
          });
        });
      });
    }
    queue_.after(options_.poll_interval, [this, name, generation] { poll(name, generation); });
  });
}

void SimulatedFleet::publish_members(const std::string& name, uint64_t generation) {
  on_node(name, generation, [this, name, generation](SimulatedNode& node) {
    std::vector<wire::Machine> list;
    for (const auto& [id, machine] : machines_) {
      wire::Machine item;
      item.id = id;
      item.zone = machine.zone;
      item.domain = machine.domain;
      item.accelerators = machine.accelerators;
      item.checks_fences = machine.checks_fences;
      item.endpoint = id;
      item.leaving = machine.leaving && queue_.now() > machine.leaving_since + options_.membership_lag;
      list.push_back(std::move(item));
    }
    node.controller->on_membership_list(list);
    queue_.after(kMembershipInterval, [this, name, generation] { publish_members(name, generation); });
  });
}

void SimulatedFleet::send_order(SimulatedNode& node, const control::EngineOrder& order) {
  if (machine_link_is_cut(node.name)) {
    return;
  }
  const std::string name = node.name;
  const uint64_t generation = node.generation;
  queue_.after(random_delay(), [this, order, name, generation] {
    const auto found = machines_.find(order.machine);
    if (found == machines_.end() || !found->second.available()) {
      return;
    }
    SimulatedMachine& machine = found->second;
    control::OrderResult result;
    result.kind = order.kind;
    result.machine = order.machine;
    result.group_id = order.group_id;
    result.epoch = order.epoch;
    result.verdict = machine.obey(order, queue_.now(), options_.load_time);
    if (order.kind == control::OrderKind::kLoad && result.verdict == control::OrderVerdict::kDone) {
      monitor_.load_accepted(order.machine, order.epoch);
    }
    queue_.after(random_delay(), [this, name, generation, result] {
      on_node(name, generation, [this, result](SimulatedNode& sender) {
        sender.controller->on_order_result(result);
        pump(sender);
      });
    });
  });
}

void SimulatedFleet::run_request(SimulatedNode& node, const wire::Group& group, const std::string& tenant,
                                 const std::string& request_id, const std::string& key, Duration service_time,
                                 std::function<void(RunResult)> done) {
  DispatchFact fact;
  fact.node = node.name;
  fact.revision = node.controller->entry().revision().value();
  fact.group = group;
  fact.tenant = tenant;
  if (const auto* view = node.controller->entry().router().table().find_tenant(tenant)) {
    fact.permitted_zones = view->tenant.zones;
  }
  monitor_.dispatched(queue_.now(), fact, machines_);
  const std::string head = group.machines.front();
  const int64_t group_id = group.id;
  const int32_t epoch = group.epoch;
  const std::string name = node.name;
  const uint64_t generation = node.generation;
  const auto answer = [this, name, generation, done](RunResult result, Duration delay) {
    queue_.after(delay, [this, name, generation, done, result] {
      on_node(name, generation, [done, result](SimulatedNode&) { done(result); });
    });
  };
  if (machine_link_is_cut(name)) {
    answer(RunResult::kLost, seconds(1));
    return;
  }
  queue_.after(random_delay(), [this, head, group_id, epoch, request_id, key, service_time, answer] {
    SimulatedMachine& machine = machines_.at(head);
    if (!machine.available()) {
      answer(RunResult::kLost, seconds(1));
      return;
    }
    const bool in_service = machine.group_id != 0 && queue_.now() >= machine.loaded_at;
    const bool wrong_epoch = machine.group_id != group_id || machine.epoch != epoch;
    if (!in_service || (machine.checks_fences && wrong_epoch)) {
      answer(RunResult::kRefused, random_delay());
      return;
    }
    monitor_.executed(queue_.now(), request_id, key);
    ++machine.load;
    const int64_t incarnation = machine.incarnation;
    queue_.after(service_time, [this, head, incarnation, epoch, answer] {
      SimulatedMachine& running = machines_.at(head);
      const bool same = running.incarnation == incarnation && running.epoch == epoch;
      if (same) {
        running.load = std::max(running.load - 1, 0);
      }
      answer(same && running.available() ? RunResult::kRan : RunResult::kLost, random_delay());
    });
  });
}

}  // namespace larchlever::simulation
