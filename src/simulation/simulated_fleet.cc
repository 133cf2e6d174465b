#include "simulation/simulated_fleet.h"

#include <algorithm>

#include "simulation/processor_clock.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr int64_t kWallClockStartMs = 1'700'000'000'000;
constexpr size_t kFrameHeaderBytes = 16;
constexpr int64_t kIncarnationStep = 1'000'000;
constexpr Duration kMembershipInterval = seconds(1);

}  // namespace

SimulatedFleet::SimulatedFleet(const SimulatedFleetOptions& options, EventQueue& queue, InvariantMonitor& monitor)
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
  std::uniform_real_distribution<double> drift(-options_.max_clock_drift, options_.max_clock_drift);
  std::vector<std::string> control_nodes;
  for (int number = 1; number <= options_.node_count; ++number) {
    SimulatedNode node;
    node.name = "n" + std::to_string(number);
    node.zone = options_.zones[static_cast<size_t>(number - 1) % options_.zones.size()].name;
    node.has_disk = number <= options_.disk_count;
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
  node.is_syncing = false;
  ++node.process_generation;
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
  const auto offset =
      Duration(static_cast<int64_t>(draw_fraction() * static_cast<double>(options_.tick_interval.count())));
  const std::string name = node.name;
  const uint64_t process_generation = node.process_generation;
  queue_.schedule_after(offset, [this, name, process_generation] { tick(name, process_generation); });
  queue_.schedule_after(offset, [this, name, process_generation] { poll_machines(name, process_generation); });
  queue_.schedule_after(offset, [this, name, process_generation] { publish_membership(name, process_generation); });
}

void SimulatedFleet::crash(const std::string& name) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running) {
    return;
  }
  node.running = false;
  ++node.process_generation;
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

void SimulatedFleet::lose_disk(const std::string& name) { nodes_.at(name).disk.replace_with_empty(); }

bool SimulatedFleet::roll_back_disk(const std::string& name) { return nodes_.at(name).disk.restore_saved_image(); }

SimulatedNode* SimulatedFleet::leader() {
  for (auto& [name, node] : nodes_) {
    if (is_up(node) && node.controller->acts_as_leader(local_now(node))) {
      return &node;
    }
  }
  return nullptr;
}

void SimulatedFleet::run_on_node(const std::string& name, uint64_t process_generation,
                                 std::function<void(SimulatedNode&)> action) {
  SimulatedNode& node = nodes_.at(name);
  if (!node.running || node.process_generation != process_generation) {
    return;
  }
  if (queue_.now() < node.paused_until) {
    queue_.schedule_at(node.paused_until, [this, name, process_generation, action = std::move(action)] {
      run_on_node(name, process_generation, action);
    });
    return;
  }
  action(node);
}

void SimulatedFleet::tick(const std::string& name, uint64_t process_generation) {
  run_on_node(name, process_generation, [this, name, process_generation](SimulatedNode& node) {
    run_and_measure(node, [&] {
      node.controller->tick(local_now(node), kWallClockStartMs + to_microseconds(queue_.now()) / 1000);
    });
    process_outputs(node);
    if (on_tick) {
      on_tick(node);
    }
    check_invariants(node);
    if (node.controller->needs_new_identity()) {
      node.disk.assign_identity(ReplicaId(next_replica_++));
      node.is_syncing = false;
      node.controller->start_replica(local_now(node), node.disk.replica_id(), {});
    }
    queue_.schedule_after(options_.tick_interval, [this, name, process_generation] { tick(name, process_generation); });
  });
}

void SimulatedFleet::check_invariants(SimulatedNode& node) {
  const auto& state = node.controller->state();
  if (node.controller->raft() != nullptr && state.applied_index() > 0) {
    monitor_.check_applied_history(queue_.now(), node.name, state.applied_index(), state.history_digest());
  }
  std::vector<std::string> leaders;
  for (auto& [name, other] : nodes_) {
    if (is_up(other) && other.controller->raft() != nullptr && other.controller->raft()->has_lease(local_now(other))) {
      leaders.push_back(name);
    }
  }
  monitor_.check_lease_holders(queue_.now(), leaders);
  if (!leaders.empty() && leaders.front() == node.name) {
    monitor_.check_group_ownership(queue_.now(), node.name, state);
  }
}

// ------------------------------------------------------------------ network

