#include "core/requests/shutdown_admission.h"

#include <gtest/gtest.h>

namespace larchlever::requests {
namespace {

constexpr const char* kRoute = "chat";
const TimePoint kBegin = TimePoint() + seconds(1000);
const TimePoint kNewConnectionsEnd = kBegin + milliseconds(2500);
const TimePoint kEnd = kBegin + milliseconds(7500);

ShutdownAdmission shutting_down_after_requests_of(Duration duration) {
  ShutdownAdmission admission;
  for (int number = 0; number < 100; ++number) {
    admission.note_completed(kBegin - seconds(1), kRoute, duration);
  }
  admission.begin(kNewConnectionsEnd, kEnd);
  return admission;
}

// A process that is not shutting down rejected requests.
TEST(ShutdownAdmission, AcceptsEveryRequestBeforeTheShutdown) {
  const ShutdownAdmission admission;
  EXPECT_TRUE(admission.accepts(kBegin, kRoute, TimePoint::max()));
}

// A request that must end within the grace period was rejected.
TEST(ShutdownAdmission, AcceptsRequestsWhoseDeadlineIsInTime) {
  const auto admission = shutting_down_after_requests_of(seconds(30));
  EXPECT_TRUE(admission.accepts(kEnd - seconds(1), kRoute, kEnd));
  EXPECT_FALSE(admission.accepts(kEnd - seconds(1), kRoute, kEnd + milliseconds(1)));
}

// All nodes that shut down at the same time rejected requests that they could have served.
TEST(ShutdownAdmission, AcceptsRequestsThatUsuallyEndInTimeWhileNewConnectionsArrive) {
  const auto admission = shutting_down_after_requests_of(seconds(4));
  const TimePoint deadline = kEnd + seconds(1);
  EXPECT_TRUE(admission.accepts(kBegin, kRoute, deadline));
  EXPECT_TRUE(admission.accepts(kBegin + seconds(2), kRoute, deadline));
  EXPECT_FALSE(admission.accepts(kBegin + milliseconds(2001), kRoute, deadline));
}

// A stream from a kept connection, sent seconds after the shutdown had begun, was cut off in the middle.
TEST(ShutdownAdmission, RejectsRequestsFromKeptConnectionsThatMayNotEndInTime) {
  const auto admission = shutting_down_after_requests_of(milliseconds(10));
  EXPECT_TRUE(admission.accepts(kNewConnectionsEnd - milliseconds(1), kRoute, kEnd + seconds(1)));
  EXPECT_FALSE(admission.accepts(kNewConnectionsEnd, kRoute, kEnd + seconds(1)));
}

// A route of which nothing is known was expected to be fast.
TEST(ShutdownAdmission, RejectsRequestsOfUnknownDuration) {
  auto admission = shutting_down_after_requests_of(milliseconds(10));
  EXPECT_FALSE(admission.accepts(kBegin, "other", kEnd + seconds(1)));
  admission.retain_routes({"other"});
  EXPECT_FALSE(admission.accepts(kBegin, kRoute, kEnd + seconds(1)));
}

// One request that took long kept a stopping process from serving all others.
TEST(ShutdownAdmission, IgnoresAFewLongRequests) {
  auto admission = shutting_down_after_requests_of(seconds(1));
  admission.note_completed(kBegin, kRoute, seconds(30));
  EXPECT_TRUE(admission.accepts(kBegin, kRoute, kEnd + seconds(1)));
}

}  // namespace
}  // namespace larchlever::requests
