// The leader of a large fleet in virtual time: its processor time is measured and charged as on a machine with a
// fraction of a core.

#include <gtest/gtest.h>

#include "simulation/charged_fleet.h"

namespace larchlever::simulation {
namespace {

/// Above this a control replica counts as having stood still.
constexpr Duration kMaxTickGap = milliseconds(250);
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

  ChargedFleet fleet_{ChargedFleetOptions()};
};

// Guards against leaders that stand still because every entry of the fleet reports to them while it starts.
TEST_F(LeaderOfLargeFleet, DoesNotStandStillWhileAllEntriesStart) {
  start();
  EXPECT_LE(to_ms(fleet_.result().leader.longest_tick_gap), to_ms(kMaxTickGap));
}

}  // namespace
}  // namespace larchlever::simulation
