// Request rate at each server when a zone of servers comes back cold under full load.

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "core/fleet/dispatcher.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/rate_shares.h"
#include "core/fleet/sliding_window_limiter.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr double kColdRequestsPerSecond = 14;
/// Maximum requests that such a server accepts in any second, as stated by its operators: one and a half times the
/// rate, plus five.
constexpr size_t kMaxPerSecond = 26;

size_t max_in_any_second(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  size_t max_count = 0;
  for (size_t first = 0, last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= seconds(1)) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return max_count;
}

TEST(SlidingWindowLimiter, KeepsTheRateInEverySecondOfABurst) {
  SlidingWindowLimiter window;
  std::vector<TimePoint> sent;
  for (TimePoint now = kStart; now < kStart + seconds(5); now += milliseconds(3)) {
    if (window.allows_request(now, kColdRequestsPerSecond)) {
      window.note_request(now);
      sent.push_back(now);
    }
  }
  EXPECT_LE(max_in_any_second(sent), 14U);
  EXPECT_GE(sent.size(), 14U * 5) << "the full rate is used";
  EXPECT_TRUE(window.allows_request(kStart, 0)) << "no limit";
}

// Guards against rounding a rate below one request per second up to one.
TEST(SlidingWindowLimiter, KeepsARateBelowOneRequestPerSecond) {
  SlidingWindowLimiter window;
  size_t sent = 0;
  for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    if (window.allows_request(now, 0.4)) {
      window.note_request(now);
      ++sent;
    }
  }
  EXPECT_EQ(sent, 4U);
}

// Every entry always has requests for the server, and all entries learn at the same moment that it is cold.
TEST(RateShares, TotalStaysWithinTheColdLimitForAnyNumberOfEntries) {
  for (const int entries : {1, 3, 9, 84, 984}) {
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      std::vector<RateShares> shares;
      for (int entry = 0; entry < entries; ++entry) {
        shares.emplace_back(seed * 1000 + static_cast<uint64_t>(entry));
      }
      std::vector<TimePoint> sent;
      for (TimePoint now = kStart; now < kStart + seconds(6); now += milliseconds(10)) {
        for (auto& share : shares) {
          if (share.may_send(now, "i1", kColdRequestsPerSecond, entries)) {
            share.note_sent(now, "i1", kColdRequestsPerSecond, entries);
            sent.push_back(now);
          }
        }
      }
      EXPECT_LE(max_in_any_second(sent), kMaxPerSecond) << entries << " entries, seed " << seed;
      EXPECT_GT(sent.size(), 6U) << entries << " entries, seed " << seed << ": the cold server gets some requests";
    }
  }
}

// Turns drawn during the previous cold period are in the past: without new ones, every entry would send at once.
TEST(RateShares, NewTurnsAreDrawnWhenTheServerBecomesColdAgain) {
  constexpr int kEntries = 84;
  std::vector<RateShares> shares;
  for (uint64_t entry = 0; entry < kEntries; ++entry) {
    shares.emplace_back(entry);
    shares.back().may_send(kStart, "i1", kColdRequestsPerSecond, kEntries);
    shares.back().retain_servers({});
  }
  const TimePoint second_cold_start = kStart + seconds(20);
  size_t sent = 0;
  for (TimePoint now = second_cold_start; now < second_cold_start + seconds(1); now += milliseconds(10)) {
    for (auto& share : shares) {
      if (share.may_send(now, "i1", kColdRequestsPerSecond, kEntries)) {
        share.note_sent(now, "i1", kColdRequestsPerSecond, kEntries);
        ++sent;
      }
    }
  }
  EXPECT_LE(sent, kMaxPerSecond);
}

document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  service.cold_server_requests_per_second = kColdRequestsPerSecond;
  auto& engine = service.engine.emplace();
  engine.slots = 1000;
  engine.step_ms = 10;
  engine.prefill_tokens_per_second = 50'000;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

wire::EngineGroup open_group(const std::string& name) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "s";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  return group;
}

