#include "core/fleet/crash_attribution/blocked_requests.h"

#include <gtest/gtest.h>

#include "core/fleet/crash_attribution/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;
using Verdict = BlockedRequests::Verdict;

const RequestFingerprint kHarmful(1);
const RequestFingerprint kBystander(2);

TimePoint at(double seconds_from_start) {
  return TimePoint(Duration(static_cast<int64_t>(seconds_from_start * 1e6) + 1'000'000'000));
}

ServerCrash server_end(RequestFingerprint request, const std::string& instance, double time) {
  return {request, instance, at(time)};
}

/// A blocker for which three servers terminated while running the harmful request.
RequestBlocker blocker_with_blocked_request(double time) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(server_end(kHarmful, "i1", time - 0.2));
  blocker.note_server_end(server_end(kHarmful, "i2", time - 0.1));
  EXPECT_TRUE(blocker.note_server_end(server_end(kHarmful, "i3", time)));
  return blocker;
}

TEST(RequestBlocker, BlocksRequestAfterThreeServerEnds) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  EXPECT_FALSE(blocker.note_server_end(server_end(kHarmful, "i1", 1)));
  EXPECT_FALSE(blocker.note_server_end(server_end(kHarmful, "i1", 1.1))) << "two entries report the same end";
  EXPECT_FALSE(blocker.note_server_end(server_end(kHarmful, "i2", 2)));
  EXPECT_TRUE(blocker.rows().empty());
  EXPECT_TRUE(blocker.note_server_end(server_end(kHarmful, "i3", 3)));
  ASSERT_EQ(blocker.rows().size(), 1U);
  EXPECT_EQ(blocker.rows()[0].fingerprint, kHarmful.value());
}

TEST(RequestBlocker, CountsRepeatedEndsOfARestartedServer) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(server_end(kHarmful, "i1", 1));
  blocker.note_server_end(server_end(kHarmful, "i1", 5));
  EXPECT_TRUE(blocker.note_server_end(server_end(kHarmful, "i1", 9)));
}

TEST(RequestBlocker, DoesNotBlockRequestsThatRanNextToABlockedOne) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (const double time : {1.0, 2.0}) {
    const std::string instance = "i" + std::to_string(time);
    blocker.note_server_end(server_end(kHarmful, instance, time));
    blocker.note_server_end(server_end(kBystander, instance, time));
  }
  EXPECT_TRUE(blocker.note_server_end(server_end(kHarmful, "i3", 3)));
  EXPECT_FALSE(blocker.note_server_end(server_end(kBystander, "i3", 3)))
      << "the end is attributed to the blocked request";
  EXPECT_FALSE(blocker.note_server_end(server_end(kBystander, "i4", 4)));
  EXPECT_EQ(blocker.rows().size(), 1U);
}

TEST(RequestBlocker, AnswerClearsEndsAndUnblocks) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(server_end(kBystander, "i1", 1));
  blocker.note_server_end(server_end(kBystander, "i2", 2));
  EXPECT_FALSE(blocker.note_answered(at(2.5), kBystander));
  EXPECT_FALSE(blocker.note_server_end(server_end(kBystander, "i3", 3)));
  auto wrongly_blocked = blocker_with_blocked_request(5);
  EXPECT_TRUE(wrongly_blocked.note_answered(at(60), kHarmful));
  EXPECT_TRUE(wrongly_blocked.rows().empty());
}

TEST(RequestBlocker, GrantsAtMostTwoTrials) {
  auto blocker = blocker_with_blocked_request(1);
  int granted = 0;
  for (int second = 2; second < 3000; ++second) {
    blocker.tick(at(second));
    if (blocker.grant_trial(at(second), kHarmful)) {
      ++granted;
      EXPECT_FALSE(blocker.grant_trial(at(second), kHarmful)) << "only one trial at a time";
      EXPECT_TRUE(blocker.note_server_end(server_end(kHarmful, "t" + std::to_string(second), second + 0.2)));
    }
  }
  EXPECT_EQ(granted, 2);
  EXPECT_EQ(blocker.rows().size(), 1U);
  blocker.tick(at(4000));
  EXPECT_TRUE(blocker.rows().empty()) << "the block expires after an hour";
}

TEST(RequestBlocker, AnsweredTrialUnblocksTheRequest) {
  auto blocker = blocker_with_blocked_request(1);
  EXPECT_FALSE(blocker.grant_trial(at(20), kHarmful)) << "before the first trial is due";
  EXPECT_TRUE(blocker.tick(at(31.5)));
  EXPECT_TRUE(blocker.rows()[0].trial_due);
  EXPECT_TRUE(blocker.grant_trial(at(32), kHarmful));
  EXPECT_FALSE(blocker.rows()[0].trial_due);
  EXPECT_TRUE(blocker.note_answered(at(60), kHarmful));
  EXPECT_TRUE(blocker.rows().empty());
}

TEST(RequestBlocker, TrialWithoutResultTimesOut) {
  auto blocker = blocker_with_blocked_request(1);
  blocker.tick(at(32));
  EXPECT_TRUE(blocker.grant_trial(at(32), kHarmful));
  EXPECT_TRUE(blocker.tick(at(48)));
  EXPECT_FALSE(blocker.grant_trial(at(60), kHarmful));
  blocker.tick(at(48 + 121));
  EXPECT_TRUE(blocker.grant_trial(at(170), kHarmful)) << "the second trial";
}

