#include "partitioned_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLoadBeforePartition = milliseconds(1500);
constexpr auto kPartitionTime = seconds(4);
constexpr auto kLoadAfterHealing = seconds(2);
/// By then callers at partitioned entries must be served like those at others.
constexpr auto kDetectionTime = seconds(1);
constexpr double kMaxShareDifference = 0.02;
constexpr double kMinShareDuringDetection = 0.95;

struct PartitionScenario {
  std::string name;
  PartitionKind kind;
  std::vector<std::string> entries;
};

std::ostream& operator<<(std::ostream& out, const PartitionScenario& scenario) { return out << scenario.name; }

class PartitionedEntries : public PartitionedFleetFixture, public testing::WithParamInterface<PartitionScenario> {};

// Callers of an entry that had lost its links to all servers were refused or held until their deadlines, although other
// entries reached every server.
TEST_P(PartitionedEntries, ServeCallersLikeOtherEntries) {
  const auto& partitioned = GetParam().entries;
  const auto others = other_entries(partitioned);
  MixedCallers callers(fleet_, {});
  std::this_thread::sleep_for(kLoadBeforePartition);
  const auto cut_at = Clock::now();
  partition(partitioned, GetParam().kind);
  std::this_thread::sleep_for(kPartitionTime);
  const auto healed_at = Clock::now();
  heal(partitioned);
  std::this_thread::sleep_for(kLoadAfterHealing);
  const auto results = callers.stop();

  const auto detected_at = cut_at + kDetectionTime;
  const double others_share = served_share(results, others, cut_at, healed_at);
  EXPECT_GE(others_share, 1 - kMaxShareDifference) << describe_unserved(results, others, cut_at, healed_at);
  EXPECT_GE(served_share(results, partitioned, detected_at, healed_at), others_share - kMaxShareDifference)
      << describe_unserved(results, partitioned, detected_at, healed_at);
  EXPECT_GE(served_share(results, partitioned, cut_at, detected_at), kMinShareDuringDetection)
      << describe_unserved(results, partitioned, cut_at, detected_at);
  const auto healed_for_sure_at = healed_at + kDetectionTime;
  EXPECT_GE(served_share(results, fleet_.entries(), healed_for_sure_at, Clock::now()), 1 - kMaxShareDifference)
      << describe_unserved(results, fleet_.entries(), healed_for_sure_at, Clock::now());
  expect_promises_kept(results);
}

// Sound groups were dissolved, and sound servers counted as ended, on the word of partitioned entries.
TEST_P(PartitionedEntries, BlameNoServer) {
  MixedCallers callers(fleet_, {});
  std::this_thread::sleep_for(kLoadBeforePartition);
  partition(GetParam().entries, GetParam().kind);
  std::this_thread::sleep_for(kPartitionTime);
  heal(GetParam().entries);
  callers.stop();
  for (const auto& node : fleet_.control_replicas()) {
    EXPECT_EQ(fleet_.log(node).find("entries report a failure"), std::string::npos) << node;
  }
  for (const auto& entry : fleet_.entries()) {
    EXPECT_EQ(fleet_.log(entry).find("event=server_ended_under_request"), std::string::npos) << entry;
  }
}

const std::vector<std::string> kOneEntry = {"e1"};
const std::vector<std::string> kOnePerZone = {"e1", "e2", "e3"};
const std::vector<std::string> kWholeZone = {"e1", "e4", "e7"};
const std::vector<std::string> kMajority = {"e1", "e2", "e3", "e4", "e5", "e6"};
const std::vector<std::string> kAllButOne = {"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"};

INSTANTIATE_TEST_SUITE_P(All, PartitionedEntries,
                         testing::Values(PartitionScenario{"OneHangs", PartitionKind::kHang, kOneEntry},
                                         PartitionScenario{"OnePerZoneReset", PartitionKind::kReset, kOnePerZone},
                                         PartitionScenario{"WholeZoneHangs", PartitionKind::kHang, kWholeZone},
                                         PartitionScenario{"MajorityRefuseNew", PartitionKind::kRefuseNew, kMajority},
                                         PartitionScenario{"AllButOneHang", PartitionKind::kHang, kAllButOne}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
