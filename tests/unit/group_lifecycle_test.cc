#include "core/placement/group_lifecycle.h"

#include <gtest/gtest.h>

namespace larchlever::placement {
namespace {

using wire::GroupState;

TEST(GroupLifecycle, AdvancesThroughPlannedStates) {
  EXPECT_EQ(next_state(GroupState::PLANNED, GroupEvent::kOrdersSent), GroupState::LOADING);
  EXPECT_EQ(next_state(GroupState::LOADING, GroupEvent::kAllLoaded), GroupState::READY);
  EXPECT_EQ(next_state(GroupState::READY, GroupEvent::kServe), GroupState::SERVING);
  EXPECT_EQ(next_state(GroupState::SERVING, GroupEvent::kDrain), GroupState::DRAINING);
  EXPECT_EQ(next_state(GroupState::DRAINING, GroupEvent::kDrained), GroupState::RELEASING);
  EXPECT_EQ(next_state(GroupState::RELEASING, GroupEvent::kAllReleased), GroupState::GONE);
}

TEST(GroupLifecycle, MemberLossReleasesGroupInEveryState) {
  for (const auto state :
       {GroupState::PLANNED, GroupState::LOADING, GroupState::READY, GroupState::SERVING, GroupState::DRAINING}) {
    EXPECT_EQ(next_state(state, GroupEvent::kMemberLost), GroupState::RELEASING);
  }
}

TEST(GroupLifecycle, RefusesSkippedStatesAndEventsAfterGone) {
  EXPECT_EQ(next_state(GroupState::PLANNED, GroupEvent::kServe), std::nullopt);
  EXPECT_EQ(next_state(GroupState::LOADING, GroupEvent::kServe), std::nullopt);
  EXPECT_EQ(next_state(GroupState::RELEASING, GroupEvent::kServe), std::nullopt);
  for (int event = 0; event < 7; ++event) {
    EXPECT_EQ(next_state(GroupState::GONE, static_cast<GroupEvent>(event)), std::nullopt);
  }
  EXPECT_EQ(find_event(GroupState::RELEASING, GroupState::SERVING), std::nullopt);
}

}  // namespace
}  // namespace larchlever::placement
