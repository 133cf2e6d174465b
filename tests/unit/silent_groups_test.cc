#include "core/fleet/silent_groups.h"

#include <gtest/gtest.h>

#include <map>

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
const std::vector<std::string> kEntries{"e0", "e1", "e2"};

TimePoint at(int64_t ms) { return kStart + milliseconds(ms); }

/// A suspected group with requests, none of which made progress.
SuspectedGroupState silent_state() {
  SuspectedGroupState state;
  state.last_progress = at(-50);
  state.has_requests = true;
  return state;
}

class SilentGroupsTest : public testing::Test {
 protected:
  /// The group falls silent at `silent_ms` and is suspected 200 ms later.
  void suspect(int64_t silent_ms) {
    const auto event =
        groups_.suspect(at(silent_ms + 200), "g", SuspicionCause::kStreamsSilent, at(silent_ms), kEntries);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->step, SuspicionStep::kSuspected);
    EXPECT_EQ(event->silent_for, milliseconds(200));
  }
  std::optional<SuspicionStep> review(int64_t ms, const SuspectedGroupState& state) {
    const auto event = groups_.review(at(ms), "g", state);
    return event ? std::optional(event->step) : std::nullopt;
  }

  SilentGroups groups_;
};

// Guards against a sound group that is dissolved, with all streams that still run there, because it was silent.
TEST_F(SilentGroupsTest, SilenceOfASoundGroupEndsWithItsProgress) {
  suspect(0);
  EXPECT_EQ(review(1300, silent_state()), std::nullopt);
  auto progressing = silent_state();
  progressing.last_progress = at(1310);
  EXPECT_EQ(review(1320, progressing), SuspicionStep::kCleared);
  suspect(1500);
  auto moving = silent_state();
  moving.are_streams_moving = true;
  EXPECT_EQ(review(2000, moving), SuspicionStep::kCleared);
}

// Guards against a failed group that keeps its servers for good because nothing proves its failure.
TEST_F(SilentGroupsTest, SilenceOfMoreThanTwoSecondsIsAFailure) {
  suspect(0);
  EXPECT_EQ(review(2000, silent_state()), std::nullopt);
  const auto event = groups_.review(at(2001), "g", silent_state());
  ASSERT_TRUE(event);
  EXPECT_EQ(event->step, SuspicionStep::kGivenUp);
  EXPECT_EQ(event->silent_for, milliseconds(2001));
  EXPECT_EQ(event->entries, kEntries);
  EXPECT_EQ(review(2002, silent_state()), std::nullopt) << "it is given up once";
  EXPECT_FALSE(groups_.suspect(at(2003), "g", SuspicionCause::kStreamsSilent, at(0), kEntries));
}

// Guards against progress from before the silence, known late, that ends a suspicion.
TEST_F(SilentGroupsTest, EarlierProgressEndsNoSuspicion) {
  suspect(0);
  auto state = silent_state();
  state.last_progress = at(150);
  EXPECT_EQ(review(300, state), std::nullopt);
}

// Guards against a leader that was paused itself and holds the time of its pause against the groups.
TEST_F(SilentGroupsTest, OwnPauseOfTheLeaderIsNoSilence) {
  suspect(0);
  groups_.note_own_pause(at(2500), milliseconds(1500));
  EXPECT_EQ(review(2600, silent_state()), std::nullopt);
  EXPECT_EQ(review(3501, silent_state()), SuspicionStep::kGivenUp);
}

// Guards against requests that are granted to a silent group when its failure is already proven.
TEST_F(SilentGroupsTest, ProofEndsASuspicionAtOnce) {
  suspect(0);
  auto state = silent_state();
  state.has_silent_member = true;
  const auto event = groups_.review(at(500), "g", state);
  ASSERT_TRUE(event);
  EXPECT_EQ(event->step, SuspicionStep::kGivenUp);
  EXPECT_EQ(event->cause, SuspicionCause::kMemberSilent);
  groups_.clear();
  suspect(0);
  const auto refused = groups_.give_up(at(400), "g", SuspicionCause::kEntriesReportFailure, at(-50), {"e0", "e1"});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->silent_for, milliseconds(400));
  EXPECT_FALSE(groups_.give_up(at(410), "g", SuspicionCause::kEntriesReportFailure, at(-50), {"e0", "e1"}));
}

// Guards against a sound group that is dissolved, or never used again, because no stream is left that could show its
// progress.
TEST_F(SilentGroupsTest, GroupWithoutRequestsIsTriedOnceAllMembersReport) {
  suspect(0);
  auto state = silent_state();
  state.has_requests = false;
  state.all_members_reported_at = at(450);
  EXPECT_EQ(review(460, state), std::nullopt) << "the heartbeat may be older than the silence";
  state.all_members_reported_at = at(1300);
  EXPECT_EQ(review(1310, state), SuspicionStep::kCleared);
}

