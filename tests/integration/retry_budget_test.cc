#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include "partitioned_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kWindow = seconds(10);
constexpr double kRetryRatio = 0.2;
constexpr int kRetrySlack = 136;
constexpr double kRejectedShare = 0.85;
constexpr auto kLoadTime = seconds(20);

FleetNodeOptions rejecting_fleet_options() {
  auto options = FleetNodeOptions::with_three_replicas(9);
  options.binds_entries_to_own_address = true;
  options.forms_max_attempts = 4;
  options.bounds_settings = "retry_slack = " + std::to_string(kRetrySlack) + "\n";
  return options;
}

/// Nine entries whose callers send four requests a second each, to servers that reject most of them as not run.
class RetryBudgetOfFleet : public PartitionedFleetFixture {
 protected:
  using Times = std::vector<Clock::time_point>;

  RetryBudgetOfFleet() : PartitionedFleetFixture(rejecting_fleet_options(), 12) {}

  static MixedCallers::Options caller_options() {
    MixedCallers::Options options;
    options.interval = milliseconds(250);
    options.kinds = {RequestKind::kRepeatable};
    return options;
  }
  void reject_most_requests() {
    for (const auto& server : plain_servers_) {
      server->reject_share(kRejectedShare);
    }
  }
  /// Kills the entries and starts them again, `count` at a time and the next ones in turn, until `end`.
  void restart_entries_until(Clock::time_point end, size_t count, Clock::duration interval) {
    const auto entries = fleet_.entries();
    for (size_t next = 0; Clock::now() < end; next += count) {
      for (size_t offset = 0; offset < count; ++offset) {
        const auto& entry = entries[(next + offset) % entries.size()];
        fleet_.kill(entry);
        fleet_.start(entry);
      }
      std::this_thread::sleep_for(interval);
    }
  }

  /// When requests reached a server beyond the first time.
  Times repeated_arrivals() {
    std::vector<Arrival> arrivals;
    for (const auto& server : plain_servers_) {
      const auto list = server->arrivals();
      arrivals.insert(arrivals.end(), list.begin(), list.end());
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival& left, const Arrival& right) { return left.at < right.at; });
    std::set<std::string> known_ids;
    Times result;
    for (const auto& arrival : arrivals) {
      if (!known_ids.insert(arrival.request_id).second) {
        result.push_back(arrival.at);
      }
    }
    return result;
  }
  static int count_between(const Times& times, Clock::time_point from, Clock::time_point to) {
    return static_cast<int>(std::count_if(times.begin(), times.end(), [&](auto at) { return at >= from && at < to; }));
  }
  /// Checks every window that begins with a repeated arrival.
  void expect_budget_kept(const std::vector<CallResult>& results) {
    Times requests;
    for (const auto& result : results) {
      requests.push_back(result.sent_at);
    }
    const Times repeats = repeated_arrivals();
    double worst_excess = -kRetrySlack;
    std::string worst = "no repeats";
    for (const auto begin : repeats) {
      const int count = count_between(repeats, begin, begin + kWindow);
      const int request_count =
          std::max({count_between(requests, begin, begin + kWindow), count_between(requests, begin - kWindow, begin),
                    count_between(requests, begin - kWindow / 2, begin + kWindow / 2)});
      const double allowed = kRetryRatio * request_count + kRetrySlack;
      if (count - allowed > worst_excess) {
        worst_excess = count - allowed;
        worst = std::to_string(count) + " repeats in 10 s, " + std::to_string(allowed) + " allowed";
      }
    }
    std::cout << "worst window: " << worst << "\n";
    EXPECT_LE(worst_excess, 0) << worst;
  }
};

// Each restarted entry retried as if its predecessor had not, so that the servers got more retries than all entries
// together may send.
TEST_F(RetryBudgetOfFleet, IsKeptWhileEntriesRestartOneByOne) {
  reject_most_requests();
  MixedCallers callers(fleet_, caller_options());
  restart_entries_until(Clock::now() + kLoadTime, 1, milliseconds(250));
  expect_budget_kept(callers.stop());
}

TEST_F(RetryBudgetOfFleet, IsKeptWhileHerdsOfEntriesRestart) {
  reject_most_requests();
  MixedCallers callers(fleet_, caller_options());
  restart_entries_until(Clock::now() + kLoadTime, 6, milliseconds(2500));
  expect_budget_kept(callers.stop());
}

class RetryBudgetOfPartitionedFleet : public RetryBudgetOfFleet, public testing::WithParamInterface<PartitionKind> {};

// Requests that other entries relayed reached servers more often than anybody had counted.
TEST_P(RetryBudgetOfPartitionedFleet, IsKeptWhileMostEntriesAreCutOffFromServers) {
  reject_most_requests();
  MixedCallers callers(fleet_, caller_options());
  std::this_thread::sleep_for(seconds(3));
  partition({"e1", "e2", "e3", "e4", "e5", "e6"}, GetParam());
  std::this_thread::sleep_for(kLoadTime);
  expect_budget_kept(callers.stop());
}

INSTANTIATE_TEST_SUITE_P(All, RetryBudgetOfPartitionedFleet,
                         testing::Values(PartitionKind::kReset, PartitionKind::kHang, PartitionKind::kRefuseNew),
                         [](const auto& test) {
                           const bool is_reset = test.param == PartitionKind::kReset;
                           return is_reset ? "Reset" : test.param == PartitionKind::kHang ? "Hang" : "RefuseNew";
                         });

}  // namespace
}  // namespace larchlever::integration
