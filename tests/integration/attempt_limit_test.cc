#include <gtest/gtest.h>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "registered_engines.h"

namespace larchlever::integration {
namespace {

using std::chrono::seconds;

constexpr auto kPatience = seconds(15);
constexpr const char* kBreakingBody = R"({"prompt":"breaks off"})";
/// What the route of the model allows.
constexpr size_t kMostServers = 2;

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.controls = 3;
  options.entries = 1;
  options.tolerated_losses = 1;
  return options;
}

struct Breaks {
  std::string name;
  /// How many events one server after the other brings before it breaks the stream off; beyond the list, none.
  std::vector<int> events_before;
};

class AttemptLimit : public testing::TestWithParam<Breaks> {
 protected:
  void SetUp() override {
    RegisteredEngines::Options options;
    options.domains = 3;
    options.servers_per_domain = 8;
    options.breaking_body = kBreakingBody;
    options.events_before_breaks = GetParam().events_before;
    std::vector<std::string> controls;
    for (const auto& node : fleet_.controls()) {
      controls.push_back(fleet_.control_endpoint(node));
    }
    engines_ = std::make_unique<RegisteredEngines>(
        options, fleet_.engine_addresses(options.domains * options.servers_per_domain), controls);
    fleet_.start_all();
    ASSERT_TRUE(fleet_.put_document(7, kPatience));
    ASSERT_TRUE(fleet_.all_entries_ready(kPatience));
    ASSERT_TRUE(eventually([&] { return engines_->open_groups() >= 8; }, kPatience)) << "no groups";
    ASSERT_TRUE(eventually([&] { return take_requests(); }, kPatience));
  }

  /// Requests that are served, so that the entry has a part of the retry budget.
  bool take_requests() {
    int served = 0;
    for (int number = 0; number < 20; ++number) {
      const auto result = fleet_.call_model(client_, "e1", "small", "ordinary-" + std::to_string(number));
      served += result.response && result.response->status == http_status::kOk ? 1 : 0;
    }
    return served == 20;
  }

  FleetNodeProcesses fleet_{fleet_options()};
  std::unique_ptr<RegisteredEngines> engines_;
  BlockingClient client_;
};

// A server that took a stream and lost its connection before the first event was taken for one that had not begun, so
// the request went on to a third server, and to a fourth, though its route allows two. Two sendings were answered by
// "Connection reset by peer", and then:
//   request_ended sent=3 runs=0 reason="the whole stream"
TEST_P(AttemptLimit, AStreamThatBreaksOffCountsAgainstItWhateverItBrought) {
  const auto result = fleet_.call_model(client_, "e1", "small", "e1-breaks", kBreakingBody);
  const auto arrivals = engines_->broken_off();
  EXPECT_GT(arrivals.size(), 0U);
  EXPECT_LE(arrivals.size(), kMostServers);
  EXPECT_FALSE(result.response && result.response->status == http_status::kServiceUnavailable)
      << "it may have run, so its caller must not be told that it did not";
}

INSTANTIATE_TEST_SUITE_P(Streams, AttemptLimit,
                         testing::Values(Breaks{"BeforeAnyEvent", {}}, Breaks{"AfterEventsOfTheFirst", {2}},
                                         Breaks{"AfterEventsOfTheSecond", {0, 2}}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
