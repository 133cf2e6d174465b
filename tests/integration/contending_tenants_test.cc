#include <gtest/gtest.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <thread>

#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 4;
constexpr int kServers = 3;
constexpr auto kServiceTime = milliseconds(150);
/// Requests per second that the servers can run.
constexpr double kCapacity = kServers * kSlots * 1000.0 / kServiceTime.count();
/// Objective of the route.
constexpr auto kObjective = milliseconds(300);
constexpr auto kLoadTime = seconds(10);
/// Each caller sends four requests per second.
constexpr auto kCallerInterval = milliseconds(250);
/// The large tenant asks for twice what the servers can run.
constexpr int kLargeTenantCallers = 40;

FleetNodeOptions fleet_options(int entries) {
  FleetNodeOptions options;
  options.control_replicas = 5;
  options.entries = entries;
  options.admission_settings = "fair_shares = true\nplain_server_slots = true\nturn_forecasts = true\n";
  return options;
}

struct TenantResult {
  int sent = 0;
  int served = 0;
  int served_in_time = 0;

  double share_in_time() const { return static_cast<double>(served_in_time) / std::max(1, sent); }
};

/// Runs five control replicas, entries, and three plain servers of four slots, which two tenants ask for.
class ContendingTenants : public PlainServerFleetFixture, public testing::WithParamInterface<int> {
 protected:
  ContendingTenants() : PlainServerFleetFixture(fleet_options(GetParam()), kServers) {
    reported_slots_ = kSlots;
    for (auto& server : servers_) {
      server->set_slots(kSlots);
      server->set_delay(kServiceTime);
    }
  }

  /// Sends the requests of one caller at a constant rate to one entry after the other.
  void send_requests(const std::string& key, int caller, TenantResult& result) {
    BlockingClient client;
    const auto entries = fleet_.entries();
    const auto start = Clock::now() + kCallerInterval * caller / kLargeTenantCallers;
    for (int number = 0; number * kCallerInterval < kLoadTime; ++number) {
      std::this_thread::sleep_until(start + number * kCallerInterval);
      const auto& entry = entries[static_cast<size_t>(caller + number) % entries.size()];
      const std::string id = key + "-" + std::to_string(caller) + "-" + std::to_string(number);
      const auto sent_at = Clock::now();
      const auto fetched = fleet_.call_forms_with_key(client, entry, id, key);
      const bool is_served = fetched.response && fetched.response->status == http_status::kOk;
      const std::lock_guard lock(mutex_);
      ++result.sent;
      result.served += is_served ? 1 : 0;
      result.served_in_time += is_served && Clock::now() - sent_at <= kObjective ? 1 : 0;
    }
  }

  /// Sends the load of both tenants.
  void send_load() {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kLargeTenantCallers; ++caller) {
      callers.emplace_back([this, caller] { send_requests(FleetNodeProcesses::kOfficeKey, caller, large_tenant_); });
    }
    callers.emplace_back([this] { send_requests(FleetNodeProcesses::kArchiveKey, 0, small_tenant_); });
    for (auto& caller : callers) {
      caller.join();
    }
    RecordProperty("small_in_time_permille", static_cast<int>(small_tenant_.share_in_time() * 1000));
    RecordProperty("large_served", large_tenant_.served);
    RecordProperty("large_sent", large_tenant_.sent);
  }

  TenantResult large_tenant_;
  TenantResult small_tenant_;

 private:
  std::mutex mutex_;
};

// A tenant that asked for a twentieth of the servers was served no more often than one that asked for twice of them.
TEST_P(ContendingTenants, SmallTenantIsServedInTimeBesideOneThatAsksForTwiceTheCapacity) {
  send_load();
  EXPECT_GE(small_tenant_.share_in_time(), 0.95) << small_tenant_.served << " of " << small_tenant_.sent << " served";
  const double capacity = kCapacity * std::chrono::duration<double>(kLoadTime).count();
  EXPECT_GE(large_tenant_.served + small_tenant_.served, 0.85 * capacity) << "room must not stay unused";
}

// The small tenant lost its place when the leader that knew the tenants' shares was lost.
TEST_P(ContendingTenants, SmallTenantIsServedInTimeWhileControlReplicasAreLost) {
  std::thread killer([this] {
    for (const auto* control : {"c1", "c2"}) {
      std::this_thread::sleep_for(seconds(3));
      fleet_.kill(control);
    }
  });
  send_load();
  killer.join();
  EXPECT_GE(small_tenant_.share_in_time(), 0.95) << small_tenant_.served << " of " << small_tenant_.sent << " served";
}

std::string name_of(const testing::TestParamInfo<int>& info) { return std::to_string(info.param) + "Entries"; }

INSTANTIATE_TEST_SUITE_P(With, ContendingTenants, testing::Values(1, 9), name_of);

}  // namespace
}  // namespace larchlever::integration
