#include "simulation/scale_run.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

#include "simulation/deployment.h"
#include "simulation/workload.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kWaitTimeout = seconds(60);

double read_resident_mb() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * 4096 / 1e6;
}

double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/// A uniform fleet with its configuration applied and all groups serving.
class ScaleSimulation {
 public:
  ScaleSimulation(int nodes, int machines, int zones) : monitor_(seconds(10), seconds(60)) {
    const auto deployment = make_uniform_deployment(nodes, machines, zones);
    SimulatedFleetOptions options;
    options.zones = deployment.zones;
    options.node_count = deployment.node_count;
    options.disk_count = deployment.disk_count;
    options.measure_cost = true;
    options.seed = 7;
    const double resident_mb_before = read_resident_mb();
    fleet_ = std::make_unique<SimulatedFleet>(options, queue_, monitor_);
    WorkloadOptions workload_options;
    workload_options.tenants = {"t1"};
    workload_ = std::make_unique<Workload>(workload_options, *fleet_);
    fleet_->start();
    wait_until([this] { return fleet_->leader() != nullptr; });
    bool configured = false;
    workload_->configure(deployment.configuration, [&configured] { configured = true; });
    wait_until([&configured] { return configured; });
    wait_until([this] { return serving_group_count() > 0 && all_groups_serving(); });
    node_resident_mb_ = (read_resident_mb() - resident_mb_before) / nodes;
  }

  /// Runs the simulation until `condition` holds or the wait times out; returns the virtual time that passed.
  Duration wait_until(const std::function<bool()>& condition) {
    const TimePoint started_at = queue_.now();
    while (!condition() && queue_.now() < started_at + kWaitTimeout) {
      advance(milliseconds(10));
    }
    return queue_.now() - started_at;
  }

  void advance(Duration duration) {
    queue_.run_until(queue_.now() + duration, [] { return false; });
  }

  int serving_group_count() {
    const auto* leader = fleet_->leader();
    int count = 0;
    if (leader != nullptr) {
      for (const auto& [id, group] : leader->controller->state().groups()) {
        count += group.state == wire::GroupState::SERVING ? 1 : 0;
      }
    }
    return count;
  }

  bool all_groups_serving() {
    const auto* leader = fleet_->leader();
    if (leader == nullptr || leader->controller->leader().groups().last_plan().groups_to_create.empty() == false) {
      return false;
    }
    const auto& groups = leader->controller->state().groups();
    return std::all_of(groups.begin(), groups.end(),
                       [](const auto& item) { return item.second.state == wire::GroupState::SERVING; });
  }

  Duration measure_change_latency() {
    bool in_force = false;
    workload_->apply_change("t1", [&in_force](const wire::OperatorReply& reply) { in_force = reply.in_force; });
    return wait_until([&in_force] { return in_force; });
  }

  SimulatedFleet& fleet() { return *fleet_; }
  double node_resident_mb() const { return node_resident_mb_; }

 private:
  EventQueue queue_;
  InvariantMonitor monitor_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::unique_ptr<Workload> workload_;
  double node_resident_mb_ = 0;
};

void add_cost(RoleCost& role, const NodeCost& cost, double measured_seconds) {
  ++role.nodes;
  role.bytes_sent += static_cast<double>(cost.bytes_sent) / measured_seconds;
  role.bytes_received += static_cast<double>(cost.bytes_received) / measured_seconds;
  role.messages_sent += static_cast<double>(cost.messages_sent) / measured_seconds;
  role.processor_percent += static_cast<double>(cost.processor_ns) / 1e7 / measured_seconds;
}

std::vector<RoleCost> measure_roles(ScaleSimulation& scale_simulation, double measured_seconds) {
  for (auto& [name, node] : scale_simulation.fleet().nodes()) {
    node.cost = NodeCost();
  }
  scale_simulation.advance(Duration(static_cast<int64_t>(measured_seconds * 1e6)));
  std::vector<RoleCost> roles(3);
  roles[0].role = "leader";
  roles[1].role = "other replica";
  roles[2].role = "entry";
  const auto* leader = scale_simulation.fleet().leader();
  for (auto& [name, node] : scale_simulation.fleet().nodes()) {
    const size_t role = &node == leader ? 0 : (node.has_disk ? 1 : 2);
    add_cost(roles[role], node.cost, measured_seconds);
  }
  for (auto& role : roles) {
    const double count = std::max(role.nodes, 1);
    role.bytes_sent /= count;
    role.bytes_received /= count;
    role.messages_sent /= count;
    role.processor_percent /= count;
  }
  return roles;
}

