#include "core/engine/group_work.h"

#include <gtest/gtest.h>

#include "core/engine/group_placement.h"

namespace larchlever::engine {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int kSlots = 10;
constexpr Duration kAverageRun = seconds(4);

// Guards against work that counts in full although a part of it is done.
TEST(GroupWork, RemainingWorkShrinksWithTime) {
  GroupWork work;
  work.add(kStart, {milliseconds(200), seconds(2)});
  work.add(kStart, {milliseconds(200), seconds(10)});
  EXPECT_EQ(work.remaining(kStart), milliseconds(12'400));
  EXPECT_EQ(work.remaining(kStart + seconds(1)), milliseconds(10'400));
  const auto releases = work.next_releases(kStart + seconds(1), 5);
  ASSERT_EQ(releases.size(), 2U);
  EXPECT_EQ(releases[0], kStart + milliseconds(2200));
  EXPECT_EQ(releases[1], kStart + milliseconds(10'200));
  EXPECT_EQ(work.next_releases(kStart, 1).size(), 1U);
}

// Guards against a group that seems busy for long because the wrong request counts as ended.
TEST(GroupWork, TheRequestExpectedToEndFirstCountsAsEnded) {
  GroupWork work;
  work.add(kStart, {milliseconds(200), seconds(10)});
  work.add(kStart, {milliseconds(200), seconds(2)});
  work.reconcile(kStart + seconds(2), 1, kSlots, kAverageRun);
  ASSERT_EQ(work.size(), 1U);
  EXPECT_EQ(work.remaining(kStart + seconds(2)), milliseconds(8200));
  work.reconcile(kStart + seconds(3), 0, kSlots, kAverageRun);
  EXPECT_EQ(work.remaining(kStart + seconds(3)), Duration::zero());
}

// Guards against requests that count as finished only because they take longer than predicted.
TEST(GroupWork, AnOverdueRequestStillHasWork) {
  GroupWork work;
  work.add(kStart, {Duration::zero(), seconds(1)});
  const Duration soon = work.remaining(kStart + seconds(2));
  EXPECT_GT(soon, Duration::zero());
  EXPECT_GT(work.remaining(kStart + seconds(8)), soon) << "the forecast says less and less about its end";
}

// Guards against a new leader that takes groups in use for idle ones.
TEST(GroupWork, RequestsGrantedElsewhereCountAsAverageOnes) {
  GroupWork work;
  work.reconcile(kStart, 3, kSlots, kAverageRun);
  EXPECT_EQ(work.size(), 3U);
  EXPECT_EQ(work.remaining(kStart), seconds(6)) << "half of each has passed, on average";
  const auto releases = work.next_releases(kStart, 3);
  EXPECT_EQ(releases.front(), kStart + seconds(1));
  EXPECT_EQ(releases.back(), kStart + seconds(3));
}

// Guards against memory, and a load, beyond what the group can run.
TEST(GroupWork, IsBoundedByTheSlots) {
  GroupWork work;
  work.reconcile(kStart, 1000, kSlots, kAverageRun);
  EXPECT_EQ(work.size(), static_cast<size_t>(kSlots));
  for (int index = 0; index < 100; ++index) {
    work.add(kStart, {milliseconds(100), seconds(1)});
    work.reconcile(kStart, kSlots, kSlots, kAverageRun);
    ASSERT_EQ(work.size(), static_cast<size_t>(kSlots));
  }
  work.reconcile(kStart, -3, kSlots, kAverageRun);
  EXPECT_EQ(work.size(), 0U) << "counts that messages crossed may be negative for a moment";
}

// Guards against a count of others that ignores how long each goes on.
TEST(GroupWork, WeightsRunningRequestsWithTheirTime) {
  GroupWork work;
  work.add(kStart, {Duration::zero(), seconds(2)});
  work.add(kStart, {Duration::zero(), seconds(20)});
  EXPECT_DOUBLE_EQ(work.mean_running(kStart, seconds(1)), 2);
  EXPECT_DOUBLE_EQ(work.mean_running(kStart, seconds(10)), 1.2);
  EXPECT_DOUBLE_EQ(work.mean_running(kStart, Duration::zero()), 2);
}

// Guards against placement that gives up a first event in time for a group with less work.
TEST(GroupPlacement, InTimeComesFirst) {
  const Duration time_left = milliseconds(400);
  const auto busy_in_time = score_placement({false, milliseconds(150), 9}, time_left);
  const auto idle_late = score_placement({false, milliseconds(450), 0}, time_left);
  const auto idle_barely = score_placement({false, milliseconds(380), 0}, time_left);
  EXPECT_LT(busy_in_time, idle_late);
  EXPECT_LT(busy_in_time, idle_barely);
  EXPECT_LT(idle_barely, idle_late);
  EXPECT_LT(idle_late, score_placement({true, milliseconds(150), 0}, time_left)) << "streams of the last one pause";
}

// Guards against placement by the next pass alone while several groups are surely in time.
TEST(GroupPlacement, PrefersTheGroupWhereFewerRunDuringTheAnswer) {
  const Duration time_left = milliseconds(400);
  const auto soon_empty = score_placement({false, milliseconds(150), 1.5}, time_left);
  EXPECT_LT(soon_empty, score_placement({false, milliseconds(100), 4}, time_left));
  EXPECT_LT(score_placement({false, milliseconds(100), 1.5}, time_left), soon_empty) << "the first event breaks ties";
}

// Guards against a slower first event for requests that are late or have no objective.
TEST(GroupPlacement, WithoutTimeLeftTheFirstEventDecides) {
  for (const Duration time_left : {Duration::zero(), Duration(milliseconds(-50))}) {
    EXPECT_LT(score_placement({false, milliseconds(100), 9}, time_left),
              score_placement({false, milliseconds(150), 0}, time_left));
  }
}

}  // namespace
}  // namespace larchlever::engine
