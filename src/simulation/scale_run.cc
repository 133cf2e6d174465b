#include "simulation/scale_run.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

#include "simulation/deployment.h"
#include "simulation/workload.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kPatience = seconds(60);

double resident_mb() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * 4096 / 1e6;
}

double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/// One scale run's world.
class ScaleWorld {
 public:
  ScaleWorld(int nodes, int machines, int zones) : monitor_(seconds(10), seconds(60)) {
    const auto deployment = uniform_deployment(nodes, machines, zones);
    FleetOptions options;
    options.zones = deployment.zones;
    options.nodes = deployment.nodes;
    options.disks = deployment.disks;
    options.measure = true;
    options.seed = 7;
    const double before = resident_mb();
    fleet_ = std::make_unique<SimulatedFleet>(options, queue_, monitor_);
    WorkloadOptions load;
    load.tenants = {"t1"};
    workload_ = std::make_unique<Workload>(load, *fleet_);
    fleet_->start();
    wait([this] { return fleet_->leader() != nullptr; });
    bool configured = false;
    workload_->configure(deployment.configuration, [&configured] { configured = true; });
    wait([&configured] { return configured; });
    wait([this] { return serving() > 0 && all_serve(); });
    resident_per_node_ = (resident_mb() - before) / nodes;
  }

  /// Runs until `condition` holds; how long that took.
  Duration wait(const std::function<bool()>& condition) {
    const TimePoint began = queue_.now();
    while (!condition() && queue_.now() < began + kPatience) {
      run(milliseconds(10));
    }
    return queue_.now() - began;
  }

  void run(Duration duration) {
    queue_.run_until(queue_.now() + duration, [] { return false; });
  }

  int serving() {
    const auto* leader = fleet_->leader();
    int count = 0;
    if (leader != nullptr) {
      for (const auto& [id, group] : leader->controller->state().groups()) {
        count += group.state == wire::GroupState::SERVING ? 1 : 0;
      }
    }
    return count;
  }

  bool all_serve() {
    const auto* leader = fleet_->leader();
    if (leader == nullptr || leader->controller->leader().groups().last_plan().groups_to_create.empty() == false) {
      return false;
    }
    const auto& groups = leader->controller->state().groups();
    return std::all_of(groups.begin(), groups.end(),
                       [](const auto& item) { return item.second.state == wire::GroupState::SERVING; });
  }

  Duration change() {
    bool in_force = false;
    workload_->apply_change("t1", [&in_force](const wire::OperatorReply& reply) { in_force = reply.in_force; });
    return wait([&in_force] { return in_force; });
  }

  SimulatedFleet& fleet() { return *fleet_; }
  double resident_per_node() const { return resident_per_node_; }

 private:
  EventQueue queue_;
  InvariantMonitor monitor_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::unique_ptr<Workload> workload_;
  double resident_per_node_ = 0;
};

void add_cost(RoleCost& role, const NodeCost& cost, double seconds_measured) {
  ++role.nodes;
  role.bytes_sent += static_cast<double>(cost.bytes_sent) / seconds_measured;
  role.bytes_received += static_cast<double>(cost.bytes_received) / seconds_measured;
  role.messages_sent += static_cast<double>(cost.messages_sent) / seconds_measured;
  role.processor_percent += static_cast<double>(cost.processor_ns) / 1e7 / seconds_measured;
}

std::vector<RoleCost> measure_roles(ScaleWorld& world, double seconds_measured) {
  for (auto& [name, node] : world.fleet().nodes()) {
    node.cost = NodeCost();
  }
  world.run(Duration(static_cast<int64_t>(seconds_measured * 1e6)));
  std::vector<RoleCost> roles(3);
  roles[0].role = "leader";
  roles[1].role = "other replica";
  roles[2].role = "entry";
  const auto* leader = world.fleet().leader();
  for (auto& [name, node] : world.fleet().nodes()) {
    const size_t role = &node == leader ? 0 : (node.has_disk ? 1 : 2);
    add_cost(roles[role], node.cost, seconds_measured);
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

void measure_changes(ScaleWorld& world, ScaleResult& result) {
  constexpr int kChanges = 100;
  std::vector<double> samples;
  for (int change = 0; change < kChanges; ++change) {
    samples.push_back(to_ms(world.change()));
    world.run(milliseconds(37));
  }
  std::sort(samples.begin(), samples.end());
  result.change_in_force_p50_ms = samples[kChanges / 2];
  result.change_in_force_p99_ms = samples[kChanges - 1];
  auto& cuts = world.fleet().network().cuts;
  const std::string lone = world.fleet().nodes().rbegin()->first;
  for (const auto& [name, node] : world.fleet().nodes()) {
    cuts.insert({name, lone});
    cuts.insert({lone, name});
  }
  result.change_with_cut_off_entry_ms = to_ms(world.change());
  cuts.clear();
  world.run(seconds(3));
}

}  // namespace

ScaleResult run_scale(int nodes, int machines, int zones, double seconds_measured) {
  ScaleWorld world(nodes, machines, zones);
  ScaleResult result;
  result.nodes = nodes;
  result.machines = static_cast<int>(world.fleet().machines().size());
  result.groups = world.serving();
  result.resident_mb_per_node = world.resident_per_node();
  result.roles = measure_roles(world, seconds_measured);
  measure_changes(world, result);
  if (auto* leader = world.fleet().leader()) {
    result.snapshot_bytes = static_cast<double>(leader->controller->state().snapshot().size());
    world.fleet().crash(leader->name);
    result.leader_loss_to_change_ms = to_ms(world.change());
  }
  world.wait([&world] { return world.all_serve(); });
  const std::string lost = world.fleet().options().zones.back().name;
  for (auto& [id, machine] : world.fleet().machines()) {
    if (machine.zone == lost) {
      machine.die(world.fleet().queue().now());
    }
  }
  // Steady again: no group of the lost zone is served any more.
  result.zone_loss_to_steady_ms = to_ms(world.wait([&world, &lost] {
    const auto* leader = world.fleet().leader();
    if (leader == nullptr) {
      return false;
    }
    const auto& groups = leader->controller->state().groups();
    return std::none_of(groups.begin(), groups.end(), [&lost](const auto& item) {
      return item.second.zone == lost && item.second.state == wire::GroupState::SERVING;
    });
  }));
  return result;
}

std::string scale_csv(const std::vector<ScaleResult>& results) {
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
