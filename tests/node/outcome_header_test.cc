#include "node/outcome_header.h"

#include <gtest/gtest.h>

namespace larchlever::node {
namespace {

using requests::Outcome;

net::HttpRequest request_with_earlier_outcome(const std::string& earlier) {
  net::HttpRequest request;
  if (!earlier.empty()) {
    request.headers.add(std::string(kEarlierOutcomeHeader), earlier);
  }
  return request;
}

// An attempt that is turned away must not deny a run of an earlier attempt that its caller tells of.
TEST(EarlierOutcome, OverridesNotRunOfThisAttempt) {
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("unknown"), Outcome::kNotRun), Outcome::kUnknown);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("ran"), Outcome::kNotRun), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("ran"), Outcome::kUnknown), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("unknown"), Outcome::kRan), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("perhaps"), Outcome::kNotRun), Outcome::kUnknown)
      << "unreadable";
}

// Callers who were told that nothing ran must be told so again, or they could not send the request any more.
TEST(EarlierOutcome, DoesNotChangeOutcomeIfNothingRan) {
  for (const std::string earlier : {"", "not-run"}) {
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kNotRun), Outcome::kNotRun);
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kUnknown), Outcome::kUnknown);
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kRan), Outcome::kRan);
  }
}

}  // namespace
}  // namespace larchlever::node