TEST(SlotScheduler, LimitsGrantsToAColdHeadAndUsesOtherGroups) {
  SlotScheduler scheduler;
  scheduler.start(1);
  scheduler.set_rate_limited_servers({{"cold-head", true, std::nullopt}});
  scheduler.set_groups({open_group("cold"), open_group("warm")}, {{"cold", "cold-head"}});
  const auto document = engine_document();
  std::vector<TimePoint> cold_requests;
  int warm_requests = 0;
  int64_t id = 0;
  for (TimePoint now = kStart; now < kStart + seconds(3); now += milliseconds(5)) {
    wire::SlotRequest request;
    request.id = ++id;
    request.service_name = "s";
    request.model = "m";
    request.prompt_tokens = 1;
    request.patience_ms = 100;
    scheduler.add_request(now, "n1", request);
    for (const auto& decision : scheduler.decide(now, document)) {
      if (decision.grant.verdict == wire::SlotVerdict::GRANTED) {
        decision.grant.group == "cold" ? cold_requests.push_back(now) : static_cast<void>(++warm_requests);
      }
    }
    scheduler.note_loads("n1", {}, true, 1, id);
  }
  EXPECT_LE(max_in_any_second(cold_requests), 14U);
  EXPECT_GE(cold_requests.size(), 14U);
  EXPECT_GT(warm_requests, 400);
}

TEST(Dispatcher, SendsAColdServerOnlyItsRateShareWithoutALeader) {
  Dispatcher dispatcher(FleetOptions(), "a", 1);
  dispatcher.set_serving_nodes(9);
  wire::FleetState state;
  for (const std::string id : {"i1", "i2"}) {
    wire::Instance instance;
    instance.id = id;
    instance.service_name = "s";
    instance.address = id + ":80";
    instance.zone = "a";
    instance.cold = id == "i1";
    state.instances.push_back(instance);
  }
  dispatcher.update_state(state);
  document::ServiceSpec service;
  service.name = "s";
  service.cold_server_requests_per_second = kColdRequestsPerSecond;
  int cold_requests = 0;
  for (TimePoint now = kStart; now < kStart + seconds(9); now += milliseconds(10)) {
    const auto choice = dispatcher.choose_target(now, service, {}, {});
    ASSERT_TRUE(choice.target);
    cold_requests += choice.target->instance_id == "i1" ? 1 : 0;
  }
  EXPECT_LE(cold_requests, 8) << "a ninth of half the rate over nine seconds, plus the first request";
  EXPECT_GE(cold_requests, 1);
}

wire::Instance report(int64_t call_number, int cold_left_ms) {
  wire::Instance result;
  result.id = "i1";
  result.service_name = "s";
  result.address = "a:1";
  result.zone = "north";
  result.call_number = call_number;
  result.cold_left_ms = cold_left_ms;
  return result;
}

TEST(InstanceDirectory, KeepsAServerColdForTheReportedTime) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(1, 2000));
  EXPECT_TRUE(directory.find("i1")->cold);
  EXPECT_FALSE(directory.handle_report(kStart + seconds(1), report(2, 1000))) << "nothing changed";
  EXPECT_TRUE(directory.tick(kStart + milliseconds(2000)));
  EXPECT_FALSE(directory.find("i1")->cold);
  EXPECT_TRUE(directory.handle_report(kStart + milliseconds(2100), report(3, 3000)))
      << "it may become cold at any time";
  EXPECT_TRUE(directory.find("i1")->cold);
}

// A report that was sent before the zone was restored does not show whether the servers are cold now.
TEST(InstanceDirectory, AssumesServersOfARestoredZoneAreColdUntilTheyReport) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(1, 0));
  EXPECT_TRUE(directory.mark_zone_cold(kStart, "north"));
  directory.handle_report(kStart + milliseconds(100), report(2, 0));
  EXPECT_TRUE(directory.find("i1")->cold);
  directory.handle_report(kStart + milliseconds(1200), report(3, 0));
  EXPECT_FALSE(directory.find("i1")->cold);
  EXPECT_FALSE(directory.mark_zone_cold(kStart, "south"));
}

}  // namespace
}  // namespace larchlever::fleet
