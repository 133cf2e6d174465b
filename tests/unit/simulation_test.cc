#include <gtest/gtest.h>

#include <functional>

#include "simulation/simulation_run.h"

namespace larchlever::simulation {
namespace {

constexpr uint64_t kMaxDefectSeeds = 60;

TEST(Simulation, MaintainsInvariantsUnderFaults) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const auto result = run_simulation(fault_run_options(seed));
    ASSERT_TRUE(result.violations.empty()) << "seed " << seed << " " << result.violations.front();
    EXPECT_GT(result.workload.requests, 100U);
    EXPECT_GT(result.checks, 1000U);
  }
}

TEST(Simulation, SameSeedGivesSameRun) {
  const auto first = run_simulation(fault_run_options(7));
  const auto second = run_simulation(fault_run_options(7));
  EXPECT_EQ(first.digest, second.digest);
  EXPECT_EQ(first.events, second.events);
  EXPECT_NE(first.digest, run_simulation(fault_run_options(8)).digest);
}

/// Runs seeds with an injected defect until one violates an invariant; returns that violation, or empty if none does.
std::string first_violation(const std::function<void(SimulationOptions&)>& enable_defect) {
  for (uint64_t seed = 1; seed <= kMaxDefectSeeds; ++seed) {
    auto options = fault_run_options(seed);
    enable_defect(options);
    const auto result = run_simulation(options);
    if (!result.violations.empty()) {
      return result.violations.front();
    }
  }
  return "";
}

struct Defect {
  const char* name;
  std::function<void(SimulationOptions&)> enable_defect;
  const char* expected;
};

class InjectedDefect : public testing::TestWithParam<Defect> {};

TEST_P(InjectedDefect, IsDetected) {
  const auto violation = first_violation(GetParam().enable_defect);
  EXPECT_NE(violation.find(GetParam().expected), std::string::npos) << "found: " << violation;
}

INSTANTIATE_TEST_SUITE_P(
    Simulation, InjectedDefect,
    testing::Values(
        Defect{"leases", [](auto& options) { options.fleet.defects.entries_ignore_leases = true; },
               "dispatch to group"},
        Defect{"zones", [](auto& options) { options.fleet.defects.entries_ignore_zones = true; }, "outside its zones"},
        Defect{"claims", [](auto& options) { options.fleet.defects.dispatch_without_claim = true; }, "ran twice"},
        Defect{"outcome", [](auto& options) { options.fleet.defects.report_unknown_as_not_run = true; }, "did not run"},
        Defect{"commit",
               [](auto& options) {
                 options.fleet.defects.in_force_at_commit = true;
                 options.fleet.controller.control.in_force_timeout = Duration(0);
               },
               "was in force"},
        Defect{"reads", [](auto& options) { options.fleet.defects.reads_from_any_node = true; }, "went back"},
        Defect{"presence", [](auto& options) { options.fleet.controller.control.presence_bound = seconds(20); },
               "was lost"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Simulation, DetectsDiskThatAcknowledgesUnsyncedWrites) {
  const auto violation = first_violation([](auto& options) {
    options.fleet.defects.acknowledge_unsynced_writes = true;
    options.fleet.disk_sync_time = milliseconds(400);
    options.faults.mean_interval = milliseconds(300);
  });
  EXPECT_FALSE(violation.empty());
}

}  // namespace
}  // namespace larchlever::simulation
