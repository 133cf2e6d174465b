#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "engine_fleet.h"

namespace larchlever::integration {
namespace {

/// Requests after which the predictions of an entry depend on its own observations.
constexpr int kWarmUpRequests = 12;

FleetNodeOptions fleet_options(const std::string& admission_settings) {
  auto options = FleetNodeOptions::with_three_replicas(1);
  options.bounds_settings = "[admission]\n" + admission_settings;
  return options;
}

/// Value of a field of the last line on a request that ended; empty if there is none.
std::string last_field(const std::string& log, const std::string& field) {
  const size_t line = log.rfind("event=request_ended");
  const size_t found = line == std::string::npos ? line : log.find(" " + field + "=", line);
  if (found == std::string::npos) {
    return "no log line";
  }
  const size_t begin = found + field.size() + 2;
  const std::string value = log.substr(begin, log.find_first_of(" \n", begin) - begin);
  return value == "\"\"" ? "" : value;
}

class LearnedCosts : public EngineFleetFixture {
 protected:
  explicit LearnedCosts(const std::string& admission_settings = "learned_costs = true\n")
      : EngineFleetFixture(fleet_options(admission_settings)) {}

  /// Serves requests whose answers have `kEvents` events. Returns the entry's log.
  std::string serve_requests() {
    RegisteredEngines::Options options;
    options.domains = 2;
    options.servers_per_domain = 8;
    options.events = kEvents;
    start(options, 5);
    wait_until_entries_serve();
    BlockingClient client;
    const std::string entry = fleet_.entries().front();
    for (int index = 0; index < kWarmUpRequests; ++index) {
      EXPECT_TRUE(request_succeeds(client, entry));
    }
    std::string log;
    wait_until(
        [&] {
          log = fleet_.log(entry);
          return log.find("event=answer_size_errors") != std::string::npos;
        },
        std::chrono::seconds(2));
    return log;
  }

  static constexpr int kEvents = 6;
};

class LearnedCostsOff : public LearnedCosts {
 protected:
  LearnedCostsOff() : LearnedCosts("learned_costs = false\n") {}
};

// Guards against an entry that does not learn from the streams it relays: the callers declare a maximum of 25 tokens,
// and the answers have fewer.
TEST_F(LearnedCosts, AnEntryPredictsWhatItsAnswersTake) {
  const std::string log = serve_requests();
  EXPECT_EQ(last_field(log, "answer_tokens"), std::to_string(kEvents));
  EXPECT_EQ(last_field(log, "predicted_tokens"), std::to_string(kEvents));
  EXPECT_NE(log.find("event=answer_size_errors"), std::string::npos);
}

// Guards against predictions while the flag is off.
TEST_F(LearnedCostsOff, AnEntryPredictsNothing) {
  const std::string log = serve_requests();
  EXPECT_EQ(last_field(log, "predicted_tokens"), "");
  EXPECT_EQ(log.find("event=answer_size_errors"), std::string::npos);
}

}  // namespace
}  // namespace larchlever::integration
