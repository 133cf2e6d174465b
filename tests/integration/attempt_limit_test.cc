#include <gtest/gtest.h>

#include "core/base/http_status.h"
#include "engine_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::seconds;

constexpr const char* kAbortBody = R"({"prompt":"breaks off"})";
/// What the route of the model allows.
constexpr size_t kMaxServersPerRequest = 2;

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.control_replicas = 3;
  options.entries = 1;
  options.tolerated_losses = 1;
  return options;
}

struct AbortScenario {
  std::string name;
  /// How many events one server after the other brings before it breaks the stream off; beyond the list, none.
  std::vector<int> events_by_server;
};

class AttemptLimit : public EngineFleetFixture, public testing::WithParamInterface<AbortScenario> {
 protected:
  AttemptLimit() : EngineFleetFixture(fleet_options()) {}

  void SetUp() override {
    RegisteredEngines::Options options;
    options.domains = 3;
    options.servers_per_domain = 8;
    options.abort_body = kAbortBody;
    options.events_before_aborts = GetParam().events_by_server;
    start(options, 8);
    ASSERT_TRUE(wait_until([&] { return serve_ordinary_requests(); }, kWaitTimeout));
  }

  /// Requests that are served, so that the entry has a part of the retry budget.
  bool serve_ordinary_requests() {
    int served_count = 0;
    for (int number = 0; number < 20; ++number) {
      const auto result = fleet_.call_model(client_, "e1", "small", "ordinary-" + std::to_string(number));
      served_count += result.response && result.response->status == http_status::kOk ? 1 : 0;
    }
    return served_count == 20;
  }

  BlockingClient client_;
};

// A server that took a stream and lost its connection before the first event was taken for one that had not begun, so
// the request went on to a third server, and to a fourth, though its route allows two. Two sendings were answered by
// "Connection reset by peer", and then:
//   request_ended sent=3 runs=0 reason="the whole stream"
TEST_P(AttemptLimit, AbortedStreamCountsAsAttemptRegardlessOfEventsReceived) {
  const auto result = fleet_.call_model(client_, "e1", "small", "e1-breaks", kAbortBody);
  const auto arrivals = engines_->aborted_stream_arrivals();
  EXPECT_GT(arrivals.size(), 0U);
  EXPECT_LE(arrivals.size(), kMaxServersPerRequest);
  EXPECT_FALSE(result.response && result.response->status == http_status::kServiceUnavailable)
      << "it may have run, so its caller must not be told that it did not";
}

INSTANTIATE_TEST_SUITE_P(Streams, AttemptLimit,
                         testing::Values(AbortScenario{"BeforeAnyEvent", {}},
                                         AbortScenario{"AfterEventsOfTheFirst", {2}},
                                         AbortScenario{"AfterEventsOfTheSecond", {0, 2}}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
