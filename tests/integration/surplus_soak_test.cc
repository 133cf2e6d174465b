#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

#include "partitioned_fleet.h"
#include "soak_seeds.h"
#include "surplus_answer.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFaultCount = 8;
constexpr int kMaxFaultMs = 900;
constexpr int kMaxCalmMs = 400;
/// What was sent before a fault ended may reach a server until then.
constexpr auto kSettleTime = seconds(3);
constexpr int64_t kMinServed = 200;

/// Callers of all kinds of requests while servers send surplus answers of changing kinds, and entries and replicas are
/// suspended, killed and replaced or cut off from servers.
class SurplusSoak : public PartitionedFleetFixture, public testing::WithParamInterface<uint64_t> {
 protected:
  SurplusSoak() : PartitionedFleetFixture(4) {}

  void inject_fault(std::mt19937_64& random) {
    const auto fault_time = milliseconds(100 + static_cast<int>(random() % kMaxFaultMs));
    const auto entries = fleet_.entries();
    const std::string& entry = entries[random() % entries.size()];
    const auto replicas = fleet_.control_replicas();
    const std::string& replica = replicas[random() % replicas.size()];
    switch (random() % 6) {
      case 0:
        return pause(entry, fault_time);
      case 1:
        return pause(replica, fault_time);
      case 2:
        return cut_off(entry, PartitionKind::kHang, fault_time);
      case 3:
        return cut_off(entry, PartitionKind::kReset, fault_time);
      case 4:
        fleet_.terminate(entry);
        return fleet_.start(entry);
      default:
        fleet_.kill(replica);
        return fleet_.start(replica);
    }
  }

 private:
  void pause(const std::string& node, milliseconds time) {
    fleet_.signal(node, SIGSTOP);
    std::this_thread::sleep_for(time);
    fleet_.signal(node, SIGCONT);
  }
  void cut_off(const std::string& entry, PartitionKind kind, milliseconds time) {
    partition({entry}, kind);
    std::this_thread::sleep_for(time);
    heal({entry});
  }
};

// Surplus answers made requests run twice, or be refused although they ran, also beside faults of the system itself.
TEST_P(SurplusSoak, NoPromiseIsBrokenAndNoAnswerIsMixedUp) {
  std::mt19937_64 random(GetParam());
  const auto answers = surplus_answers();
  MixedCallers::Options options;
  options.kinds.push_back(RequestKind::kUnsafeStream);
  MixedCallers callers(fleet_, options);
  for (int fault = 0; fault < kFaultCount; ++fault) {
    send_surplus_responses(answers[random() % answers.size()].to_bytes());
    inject_fault(random);
    std::this_thread::sleep_for(milliseconds(random() % kMaxCalmMs));
  }
  std::this_thread::sleep_for(kSettleTime);
  const auto results = callers.stop();
  expect_promises_kept(results);
  expect_no_surplus_body(results);
  const auto served =
      std::count_if(results.begin(), results.end(), [](const auto& result) { return result.is_served; });
  EXPECT_GE(served, kMinServed) << "of " << results.size();
  RecordProperty("sent", static_cast<int>(results.size()));
  RecordProperty("served", static_cast<int>(served));
  RecordProperty("surplus_answers", static_cast<int>(surplus_response_count()));
}

INSTANTIATE_TEST_SUITE_P(Seed, SurplusSoak, testing::ValuesIn(soak_seeds({1, 2, 3})),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

}  // namespace
}  // namespace larchlever::integration
