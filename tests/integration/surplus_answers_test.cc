#include <gtest/gtest.h>

#include <string>

#include "partitioned_fleet.h"
#include "surplus_answer.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kLoadDuration = seconds(4);
/// By then a partition is noticed.
constexpr auto kDetectionTime = seconds(1);
/// Fewer would not show that connections are reused.
constexpr uint64_t kMinSurplusAnswers = 20;

/// The members that are left leave their group, and a new one is formed.
constexpr int kMinOrders = 4;
constexpr const char* kSurplusStatus = "299";

/// Three entries whose servers all send surplus answers. Each caller sends a request once.
class SurplusAnswers : public PartitionedFleetFixture, public testing::WithParamInterface<SurplusAnswer> {
 protected:
  SurplusAnswers() : PartitionedFleetFixture(3) {}

  static MixedCallers::Options all_kinds() {
    MixedCallers::Options options;
    options.kinds.push_back(RequestKind::kUnsafeStream);
    return options;
  }
};

// Answers that belonged to no request, or to another one, were taken for the answers of requests: these ran twice, were
// refused although they ran, were lost, or their callers got the surplus body.
TEST_P(SurplusAnswers, AreNoAnswersOfLaterRequests) {
  send_surplus_responses(GetParam().to_bytes());
  const auto begin = Clock::now();
  MixedCallers callers(fleet_, all_kinds());
  std::this_thread::sleep_for(kLoadDuration);
  const auto results = callers.stop();
  EXPECT_GE(surplus_response_count(), kMinSurplusAnswers);
  expect_promises_kept(results);
  expect_no_surplus_body(results);
  EXPECT_EQ(served_share(results, fleet_.entries(), begin, Clock::now()), 1)
      << describe_unserved(results, fleet_.entries(), begin, Clock::now());
}

// The same for the requests of an entry that reaches no server and sends them through the others.
TEST_P(SurplusAnswers, AreNoAnswersOfRelayedRequests) {
  partition({"e1"}, PartitionKind::kReset);
  std::this_thread::sleep_for(kDetectionTime);
  send_surplus_responses(GetParam().to_bytes());
  MixedCallers callers(fleet_, all_kinds());
  std::this_thread::sleep_for(kLoadDuration);
  const auto results = callers.stop();
  EXPECT_GE(surplus_response_count(), kMinSurplusAnswers);
  expect_promises_kept(results);
  expect_no_surplus_body(results);
}

class SurplusOrderAnswers : public PartitionedFleetFixture {
 protected:
  SurplusOrderAnswers() : PartitionedFleetFixture(1) {}

  /// Orders of all replicas that were answered with `status`, or with any if it is empty.
  int count_order_answers(const std::string& status = "") const {
    int count = 0;
    for (const auto& replica : fleet_.control_replicas()) {
      const std::string log = fleet_.log(replica);
      for (size_t at = log.find("event=order_answered"); at != std::string::npos; at = log.find("event=", at + 1)) {
        const std::string line = log.substr(at, log.find('\n', at) - at);
        count +=
            line.starts_with("event=order_answered") && (status.empty() || line.ends_with(" status=" + status)) ? 1 : 0;
      }
    }
    return count;
  }
};

// The leader took an answer that a server sent late for the answer of its next order, such as one that confirms that a
// head has left its group.
TEST_F(SurplusOrderAnswers, AreNoAnswersOfLaterOrders) {
  send_surplus_responses("HTTP/1.1 " + std::string(kSurplusStatus) + " Surplus\r\nContent-Length: 0\r\n\r\n");
  MixedCallers::Options streams_only;
  streams_only.kinds = {RequestKind::kStream};
  streams_only.interval = milliseconds(10);
  MixedCallers callers(fleet_, streams_only);
  ASSERT_TRUE(wait_until([this] { return engines_->running_stream_count() > 0; }, kWaitTimeout));
  const int earlier_answers = count_order_answers();
  engines_->crash_member_of_busiest_group();
  EXPECT_TRUE(wait_until([&] { return count_order_answers() >= earlier_answers + kMinOrders; }, kWaitTimeout));
  callers.stop();
  EXPECT_EQ(count_order_answers(kSurplusStatus), 0);
}

INSTANTIATE_TEST_SUITE_P(Kind, SurplusAnswers, testing::ValuesIn(surplus_answers()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace larchlever::integration
