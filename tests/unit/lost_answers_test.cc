#include "core/fleet/lost_answers.h"

#include <gtest/gtest.h>

#include "core/fleet/blocked_requests.h"
#include "core/fleet/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;

const RequestFingerprint kFirst(1);
const RequestFingerprint kSecond(2);
constexpr const char* kServer = "i1@5";

TimePoint at(double seconds_from_start) {
  return TimePoint(Duration(static_cast<int64_t>(seconds_from_start * 1e6) + 1'000'000'000));
}

/// Answers of both requests were lost at one server.
LostAnswers two_lost() {
  LostAnswers lost;
  EXPECT_TRUE(lost.note_loss(at(1), kServer, kFirst));
  EXPECT_FALSE(lost.note_loss(at(1.05), kServer, kSecond)) << "it is looked at already";
  return lost;
}

TEST(LostAnswers, APortThatClosesLaterProvesTheEnd) {
  auto lost = two_lost();
  EXPECT_EQ(lost.next_look(kServer), at(1));
  EXPECT_FALSE(lost.note_look(at(1), kServer, Look::kOpen));
  EXPECT_EQ(lost.next_look(kServer), at(1.02));
  const auto ended = lost.note_look(at(1.02), kServer, Look::kRefused);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->certainty, Certainty::kProved);
  EXPECT_EQ(ended->requests, (std::vector{kFirst, kSecond}));
  EXPECT_FALSE(lost.next_look(kServer));
}

TEST(LostAnswers, AHeldPortMakesTheEndLikely) {
  auto lost = two_lost();
  EXPECT_FALSE(lost.note_look(at(1), kServer, Look::kClosed));
  EXPECT_FALSE(lost.note_look(at(1.06), kServer, Look::kClosed));
  const auto ended = lost.note_look(at(1.15), kServer, Look::kClosed);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->certainty, Certainty::kLikely);
}

TEST(LostAnswers, AServerThatClosesSomeConnectionsLives) {
  auto lost = two_lost();
  EXPECT_FALSE(lost.note_look(at(1), kServer, Look::kClosed));
  EXPECT_FALSE(lost.note_look(at(1.02), kServer, Look::kClosed));
  EXPECT_FALSE(lost.note_look(at(1.06), kServer, Look::kOpen));
  EXPECT_FALSE(lost.next_look(kServer)) << "it listens";
}

// A proxy in front of a dead server keeps connections open, and its server was taken for one that lives.
TEST(LostAnswers, APortThatStaysOpenMakesTheEndLikelyOnce) {
  auto lost = two_lost();
  EXPECT_FALSE(lost.note_look(at(1.02), kServer, Look::kOpen));
  EXPECT_FALSE(lost.take_suspicion(kServer)) << "the port of a process closes later than its connections";
  EXPECT_FALSE(lost.note_look(at(1.06), kServer, Look::kOpen));
  const auto ended = lost.take_suspicion(kServer);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->certainty, Certainty::kLikely);
  EXPECT_EQ(ended->requests, (std::vector{kFirst, kSecond}));
  EXPECT_FALSE(lost.take_suspicion(kServer));
}

TEST(LostAnswers, AServerThatMadeProgressIsNotSuspected) {
  auto lost = two_lost();
  lost.note_progress(at(1.15), kServer);
  lost.note_look(at(1.16), kServer, Look::kOpen);
  EXPECT_FALSE(lost.take_suspicion(kServer));
}

TEST(LostAnswers, ProgressShowsThatItLivesUnlessItWasOnTheWay) {
  auto lost = two_lost();
  lost.note_progress(at(1.05), kServer);
  EXPECT_TRUE(lost.next_look(kServer));
  lost.note_progress(at(1.2), kServer);
  EXPECT_FALSE(lost.next_look(kServer));
  EXPECT_FALSE(lost.note_look(at(1.3), kServer, Look::kRefused)) << "nothing was lost there any more";
}

TEST(LostAnswers, ALaterStartProvesTheEnd) {
  auto lost = two_lost();
  const auto ended = lost.note_restart(kServer);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->certainty, Certainty::kProved);
  EXPECT_FALSE(lost.note_restart(kServer));
}

