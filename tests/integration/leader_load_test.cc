// The leader of a large fleet in virtual time: its processor time is measured and charged as on a machine with a
// fraction of a core.

#include <gtest/gtest.h>

#include <iostream>

#include "simulation/charged_fleet.h"

namespace larchlever::simulation {
namespace {

/// Above this a control replica counts as having stood still.
constexpr Duration kMaxTickGap = milliseconds(250);
/// Half of the shortest time within which a server that leaves gets no more requests.
constexpr Duration kMaxLeavingDelay = seconds(1);
constexpr int kReplicas = 5;
constexpr size_t kPrintedWorkKinds = 4;
constexpr Duration kStartTimeout = seconds(60);
/// Servers beyond whole groups stay spare.
constexpr double kServingShare = 0.75;

double to_ms(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

class LeaderOfLargeFleet : public testing::Test {
 protected:
  void start() {
    ASSERT_TRUE(fleet_.wait_until_serving(kServingShare, kStartTimeout));
    fleet_.advance(seconds(2));
  }

  /// Starts the fleet and begins to measure.
  void start_and_measure() {
    start();
    fleet_.reset_measurements();
  }

  ChargedFleetResult expect_leader_kept_up() {
    auto result = fleet_.result();
    std::cout << "leader busy " << 100 * to_ms(result.leader.work.busy()) / to_ms(result.elapsed) << " %, longest step "
              << to_ms(result.leader.longest_step) << " ms (" << result.leader.longest_step_name << "), "
              << format_work(result.leader.work.take_totals(), kPrintedWorkKinds) << "\n";
    EXPECT_LE(to_ms(result.leader.longest_tick_gap), to_ms(kMaxTickGap));
    EXPECT_EQ(result.leader_changes, 0);
    return result;
  }

  ChargedFleet fleet_{ChargedFleetOptions()};
};

// Guards against leaders that stand still because every entry of the fleet reports to them while it starts.
TEST_F(LeaderOfLargeFleet, DoesNotStandStillWhileAllEntriesStart) {
  start();
  EXPECT_LE(to_ms(fleet_.result().leader.longest_tick_gap), to_ms(kMaxTickGap));
}

// Guards against leaders that fall behind when the entries of partitioned replicas move to them.
TEST_F(LeaderOfLargeFleet, KeepsUpWhileEntriesLeavePartitionedReplicas) {
  start_and_measure();
  const int leader = fleet_.leader_index();
  fleet_.cut_replica((leader + 1) % kReplicas, seconds(6));
  fleet_.cut_replica((leader + 2) % kReplicas, seconds(6));
  fleet_.advance(seconds(8));
  expect_leader_kept_up();
}

// Guards against leaders that fall behind while entries report a thousand presumed crashes of servers within a second.
TEST_F(LeaderOfLargeFleet, KeepsUpWithReportsOfCrashes) {
  start_and_measure();
  fleet_.report_server_ends(1000, seconds(1));
  fleet_.advance(seconds(3));
  expect_leader_kept_up();
}

// Guards against parts of prompts that stay suspected because all servers of a zone crashed at once.
TEST_F(LeaderOfLargeFleet, SuspectsNoPromptPartWhenAZoneFails) {
  start_and_measure();
  fleet_.crash_zone(4, seconds(4));
  fleet_.advance(seconds(6));
  EXPECT_EQ(expect_leader_kept_up().suspected_parts, 0U);
}

// Guards against sound requests that are withheld because all servers of a zone crashed at once.
TEST_F(LeaderOfLargeFleet, WithholdsNoRequestWhenAZoneFails) {
  start_and_measure();
  fleet_.crash_zone(4, seconds(4));
  fleet_.advance(seconds(6));
  const auto result = expect_leader_kept_up();
  EXPECT_EQ(result.withheld_requests, 0U) << "of " << result.requests;
}

// Guards against leaders that fall behind while almost half of the entries restart within two seconds.
TEST_F(LeaderOfLargeFleet, KeepsUpWhileEntriesRestart) {
  start_and_measure();
  fleet_.restart_entries(0.45, seconds(2));
  fleet_.advance(seconds(4));
  expect_leader_kept_up();
}

// Guards against entries that go on using a server long after its leaving was acknowledged.
TEST_F(LeaderOfLargeFleet, EntriesLearnOfALeavingInTime) {
  start_and_measure();
  fleet_.deregister_head((fleet_.leader_index() + 1) % kReplicas);
  fleet_.advance(seconds(4));
  const auto result = expect_leader_kept_up();
  EXPECT_EQ(result.acknowledged_leavings, 1U);
  EXPECT_LE(to_ms(result.longest_leaving_delay), to_ms(kMaxLeavingDelay));
}

}  // namespace
}  // namespace larchlever::simulation
