#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>

#include "fleet_node_processes.h"
#include "registered_engines.h"
#include "soak_seeds.h"
#include "stream_callers.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;

constexpr auto kWaitTimeout = std::chrono::seconds(15);
constexpr int kRequestCount = 6;
constexpr int kPauseCount = 6;
constexpr int kMinPauseMs = 300;
constexpr int kPauseSpreadMs = 1500;
/// Requests must succeed again this long after an entry resumes.
constexpr auto kRecoveryTime = milliseconds(500);
constexpr auto kObservationTime = std::chrono::seconds(2);

// An entry was paused for over a second. Meanwhile the streams that it relays had completed, with all their events in
// its socket buffers. After resuming, it mistook its own pause for a stall of the group, cut every response and avoided
// the group for seconds. In one run it cut 3 streams of a group, one of them after 3007 ms with a gap of 1427 ms. Data
// that has arrived must be delivered, even if late.
TEST(FleetNodePause, ResumedEntryDeliversDataReceivedDuringPause) {
  FleetNodeOptions options;
  options.control_replicas = 1;
  options.entries = 1;
  options.seeds = 1;
  options.tolerated_losses = 0;
  FleetNodeProcesses fleet(options);
  RegisteredEngines::Options engine_options;
  engine_options.event_pause = milliseconds(100);
  RegisteredEngines engines(engine_options, fleet);
  ASSERT_TRUE(fleet.start_serving(kWaitTimeout));
  ASSERT_TRUE(wait_until([&] { return engines.open_group_count() >= 3; }, kWaitTimeout)) << "too few open groups";
  std::atomic<int> complete_responses = 0;
  std::vector<std::thread> callers;
  for (int number = 0; number < kRequestCount; ++number) {
    callers.emplace_back([&fleet, &complete_responses, number] {
      BlockingClient client;
      const auto result = fleet.call_model(client, "e1", number % 2 == 0 ? "small" : "large", std::to_string(number));
      complete_responses += result.response && result.response->status == 200 ? 1 : 0;
    });
  }
  ASSERT_TRUE(wait_until([&] { return engines.served_count() == kRequestCount; }, kWaitTimeout));
  std::this_thread::sleep_for(milliseconds(150));
  fleet.signal("e1", SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1700));
  fleet.signal("e1", SIGCONT);
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(complete_responses, kRequestCount);
  EXPECT_EQ(fleet.log("e1").find("event=group_stalled"), std::string::npos);
}

/// What happens shortly before each pause.
enum class PausePreparation {
  kNone,
  /// All control replicas are killed at once and restarted.
  kRestartControlReplicas,
};

void restart_control_replicas(FleetNodeProcesses& fleet) {
  for (const auto& node : fleet.control_replicas()) {
    fleet.kill(node);
  }
  for (const auto& node : fleet.control_replicas()) {
    fleet.start(node);
  }
}

void pause_entries_repeatedly(uint64_t seed, PausePreparation preparation) {
  SCOPED_TRACE("seed " + std::to_string(seed));
  FleetNodeOptions options;
  options.entries = 3;
  FleetNodeProcesses fleet(options);
  RegisteredEngines::Options engine_options;
  engine_options.events = 5;
  RegisteredEngines engines(engine_options, fleet);
  ASSERT_TRUE(fleet.start_serving(kWaitTimeout));
  ASSERT_TRUE(wait_until([&] { return engines.open_group_count() >= 3; }, kWaitTimeout)) << "too few open groups";
  StreamCallers callers(fleet, engine_options.events, seed);
  std::mt19937_64 random(seed);
  const auto entries = fleet.entries();
  int64_t version = FleetNodeProcesses::kFirstDocumentVersion;
  for (int number = 0; number < kPauseCount; ++number) {
    if (preparation == PausePreparation::kRestartControlReplicas) {
      restart_control_replicas(fleet);
      ASSERT_TRUE(fleet.put_document(++version, kWaitTimeout));
      std::this_thread::sleep_for(kRecoveryTime);
    }
    const std::string& entry = entries[random() % entries.size()];
    const auto pause = milliseconds(kMinPauseMs + random() % kPauseSpreadMs);
    SCOPED_TRACE("pause " + std::to_string(number) + " of " + entry + ", " + std::to_string(pause.count()) + " ms");
    fleet.signal(entry, SIGSTOP);
    std::this_thread::sleep_for(pause);
    fleet.signal(entry, SIGCONT);
    ASSERT_TRUE(fleet.put_document(++version, kWaitTimeout));
    std::this_thread::sleep_for(kRecoveryTime);
    ASSERT_TRUE(fleet.wait_until_entries_ready(kWaitTimeout));
    const auto counts_before = callers.request_counts();
    std::this_thread::sleep_for(kObservationTime);
    callers.expect_served_since(counts_before);
  }
  EXPECT_TRUE(callers.wrong_responses().empty()) << callers.wrong_responses().front();
  // All groups are healthy. An entry that logs a stalled group mistook its own pause for a stall of the group.
  for (const auto& entry : entries) {
    EXPECT_EQ(fleet.log(entry).find("event=group_stalled"), std::string::npos) << entry;
  }
}

// A resumed entry avoided healthy groups for seconds, so requests failed although no fault was active any more.
TEST(FleetNodePause, RequestsSucceedSoonAfterEachEntryPause) {
  for (const uint64_t seed : soak_seeds({1, 2})) {
    pause_entries_repeatedly(seed, PausePreparation::kNone);
  }
}

// Requests kept failing after an entry had been paused while a new leader took over the groups.
TEST(FleetNodePause, RequestsSucceedSoonAfterEntryPauseDuringLeaderChange) {
  for (const uint64_t seed : soak_seeds({1, 2})) {
    pause_entries_repeatedly(seed, PausePreparation::kRestartControlReplicas);
  }
}

}  // namespace
}  // namespace larchlever::integration