TEST(LostAnswers, WhatIsLostAtAServerThatIsGoneAccusesNobody) {
  auto lost = two_lost();
  lost.note_look(at(1), kServer, Look::kClosed);
  lost.note_loss(at(1.5), kServer, RequestFingerprint(3));
  const auto ended = lost.note_look(at(1.6), kServer, Look::kClosed);
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->requests.size(), 2U);
}

TEST(LostAnswers, LooksEnd) {
  auto lost = two_lost();
  int looks = 0;
  while (const auto next = lost.next_look(kServer)) {
    ++looks;
    lost.note_look(*next, kServer, looks % 2 == 0 ? Look::kSilent : Look::kOpen);
  }
  EXPECT_LE(looks, 7);
}

ServerEnd likely_end(RequestFingerprint request, const std::string& incarnation, double time) {
  return {request, incarnation, at(time), Certainty::kLikely};
}

// A cut between one entry and many servers looks like their end to that entry; the servers go on reporting.
TEST(RequestBlocker, FreesWhoWasBlockedForServersThatAreHeardLater) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(likely_end(kFirst, "i1@5", 1));
  blocker.note_server_end(likely_end(kFirst, "i2@5", 1));
  EXPECT_TRUE(blocker.note_server_end(likely_end(kFirst, "i3@5", 1)));
  EXPECT_FALSE(blocker.note_incarnation_alive(at(1.1), "i1@5")) << "that report was on the way";
  EXPECT_FALSE(blocker.note_incarnation_alive(at(2), "i1@9")) << "another start of the server";
  EXPECT_EQ(blocker.rows().size(), 1U);
  EXPECT_TRUE(blocker.note_incarnation_alive(at(2), "i1@5"));
  EXPECT_TRUE(blocker.rows().empty());
}

// A new leader holds the block and none of the ends that it rests on. One likely end that it heard of itself, and that
// was taken back, freed the request without a trial.
TEST(RequestBlocker, KeepsABlockWhoseEndsAnEarlierLeaderCounted) {
  RequestBlocker before;
  before.start(at(0), {});
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    before.note_server_end({kFirst, incarnation, at(1)});
  }
  RequestBlocker after;
  after.start(at(2), before.rows());
  after.note_server_end(likely_end(kFirst, "i4@5", 2));
  EXPECT_FALSE(after.note_incarnation_alive(at(3), "i4@5"));
  EXPECT_EQ(after.rows().size(), 1U);
}

TEST(RequestBlocker, KeepsWhoIsBlockedForProvedEnds) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    blocker.note_server_end({kFirst, incarnation, at(1)});
  }
  EXPECT_FALSE(blocker.note_incarnation_alive(at(2), "i1@5"));
  EXPECT_EQ(blocker.rows().size(), 1U);
}

TEST(RequestBlocker, LetsOneRepeatGoAtATimeUnderWhichServersEnded) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst));
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst)) << "no server ended under it";
  blocker.note_server_end({kFirst, "i1@5", at(1)});
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst));
  EXPECT_FALSE(blocker.grant_retry(at(1.1), kFirst));
  EXPECT_TRUE(blocker.grant_retry(at(1.1), kSecond));
  EXPECT_TRUE(blocker.grant_retry(at(2.1), kFirst)) << "the first one harmed nobody";
  blocker.note_answered(kFirst);
  EXPECT_TRUE(blocker.grant_retry(at(2.2), kFirst));
  blocker.note_server_end({kFirst, "i2@5", at(3)});
  blocker.note_server_end({kFirst, "i3@5", at(3)});
  blocker.note_server_end({kFirst, "i4@5", at(3)});
  EXPECT_FALSE(blocker.grant_retry(at(9), kFirst)) << "it is blocked";
}

TEST(BlockedRequests, LeaveLikelyEndsToTheLeader) {
  BlockedRequests blocked;
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    blocked.note_server_end(likely_end(kFirst, incarnation, 1));
  }
  EXPECT_EQ(blocked.verdict_for(at(1), kFirst), BlockedRequests::Verdict::kAllowed);
  const auto reports = blocked.take_unreported_ends(at(1));
  ASSERT_EQ(reports.size(), 3U);
  EXPECT_TRUE(reports[0].is_likely);
}

}  // namespace
}  // namespace larchlever::fleet
