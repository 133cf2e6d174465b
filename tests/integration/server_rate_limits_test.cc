#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "engine_fleet.h"
#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLoadDuration = seconds(8);
/// A request that no server can take must be rejected within this time.
constexpr auto kMaxRefusalTime = milliseconds(500);

FleetNodeOptions fleet_options(int entries) {
  FleetNodeOptions options;
  options.control_replicas = 5;
  options.entries = entries;
  return options;
}

/// Kills two of the five control replicas, with `delay` before each.
std::thread kill_two_control_replicas(FleetNodeProcesses& fleet, seconds delay) {
  return std::thread([&fleet, delay] {
    for (const auto* control : {"c1", "c2"}) {
      std::this_thread::sleep_for(delay);
      fleet.kill(control);
    }
  });
}

/// Runs five control replicas, nine entries with callers of their own, and two plain servers.
class ServerRateLimits : public PlainServerFleetFixture {
 protected:
  ServerRateLimits() : PlainServerFleetFixture(fleet_options(9), 2) {}

  FormsServer& first_server_ = *servers_[0];
  FormsServer& second_server_ = *servers_[1];
};

int64_t count_served(const std::vector<TimedResponse>& responses) {
  return std::count_if(responses.begin(), responses.end(), is_served);
}

// One server announced a rate limit of ten requests per second and got 68, since entries ignored the limit.
TEST_F(ServerRateLimits, LimitAppliesToSumOverEntriesAndOtherServerTakesExcess) {
  first_server_.announce_rate_limit("10");
  const auto responses = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_after_announcement(first_server_.arrivals()), max_requests_in_window(10));
  EXPECT_EQ(count_served(responses), std::ssize(responses)) << "the second server had no limit";
}

// With both servers limited, their limits must be used up, and all other requests rejected at once.
TEST_F(ServerRateLimits, AllLimitsAreUsedAndExcessRequestsAreRejectedImmediately) {
  send_load_for(seconds(1));
  first_server_.announce_rate_limit("10");
  second_server_.announce_rate_limit("10");
  send_load_for(seconds(2));
  const auto served_before = first_server_.served_count() + second_server_.served_count();
  const auto responses = send_load_for(kLoadDuration, {"e1", "e2", "e3"});
  const double served_during_load = first_server_.served_count() + second_server_.served_count() - served_before;
  EXPECT_LE(max_requests_after_announcement(first_server_.arrivals()), max_requests_in_window(10));
  EXPECT_LE(max_requests_after_announcement(second_server_.arrivals()), max_requests_in_window(10));
  EXPECT_GE(served_during_load, 0.8 * 20 * 8) << "the requests of three entries are enough to use up both limits";
  for (const auto& response : responses) {
    EXPECT_LT(response.latency, kMaxRefusalTime);
    EXPECT_TRUE(is_served(response) || response.retry_after_seconds > 0) << response.status;
  }
}

// Per-entry shares that are rounded up to one request exceed a limit of less than one request per second.
TEST_F(ServerRateLimits, LimitBelowOneRequestPerSecondIsRespected) {
  first_server_.announce_rate_limit("0.4");
  second_server_.announce_rate_limit("0.4");
  const auto responses = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_after_announcement(first_server_.arrivals()), max_requests_in_window(0.4));
  EXPECT_LE(max_requests_after_announcement(second_server_.arrivals()), max_requests_in_window(0.4));
  for (const auto& response : responses) {
    EXPECT_LT(response.latency, kMaxRefusalTime);
  }
}

// A limit must survive the leader that counted requests against it.
TEST_F(ServerRateLimits, LimitIsRespectedWhileControlReplicasAreLost) {
  first_server_.announce_rate_limit("10");
  std::thread killer = kill_two_control_replicas(fleet_, seconds(2));
  const auto responses = send_load_for(kLoadDuration);
  killer.join();
  EXPECT_LE(max_requests_after_announcement(first_server_.arrivals()), max_requests_in_window(10));
  EXPECT_GE(count_served(responses) * 100, std::ssize(responses) * 99) << "the second server had no limit";
}

