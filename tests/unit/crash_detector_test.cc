#include "core/fleet/crash_attribution/crash_detector.h"

#include <gtest/gtest.h>

#include "core/fleet/crash_attribution/blocked_requests.h"
#include "core/fleet/crash_attribution/request_blocker.h"

namespace larchlever::fleet {
namespace {

using requests::RequestFingerprint;

const RequestFingerprint kFirst(1);
const RequestFingerprint kSecond(2);
const RequestFingerprint kThird(3);
constexpr const char* kServer = "i1@5";

TimePoint at(double seconds_from_start) {
  return TimePoint(Duration(static_cast<int64_t>(seconds_from_start * 1e6) + 1'000'000'000));
}

/// A detector that recorded lost responses of both requests at one server.
CrashDetector detector_with_two_lost_responses() {
  CrashDetector detector;
  EXPECT_TRUE(detector.note_lost_response(at(1), kServer, kFirst).starts_probing);
  EXPECT_FALSE(detector.note_lost_response(at(1.05), kServer, kSecond).starts_probing) << "probing has already started";
  return detector;
}

TEST(CrashDetector, RefusedConnectionConfirmsCrash) {
  auto detector = detector_with_two_lost_responses();
  EXPECT_EQ(detector.next_probe_time(kServer), at(1));
  EXPECT_FALSE(detector.note_probe(at(1), kServer, ProbeResult::kOpen));
  EXPECT_EQ(detector.next_probe_time(kServer), at(1.02));
  const auto crashed = detector.note_probe(at(1.02), kServer, ProbeResult::kRefused);
  ASSERT_TRUE(crashed);
  EXPECT_EQ(crashed->certainty, CrashCertainty::kConfirmed);
  EXPECT_EQ(crashed->requests, (std::vector<LostRequest>{kFirst, kSecond}));
  EXPECT_FALSE(detector.next_probe_time(kServer));
}

TEST(CrashDetector, RepeatedlyClosedConnectionsMakeCrashLikely) {
  auto detector = detector_with_two_lost_responses();
  EXPECT_FALSE(detector.note_probe(at(1), kServer, ProbeResult::kClosed));
  EXPECT_FALSE(detector.note_probe(at(1.06), kServer, ProbeResult::kClosed));
  const auto crashed = detector.note_probe(at(1.15), kServer, ProbeResult::kClosed);
  ASSERT_TRUE(crashed);
  EXPECT_EQ(crashed->certainty, CrashCertainty::kLikely);
}

TEST(CrashDetector, OpenConnectionAfterClosedOnesClearsServer) {
  auto detector = detector_with_two_lost_responses();
  EXPECT_FALSE(detector.note_probe(at(1), kServer, ProbeResult::kClosed));
  EXPECT_FALSE(detector.note_probe(at(1.02), kServer, ProbeResult::kClosed));
  EXPECT_FALSE(detector.note_probe(at(1.06), kServer, ProbeResult::kOpen));
  EXPECT_FALSE(detector.next_probe_time(kServer)) << "the server listens";
}

// A proxy in front of a crashed server keeps connections open, so the server was considered alive.
TEST(CrashDetector, PortThatStaysOpenMakesCrashLikelyOnce) {
  auto detector = detector_with_two_lost_responses();
  EXPECT_FALSE(detector.note_probe(at(1.02), kServer, ProbeResult::kOpen));
  EXPECT_FALSE(detector.take_suspected_crash(kServer))
      << "the port of a crashed process closes later than its connections";
  EXPECT_FALSE(detector.note_probe(at(1.06), kServer, ProbeResult::kOpen));
  const auto crashed = detector.take_suspected_crash(kServer);
  ASSERT_TRUE(crashed);
  EXPECT_EQ(crashed->certainty, CrashCertainty::kLikely);
  EXPECT_EQ(crashed->requests, (std::vector<LostRequest>{kFirst, kSecond}));
  EXPECT_FALSE(detector.take_suspected_crash(kServer));
}

TEST(CrashDetector, ProgressPreventsSuspectedCrash) {
  auto detector = detector_with_two_lost_responses();
  detector.note_progress(at(1.15), kServer);
  detector.note_probe(at(1.16), kServer, ProbeResult::kOpen);
  EXPECT_FALSE(detector.take_suspected_crash(kServer));
}

TEST(CrashDetector, ProgressClearsServerUnlessItWasInTransit) {
  auto detector = detector_with_two_lost_responses();
  detector.note_progress(at(1.05), kServer);
  EXPECT_TRUE(detector.next_probe_time(kServer));
  detector.note_progress(at(1.2), kServer);
  EXPECT_FALSE(detector.next_probe_time(kServer));
  EXPECT_FALSE(detector.note_probe(at(1.3), kServer, ProbeResult::kRefused))
      << "progress discarded the recorded losses";
}

TEST(CrashDetector, RestartConfirmsCrash) {
  auto detector = detector_with_two_lost_responses();
  const auto crashed = detector.note_restart(kServer);
  ASSERT_TRUE(crashed);
  EXPECT_EQ(crashed->certainty, CrashCertainty::kConfirmed);
  EXPECT_FALSE(detector.note_restart(kServer));
}

TEST(CrashDetector, ResponsesLostAfterTheCrashAreNotCounted) {
  auto detector = detector_with_two_lost_responses();
  detector.note_probe(at(1), kServer, ProbeResult::kClosed);
  detector.note_lost_response(at(1.5), kServer, RequestFingerprint(3));
  const auto crashed = detector.note_probe(at(1.6), kServer, ProbeResult::kClosed);
  ASSERT_TRUE(crashed);
  EXPECT_EQ(crashed->requests.size(), 2U);
}

// The refused probe was seen between the ends of two streams of one server: the harmful request, whose stream ended
// last, was not counted and retried at once.
TEST(CrashDetector, ResponseLostJustAfterTheCrashWasDecidedIsCounted) {
  auto detector = detector_with_two_lost_responses();
  ASSERT_TRUE(detector.note_probe(at(1.06), kServer, ProbeResult::kRefused));
  const auto outcome = detector.note_lost_response(at(1.061), kServer, kThird);
  EXPECT_FALSE(outcome.starts_probing);
  ASSERT_TRUE(outcome.crash);
  EXPECT_EQ(outcome.crash->certainty, CrashCertainty::kConfirmed);
  EXPECT_EQ(outcome.crash->at, at(1));
  EXPECT_EQ(outcome.crash->requests, std::vector<LostRequest>{kThird});
  EXPECT_FALSE(detector.note_lost_response(at(1.2), kServer, kThird).crash) << "it was sent to a server that was down";
}

TEST(CrashDetector, NumberOfProbesIsBounded) {
  auto detector = detector_with_two_lost_responses();
  int probes = 0;
  while (const auto next = detector.next_probe_time(kServer)) {
    ++probes;
    detector.note_probe(*next, kServer, probes % 2 == 0 ? ProbeResult::kTimedOut : ProbeResult::kOpen);
  }
  EXPECT_LE(probes, 7);
}

ServerCrash likely_crash(RequestFingerprint request, const std::string& incarnation, double time) {
  return {request, incarnation, at(time), CrashCertainty::kLikely};
}

// To one entry, a partition from many servers looks like their crash, while the servers keep reporting to the leader.
TEST(RequestBlocker, UnblocksRequestWhenLikelyCrashedServersReportAgain) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  blocker.note_server_end(likely_crash(kFirst, "i1@5", 1));
  blocker.note_server_end(likely_crash(kFirst, "i2@5", 1));
  EXPECT_TRUE(blocker.note_server_end(likely_crash(kFirst, "i3@5", 1)));
  EXPECT_FALSE(blocker.note_incarnation_alive(at(1.1), "i1@5")) << "that report was in transit";
  EXPECT_FALSE(blocker.note_incarnation_alive(at(2), "i1@9")) << "another incarnation of the server";
  EXPECT_EQ(blocker.rows().size(), 1U);
  EXPECT_TRUE(blocker.note_incarnation_alive(at(2), "i1@5"));
  EXPECT_TRUE(blocker.rows().empty());
}

// A new leader inherits the block but not the crashes that caused it. When one likely crash was reported to it and then
// refuted, it unblocked the request without a trial.
TEST(RequestBlocker, KeepsBlockBasedOnCrashesCountedByPreviousLeader) {
  RequestBlocker previous_leader;
  previous_leader.start(at(0), {});
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    previous_leader.note_server_end({kFirst, incarnation, at(1)});
  }
  RequestBlocker new_leader;
  new_leader.start(at(2), previous_leader.rows());
  new_leader.note_server_end(likely_crash(kFirst, "i4@5", 2));
  EXPECT_FALSE(new_leader.note_incarnation_alive(at(3), "i4@5"));
  EXPECT_EQ(new_leader.rows().size(), 1U);
}

TEST(RequestBlocker, KeepsRequestBlockedForConfirmedCrashes) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    blocker.note_server_end({kFirst, incarnation, at(1)});
  }
  EXPECT_FALSE(blocker.note_incarnation_alive(at(2), "i1@5"));
  EXPECT_EQ(blocker.rows().size(), 1U);
}