void SimulatedFleet::run_and_measure(SimulatedNode& node, const std::function<void()>& work) {
  if (!options_.measure_cost) {
    work();
    return;
  }
  const int64_t cpu_time_before_ns = thread_processor_time_ns();
  work();
  node.cost.processor_ns += thread_processor_time_ns() - cpu_time_before_ns;
}

void SimulatedFleet::send_envelope(SimulatedNode& from, const wire::Envelope& envelope) {
  ++message_count_;
  if (options_.measure_cost) {
    std::string bytes;
    run_and_measure(from, [&] { bytes = wire::encode(envelope); });
    from.cost.bytes_sent += bytes.size() + kFrameHeaderBytes;
    ++from.cost.messages_sent;
    SimulatedNode& to = nodes_.at(envelope.to_node);
    to.cost.bytes_received += bytes.size() + kFrameHeaderBytes;
    run_and_measure(to, [&] { wire::decode<wire::Envelope>(bytes); });
  }
  if (network_.cuts.contains({envelope.from_node, envelope.to_node}) || draw_fraction() < network_.loss_probability) {
    return;
  }
  const int copies = draw_fraction() < network_.duplication_probability ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    queue_.schedule_after(random_delay(), [this, envelope] { deliver(envelope.to_node, envelope); });
  }
}

void SimulatedFleet::deliver(const std::string& to, wire::Envelope envelope) {
  const auto found = nodes_.find(to);
  if (found == nodes_.end() || !found->second.running) {
    return;
  }
  run_on_node(to, found->second.process_generation, [this, envelope = std::move(envelope)](SimulatedNode& node) {
    run_and_measure(node, [&] { node.controller->receive(local_now(node), envelope); });
    process_outputs(node);
  });
}

void SimulatedFleet::process_outputs(SimulatedNode& node) {
  auto outputs = node.controller->take_outputs();
  for (const auto& envelope : outputs.envelopes) {
    send_envelope(node, envelope);
  }
  for (auto& batch : outputs.storage) {
    node.disk.submit(batch);
    if (options_.defects.acknowledge_unsynced_writes) {
      node.controller->on_storage_written(local_now(node), std::move(batch));
    }
  }
  start_sync(node);
  for (const auto& order : outputs.orders) {
    send_order(node, order);
  }
  for (const auto& outcome : outputs.claim_outcomes) {
    if (on_claim_outcome) {
      on_claim_outcome(node, outcome);
    }
  }
  for (const auto& reply : outputs.operator_replies) {
    if (on_operator_reply) {
      on_operator_reply(node, reply);
    }
  }
}

void SimulatedFleet::start_sync(SimulatedNode& node) {
  if (node.is_syncing || node.disk.in_flight() == 0) {
    return;
  }
  node.is_syncing = true;
  const std::string name = node.name;
  const uint64_t process_generation = node.process_generation;
  const ReplicaId identity = node.disk.replica_id();
  std::exponential_distribution<double> spread(1.0 / static_cast<double>(options_.disk_sync_time.count()));
  const Duration delay = options_.disk_sync_time / 2 + Duration(static_cast<int64_t>(spread(random_)));
  queue_.schedule_after(delay, [this, name, process_generation, identity] {
    SimulatedNode& target = nodes_.at(name);
    if (!target.running || target.process_generation != process_generation || target.disk.replica_id() != identity ||
        target.disk.in_flight() == 0) {
      return;
    }
    // Copy the batch before it leaves the queue, because the controller needs it once it is on disk.
    consensus::RaftOutput batch = target.disk.oldest();
    target.disk.sync_oldest();
    target.is_syncing = false;
    run_on_node(name, process_generation, [this, identity, batch = std::move(batch)](SimulatedNode& running) {
      if (running.disk.replica_id() == identity && !options_.defects.acknowledge_unsynced_writes) {
        ++running.cost.synced_batches;
        run_and_measure(running, [&] { running.controller->on_storage_written(local_now(running), batch); });
        process_outputs(running);
      }
    });
    start_sync(target);
  });
}

// --------------------------------------------------------------- back ends

bool SimulatedFleet::machine_link_is_cut(const std::string& node) const {
  return network_.cuts.contains({node, "machines"}) || network_.cuts.contains({"machines", node});
}