void measure_changes(ScaleSimulation& scale_simulation, ScaleResult& result) {
  constexpr int kChangeCount = 100;
  std::vector<double> samples;
  for (int change_number = 0; change_number < kChangeCount; ++change_number) {
    samples.push_back(to_ms(scale_simulation.measure_change_latency()));
    scale_simulation.advance(milliseconds(37));
  }
  std::sort(samples.begin(), samples.end());
  result.change_in_force_p50_ms = samples[kChangeCount / 2];
  result.change_in_force_p99_ms = samples[kChangeCount - 1];
  auto& cuts = scale_simulation.fleet().network().cuts;
  const std::string isolated_entry = scale_simulation.fleet().nodes().rbegin()->first;
  for (const auto& [name, node] : scale_simulation.fleet().nodes()) {
    cuts.insert({name, isolated_entry});
    cuts.insert({isolated_entry, name});
  }
  result.change_with_cut_off_entry_ms = to_ms(scale_simulation.measure_change_latency());
  cuts.clear();
  scale_simulation.advance(seconds(3));
}

}  // namespace

ScaleResult run_scale(int nodes, int machines, int zones, double measured_seconds) {
  ScaleSimulation scale_simulation(nodes, machines, zones);
  ScaleResult result;
  result.nodes = nodes;
  result.machines = static_cast<int>(scale_simulation.fleet().machines().size());
  result.groups = scale_simulation.serving_group_count();
  result.resident_mb_per_node = scale_simulation.node_resident_mb();
  result.roles = measure_roles(scale_simulation, measured_seconds);
  measure_changes(scale_simulation, result);
  if (auto* leader = scale_simulation.fleet().leader()) {
    result.snapshot_bytes = static_cast<double>(leader->controller->state().snapshot().size());
    scale_simulation.fleet().crash(leader->name);
    result.leader_loss_to_change_ms = to_ms(scale_simulation.measure_change_latency());
  }
  scale_simulation.wait_until([&scale_simulation] { return scale_simulation.all_groups_serving(); });
  const std::string lost_zone = scale_simulation.fleet().options().zones.back().name;
  for (auto& [id, machine] : scale_simulation.fleet().machines()) {
    if (machine.zone == lost_zone) {
      machine.die(scale_simulation.fleet().queue().now());
    }
  }
  // The fleet is steady again when no group of the lost zone counts as serving.
  result.zone_loss_to_steady_ms = to_ms(scale_simulation.wait_until([&scale_simulation, &lost_zone] {
    const auto* leader = scale_simulation.fleet().leader();
    if (leader == nullptr) {
      return false;
    }
    const auto& groups = leader->controller->state().groups();
    return std::none_of(groups.begin(), groups.end(), [&lost_zone](const auto& item) {
      return item.second.zone == lost_zone && item.second.state == wire::GroupState::SERVING;
    });
  }));
  return result;
}

std::string format_scale_csv(const std::vector<ScaleResult>& results) {
  std::ostringstream out;
  out << "nodes,machines,groups,role,bytes_sent_per_s,bytes_received_per_s,messages_sent_per_s,processor_percent,"
         "change_in_force_p50_ms,change_in_force_p99_ms,change_with_cut_off_entry_ms,leader_loss_to_change_ms,zone_"
         "loss_to_steady_ms,snapshot_bytes,resident_mb_per_node\n";
  for (const auto& result : results) {
    for (const auto& role : result.roles) {
      out << result.nodes << "," << result.machines << "," << result.groups << "," << role.role << ","
          << role.bytes_sent << "," << role.bytes_received << "," << role.messages_sent << "," << role.processor_percent
          << "," << result.change_in_force_p50_ms << "," << result.change_in_force_p99_ms << ","
          << result.change_with_cut_off_entry_ms << "," << result.leader_loss_to_change_ms << ","
          << result.zone_loss_to_steady_ms << "," << result.snapshot_bytes << "," << result.resident_mb_per_node
          << "\n";
    }
  }
  return out.str();
}

}  // namespace larchlever::simulation
