#include "core/fleet/group_stall_detector.h"

#include <gtest/gtest.h>

#include "core/fleet/target_health.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kPass = milliseconds(50);

std::string entry(int number) { return "e" + std::to_string(number); }

/// A detector with one stream of group g at each of `entries` entries.
GroupStallDetector detector_with_streams(int entries) {
  GroupStallDetector detector;
  for (int number = 0; number < entries; ++number) {
    detector.note_streams(entry(number), "g", 1);
  }
  return detector;
}

TEST(GroupStallDetector, ReportsStallWhenMostEntriesWithStreamsReportQuiet) {
  auto detector = detector_with_streams(8);
  for (int number = 0; number < 5; ++number) {
    detector.note_quiet(kStart, entry(number), {"g"});
  }
  const TimePoint later = kStart + milliseconds(200);
  EXPECT_TRUE(detector.is_quiet(later, "g"));
  EXPECT_FALSE(detector.is_stalled(later, "g", kPass)) << "only five of eight entries report it";
  detector.note_quiet(kStart, entry(5), {"g"});
  EXPECT_TRUE(detector.is_stalled(later, "g", kPass));
  detector.note_quiet(later, entry(0), {});
  EXPECT_FALSE(detector.is_stalled(later, "g", kPass)) << "one entry saw progress again";
  for (int number = 0; number < 8; ++number) {
    detector.note_quiet(later, entry(number), {});
  }
  EXPECT_TRUE(detector.quiet_groups().empty());
}

// Guards against a log that blames a stall on entries that saw none, or that hides how long the streams were silent.
TEST(GroupStallDetector, StatesWhoReportsAStallAndSinceWhen) {
  auto detector = detector_with_streams(4);
  for (int number = 0; number < 3; ++number) {
    detector.note_quiet(kStart + milliseconds(10 * number), entry(number), {"g"});
  }
  const auto stall = detector.find_stall(kStart + milliseconds(200), "g", kPass);
  ASSERT_TRUE(stall);
  EXPECT_EQ(stall->entries, (std::vector<std::string>{entry(0), entry(1), entry(2)}));
  EXPECT_EQ(stall->silent_since, kStart + milliseconds(20) - milliseconds(80))
      << "streams are overdue for 80 ms when they are first reported";
  EXPECT_FALSE(detector.find_stall(kStart + milliseconds(200), "other", kPass));
}

TEST(GroupStallDetector, TwoEntriesAreNotEnoughForAStall) {
  auto detector = detector_with_streams(2);
  detector.note_quiet(kStart, entry(0), {"g"});
  detector.note_quiet(kStart, entry(1), {"g"});
  EXPECT_FALSE(detector.is_stalled(kStart + seconds(1), "g", kPass));
}

TEST(GroupStallDetector, WaitsForALongPass) {
  auto detector = detector_with_streams(4);
  for (int number = 0; number < 4; ++number) {
    detector.note_quiet(kStart, entry(number), {"g"});
  }
  EXPECT_FALSE(detector.is_stalled(kStart + milliseconds(100), "g", milliseconds(240)));
  EXPECT_TRUE(detector.is_stalled(kStart + milliseconds(350), "g", milliseconds(240)));
}

TEST(GroupStallDetector, IgnoresEntriesThatAreGoneOrHaveNoStreams) {
  auto detector = detector_with_streams(4);
  for (int number = 0; number < 4; ++number) {
    detector.note_quiet(kStart, entry(number), {"g"});
  }
  detector.note_streams(entry(0), "g", 0);
  detector.forget_node(entry(1));
  EXPECT_FALSE(detector.is_stalled(kStart + milliseconds(500), "g", kPass)) << "two entries are left";
  EXPECT_FALSE(detector.is_stalled(kStart + seconds(3), "g", kPass)) << "reports that are not repeated expire";
}

TEST(TargetHealth, StreamsAreOverdueComparedWithTheirUsualPauses) {
  constexpr Duration kLongestPause = milliseconds(240);
  TargetHealth health;
  AttemptState mark;
  health.begin_attempt(kStart, mark);
  health.note_first_event(kStart, mark);
  health.note_progress(kStart);
  EXPECT_FALSE(health.is_overdue(kStart + kLongestPause, kLongestPause)) << "no pauses were measured yet";
  TimePoint now = kStart;
  for (int event = 0; event < 100; ++event) {
    now += milliseconds(event % 2 == 0 ? 40 : 50);
    EXPECT_FALSE(health.is_overdue(now, kLongestPause));
    health.note_progress(now);
  }
  EXPECT_FALSE(health.is_overdue(now + milliseconds(80), kLongestPause));
  EXPECT_TRUE(health.is_overdue(now + milliseconds(100), kLongestPause));
  for (int event = 0; event < 100; ++event) {
    now += milliseconds(event % 2 == 0 ? 60 : 180);
    health.note_progress(now);
  }
  EXPECT_FALSE(health.is_overdue(now + milliseconds(235), kLongestPause)) << "the pauses of this group vary widely";
  EXPECT_TRUE(health.is_overdue(now + milliseconds(241), kLongestPause));
}

TEST(TargetHealth, StrictObjectiveLimitsAllowedPause) {
  constexpr Duration kLongestPause = milliseconds(60);
  TargetHealth health;
  AttemptState mark;
  health.begin_attempt(kStart, mark);
  health.note_first_event(kStart, mark);
  health.note_progress(kStart + milliseconds(20));
  EXPECT_FALSE(health.is_overdue(kStart + milliseconds(80), kLongestPause));
  EXPECT_TRUE(health.is_overdue(kStart + milliseconds(81), kLongestPause));
}

}  // namespace
}  // namespace larchlever::fleet
