#include "simulation/simulation_run.h"

#include <xxhash.h>

#include "core/placement/planner.h"
#include "wire/codec.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kSetupTimeout = seconds(30);
/// Longest time for which a group may receive requests after one of its machines was lost: presence bound plus serve
/// lease plus their margins.
constexpr Duration kDispatchAfterLossLimit = milliseconds(3200);
constexpr Duration kDispatchAfterLeaveLimit = seconds(12);

wire::KeyWrite make_key_write(const std::string& key, std::string value) {
  wire::KeyWrite write;
  write.key = key;
  write.value = std::move(value);
  return write;
}

wire::Tenant make_tenant(const std::string& name, std::vector<std::string> zones, int tenant_share_percent) {
  wire::Tenant tenant;
  tenant.name = name;
  tenant.template_name = "main";
  tenant.zones = std::move(zones);
  tenant.share_percent = tenant_share_percent;
  tenant.max_concurrent = 40;
  tenant.priority = 5;
  return tenant;
}

std::vector<wire::KeyWrite> fault_run_configuration() {
  wire::Template model_template;
  model_template.name = "main";
  model_template.model = "model";
  model_template.version = "1";
  model_template.machines_per_group = 2;
  std::vector<wire::KeyWrite> writes;
  writes.push_back(make_key_write("template/main", wire::encode(model_template)));
  for (const auto& tenant :
       {make_tenant("one", {"a"}, 20), make_tenant("two", {"b", "c"}, 30), make_tenant("three", {"a", "b", "c"}, 20)}) {
    writes.push_back(make_key_write(config::tenant_key(tenant.name), wire::encode(tenant)));
  }
  return writes;
}

/// Checks that the planner would create no further group and that every existing group is serving.
void check_groups_formed(SimulatedFleet& fleet, InvariantMonitor& monitor) {
  auto* leader = fleet.leader();
  if (leader == nullptr) {
    monitor.report_violation(fleet.queue().now(), "no leader after all faults were repaired");
    return;
  }
  const auto& state = leader->controller->state();
  auto input = control::make_planning_input(state);
  for (const auto& [id, machine] : state.machines()) {
    input.present_machines.insert(id);
  }
  const auto plan = placement::make_plan(input, *placement::make_placement_policy("first_fit"));
  if (!plan.groups_to_create.empty()) {
    monitor.report_violation(fleet.queue().now(), "a group was not created although machines are available: " +
                                                      plan.groups_to_create.front().template_name + " in " +
                                                      plan.groups_to_create.front().zone);
  }
  for (const auto& [id, group] : state.groups()) {
    if (group.state != wire::GroupState::SERVING) {
      monitor.report_violation(fleet.queue().now(), "group " + std::to_string(id) + " is stuck in state " +
                                                        std::to_string(static_cast<int>(group.state)));
    }
  }
}

}  // namespace

SimulationOptions fault_run_options(uint64_t seed) {
  SimulationOptions options;
  options.seed = seed;
  options.fleet.seed = seed;
  options.fleet.zones = {{"a", 2, 3, 8, true}, {"b", 2, 3, 8, true}, {"c", 2, 3, 8, false}};
  options.fleet.controller.control.snapshot_interval_entries = 150;
  options.fleet.controller.control.snapshot_trailing_entries = 20;
  options.workload.tenants = {"one", "two", "three"};
  options.configuration = fault_run_configuration();
  return options;
}

SimulationResult run_simulation(const SimulationOptions& options) {
  EventQueue queue;
  InvariantMonitor monitor(kDispatchAfterLossLimit, kDispatchAfterLeaveLimit);
  SimulatedFleet fleet(options.fleet, queue, monitor);
  Workload workload(options.workload, fleet);
  FaultInjector faults(options.faults, fleet);
  const auto should_stop = [&monitor] { return !monitor.violations().empty(); };

  fleet.start();
  bool configured = false;
  queue.schedule_after(seconds(3), [&] { workload.configure(options.configuration, [&] { configured = true; }); });
  const TimePoint setup_deadline = queue.now() + kSetupTimeout;
  while (!configured && queue.now() < setup_deadline && !should_stop()) {
    queue.run_until(queue.now() + milliseconds(100), should_stop);
  }
  if (!configured) {
    monitor.report_violation(queue.now(), "the initial configuration got no reply");
  }
  queue.run_until(queue.now() + seconds(6), should_stop);

  const TimePoint faults_end = queue.now() + options.fault_duration;
  workload.start(faults_end);
  faults.start(faults_end);
  queue.run_until(faults_end, should_stop);
  faults.repair_all();
  queue.run_until(queue.now() + options.recovery_duration / 2, should_stop);

  bool is_change_in_force = false;
  workload.resend_answered_changes();
  workload.apply_change("one", [&](const wire::OperatorReply& reply) {
    is_change_in_force = reply.answer.verdict == wire::Verdict::ACCEPTED && reply.in_force;
  });
  queue.run_until(queue.now() + options.recovery_duration / 2, should_stop);
  if (monitor.violations().empty()) {
    if (!is_change_in_force) {
      monitor.report_violation(queue.now(),
                               "a change made after the repair of all faults did not come into force in time");
    }
    check_groups_formed(fleet, monitor);
  }

  SimulationResult result;
  result.seed = options.seed;
  result.violations = monitor.violations();
  result.workload = workload.stats();
  result.faults = faults.fault_counts();
  result.checks = monitor.check_count();
  result.events = queue.executed_event_count();
  const uint64_t digest_inputs[] = {queue.executed_event_count(), monitor.check_count(),   fleet.message_count(),
                                    result.workload.ran,          result.workload.not_run, result.workload.unknown,
                                    result.workload.accepted,     result.violations.size()};
  result.digest = XXH3_64bits(digest_inputs, sizeof(digest_inputs));
  return result;
}

}  // namespace larchlever::simulation