// Guards against a group whose engine hangs while its members send heartbeats: it would lose requests again and again.
TEST_F(SilentGroupsTest, GroupIsTriedOnlyOnceWithoutProgress) {
  suspect(0);
  auto idle = silent_state();
  idle.has_requests = false;
  idle.all_members_reported_at = at(900);
  ASSERT_EQ(review(910, idle), SuspicionStep::kCleared);
  suspect(5000);
  idle.all_members_reported_at = at(6000);
  EXPECT_EQ(review(6010, idle), std::nullopt);
  EXPECT_EQ(review(7001, idle), SuspicionStep::kGivenUp);
}

// Guards against a sound group that is given up because of silences long before.
TEST_F(SilentGroupsTest, ProgressAfterATrialAllowsAnother) {
  suspect(0);
  auto idle = silent_state();
  idle.has_requests = false;
  idle.all_members_reported_at = at(900);
  ASSERT_EQ(review(910, idle), SuspicionStep::kCleared);
  auto progressing = silent_state();
  progressing.last_progress = at(1500);
  EXPECT_EQ(review(1510, progressing), std::nullopt);
  suspect(2000);
  idle.all_members_reported_at = at(3000);
  EXPECT_EQ(review(3010, idle), SuspicionStep::kCleared);
}

// Guards against a suspicion that feeds itself: entries avoid a group on the leader's word and report it as silent.
TEST_F(SilentGroupsTest, ReportsThatEchoASuspicionDoNotRenewIt) {
  suspect(0);
  auto moving = silent_state();
  moving.are_streams_moving = true;
  ASSERT_EQ(review(1300, moving), SuspicionStep::kCleared);
  EXPECT_FALSE(groups_.suspect(at(2400), "g", SuspicionCause::kEntriesReportSilence, at(2400), kEntries));
  EXPECT_TRUE(groups_.suspect(at(3900), "g", SuspicionCause::kEntriesReportSilence, at(3900), kEntries));
}

// Guards against a failed group that is given up only after two seconds although nothing listens at a member any more.
TEST_F(SilentGroupsTest, RefusedProbeProvesTheFailureOfASuspectedGroup) {
  EXPECT_FALSE(groups_.note_probe(at(100), "g", MemberProbeResult::kRefused)) << "it is not suspected";
  suspect(0);
  EXPECT_EQ(groups_.take_groups_to_probe(at(200)), std::vector<std::string>{"g"});
  EXPECT_FALSE(groups_.note_probe(at(210), "g", MemberProbeResult::kInconclusive));
  const auto event = groups_.note_probe(at(220), "g", MemberProbeResult::kRefused);
  ASSERT_TRUE(event);
  EXPECT_EQ(event->step, SuspicionStep::kGivenUp);
  EXPECT_EQ(event->cause, SuspicionCause::kMemberRefused);
  EXPECT_EQ(event->silent_for, milliseconds(220));
  EXPECT_TRUE(groups_.take_groups_to_probe(at(2000)).empty());
}

// Guards against probes of thousands of servers at once when the leader's own link fails.
TEST_F(SilentGroupsTest, ProbesFewGroupsAtATimeAndEachSeldom) {
  for (const auto* group : {"a", "b", "c"}) {
    groups_.suspect(kStart, group, SuspicionCause::kStreamsSilent, kStart, kEntries);
  }
  std::map<std::string, int> probes;
  for (int ms = 0; ms < 1000; ms += 5) {
    const auto due = groups_.take_groups_to_probe(at(ms));
    EXPECT_LE(due.size(), 1U);
    for (const auto& group : due) {
      ++probes[group];
    }
  }
  EXPECT_EQ(probes, (std::map<std::string, int>{{"a", 2}, {"b", 2}, {"c", 2}}));
}

// Guards against records of groups that are long sound or gone, which every tick would review.
TEST_F(SilentGroupsTest, ForgetsGroupsThatAreSoundOrGone) {
  suspect(0);
  auto moving = silent_state();
  moving.are_streams_moving = true;
  ASSERT_EQ(review(1300, moving), SuspicionStep::kCleared);
  EXPECT_EQ(review(3900, moving), std::nullopt);
  EXPECT_TRUE(groups_.groups_to_review().empty());
  suspect(4000);
  groups_.retain({"other"});
  EXPECT_TRUE(groups_.groups_to_review().empty());
}

}  // namespace
}  // namespace larchlever::fleet
