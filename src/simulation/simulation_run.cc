#include "simulation/simulation_run.h"

#include <xxhash.h>

#include "core/placement/planner.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kSetUpTime = seconds(30);
/// Presence bound, serve lease and their margins: longest time in which a lost machine's group may get work.
constexpr Duration kLossBound = milliseconds(3200);
constexpr Duration kLeavingBound = seconds(12);

wire::KeyWrite write_of(const std::string& key, std::string value) {
  wire::KeyWrite write;
  write.key = key;
  write.value = std::move(value);
  return write;
}

wire::Tenant make_tenant(const std::string& name, std::vector<std::string> zones, int share) {
  wire::Tenant tenant;
  tenant.name = name;
  tenant.template_name = "main";
  tenant.zones = std::move(zones);
  tenant.share_percent = share;
  tenant.max_concurrent = 40;
  tenant.priority = 5;
  return tenant;
}

std::vector<wire::KeyWrite> fault_run_configuration() {
  wire::Template shape;
  shape.name = "main";
  shape.model = "model";
  shape.version = "1";
  shape.machines_per_group = 2;
  std::vector<wire::KeyWrite> writes;
  writes.push_back(write_of("template/main", wire::encode(shape)));
  for (const auto& tenant :
       {make_tenant("one", {"a"}, 20), make_tenant("two", {"b", "c"}, 30), make_tenant("three", {"a", "b", "c"}, 20)}) {
    writes.push_back(write_of(config::tenant_key(tenant.name), wire::encode(tenant)));
  }
  return writes;
}

/// Serving groups per wanted (template, zone), compared with what the machines in use allow.
void check_groups_formed(SimulatedFleet& fleet, InvariantMonitor& monitor) {
  auto* leader = fleet.leader();
  if (leader == nullptr) {
    monitor.fail(fleet.queue().now(), "no leader after everything healed");
    return;
  }
  const auto& state = leader->controller->state();
  auto input = control::make_planning_input(state);
  for (const auto& [id, machine] : state.machines()) {
    input.present_machines.insert(id);
  }
  const auto plan = placement::make_plan(input, *placement::make_placement_policy("first_fit"));
  if (!plan.groups_to_create.empty()) {
    monitor.fail(fleet.queue().now(),
                 "a group that could form did not: " + plan.groups_to_create.front().template_name + " in " +
                     plan.groups_to_create.front().zone);
  }
  for (const auto& [id, group] : state.groups()) {
    if (group.state != wire::GroupState::SERVING) {
      monitor.fail(fleet.queue().now(),
                   "group " + std::to_string(id) + " hangs in state " + std::to_string(static_cast<int>(group.state)));
    }
  }
}

}  // namespace

RunOptions fault_run_options(uint64_t seed) {
  RunOptions options;
  options.seed = seed;
  options.fleet.seed = seed;
  options.fleet.zones = {{"a", 2, 3, 8, true}, {"b", 2, 3, 8, true}, {"c", 2, 3, 8, false}};
  options.fleet.controller.control.snapshot_interval_entries = 150;
  options.fleet.controller.control.snapshot_trailing_entries = 20;
  options.workload.tenants = {"one", "two", "three"};
  options.configuration = fault_run_configuration();
  return options;
}

RunResult run_simulation(const RunOptions& options) {
  EventQueue queue;
  InvariantMonitor monitor(kLossBound, kLeavingBound);
  SimulatedFleet fleet(options.fleet, queue, monitor);
  Workload workload(options.workload, fleet);
  FaultInjector faults(options.faults, fleet);
  const auto stop = [&monitor] { return !monitor.violations().empty(); };

  fleet.start();
  bool configured = false;
  queue.after(seconds(3), [&] { workload.configure(options.configuration, [&] { configured = true; }); });
  const TimePoint set_up = queue.now() + kSetUpTime;
  while (!configured && queue.now() < set_up && !stop()) {
    queue.run_until(queue.now() + milliseconds(100), stop);
  }
  if (!configured) {
    monitor.fail(queue.now(), "the first templates were never answered");
  }
  queue.run_until(queue.now() + seconds(6), stop);

  const TimePoint faulty_end = queue.now() + options.faulty_time;
  workload.start(faulty_end);
  faults.start(faulty_end);
  queue.run_until(faulty_end, stop);
  faults.heal();
  queue.run_until(queue.now() + options.healing_time / 2, stop);

  bool answered = false;
  workload.resend_all();
  workload.apply_change("one", [&](const wire::OperatorReply& reply) {
    answered = reply.answer.verdict == wire::Verdict::ACCEPTED && reply.in_force;
  });
  queue.run_until(queue.now() + options.healing_time / 2, stop);
  if (monitor.violations().empty()) {
    if (!answered) {
      monitor.fail(queue.now(), "a change after everything healed was not in force in time");
    }
    check_groups_formed(fleet, monitor);
  }

  RunResult result;
  result.seed = options.seed;
  result.violations = monitor.violations();
  result.workload = workload.stats();
  result.faults = faults.counts();
  result.checks = monitor.checks();
  result.events = queue.executed();
  const uint64_t facts[] = {queue.executed(),         monitor.checks(),        fleet.messages(),
                            result.workload.ran,      result.workload.not_run, result.workload.unknown,
                            result.workload.accepted, result.violations.size()};
  result.digest = XXH3_64bits(facts, sizeof(facts));
  return result;
}

}  // namespace larchlever::simulation
