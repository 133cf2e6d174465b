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

// A refused attempt must not hide an earlier attempt that ran, as reported by the caller.
TEST(EarlierOutcome, OverridesNotRunOfThisAttempt) {
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("unknown"), Outcome::kNotRun), Outcome::kUnknown);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("ran"), Outcome::kNotRun), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("ran"), Outcome::kUnknown), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("unknown"), Outcome::kRan), Outcome::kRan);
  EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome("perhaps"), Outcome::kNotRun), Outcome::kUnknown)
      << "an invalid header counts as unknown";
}

// A caller whose earlier attempts did not run must get "not-run" again, or it could no longer retry.
TEST(EarlierOutcome, DoesNotChangeOutcomeIfNothingRan) {
  for (const std::string earlier : {"", "not-run"}) {
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kNotRun), Outcome::kNotRun);
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kUnknown), Outcome::kUnknown);
    EXPECT_EQ(outcome_for_caller(request_with_earlier_outcome(earlier), Outcome::kRan), Outcome::kRan);
  }
}

}  // namespace
}  // namespace larchlever::node
