#include <csignal>
#include <random>

#include "partitioned_fleet.h"
#include "soak_seeds.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 6;
constexpr int kSteps = 10;
/// The longest time for which links that came and went are not used again, and some time for restarted processes.
constexpr auto kSettlingTime = seconds(5);
constexpr auto kCalmTime = seconds(2);
constexpr double kMinServedShare = 0.95;

/// Partitions random entries from random servers, in series and overlapping with restarts, pauses and changes of the
/// configuration.
class PartitionSoak : public PartitionedFleetFixture, public testing::WithParamInterface<uint64_t> {
 protected:
  PartitionSoak() : PartitionedFleetFixture(kEntries), random_(GetParam()) {}

  uint64_t random_below(uint64_t bound) { return random_() % bound; }
  template <typename Item>
  std::vector<Item> random_part(const std::vector<Item>& items) {
    std::vector<Item> part;
    for (const auto& item : items) {
      if (random_below(2) == 0) {
        part.push_back(item);
      }
    }
    return part;
  }
  std::string random_node(const std::vector<std::string>& nodes) { return nodes[random_below(nodes.size())]; }

  void partition_at_random() {
    static constexpr PartitionKind kKinds[] = {PartitionKind::kReset, PartitionKind::kHang, PartitionKind::kRefuseNew};
    auto servers = plain_addresses_;
    servers.insert(servers.end(), engine_addresses_.begin(), engine_addresses_.end());
    const auto lost = random_below(2) == 0 ? std::vector<std::string>() : random_part(servers);
    partition(random_part(fleet_.entries()), kKinds[random_below(std::size(kKinds))], {lost.begin(), lost.end()});
  }
  void disturb_at_random() {
    switch (random_below(6)) {
      case 0:
        return restart(random_node(fleet_.entries()));
      case 1:
        return restart(random_node(fleet_.control_replicas()));
      case 2:
        return pause(random_node(fleet_.all_nodes()));
      case 3:
        version_ += 3;
        EXPECT_TRUE(fleet_.put_document(version_, kWaitTimeout));
        return;
      default:
        return;  // Another partition follows.
    }
  }
  void restart(const std::string& node) {
    fleet_.kill(node);
    std::this_thread::sleep_for(milliseconds(random_below(500)));
    fleet_.start(node);
  }
  void pause(const std::string& node) {
    fleet_.signal(node, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(300 + random_below(1000)));
    fleet_.signal(node, SIGCONT);
  }

 private:
  std::mt19937_64 random_;
  int64_t version_ = FleetNodeProcesses::kFirstDocumentVersion;
};

// Partitions that overlap each other and other faults must break no promise and leave nothing behind.
TEST_P(PartitionSoak, KeepsPromisesAndRecovers) {
  MixedCallers callers(fleet_, {});
  for (int step = 0; step < kSteps; ++step) {
    partition_at_random();
    std::this_thread::sleep_for(milliseconds(random_below(1200)));
    disturb_at_random();
    if (random_below(3) > 0) {
      heal(fleet_.entries());
    }
    std::this_thread::sleep_for(milliseconds(random_below(800)));
  }
  heal(fleet_.entries());
  std::this_thread::sleep_for(kSettlingTime);
  const auto calm_at = Clock::now();
  std::this_thread::sleep_for(kCalmTime);
  const auto end = Clock::now();
  const auto results = callers.stop();
  EXPECT_GE(served_share(results, fleet_.entries(), calm_at, end), kMinServedShare)
      << describe_unserved(results, fleet_.entries(), calm_at, end);
  for (const auto& node : fleet_.all_nodes()) {
    EXPECT_TRUE(fleet_.is_running(node)) << node << " exited unexpectedly";
  }
  expect_promises_kept(results);
}

// To run other seeds: LARCHLEVER_SOAK_SEEDS=FIRST-LAST integration_tests --gtest_filter=*PartitionSoak*
INSTANTIATE_TEST_SUITE_P(Seeds, PartitionSoak, testing::ValuesIn(soak_seeds({1, 2})),
                         [](const auto& test) { return "Seed" + std::to_string(test.param); });

}  // namespace
}  // namespace larchlever::integration
