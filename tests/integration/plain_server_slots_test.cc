#include <gtest/gtest.h>

#include <algorithm>

#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 4;
constexpr auto kFastTime = milliseconds(50);
constexpr auto kSlowTime = 7 * kFastTime;
/// Objective of the route to `forms`.
constexpr auto kObjective = milliseconds(300);
/// Callers have a server back within this time after it is fast again.
constexpr auto kRecoveryTime = seconds(2);

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.control_replicas = 5;
  options.entries = 9;
  options.admission_settings = "plain_server_slots = true\n";
  return options;
}

/// Runs five control replicas, nine entries with callers of their own, and three plain servers of four slots. Two of
/// the servers can serve twice the load.
class PlainServerSlotsFleet : public PlainServerFleetFixture {
 protected:
  PlainServerSlotsFleet() : PlainServerFleetFixture(fleet_options(), 3) {
    reported_slots_ = kSlots;
    for (auto& server : servers_) {
      server->set_slots(kSlots);
      server->set_delay(kFastTime);
    }
  }

  /// Share of the requests of the next `time` that the first server gets.
  double first_server_share_during(Clock::duration time) {
    const int before = servers_.front()->served_count();
    const auto responses = send_load_for(time);
    const int count = servers_.front()->served_count() - before;
    return count / static_cast<double>(std::max<size_t>(1, responses.size()));
  }
};

/// Number of times that a control replica logged this event.
int64_t count_logged(const FleetNodeProcesses& fleet, const std::string& event) {
  int64_t count = 0;
  for (const auto& control : fleet.control_replicas()) {
    const std::string log = fleet.log(control);
    for (size_t found = log.find(event); found != std::string::npos; found = log.find(event, found + 1)) {
      ++count;
    }
  }
  return count;
}

double share_in_time(const std::vector<TimedResponse>& responses) {
  const auto in_time = std::count_if(responses.begin(), responses.end(), [](const auto& timed_response) {
    return is_served(timed_response) && timed_response.latency <= kObjective;
  });
  return static_cast<double>(in_time) / static_cast<double>(std::max<size_t>(1, responses.size()));
}

// A server seven times slower than the others got 0.29 of the requests, so that 0.15 of all were late: each entry
// counted only its own requests.
TEST_F(PlainServerSlotsFleet, SlowServerDelaysFewRequestsAndIsUsedAgainOnceFast) {
  servers_.front()->set_delay(kSlowTime);
  send_load_for(seconds(2));
  const int slow_before = servers_.front()->served_count();
  const auto responses = send_load_for(seconds(8));
  const int slow_count = servers_.front()->served_count() - slow_before;
  RecordProperty("in_time_permille", static_cast<int>(share_in_time(responses) * 1000));
  RecordProperty("slow_server_count", slow_count);
  EXPECT_GE(share_in_time(responses), 0.97) << slow_count << " of " << responses.size() << " at the slow server";
  EXPECT_LE(slow_count, std::ssize(responses) / 20);

  servers_.front()->set_delay(kFastTime);
  send_load_for(kRecoveryTime);
  EXPECT_GE(first_server_share_during(seconds(2)), 0.2);

  constexpr int64_t kMaxLines = 5;  // One change each, with some allowance for other delays of the machine.
  EXPECT_GE(count_logged(fleet_, "plain_server_slow"), 1);
  EXPECT_LE(count_logged(fleet_, "plain_server_slow"), kMaxLines);
  EXPECT_GE(count_logged(fleet_, "plain_server_no_longer_slow"), 1);
}

// The rate limit that a server announces must bind although its slots are free, and the others take the rest.
TEST_F(PlainServerSlotsFleet, AnnouncedRateLimitBindsBesideSlots) {
  servers_.front()->announce_rate_limit("10");
  const auto responses = send_load_for(seconds(8));
  EXPECT_LE(max_requests_after_announcement(servers_.front()->arrivals()), max_requests_in_window(10));
  EXPECT_EQ(std::count_if(responses.begin(), responses.end(), is_served), std::ssize(responses));
}

// Without a leader, no request may fail or wait for a slot: entries choose servers themselves.
TEST_F(PlainServerSlotsFleet, EntriesServeWithoutLeader) {
  send_load_for(seconds(1));
  for (const auto* control : {"c1", "c2", "c3"}) {
    fleet_.kill(control);
  }
  const auto responses = send_load_for(seconds(3));  // Shorter than the lease of the configuration document.
  EXPECT_EQ(std::count_if(responses.begin(), responses.end(), is_served), std::ssize(responses));
  EXPECT_GE(share_in_time(responses), 0.97);
}

}  // namespace
}  // namespace larchlever::integration
