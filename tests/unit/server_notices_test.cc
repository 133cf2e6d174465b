#include "core/fleet/server_notices.h"

#include <gtest/gtest.h>

#include "core/fleet/dispatcher.h"
#include "core/requests/retry_after.h"

namespace larchlever::fleet {
namespace {

using requests::format_retry_after;
using requests::kDefaultRetryAfterDelay;
using requests::kMaxRetryAfterDelay;
using requests::parse_retry_after;
using requests::RetryAfterParseStatus;

TimePoint at(double seconds_from_start) {
  return TimePoint(Duration(static_cast<int64_t>(seconds_from_start * 1e6) + 1'000'000'000));
}

TEST(RetryAfter, ParsesSecondsAndFractions) {
  EXPECT_EQ(parse_retry_after("3").delay, seconds(3));
  EXPECT_EQ(parse_retry_after("0").delay, Duration::zero());
  EXPECT_EQ(parse_retry_after("0.25").delay, milliseconds(250));
  EXPECT_EQ(parse_retry_after("3").parse_status, RetryAfterParseStatus::kExact);
}

TEST(RetryAfter, UsesADefaultDelayForInvalidValues) {
  for (const char* text :
       {"", "soon", "-1", "-0", "3 s", "0x10", "nan", "inf", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    const auto parsed = parse_retry_after(text);
    EXPECT_EQ(parsed.parse_status, RetryAfterParseStatus::kUnreadable) << text;
    EXPECT_EQ(parsed.delay, kDefaultRetryAfterDelay) << text;
  }
}

TEST(RetryAfter, ClampsLongDelays) {
  for (const auto& text : {std::string("86400"), std::string("3601"), std::string(400, '9')}) {
    const auto parsed = parse_retry_after(text);
    EXPECT_EQ(parsed.parse_status, RetryAfterParseStatus::kClampedToMax) << text;
    EXPECT_EQ(parsed.delay, kMaxRetryAfterDelay) << text;
  }
}

// Guards against rounding a remaining delay of a few milliseconds down to "0.00", which makes callers retry too early.
TEST(RetryAfter, RoundsDelaysForCallersUp) {
  EXPECT_EQ(format_retry_after(milliseconds(3)), "0.01");
  EXPECT_EQ(format_retry_after(microseconds(1)), "0.01");
  EXPECT_EQ(format_retry_after(milliseconds(129)), "0.13");
  EXPECT_EQ(format_retry_after(milliseconds(300)), "0.3");
  EXPECT_EQ(format_retry_after(seconds(30)), "30");
  EXPECT_EQ(format_retry_after(milliseconds(2050)), "2.05");
  for (int wait_ms = 1; wait_ms < 4000; ++wait_ms) {
    const auto round_trip = parse_retry_after(format_retry_after(milliseconds(wait_ms)));
    EXPECT_EQ(round_trip.parse_status, RetryAfterParseStatus::kExact);
    EXPECT_GE(round_trip.delay, milliseconds(wait_ms));
    EXPECT_LE(round_trip.delay, milliseconds(wait_ms + 10));
  }
}

TEST(ServerNotices, KeepsTheLongestBackoffUntilItExpires) {
  ServerNotices notices;
  EXPECT_TRUE(notices.may_send(at(0), "i1@5"));
  notices.note_retry_after(at(0), "i1@5", seconds(3));
  notices.note_retry_after(at(0.2), "i1@5", seconds(1));
  EXPECT_FALSE(notices.may_send(at(2.9), "i1@5"));
  EXPECT_EQ(notices.available_at(at(1), "i1@5"), at(3));
  EXPECT_TRUE(notices.may_send(at(3), "i1@5"));
}

TEST(ServerNotices, AppliesToOneIncarnationOnly) {
  ServerNotices notices;
  notices.note_retry_after(at(0), "i1@5", seconds(3));
  notices.note_leaving(at(0), "i2@5");
  EXPECT_TRUE(notices.may_send(at(1), "i1@9"));
  EXPECT_TRUE(notices.may_send(at(1), "i2@9"));
}

TEST(ServerNotices, LeavingIsPermanentAndReportedOnce) {
  ServerNotices notices;
  EXPECT_TRUE(notices.note_leaving(at(0), "i1@5"));
  EXPECT_FALSE(notices.note_leaving(at(1), "i1@5"));
  notices.note_retry_after(at(2), "i1@5", seconds(1));
  EXPECT_FALSE(notices.may_send(at(600), "i1@5"));
}

TEST(ServerNotices, RemovesExpiredNotices) {
  ServerNotices notices;
  for (int server = 0; server < 1000; ++server) {
    notices.note_retry_after(at(server), "i" + std::to_string(server), seconds(3));
    notices.note_leaving(at(server), "l" + std::to_string(server));
  }
  EXPECT_GT(notices.size(), 1000U);
  notices.note_retry_after(at(4700), "i1", seconds(3));
  EXPECT_EQ(notices.size(), 1U);
}

constexpr int64_t kBornMs = 1'780'000'000'000;

wire::Instance instance(const std::string& id) {
  wire::Instance result;
  result.id = id;
  result.born_ms = kBornMs;
  result.service_name = "engines";
  result.address = "10.0.0.1:" + id.substr(1);
  result.zone = "north";
  result.state = wire::InstanceState::READY;
  return result;
}

wire::EngineGroup open_group(const std::string& name, const std::string& head) {
  wire::EngineGroup result;
  result.name = name;
  result.service_name = "engines";
  result.model = "small";
  result.members = {head};
  result.phase = wire::GroupPhase::OPEN;
  return result;
}

/// Two open groups of one model, g1 and g2, with heads i1 and i2.
class DispatcherNotices : public testing::Test {
 protected:
  DispatcherNotices() {
    state_.instances = {instance("i1"), instance("i2")};
    state_.groups = {open_group("g1", "i1"), open_group("g2", "i2")};
    dispatcher_.update_state(state_);
    service_.name = "engines";
    service_.engine.emplace();
    service_.engine->slots = 8;
  }
  DispatchTarget target(const std::string& group) {
    const auto found = dispatcher_.target_of_group(at(0), group);
    EXPECT_TRUE(found);
    return found.value_or(DispatchTarget());
  }

  Dispatcher dispatcher_{FleetOptions(), "north", 7};
  wire::FleetState state_;
  document::ServiceSpec service_;
  RequestRequirements demand_{"small", Duration::zero(), 100};
};

TEST_F(DispatcherNotices, HeadInBackoffGetsNoRequestsAndIsReportedToTheLeader) {
  dispatcher_.note_retry_after(at(0), target("g1"), seconds(3));
  for (int request = 0; request < 20; ++request) {
    const auto choice = dispatcher_.choose_target(at(0.1 * request), service_, demand_, {});
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->group, "g2");
  }
  EXPECT_EQ(dispatcher_.groups_to_avoid(at(1), "engines", "small"), std::vector<std::string>{"g1"});
  EXPECT_TRUE(dispatcher_.groups_to_avoid(at(3), "engines", "small").empty());
}

TEST_F(DispatcherNotices, ReturnsWhenTheFirstBackoffOfAllServersEnds) {
  dispatcher_.note_retry_after(at(0), target("g1"), seconds(3));
  EXPECT_FALSE(dispatcher_.all_backing_off_until(at(1), "engines", "small"));
  dispatcher_.note_retry_after(at(1), target("g2"), seconds(3));
  EXPECT_EQ(dispatcher_.all_backing_off_until(at(1), "engines", "small"), at(3));
  EXPECT_FALSE(dispatcher_.all_backing_off_until(at(3), "engines", "small"));
  EXPECT_FALSE(dispatcher_.choose_target(at(2), service_, demand_, {}).target);
}

TEST_F(DispatcherNotices, DoesNotWaitForLeavingServers) {
  dispatcher_.note_leaving(at(0), target("g1"));
  dispatcher_.note_leaving(at(0), target("g2"));
  EXPECT_FALSE(dispatcher_.all_backing_off_until(at(1), "engines", "small"));
  EXPECT_FALSE(dispatcher_.choose_target(at(1), service_, demand_, {}).target);
}

// A backoff is kept while its server is missing from the fleet state: the head may come back in another group before
// the backoff ends.
TEST_F(DispatcherNotices, BackoffSurvivesAChangeOfGroup) {
  dispatcher_.note_retry_after(at(0), target("g1"), seconds(3));
  state_.instances = {instance("i2")};
  state_.groups = {open_group("g2", "i2")};
  dispatcher_.update_state(state_);
  state_.instances = {instance("i1")};
  state_.groups = {open_group("g3", "i1")};
  dispatcher_.update_state(state_);
  EXPECT_FALSE(dispatcher_.choose_target(at(2), service_, demand_, {}).target);
  EXPECT_TRUE(dispatcher_.choose_target(at(3.2), service_, demand_, {}).target);
}

TEST_F(DispatcherNotices, RestartedServerHasNoBackoff) {
  dispatcher_.note_retry_after(at(0), target("g1"), seconds(3));
  state_.instances[0].born_ms = kBornMs + 5;
  dispatcher_.update_state(state_);
  EXPECT_TRUE(dispatcher_.may_send(at(1), target("g1")));
}

}  // namespace
}  // namespace larchlever::fleet