TEST(RequestBlocker, BlocksAndTrialsSurviveAChangeOfLeader) {
  auto before = blocker_with_blocked_request(1);
  before.tick(at(32));
  before.grant_trial(at(32), kHarmful);
  RequestBlocker after;
  after.start(at(33), before.rows());
  ASSERT_EQ(after.rows().size(), 1U);
  EXPECT_EQ(after.rows()[0].trials, 1) << "a trial that is running when the leader is lost counts";
  after.tick(at(64));
  EXPECT_FALSE(after.grant_trial(at(64), kHarmful));
}

TEST(RequestBlocker, LimitsTheNumberOfBlockedRequests) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (int number = 0; number < 5000; ++number) {
    for (int end = 0; end < 3; ++end) {
      const std::string instance = std::to_string(number) + "-" + std::to_string(end);
      blocker.note_server_end(server_end(RequestFingerprint(100 + number), instance, number * 0.01));
    }
  }
  EXPECT_EQ(blocker.rows().size(), 1024U);
  EXPECT_EQ(blocker.rows().back().fingerprint, 100 + 4999) << "the most recently blocked requests are kept";
}

TEST(ServerCrashHistory, LimitsTheNumberOfTrackedRequests) {
  ServerCrashHistory ends;
  for (int number = 0; number < 10'000; ++number) {
    ends.note(server_end(RequestFingerprint(number), "i" + std::to_string(number), number * 0.001));
  }
  EXPECT_EQ(ends.size(), 4096U);
  EXPECT_FALSE(ends.is_suspect(RequestFingerprint(0)));
  EXPECT_TRUE(ends.is_suspect(RequestFingerprint(9999)));
  ends.forget_old(at(700));
  EXPECT_EQ(ends.size(), 0U);
}

wire::BlockedRequest blocked_row(RequestFingerprint request) {
  wire::BlockedRequest row;
  row.fingerprint = request.value();
  row.wait_ms = 30'000;
  return row;
}

TEST(BlockedRequests, FollowsTheRowsOfTheLeader) {
  BlockedRequests blocked;
  blocked.update(at(1), {blocked_row(kHarmful)});
  EXPECT_EQ(blocked.verdict_for(at(2), kHarmful), Verdict::kBlocked);
  EXPECT_EQ(blocked.verdict_for(at(2), kBystander), Verdict::kAllowed);
  EXPECT_EQ(blocked.remaining_block_time(at(2), kHarmful), seconds(29));
  auto due_row = blocked_row(kHarmful);
  due_row.trial_due = true;
  blocked.update(at(31), {due_row});
  EXPECT_EQ(blocked.verdict_for(at(32), kHarmful), Verdict::kTrialDue);
  blocked.update(at(33), {});
  EXPECT_EQ(blocked.verdict_for(at(33), kHarmful), Verdict::kAllowed);
}

TEST(BlockedRequests, BlocksByOwnObservationsWithoutALeader) {
  BlockedRequests blocked;
  blocked.note_server_end(server_end(kHarmful, "i1", 1));
  blocked.note_server_end(server_end(kHarmful, "i2", 1.2));
  EXPECT_EQ(blocked.verdict_for(at(1.3), kHarmful), Verdict::kAllowed);
  blocked.note_server_end(server_end(kHarmful, "i3", 1.4));
  EXPECT_EQ(blocked.verdict_for(at(1.5), kHarmful), Verdict::kBlocked);
  EXPECT_EQ(blocked.take_unreported_ends(at(2)).size(), 3U);
  EXPECT_TRUE(blocked.take_unreported_ends(at(2)).empty()) << "reported once";
  EXPECT_EQ(blocked.recent_ends(at(2)).size(), 3U) << "but reported again to a new leader";
}

TEST(BlockedRequests, RecentlyAnsweredRequestIsNotBlamedForServerEnds) {
  BlockedRequests blocked;
  blocked.note_answered(at(1), kBystander);
  for (const auto* instance : {"i1", "i2", "i3"}) {
    EXPECT_EQ(blocked.note_server_end(server_end(kBystander, instance, 2)), 0U);
  }
  EXPECT_TRUE(blocked.take_unreported_ends(at(3)).empty());
  // Entries that had never had an answer to the request caused the leader to block it.
  blocked.update(at(3), {blocked_row(kBystander)});
  EXPECT_EQ(blocked.take_answered_requests(), std::vector<int64_t>{kBystander.value()});
}

TEST(BlockedRequests, BlocksARequestThatBecomesHarmfulOnceItsAnswersAreOld) {
  BlockedRequests blocked;
  blocked.note_answered(at(1), kHarmful);
  for (int number = 0; number < 3; ++number) {
    blocked.note_server_end(server_end(kHarmful, "i" + std::to_string(number), 70 + number));
  }
  EXPECT_EQ(blocked.verdict_for(at(73), kHarmful), Verdict::kBlocked);
}

}  // namespace
}  // namespace larchlever::fleet
