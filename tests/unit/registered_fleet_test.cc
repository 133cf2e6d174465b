#include "simulation/registered_fleet.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace larchlever::simulation {
namespace {

constexpr uint64_t kSeedCount = 40;
constexpr uint64_t kMaxDefectSeeds = 60;

TEST(RegisteredFleet, KeepsItsPromisesUnderFaults) {
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

/// Seeds that once broke a promise: a copy named an earlier holder of an address (16), a predecessor's orders took a
/// member out of a group that its successor opened (497), late orders opened a dissolved group again (388), a fence
/// struck a head that had been given to another group (5).
TEST(RegisteredFleet, KeepsItsPromisesOnSeedsThatOnceFailed) {
  for (const uint64_t seed : {5U, 16U, 388U, 497U}) {
    RegisteredFleetOptions options;
    options.seed = seed;
    const auto result = RegisteredFleet(options).run();
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
  }
}

TEST(RegisteredFleet, GivesTheSameRunForTheSameSeed) {
  RegisteredFleetOptions options;
  options.seed = 5;
  const auto first = RegisteredFleet(options).run();
  const auto second = RegisteredFleet(options).run();
  EXPECT_EQ(first.groups_opened, second.groups_opened);
  EXPECT_EQ(first.documents_acknowledged, second.documents_acknowledged);
  EXPECT_EQ(first.faults, second.faults);
}

// Orders on zones beside lost leaders, cut entries and lost disks: what was acknowledged holds for who may serve.
TEST(RegisteredFleet, KeepsAcknowledgedEvacuationsUnderFaults) {
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

// A control process that started again counts its calls anew. The answer to one of them was taken for the answer to an
// order on a zone that was open when the process before it ended, and entries seemed to go against that order:
//   EVACUATION: 10.0.1.1:7000 goes against the order that b be evacuated
// On the last of these seeds all zones are evacuated in the end, and no group is left.
TEST(RegisteredFleet, TakesNoAnswerOfALaterStartForThatToAnOrderOnAZone) {
  for (const uint64_t seed : {1096U, 1268U, 1342U, 1362U, 1236U}) {
    RegisteredFleetOptions options;
    options.seed = seed;
    options.enable_zone_orders = true;
    const auto result = RegisteredFleet(options).run();
    EXPECT_TRUE(result.violations.empty()) << "seed " << seed << ": " << result.violations.front();
  }
}

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

TEST(RegisteredFleet, CatchesEntriesThatIgnoreTheirLease) {
  const auto violation = first_violation([](auto& options) { options.entries_ignore_leases = true; });
  EXPECT_NE(violation.find("LEASE"), std::string::npos) << violation;
}

TEST(RegisteredFleet, CatchesEntriesThatServeAgainstAnEvacuation) {
  const auto violation = first_violation([](auto& options) {
    options.enable_zone_orders = true;
    options.entries_ignore_evacuations = true;
  });
  EXPECT_NE(violation.find("EVACUATION"), std::string::npos) << violation;
}

TEST(RegisteredFleet, CatchesMembersFreedBeforeTheirHeadStands) {
  // A head that misses a member goes on for longer than the supervisor believes.
  const auto violation = first_violation([](auto& options) {
    options.fleet.stall_time = milliseconds(100);
    options.late_order_probability = 0.5;
  });
  EXPECT_NE(violation.find("TWO"), std::string::npos) << violation;
}

TEST(RegisteredFleet, CatchesDisksThatLie) {
  const auto violation = first_violation([](auto& options) {
    options.acknowledge_unsynced_writes = true;
    options.mean_fault_interval = milliseconds(400);
  });
  EXPECT_FALSE(violation.empty());
}

}  // namespace
}  // namespace larchlever::simulation
