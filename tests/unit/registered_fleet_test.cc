#include "simulation/registered_fleet.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace larchlever::simulation {
namespace {

constexpr uint64_t kSeedCount = 40;
constexpr uint64_t kMaxDefectSeeds = 60;

TEST(RegisteredFleet, MaintainsInvariantsUnderFaults) {
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    RegisteredFleetOptions options;
    options.seed = seed;
    const auto result = RegisteredFleet(options).run();
    ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
    EXPECT_GT(result.documents_acknowledged, 5U) << "seed " << seed;
    EXPECT_GT(result.groups_opened, 5U) << "seed " << seed;
    EXPECT_GT(result.faults, 20U) << "seed " << seed;
  }
}

/// Seeds that once violated an invariant: a copy of the instance list named a previous process at an address (16);
/// orders of a previous leader removed a member from a group that the next leader then opened (497); late orders
/// reopened a dissolved group (388); a fence hit a head that had already been assigned to another group (5).
TEST(RegisteredFleet, MaintainsInvariantsOnRegressionSeeds) {
  for (const uint64_t seed : {5U, 16U, 388U, 497U}) {
    RegisteredFleetOptions options;
    options.seed = seed;
    const auto result = RegisteredFleet(options).run();
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
  }
}

TEST(RegisteredFleet, SameSeedGivesSameRun) {
  RegisteredFleetOptions options;
  options.seed = 5;
  const auto first = RegisteredFleet(options).run();
  const auto second = RegisteredFleet(options).run();
  EXPECT_EQ(first.groups_opened, second.groups_opened);
  EXPECT_EQ(first.documents_acknowledged, second.documents_acknowledged);
  EXPECT_EQ(first.faults, second.faults);
}

// Zone orders together with leader crashes, isolated entries and lost disks: no entry that may serve contradicts an
// acknowledged order.
TEST(RegisteredFleet, MaintainsAcknowledgedEvacuationsUnderFaults) {
  uint64_t acknowledged = 0;
  for (uint64_t seed = 1; seed <= kSeedCount / 2; ++seed) {
    RegisteredFleetOptions options;
    options.seed = seed;
    options.enable_zone_orders = true;
    const auto result = RegisteredFleet(options).run();
    ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
    acknowledged += result.evacuations_acknowledged;
  }
  EXPECT_GT(acknowledged, 5 * kSeedCount / 2);
}

// A restarted control replica numbers its calls from the start again. The simulation once matched the answer to such a
// call with a zone order that had been pending when the replica stopped, and reported entries as contradicting that
// order:
//   EVACUATION: 10.0.1.1:7000 contradicts the acknowledged order that b be evacuated
// With the last seed all zones are evacuated at the end and no group is left.
TEST(RegisteredFleet, RestartedReplicaDoesNotAcknowledgeEarlierZoneOrder) {
  for (const uint64_t seed : {1096U, 1268U, 1342U, 1362U, 1236U}) {
    RegisteredFleetOptions options;
    options.seed = seed;
    options.enable_zone_orders = true;
    const auto result = RegisteredFleet(options).run();
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
  }
}

// A copy of a forwarded call that arrived seconds late was a new call to the leader and undid an acknowledged order:
//   EVACUATION: 10.0.1.1:7000 contradicts the acknowledged order that a be evacuated
TEST(RegisteredFleet, LateCopiesOfZoneCallsDoNotUndoLaterOrders) {
  uint64_t acknowledged = 0;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    RegisteredFleetOptions options;
    options.seed = seed;
    options.enable_zone_orders = true;
    options.late_call_probability = 0.5;
    const auto result = RegisteredFleet(options).run();
    ASSERT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
    acknowledged += result.evacuations_acknowledged;
  }
  EXPECT_GT(acknowledged, 5 * kSeedCount);
}

/// Runs seeds with an injected defect until one violates an invariant; returns that violation, or empty if none does.
std::string first_violation(const std::function<void(RegisteredFleetOptions&)>& enable_defect) {
  for (uint64_t seed = 1; seed <= kMaxDefectSeeds; ++seed) {
    RegisteredFleetOptions options;
    options.seed = seed;
    enable_defect(options);
    const auto result = RegisteredFleet(options).run();
    if (!result.violations.empty()) {
      return result.violations.front();
    }
  }
  return "";
}

TEST(RegisteredFleet, DetectsEntriesThatIgnoreTheirLease) {
  const auto violation = first_violation([](auto& options) { options.entries_ignore_leases = true; });
  EXPECT_NE(violation.find("LEASE"), std::string::npos) << violation;
}

TEST(RegisteredFleet, DetectsEntriesThatIgnoreEvacuations) {
  const auto violation = first_violation([](auto& options) {
    options.enable_zone_orders = true;
    options.entries_ignore_evacuations = true;
  });
  EXPECT_NE(violation.find("EVACUATION"), std::string::npos) << violation;
}

TEST(RegisteredFleet, DetectsMembersReassignedBeforeTheirHeadStops) {
  // A head with a missing member keeps serving for longer than the supervisor assumes.
  const auto violation = first_violation([](auto& options) {
    options.fleet.stall_time = milliseconds(100);
    options.late_order_probability = 0.5;
  });
  EXPECT_NE(violation.find("TWO"), std::string::npos) << violation;
}

TEST(RegisteredFleet, DetectsDisksThatAcknowledgeUnsyncedWrites) {
  const auto violation = first_violation([](auto& options) {
    options.acknowledge_unsynced_writes = true;
    options.mean_fault_interval = milliseconds(400);
  });
  EXPECT_FALSE(violation.empty());
}

}  // namespace
}  // namespace larchlever::simulation
