#include <gtest/gtest.h>

#include "core/base/http_status.h"
#include "engine_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::seconds;

constexpr const char* kAbortBody = R"({"prompt":"abort the stream"})";
/// Maximum number of attempts per request on the route of the model (`max_attempts`).
constexpr size_t kMaxServersPerRequest = 2;

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(1); }

struct AbortScenario {
  std::string name;
  /// Number of events that each successive server sends before it aborts the stream; 0 beyond the end of the list.
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

  /// Sends requests that are served, so that the entry has credit in its retry budget.
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

// A stream that was aborted before its first event was treated as not started and did not count as an attempt. So the
// request was dispatched to a third and a fourth server, although its route allows two attempts. The log reported it
// with sent=3 and runs=0.
TEST_P(AttemptLimit, AbortedStreamCountsAsAttemptRegardlessOfEventsReceived) {
  const auto result = fleet_.call_model(client_, "e1", "small", "e1-breaks", kAbortBody);
  const auto arrivals = engines_->aborted_stream_arrivals();
  EXPECT_GT(arrivals.size(), 0U);
  EXPECT_LE(arrivals.size(), kMaxServersPerRequest);
  EXPECT_FALSE(result.response && result.response->status == http_status::kServiceUnavailable)
      << "the request may have run, so it must not be reported as not run";
}

INSTANTIATE_TEST_SUITE_P(Streams, AttemptLimit,
                         testing::Values(AbortScenario{"BeforeAnyEvent", {}},
                                         AbortScenario{"AfterEventsOfTheFirst", {2}},
                                         AbortScenario{"AfterEventsOfTheSecond", {0, 2}}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