void SimulatedFleet::poll_machines(const std::string& name, uint64_t process_generation) {
  run_on_node(name, process_generation, [this, name, process_generation](SimulatedNode& node) {
    const TimePoint polled_at = local_now(node);
    for (const auto& target : node.controller->entry().watch_targets()) {
      if (machine_link_is_cut(name)) {
        continue;
      }
      const std::string id = target.machine;
      queue_.schedule_after(random_delay(), [this, id, name, process_generation, polled_at] {
        const auto machine = machines_.find(id);
        if (machine == machines_.end() || !machine->second.available()) {
          return;
        }
        const auto sighting = machine->second.make_sighting(queue_.now());
        queue_.schedule_after(random_delay(), [this, name, process_generation, polled_at, sighting] {
          run_on_node(name, process_generation, [polled_at, sighting](SimulatedNode& polling_node) {
            polling_node.controller->on_sighting(polled_at, sighting);
          });
        });
      });
    }
    queue_.schedule_after(options_.poll_interval,
                          [this, name, process_generation] { poll_machines(name, process_generation); });
  });
}

void SimulatedFleet::publish_membership(const std::string& name, uint64_t process_generation) {
  run_on_node(name, process_generation, [this, name, process_generation](SimulatedNode& node) {
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
    queue_.schedule_after(kMembershipInterval,
                          [this, name, process_generation] { publish_membership(name, process_generation); });
  });
}

void SimulatedFleet::send_order(SimulatedNode& node, const control::EngineOrder& order) {
  if (machine_link_is_cut(node.name)) {
    return;
  }
  const std::string name = node.name;
  const uint64_t process_generation = node.process_generation;
  queue_.schedule_after(random_delay(), [this, order, name, process_generation] {
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
    result.verdict = machine.execute_order(order, queue_.now(), options_.load_time);
    if (order.kind == control::OrderKind::kLoad && result.verdict == control::OrderVerdict::kDone) {
      monitor_.record_accepted_load(order.machine, order.epoch);
    }
    queue_.schedule_after(random_delay(), [this, name, process_generation, result] {
      run_on_node(name, process_generation, [this, result](SimulatedNode& sender) {
        sender.controller->on_order_result(result);
        process_outputs(sender);
      });
    });
  });
}

void SimulatedFleet::run_request(SimulatedNode& node, const wire::Group& group, const std::string& tenant,
                                 const std::string& request_id, const std::string& key, Duration service_time,
                                 std::function<void(AttemptResult)> done) {
  DispatchRecord dispatch;
  dispatch.node = node.name;
  dispatch.revision = node.controller->entry().revision().value();
  dispatch.group = group;
  dispatch.tenant = tenant;
  if (const auto* tenant_view = node.controller->entry().router().table().find_tenant(tenant)) {
    dispatch.permitted_zones = tenant_view->tenant.zones;
  }
  monitor_.check_dispatch(queue_.now(), dispatch, machines_);
  const std::string head = group.machines.front();
  const int64_t group_id = group.id;
  const int32_t epoch = group.epoch;
  const std::string name = node.name;
  const uint64_t process_generation = node.process_generation;
  const auto send_result = [this, name, process_generation, done](AttemptResult result, Duration delay) {
    queue_.schedule_after(delay, [this, name, process_generation, done, result] {
      run_on_node(name, process_generation, [done, result](SimulatedNode&) { done(result); });
    });
  };
  if (machine_link_is_cut(name)) {
    send_result(AttemptResult::kLost, seconds(1));
    return;
  }
  queue_.schedule_after(random_delay(), [this, head, group_id, epoch, request_id, key, service_time, send_result] {
    SimulatedMachine& machine = machines_.at(head);
    if (!machine.available()) {
      send_result(AttemptResult::kLost, seconds(1));
      return;
    }
    const bool is_loaded = machine.group_id != 0 && queue_.now() >= machine.loaded_at;
    const bool wrong_epoch = machine.group_id != group_id || machine.epoch != epoch;
    if (!is_loaded || (machine.checks_fences && wrong_epoch)) {
      send_result(AttemptResult::kRefused, random_delay());
      return;
    }
    monitor_.record_execution(queue_.now(), request_id, key);
    ++machine.load;
    const int64_t incarnation = machine.incarnation;
    queue_.schedule_after(service_time, [this, head, incarnation, epoch, send_result] {
      SimulatedMachine& running = machines_.at(head);
      const bool is_same_load = running.incarnation == incarnation && running.epoch == epoch;
      if (is_same_load) {
        running.load = std::max(running.load - 1, 0);
      }
      send_result(is_same_load && running.available() ? AttemptResult::kExecuted : AttemptResult::kLost,
                  random_delay());
    });
  });
}

}  // namespace larchlever::simulation