// A limit header that cannot be parsed neither ends the limit nor changes it.
TEST_F(ServerRateLimits, UnparsableValueKeepsPreviousLimit) {
  first_server_.announce_rate_limit("2.4");
  send_load_for(seconds(2));
  for (const auto* value : {"x", "-1", "nan", "1e999"}) {
    first_server_.announce_rate_limit(value);
    const auto responses = send_load_for(seconds(2));
    EXPECT_EQ(count_served(responses), std::ssize(responses)) << value;
  }
  EXPECT_LE(max_requests_after_announcement(first_server_.arrivals()), max_requests_in_window(2.4));
  const auto entries = fleet_.entries();
  EXPECT_TRUE(std::any_of(entries.begin(), entries.end(), [this](const auto& entry) {
    return fleet_.log(entry).find("server_limit_not_understood") != std::string::npos;
  }));
}

// After its limit was withdrawn, a server must get its full share again, however few requests it got before.
TEST_F(ServerRateLimits, ServerIsFullyUsedAfterLimitIsWithdrawn) {
  first_server_.announce_rate_limit("1");
  send_load_for(seconds(4));
  first_server_.announce_rate_limit("");
  send_load_for(seconds(3));
  const auto served_before = first_server_.served_count();
  const auto responses = send_load_for(seconds(4));
  EXPECT_GE(first_server_.served_count() - served_before, 0.3 * static_cast<double>(std::ssize(responses)));
  EXPECT_EQ(count_served(responses), std::ssize(responses));
}

// The entries that received the limit get no requests any more when it is withdrawn, so other entries must detect this.
TEST_F(ServerRateLimits, LimitWithdrawalIsDetectedByEntriesThatNeverReceivedTheLimit) {
  first_server_.announce_rate_limit("1");
  send_load_for(seconds(3), {"e1", "e2"});
  first_server_.announce_rate_limit("");
  send_load_for(seconds(4), {"e3"});
  const auto served_before = first_server_.served_count();
  const auto responses = send_load_for(seconds(4), {"e3"});
  EXPECT_GE(first_server_.served_count() - served_before, 0.3 * static_cast<double>(std::ssize(responses)));
}

/// The same with as many entries as one machine can run next to the other tests.
class LargeFleetRateLimits : public PlainServerFleetFixture {
 protected:
  LargeFleetRateLimits() : PlainServerFleetFixture(fleet_options(40), 2) {}
};

// One request per entry, sent when the leader is lost, already exceeds a small limit.
TEST_F(LargeFleetRateLimits, SmallLimitsAreRespectedWhileControlReplicasAreLost) {
  servers_[0]->announce_rate_limit("0.2");
  servers_[1]->announce_rate_limit("2.4");
  std::thread killer = kill_two_control_replicas(fleet_, seconds(3));
  const auto responses = send_load_for(seconds(12));
  killer.join();
  EXPECT_LE(max_requests_after_announcement(servers_[0]->arrivals()), max_requests_in_window(0.2));
  EXPECT_LE(max_requests_after_announcement(servers_[1]->arrivals()), max_requests_in_window(2.4));
  for (const auto& response : responses) {
    EXPECT_TRUE(is_served(response) || response.retry_after_seconds > 0) << response.status;
  }
}

/// Runs five control replicas, six entries and engine servers in groups.
class EngineRateLimits : public EngineFleetFixture {
 protected:
  EngineRateLimits() : EngineFleetFixture(fleet_options(6)) {}

  void SetUp() override {
    start();
    wait_until_entries_serve();
  }
};

// The heads of groups announced rate limits. The leader did not learn of them and kept granting slots by load.
TEST_F(EngineRateLimits, HeadLimitIsRespectedAndOtherGroupsServeAllRequests) {
  engines_->announce_rate_limit_at_heads("small", "2.4", 1);
  send_load_for(kLoadDuration);
  for (const auto& head : engines_->rate_limited_heads()) {
    EXPECT_LE(max_requests_after_announcement(head.arrivals), max_requests_in_window(2.4));
  }
  EXPECT_EQ(served_count_, sent_count_) << "other groups had no limit";
}

// With all heads of a model limited while leaders are lost, entries choose groups on their own for some time.
TEST_F(EngineRateLimits, HeadLimitsAreRespectedWhileControlReplicasAreLost) {
  engines_->announce_rate_limit_at_heads("small", "2.4");
  std::thread killer = kill_two_control_replicas(fleet_, seconds(2));
  send_load_for(kLoadDuration);
  killer.join();
  for (const auto& head : engines_->rate_limited_heads()) {
    EXPECT_LE(max_requests_after_announcement(head.arrivals), max_requests_in_window(2.4));
  }
}

}  // namespace
}  // namespace larchlever::integration
