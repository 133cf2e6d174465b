#include "core/fleet/state_history.h"

#include <gtest/gtest.h>

#include <random>

namespace larchlever::fleet {
namespace {

wire::Instance instance(const std::string& id, int64_t call_number = 1) {
  wire::Instance result;
  result.id = id;
  result.call_number = call_number;
  return result;
}

wire::EngineGroup group(const std::string& name, wire::GroupPhase::type phase) {
  wire::EngineGroup result;
  result.name = name;
  result.phase = phase;
  return result;
}

wire::FleetState fleet_state(int64_t version, std::vector<wire::Instance> instances,
                             std::vector<wire::EngineGroup> groups) {
  wire::FleetState state;
  state.version = version;
  state.instances = std::move(instances);
  state.groups = std::move(groups);
  return state;
}

TEST(StateHistory, ReturnsOnlyRowsChangedSinceVersion) {
  StateHistory history;
  history.start_term(7);
  history.record(fleet_state(1, {instance("i1"), instance("i2")}, {group("g1", wire::GroupPhase::JOINING)}));
  history.record(fleet_state(2, {instance("i1", 9), instance("i3")}, {group("g1", wire::GroupPhase::OPEN)}));
  const auto change = history.changes_since(1);
  ASSERT_EQ(change.instances.size(), 1U) << "a new call number alone is not a change";
  EXPECT_EQ(change.instances.front().id, "i3");
  ASSERT_EQ(change.removed_instances.size(), 1U);
  EXPECT_EQ(change.removed_instances.front(), "i2");
  ASSERT_EQ(change.groups.size(), 1U);
  EXPECT_EQ(change.groups.front().phase, wire::GroupPhase::OPEN);
  EXPECT_TRUE(history.changes_since(2).instances.empty());
}

TEST(StateHistory, AppliesOnlyDeltasThatFollowHeldVersion) {
  StateHistory history;
  history.start_term(7);
  history.record(fleet_state(1, {instance("i1")}, {}));
  wire::FleetState copy = history.full_state();
  history.record(fleet_state(2, {instance("i1"), instance("i2")}, {}));
  history.record(fleet_state(3, {instance("i1"), instance("i2"), instance("i3")}, {}));
  EXPECT_FALSE(apply_change(copy, history.changes_since(2))) << "the preceding delta is missing";
  auto other_term_change = history.changes_since(1);
  other_term_change.term = 8;
  EXPECT_FALSE(apply_change(copy, other_term_change));
  EXPECT_TRUE(apply_change(copy, history.changes_since(1)));
  EXPECT_EQ(copy.version, 3);
  EXPECT_EQ(copy.instances.size(), 3U);
  EXPECT_FALSE(apply_change(copy, history.changes_since(1))) << "already applied";
}

TEST(StateHistory, TracksAddedChangedAndRemovedBlockedRequests) {
  StateHistory history;
  history.start_term(7);
  auto state = fleet_state(1, {}, {});
  state.blocked_requests.resize(2);
  state.blocked_requests[0].fingerprint = 5;
  state.blocked_requests[1].fingerprint = -6;
  history.record(state);
  wire::FleetState copy = history.full_state();
  EXPECT_EQ(copy.blocked_requests.size(), 2U);
  state.version = 2;
  state.blocked_requests.pop_back();
  state.blocked_requests[0].trials = 1;
  history.record(state);
  EXPECT_EQ(history.last_changed_version(), 2);
  EXPECT_TRUE(apply_change(copy, history.changes_since(1)));
  EXPECT_EQ(copy.blocked_requests, state.blocked_requests);
}

TEST(StateHistory, CopyCatchesUpAfterMissedDeltas) {
  std::mt19937 random(20261202);
  const auto draw = [&random](int maximum) { return std::uniform_int_distribution<int>(0, maximum)(random); };
  StateHistory history;
  history.start_term(1);
  wire::FleetState copy;
  copy.term = 1;
  std::map<std::string, wire::Instance> expected_instances;
  for (int64_t version = 1; version <= 300; ++version) {
    const std::string id = "i" + std::to_string(draw(12));
    if (draw(3) == 0) {
      expected_instances.erase(id);
    } else {
      expected_instances[id] = instance(id);
      expected_instances[id].silent = draw(1) == 1;
    }
    std::vector<wire::Instance> rows;
    for (const auto& [key, row] : expected_instances) {
      rows.push_back(row);
    }
    history.record(fleet_state(version, rows, {}));
    if (draw(2) > 0) {
      continue;  // This delta is lost.
    }
    apply_change(copy, history.changes_since(copy.version));
    ASSERT_EQ(copy.version, version);
    ASSERT_EQ(copy.instances.size(), rows.size());
    for (const auto& row : copy.instances) {
      ASSERT_EQ(row, expected_instances.at(row.id));
    }
  }
}

// Without the released groups in its copy, the next leader would treat the members of those groups as still in use.
TEST(StateHistory, TracksAddedAndRemovedReleasedGroups) {
  StateHistory history;
  history.start_term(2);
  wire::FleetState state;
  state.version = 1;
  state.released_groups = {"g2-1", "g2-2"};
  history.record(state);
  auto copy = history.full_state();
  EXPECT_EQ(copy.released_groups, state.released_groups);
  state.version = 2;
  state.released_groups = {"g2-2", "g2-3"};
  history.record(state);
  ASSERT_TRUE(apply_change(copy, history.changes_since(1)));
  EXPECT_EQ(copy.released_groups, state.released_groups);
}

}  // namespace
}  // namespace larchlever::fleet