TEST(RequestBlocker, GrantsOneRepeatAtATimeToRequestWithCrashes) {
  RequestBlocker blocker;
  blocker.start(at(0), {});
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst));
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst)) << "no server crashed while it ran";
  blocker.note_server_end({kFirst, "i1@5", at(1)});
  EXPECT_TRUE(blocker.grant_retry(at(1), kFirst));
  EXPECT_FALSE(blocker.grant_retry(at(1.1), kFirst));
  EXPECT_TRUE(blocker.grant_retry(at(1.1), kSecond));
  EXPECT_TRUE(blocker.grant_retry(at(2.1), kFirst)) << "the first repeat crashed no server";
  blocker.note_answered(at(2.1), kFirst);
  EXPECT_TRUE(blocker.grant_retry(at(2.2), kFirst));
  blocker.note_server_end({kFirst, "i2@5", at(3)});
  blocker.note_server_end({kFirst, "i3@5", at(3)});
  blocker.note_server_end({kFirst, "i4@5", at(3)});
  EXPECT_FALSE(blocker.grant_retry(at(9), kFirst)) << "it is blocked";
}

TEST(BlockedRequests, LeavesLikelyCrashesToTheLeader) {
  BlockedRequests blocked;
  for (const char* incarnation : {"i1@5", "i2@5", "i3@5"}) {
    blocked.note_server_end(likely_crash(kFirst, incarnation, 1));
  }
  EXPECT_EQ(blocked.verdict_for(at(1), kFirst), BlockedRequests::Verdict::kAllowed);
  const auto reports = blocked.take_unreported_ends(at(1));
  ASSERT_EQ(reports.size(), 3U);
  EXPECT_TRUE(reports[0].is_likely);
}

}  // namespace
}  // namespace larchlever::fleet
