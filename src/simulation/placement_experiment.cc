#include <algorithm>

#include "core/placement/planner.h"
#include "simulation/experiment_runs.h"
#include "simulation/workload.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kSampleInterval = milliseconds(500);
constexpr Duration kSetupTime = seconds(40);

/// Accumulates group downtime and stranded accelerator time over virtual time.
class PlacementMeter {
 public:
  explicit PlacementMeter(SimulatedFleet& fleet) : fleet_(fleet) {}

  void add_sample(double elapsed_seconds) {
    const auto* leader = fleet_.leader();
    if (leader == nullptr) {
      return;
    }
    const auto& state = leader->controller->state();
    const auto input = control::make_planning_input(state);
    std::map<std::string, int> missing_by_zone;
    for (const auto& demand : placement::desired_groups(input)) {
      int serving_groups = 0;
      for (const auto& [id, group] : state.groups()) {
        serving_groups +=
            group.template_name == demand.template_name && group.zone == demand.zone && is_serving(group) ? 1 : 0;
      }
      const int missing_groups = std::max(0, demand.groups - serving_groups);
      missing_by_zone[demand.zone] += missing_groups;
      downtime_group_seconds_ += missing_groups * elapsed_seconds;
    }
    for (const auto& [id, machine] : state.machines()) {
      const bool is_idle = machine.state == wire::MachineState::FREE && fleet_.machines().at(id).available();
      if (is_idle && missing_by_zone[machine.zone] > 0) {
        stranded_accelerator_seconds_ += machine.accelerators * elapsed_seconds;
      }
    }
  }

  double downtime_group_seconds() const { return downtime_group_seconds_; }
  double stranded_accelerator_seconds() const { return stranded_accelerator_seconds_; }

 private:
  bool is_serving(const wire::Group& group) const {
    return group.state == wire::GroupState::SERVING &&
           std::all_of(group.machines.begin(), group.machines.end(),
                       [this](const auto& id) { return fleet_.machines().at(id).available(); });
  }

  SimulatedFleet& fleet_;
  double downtime_group_seconds_ = 0;
  double stranded_accelerator_seconds_ = 0;
};

/// Kills random machines at exponentially distributed intervals and restarts each after a random repair time.
class MachineFailureInjector {
 public:
  MachineFailureInjector(const Experiment& experiment, SimulatedFleet& fleet, uint64_t seed)
      : experiment_(experiment), fleet_(fleet), random_(seed) {}

  void schedule_next_failure() {
    std::exponential_distribution<double> interval(
        1.0 / (static_cast<double>(experiment_.mean_seconds_between_failures) * 1e6));
    fleet_.queue().schedule_after(Duration(static_cast<int64_t>(interval(random_))), [this] {
      fail_random_machine();
      schedule_next_failure();
    });
  }

 private:
  void fail_random_machine() {
    auto item = fleet_.machines().begin();
    std::advance(item, std::uniform_int_distribution<int>(0, static_cast<int>(fleet_.machines().size()) - 1)(random_));
    const std::string id = item->first;
    if (!item->second.alive) {
      return;
    }
    item->second.die(fleet_.queue().now());
    std::uniform_real_distribution<double> repair_factor(0.5, 1.5);
    const auto delay =
        static_cast<int64_t>(static_cast<double>(experiment_.mean_repair_seconds) * 1e6 * repair_factor(random_));
    fleet_.queue().schedule_after(Duration(delay),
                                  [this, id] { fleet_.machines().at(id).restart_empty(fleet_.queue().now()); });
  }

  const Experiment& experiment_;
  SimulatedFleet& fleet_;
  std::mt19937_64 random_;
};

}  // namespace

std::map<std::string, double> run_placement_trial(const Experiment& experiment, const std::string& policy,
                                                  int64_t policy_downtime_weight, uint64_t seed) {
  EventQueue queue;
  InvariantMonitor monitor(milliseconds(3200), seconds(60));
  SimulatedFleetOptions options;
  options.zones = experiment.deployment.zones;
  options.node_count = experiment.deployment.node_count;
  options.disk_count = experiment.deployment.disk_count;
  options.tick_interval = milliseconds(50);
  options.load_time = seconds(20);
  options.seed = seed;
  SimulatedFleet fleet(options, queue, monitor);
  WorkloadOptions workload_options;
  workload_options.tenants = {"none"};
  Workload workload(workload_options, fleet);
  auto configuration = experiment.deployment.configuration;
  wire::FleetParameters parameters;
  parameters.placement_policy = policy;
  parameters.downtime_weight = static_cast<int32_t>(policy_downtime_weight);
  parameters.max_concurrent_loads = 4;
  parameters.claim_window_seconds = 3600;
  std::erase_if(configuration, [](const auto& write) { return write.key == config::kFleetParametersKey; });
  wire::KeyWrite write;
  write.key = std::string(config::kFleetParametersKey);
  write.value = wire::encode(parameters);
  configuration.push_back(write);

  const auto never_stop = [] { return false; };
  fleet.start();
  queue.schedule_after(seconds(4), [&] { workload.configure(configuration, [] {}); });
  queue.run_until(queue.now() + kSetupTime * 3, never_stop);
  MachineFailureInjector failures(experiment, fleet, seed * 31 + 7);
  failures.schedule_next_failure();
  PlacementMeter meter(fleet);
  const TimePoint end = queue.now() + seconds(experiment.duration_seconds);
  while (queue.now() < end) {
    queue.run_until(queue.now() + kSampleInterval, never_stop);
    meter.add_sample(static_cast<double>(kSampleInterval.count()) / 1e6);
  }
  return {{"downtime_group_seconds", meter.downtime_group_seconds()},
          {"stranded_accelerator_seconds", meter.stranded_accelerator_seconds()},
          {"violations", static_cast<double>(monitor.violations().size())}};
}

}  // namespace larchlever::simulation
