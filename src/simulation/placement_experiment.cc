#include <algorithm>

#include "core/placement/planner.h"
#include "simulation/experiment_runs.h"
#include "simulation/workload.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kSample = milliseconds(500);
constexpr Duration kSetUp = seconds(40);

/// Integrates downtime and stranded accelerators over virtual time.
class PlacementMeter {
 public:
  explicit PlacementMeter(SimulatedFleet& fleet) : fleet_(fleet) {}

  void sample(double seconds_passed) {
    const auto* leader = fleet_.leader();
    if (leader == nullptr) {
      return;
    }
    const auto& state = leader->controller->state();
    const auto input = control::make_planning_input(state);
    std::map<std::string, int> missing_by_zone;
    for (const auto& demand : placement::desired_groups(input)) {
      int serving = 0;
      for (const auto& [id, group] : state.groups()) {
        serving += group.template_name == demand.template_name && group.zone == demand.zone && serves(group) ? 1 : 0;
      }
      const int missing = std::max(0, demand.groups - serving);
      missing_by_zone[demand.zone] += missing;
      downtime_ += missing * seconds_passed;
    }
    for (const auto& [id, machine] : state.machines()) {
      const bool idle = machine.state == wire::MachineState::FREE && fleet_.machines().at(id).available();
      if (idle && missing_by_zone[machine.zone] > 0) {
        stranded_ += machine.accelerators * seconds_passed;
      }
    }
  }

  double downtime() const { return downtime_; }
  double stranded() const { return stranded_; }

 private:
  bool serves(const wire::Group& group) const {
    return group.state == wire::GroupState::SERVING &&
           std::all_of(group.machines.begin(), group.machines.end(),
                       [this](const auto& id) { return fleet_.machines().at(id).available(); });
  }

  SimulatedFleet& fleet_;
  double downtime_ = 0;
  double stranded_ = 0;
};

/// Machines die one after the other and come back after their repair.
class MachineFailures {
 public:
  MachineFailures(const Experiment& experiment, SimulatedFleet& fleet, uint64_t seed)
      : experiment_(experiment), fleet_(fleet), random_(seed) {}

  void schedule() {
    std::exponential_distribution<double> gap(1.0 / (static_cast<double>(experiment_.seconds_between_failures) * 1e6));
    fleet_.queue().after(Duration(static_cast<int64_t>(gap(random_))), [this] {
      fail_one();
      schedule();
    });
  }

 private:
  void fail_one() {
    auto item = fleet_.machines().begin();
    std::advance(item, std::uniform_int_distribution<int>(0, static_cast<int>(fleet_.machines().size()) - 1)(random_));
    const std::string id = item->first;
    if (!item->second.alive) {
      return;
    }
    item->second.die(fleet_.queue().now());
    std::uniform_real_distribution<double> repair(0.5, 1.5);
    const auto delay = static_cast<int64_t>(static_cast<double>(experiment_.repair_seconds) * 1e6 * repair(random_));
    fleet_.queue().after(Duration(delay), [this, id] { fleet_.machines().at(id).come_back(fleet_.queue().now()); });
  }

  const Experiment& experiment_;
  SimulatedFleet& fleet_;
  std::mt19937_64 random_;
};

}  // namespace

std::map<std::string, double> run_placement(const Experiment& experiment, const std::string& policy, int64_t weight,
                                            uint64_t seed) {
  EventQueue queue;
  InvariantMonitor monitor(milliseconds(3200), seconds(60));
  FleetOptions options;
  options.zones = experiment.deployment.zones;
  options.nodes = experiment.deployment.nodes;
  options.disks = experiment.deployment.disks;
  options.tick = milliseconds(50);
  options.load_time = seconds(20);
  options.seed = seed;
  SimulatedFleet fleet(options, queue, monitor);
  WorkloadOptions load;
  load.tenants = {"none"};
  Workload workload(load, fleet);
  auto configuration = experiment.deployment.configuration;
  wire::FleetParameters parameters;
  parameters.placement_policy = policy;
  parameters.downtime_weight = static_cast<int32_t>(weight);
  parameters.max_concurrent_loads = 4;
  parameters.claim_window_seconds = 3600;
  std::erase_if(configuration, [](const auto& write) { return write.key == config::kFleetParametersKey; });
  wire::KeyWrite write;
  write.key = std::string(config::kFleetParametersKey);
  write.value = wire::encode(parameters);
  configuration.push_back(write);

  const auto never = [] { return false; };
  fleet.start();
  queue.after(seconds(4), [&] { workload.configure(configuration, [] {}); });
  queue.run_until(queue.now() + kSetUp * 3, never);
  MachineFailures failures(experiment, fleet, seed * 31 + 7);
  failures.schedule();
  PlacementMeter meter(fleet);
  const TimePoint end = queue.now() + seconds(experiment.duration_seconds);
  while (queue.now() < end) {
    queue.run_until(queue.now() + kSample, never);
    meter.sample(static_cast<double>(kSample.count()) / 1e6);
  }
  return {{"downtime_group_seconds", meter.downtime()},
          {"stranded_accelerator_seconds", meter.stranded()},
          {"violations", static_cast<double>(monitor.violations().size())}};
}

}  // namespace larchlever::simulation
