#include "core/fleet/server_limits.h"

#include <gtest/gtest.h>

#include <string>

#include "core/requests/decimal.h"
#include "core/requests/server_limit.h"

namespace larchlever::fleet {
namespace {

using requests::parse_decimal;
using requests::parse_server_limit;
using requests::ServerLimitParseStatus;

const TimePoint kStart = TimePoint(seconds(100));

TEST(Decimal, ParsesNumbersWithoutSignOrExponent) {
  EXPECT_EQ(parse_decimal("2.4"), 2.4);
  EXPECT_EQ(parse_decimal("0"), 0);
  EXPECT_EQ(parse_decimal("." + std::string(400, '0') + "1"), 0) << "too small for a double";
  EXPECT_GT(parse_decimal(std::string(400, '9')), 1e300);
  for (const auto& text : {"", "x", "-1", "-0", "nan", "inf", "1e999", "1e3", "0x10", "1 ", " 1", "1,2"}) {
    EXPECT_FALSE(parse_decimal(text)) << text;
  }
  EXPECT_FALSE(parse_decimal("-" + std::string(400, '9')));
}

TEST(ServerLimit, ParsesRequestsPerSecond) {
  EXPECT_EQ(parse_server_limit({"2.4"}).per_second, 2.4);
  EXPECT_EQ(parse_server_limit({"2.4"}).parse_status, ServerLimitParseStatus::kExact);
}

TEST(ServerLimit, ClampsLimitsToTheSupportedRange) {
  EXPECT_EQ(parse_server_limit({"0"}).per_second, requests::kMinRequestsPerSecond);
  EXPECT_EQ(parse_server_limit({"0"}).parse_status, ServerLimitParseStatus::kClampedToMin);
  EXPECT_EQ(parse_server_limit({std::string(400, '9')}).per_second, requests::kMaxRequestsPerSecond);
}

TEST(ServerLimit, ReturnsNoLimitForAnInvalidHeader) {
  for (const char* text : {"", "x", "-1", "nan", "1e999"}) {
    EXPECT_EQ(parse_server_limit({text}).parse_status, ServerLimitParseStatus::kUnreadable) << text;
    EXPECT_FALSE(parse_server_limit({text}).per_second) << text;
  }
  EXPECT_FALSE(parse_server_limit({"2", "3"}).per_second) << "two headers";
}

TEST(ServerLimits, NewestObservationApplies) {
  ServerLimits limits;
  EXPECT_TRUE(limits.observe({"i1@5", 10.0, kStart}));
  EXPECT_TRUE(limits.observe({"i1@5", 2.4, kStart + seconds(1)}));
  EXPECT_FALSE(limits.observe({"i1@5", 10.0, kStart + milliseconds(500)})) << "a delayed report of another entry";
  EXPECT_EQ(limits.limit_of("i1@5"), 2.4);
  EXPECT_FALSE(limits.limit_of("i1@9")) << "a new incarnation has no limit";
}

// An answer that the server sent before it stated its limit may arrive after one that states it.
TEST(ServerLimits, DelayedAnswerDoesNotEndALimit) {
  ServerLimits limits;
  limits.observe({"i1", 2.4, kStart});
  EXPECT_FALSE(limits.observe({"i1", std::nullopt, kStart - milliseconds(5)}));
  EXPECT_EQ(limits.limit_of("i1"), 2.4);
  EXPECT_TRUE(limits.observe({"i1", std::nullopt, kStart + milliseconds(5)}));
  EXPECT_FALSE(limits.limit_of("i1"));
  EXPECT_FALSE(limits.observe({"i1", 2.4, kStart})) << "an older report does not restore the limit";
}

TEST(ServerLimits, ExpiresEndedLimitsBeforeActiveOnes) {
  ServerLimits limits;
  limits.observe({"i1", 2.4, kStart});
  limits.observe({"i2", std::nullopt, kStart});
  EXPECT_EQ(limits.observations(kStart + seconds(1)).size(), 2U);
  const auto later = limits.observations(kStart + std::chrono::minutes(5));
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later.front().incarnation, "i1");
}

// The leader only calls `observe`, so that call must also expire observations of servers that are gone.
TEST(ServerLimits, ExpiresOldObservationsWhenNewOnesArrive) {
  ServerLimits limits;
  limits.observe({"i1", std::nullopt, kStart});
  limits.observe({"i2", 2.4, kStart});
  limits.observe({"i3", 2.4, kStart + std::chrono::minutes(5)});
  EXPECT_FALSE(limits.has_observation("i1"));
  EXPECT_TRUE(limits.has_observation("i2"));
  limits.observe({"i3", 2.4, kStart + std::chrono::hours(2)});
  EXPECT_FALSE(limits.has_observation("i2"));
}

}  // namespace
}  // namespace larchlever::fleet
