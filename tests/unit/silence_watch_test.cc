#include "core/fleet/silence_watch.h"

#include <gtest/gtest.h>

#include "core/fleet/target_health.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kPass = milliseconds(50);

std::string entry(int number) { return "e" + std::to_string(number); }

/// A watch that knows of one stream of group g at each of `entries` entries.
SilenceWatch watch_of(int entries) {
  SilenceWatch watch;
  for (int number = 0; number < entries; ++number) {
    watch.note_streams(entry(number), "g", 1);
  }
  return watch;
}

TEST(SilenceWatch, AGroupStandsStillWhenMostEntriesWithStreamsThereSaySo) {
  auto watch = watch_of(8);
  for (int number = 0; number < 5; ++number) {
    watch.note_quiet(kStart, entry(number), {"g"});
  }
  const TimePoint later = kStart + milliseconds(200);
  EXPECT_TRUE(watch.is_quiet(later, "g"));
  EXPECT_FALSE(watch.stands_still(later, "g", kPass)) << "five of eight";
  watch.note_quiet(kStart, entry(5), {"g"});
  EXPECT_TRUE(watch.stands_still(later, "g", kPass));
  watch.note_quiet(later, entry(0), {});
  EXPECT_FALSE(watch.stands_still(later, "g", kPass)) << "one of them saw progress again";
  for (int number = 0; number < 8; ++number) {
    watch.note_quiet(later, entry(number), {});
  }
  EXPECT_TRUE(watch.quiet_groups().empty());
}

TEST(SilenceWatch, TwoEntriesAloneProveNothing) {
  auto watch = watch_of(2);
  watch.note_quiet(kStart, entry(0), {"g"});
  watch.note_quiet(kStart, entry(1), {"g"});
  EXPECT_FALSE(watch.stands_still(kStart + seconds(1), "g", kPass));
}

TEST(SilenceWatch, ALongPassIsWaitedFor) {
  auto watch = watch_of(4);
  for (int number = 0; number < 4; ++number) {
    watch.note_quiet(kStart, entry(number), {"g"});
  }
  EXPECT_FALSE(watch.stands_still(kStart + milliseconds(100), "g", milliseconds(240)));
  EXPECT_TRUE(watch.stands_still(kStart + milliseconds(350), "g", milliseconds(240)));
}

TEST(SilenceWatch, TheWordOfEntriesThatAreGoneOrHaveNoStreamsThereCountsNot) {
  auto watch = watch_of(4);
  for (int number = 0; number < 4; ++number) {
    watch.note_quiet(kStart, entry(number), {"g"});
  }
  watch.note_streams(entry(0), "g", 0);
  watch.forget_node(entry(1));
  EXPECT_FALSE(watch.stands_still(kStart + milliseconds(500), "g", kPass)) << "two are left";
  EXPECT_FALSE(watch.stands_still(kStart + seconds(3), "g", kPass)) << "words not repeated are void";
}

TEST(TargetHealth, StreamsAreOverdueByWhatTheyUsedToPause) {
  constexpr Duration kLongestPause = milliseconds(240);
  TargetHealth health;
  AttemptState mark;
  health.begin_attempt(kStart, mark);
  health.note_first_event(kStart, mark);
  health.note_progress(kStart);
  EXPECT_FALSE(health.is_overdue(kStart + kLongestPause, kLongestPause)) << "nothing is measured yet";
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
  EXPECT_FALSE(health.is_overdue(now + milliseconds(235), kLongestPause)) << "this one's passes differ much";
  EXPECT_TRUE(health.is_overdue(now + milliseconds(241), kLongestPause));
}

TEST(TargetHealth, AStrictObjectiveBoundsWhatIsAllowed) {
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
