#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <random>
#include <thread>

#include "announced_rate_limits.h"
#include "engine_fleet.h"
#include "plain_fleet.h"
#include "soak_seeds.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPhaseCount = 4;
constexpr auto kPhaseDuration = seconds(10);
/// All requests must be served again within this time after the last limit was withdrawn and the last fault injected.
constexpr auto kRecoveryTimeout = seconds(20);
/// Rate limits per second from which each phase picks at random; "" for none.
constexpr const char* kRateLimits[] = {"0.2", "0.4", "2.4", "10", ""};

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.control_replicas = 5;
  options.entries = 9;
  return options;
}

/// Kills or pauses random nodes until `is_finished`.
void disturb_nodes(FleetNodeProcesses& fleet, uint64_t seed, const std::atomic<bool>& is_finished) {
  std::mt19937_64 random(seed);
  const auto random_node = [&random](const std::vector<std::string>& nodes) { return nodes[random() % nodes.size()]; };
  while (!is_finished) {
    std::this_thread::sleep_for(milliseconds(500 + random() % 2500));
    const auto kind = random() % 3;
    if (kind == 0) {
      const auto node = random_node(fleet.control_replicas());
      fleet.kill(node);
      std::this_thread::sleep_for(milliseconds(random() % 1500));
      fleet.start(node);
    } else if (kind == 1) {
      const auto node = random_node(fleet.control_replicas());
      fleet.signal(node, SIGSTOP);
      std::this_thread::sleep_for(milliseconds(300 + random() % 1500));
      fleet.signal(node, SIGCONT);
    } else {
      const auto node = random_node(fleet.entries());
      fleet.kill(node);
      fleet.start(node);
    }
  }
}

/// Calls `send_load` while nodes are killed and paused; `begin_phase` changes the rate limits at the start of each
/// phase.
void run_phases(FleetNodeProcesses& fleet, uint64_t seed, const std::function<void()>& send_load,
                const std::function<void(std::mt19937_64&)>& begin_phase) {
  std::mt19937_64 random(seed);
  std::atomic<bool> is_finished = false;
  std::thread disturbing_thread([&] { disturb_nodes(fleet, seed, is_finished); });
  std::thread callers(send_load);
  for (int phase = 0; phase < kPhaseCount; ++phase) {
    begin_phase(random);
    std::this_thread::sleep_for(kPhaseDuration);
  }
  callers.join();
  is_finished = true;
  disturbing_thread.join();
}

/// Plain servers announce, change and withdraw rate limits while entries and control replicas are killed and paused.
class ServerRateLimitSoak : public PlainServerFleetFixture {
 protected:
  ServerRateLimitSoak() : PlainServerFleetFixture(fleet_options(), 3) {}

  void run_with_seed(uint64_t seed);
};

void ServerRateLimitSoak::run_with_seed(uint64_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  const auto send_load = [this] { send_load_for(kPhaseCount * kPhaseDuration); };
  const auto begin_phase = [this](std::mt19937_64& random) {
    for (const auto& server : servers_) {
      server->announce_rate_limit(kRateLimits[random() % std::size(kRateLimits)]);
    }
  };
  run_phases(fleet_, seed, send_load, begin_phase);
  for (const auto& server : servers_) {
    expect_rate_limits_respected(server->arrivals(), server->rate_limit_phases());
    server->announce_rate_limit("");
  }
  EXPECT_TRUE(wait_until(
      [this] {
        const auto responses = send_load_for(seconds(1));
        return std::all_of(responses.begin(), responses.end(), is_served);
      },
      kRecoveryTimeout))
      << "not all requests were served after all limits were withdrawn";
}

/// The same with the heads of engine groups.
class HeadRateLimitSoak : public EngineFleetFixture {
 protected:
  HeadRateLimitSoak() : EngineFleetFixture(fleet_options()) {}

  void SetUp() override {
    start();
    wait_until_entries_serve();
  }
  void run_with_seed(uint64_t seed);
};

void HeadRateLimitSoak::run_with_seed(uint64_t seed) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  const auto send_load = [this] { send_load_for(kPhaseCount * kPhaseDuration); };
  const auto begin_phase = [this](std::mt19937_64& random) {
    engines_->withdraw_rate_limits();
    const std::string limit = kRateLimits[random() % std::size(kRateLimits)];
    const size_t heads = 1 + random() % 3;
    engines_->announce_rate_limit_at_heads("small", limit, heads);
  };
  run_phases(fleet_, seed, send_load, begin_phase);
  for (const auto& head : engines_->rate_limited_heads()) {
    expect_rate_limits_respected(head.arrivals, head.limits);
  }
  engines_->withdraw_rate_limits();
  EXPECT_TRUE(wait_until(
      [this] {
        const int unserved_before = sent_count_ - served_count_;
        send_load_for(seconds(1));
        return sent_count_ - served_count_ == unserved_before;
      },
      kRecoveryTimeout))
      << "not all requests were served after all limits were withdrawn";
}

// To run other seeds: LARCHLEVER_SOAK_SEEDS=FIRST-LAST integration_tests --gtest_filter=*LimitSoak.*
TEST_F(HeadRateLimitSoak, ChangingLimitsAreRespectedUnderNodeFaults) {
  for (const uint64_t seed : soak_seeds({1})) {
    run_with_seed(seed);
  }
}

TEST_F(ServerRateLimitSoak, ChangingLimitsAreRespectedUnderNodeFaults) {
  for (const uint64_t seed : soak_seeds({1})) {
    run_with_seed(seed);
  }
}

}  // namespace
}  // namespace larchlever::integration
