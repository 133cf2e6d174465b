#include "core/fleet/slot_scheduler.h"

#include <gtest/gtest.h>

#include "core/engine/cost_model.h"
#include "core/engine/pass_simulator.h"
#include "core/requests/latency_estimate.h"
#include "core/requests/recent_quantile.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kTerm = 7;

/// Ten slots per group. A pass takes 50 ms for decoding and processes 50 prompt tokens per additional millisecond.
document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 10;
  engine.step_ms = 10;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2000;
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

wire::SlotRequest slot_request(int64_t id, int prompt_tokens = 500) {
  wire::SlotRequest request;
  request.id = id;
  request.service_name = "s";
  request.model = "m";
  request.prompt_tokens = prompt_tokens;
  request.first_event_ms = 400;
  request.gap_ms = 250;
  request.patience_ms = 80;
  return request;
}

class SlotSchedulerTest : public testing::Test {
 protected:
  SlotSchedulerTest() {
    scheduler_.start(kTerm);
    scheduler_.set_groups({open_group("g1"), open_group("g2")});
  }

  /// Submits a request and returns the last verdict on it.
  wire::SlotGrant submit(TimePoint now, const wire::SlotRequest& request, const std::string& node = "n1") {
    scheduler_.add_request(now, node, request);
    wire::SlotGrant verdict;
    for (const auto& decision : scheduler_.decide(now, document_)) {
      verdict = decision.grant.id == request.id ? decision.grant : verdict;
    }
    return verdict;
  }

  document::ConfigurationDocument document_ = engine_document();
  SlotScheduler scheduler_;
};

TEST_F(SlotSchedulerTest, SpreadsSimultaneousRequestsOfAllEntries) {
  std::map<std::string, int> granted;
  for (int id = 0; id < 4; ++id) {
    const auto grant = submit(kStart, slot_request(id), "n" + std::to_string(id));
    ASSERT_EQ(grant.verdict, wire::SlotVerdict::GRANTED);
    ++granted[grant.group];
  }
  EXPECT_EQ(granted["g1"], 2);
  EXPECT_EQ(granted["g2"], 2);
}

TEST_F(SlotSchedulerTest, KeepsPassesWithinTheObjectiveForPauses) {
  // 85% of 250 ms may be used. Decoding takes 50 ms, so a pass may process 8,000 prompt tokens.
  int granted = 0;
  for (int id = 0; id < 20; ++id) {
    granted += submit(kStart, slot_request(id, 2'500)).verdict == wire::SlotVerdict::GRANTED ? 1 : 0;
  }
  EXPECT_EQ(granted, 8) << "per group: one in the pass that starts immediately, three in the next one";
  EXPECT_EQ(submit(kStart + milliseconds(50), slot_request(50, 2'500)).verdict, wire::SlotVerdict::QUEUED);
  EXPECT_EQ(submit(kStart + milliseconds(150), slot_request(51, 2'500)).verdict, wire::SlotVerdict::GRANTED)
      << "the next pass has started";
}

TEST_F(SlotSchedulerTest, NeverGrantsMoreThanTheSlotsOfAGroup) {
  int granted = 0;
  for (int id = 0; id < 60; ++id) {
    granted +=
        submit(kStart + milliseconds(200) * id, slot_request(id, 10)).verdict == wire::SlotVerdict::GRANTED ? 1 : 0;
  }
  EXPECT_EQ(granted, 20);
}

TEST_F(SlotSchedulerTest, CountsASlotOnceWhetherReportedOrNot) {
  const auto grant = submit(kStart, slot_request(1));
  EXPECT_EQ(scheduler_.in_flight(grant.group), 1);
  wire::GroupLoad load;
  load.group = grant.group;
  load.in_flight = 1;
  scheduler_.note_loads("n1", {load}, false, kTerm, 0);
  EXPECT_EQ(scheduler_.in_flight(grant.group), 2) << "the report was sent before the grant arrived";
  scheduler_.note_loads("n1", {load}, false, kTerm - 1, grant.sequence);
  EXPECT_EQ(scheduler_.in_flight(grant.group), 2) << "the sequence number belongs to another term";
  scheduler_.note_loads("n1", {load}, false, kTerm, grant.sequence);
  EXPECT_EQ(scheduler_.in_flight(grant.group), 1);
  scheduler_.note_loads("n1", {}, true, kTerm, grant.sequence);
  EXPECT_EQ(scheduler_.in_flight(grant.group), 0);
}

TEST_F(SlotSchedulerTest, ReleasesTheSlotsOfALostNode) {
  const auto grant = submit(kStart, slot_request(1));
  wire::GroupLoad load;
  load.group = "g1";
  load.in_flight = 4;
  scheduler_.note_loads("n1", {load}, true, kTerm, 0);
  scheduler_.forget_node("n1");
  EXPECT_EQ(scheduler_.in_flight("g1"), 0);
  EXPECT_EQ(scheduler_.in_flight(grant.group), 0);
}

TEST_F(SlotSchedulerTest, QueuesARequestWithoutRoomAndRefusesItAtItsDeadline) {
  wire::GroupLoad full;
  full.in_flight = 10;
  for (const auto* group : {"g1", "g2"}) {
    full.group = group;
    scheduler_.note_loads("n2", {full}, false, kTerm, 0);
  }
  EXPECT_EQ(submit(kStart, slot_request(1)).verdict, wire::SlotVerdict::QUEUED);
  EXPECT_TRUE(scheduler_.decide(kStart + milliseconds(40), document_).empty()) << "reported once";
  const auto decisions = scheduler_.decide(kStart + milliseconds(81), document_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().grant.verdict, wire::SlotVerdict::BUSY);
  EXPECT_EQ(scheduler_.waiting_count(), 0U);
}

TEST_F(SlotSchedulerTest, GrantsFreedSlotsByPriority) {
  wire::GroupLoad full;
  full.in_flight = 10;
  for (const auto* group : {"g1", "g2"}) {
    full.group = group;
    scheduler_.note_loads("n2", {full}, false, kTerm, 0);
  }
  auto ordinary = slot_request(1);
  ordinary.priority = 3;
  auto urgent = slot_request(2);
  urgent.priority = 1;
  submit(kStart, ordinary);
  submit(kStart, urgent);
  full.in_flight = 9;
  scheduler_.note_loads("n2", {full}, false, kTerm, 0);
  const auto decisions = scheduler_.decide(kStart + milliseconds(10), document_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().grant.id, 2);
}

TEST_F(SlotSchedulerTest, ServesLateRequestsAfterTimelyOnesInsteadOfRefusingThem) {
  wire::GroupLoad full;
  full.in_flight = 10;
  for (const auto* group : {"g1", "g2"}) {
    full.group = group;
    scheduler_.note_loads("n2", {full}, false, kTerm, 0);
  }
  auto late = slot_request(1);
  late.first_event_ms = 65;
  submit(kStart, late);
  submit(kStart, slot_request(2));
  full.in_flight = 9;
  scheduler_.note_loads("n2", {full}, false, kTerm, 0);
  auto decisions = scheduler_.decide(kStart + milliseconds(10), document_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().grant.id, 2) << "it arrived later but can be answered in time";
  full.in_flight = 8;
  scheduler_.note_loads("n2", {full}, false, kTerm, decisions.front().grant.sequence);
  EXPECT_TRUE(scheduler_.decide(kStart + milliseconds(20), document_).empty())
      << "late requests wait until their deadline";
  decisions = scheduler_.decide(kStart + milliseconds(80), document_);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().grant.id, 1);
  EXPECT_EQ(decisions.front().grant.verdict, wire::SlotVerdict::GRANTED);
}

TEST_F(SlotSchedulerTest, LeavesTheDecisionToTheEntryIfNoGroupIsKnown) {
  auto request = slot_request(1);
  request.model = "other";
  EXPECT_EQ(submit(kStart, request).verdict, wire::SlotVerdict::UNDECIDED);
  auto closed = open_group("g1");
  closed.phase = wire::GroupPhase::DRAINING;
  scheduler_.set_groups({closed});
  EXPECT_EQ(submit(kStart, slot_request(2)).verdict, wire::SlotVerdict::UNDECIDED);
}

TEST_F(SlotSchedulerTest, DoesNotGrantExcludedGroups) {
  for (int id = 0; id < 4; ++id) {
    auto request = slot_request(id);
    request.excluded_groups = {"g1"};
    EXPECT_EQ(submit(kStart, request).group, "g2");
  }
}

TEST_F(SlotSchedulerTest, PrefersGroupsWithActiveStreams) {
  scheduler_.note_quiet_groups(kStart, "n1", {"g1"});
  EXPECT_EQ(submit(kStart, slot_request(1)).group, "g1") << "the report of one node is not enough";
  scheduler_.note_quiet_groups(kStart, "n2", {"g1"});
  for (int id = 2; id < 5; ++id) {
    EXPECT_EQ(submit(kStart, slot_request(id)).group, "g2");
  }
  scheduler_.note_quiet_groups(kStart, "n1", {"g1", "g2"});
  scheduler_.note_quiet_groups(kStart, "n2", {"g1", "g2"});
  EXPECT_EQ(submit(kStart, slot_request(5)).verdict, wire::SlotVerdict::GRANTED) << "a quiet group is better than none";
  scheduler_.note_quiet_groups(kStart, "n2", {"g2"});
  EXPECT_EQ(submit(kStart, slot_request(6)).group, "g1") << "its streams are active again";
  EXPECT_EQ(submit(kStart + seconds(2), slot_request(7)).verdict, wire::SlotVerdict::GRANTED);
}

TEST_F(SlotSchedulerTest, DoesNotDelayPromptsThatAreLateInAnyGroup) {
  auto request = slot_request(1, 40'000);
  EXPECT_EQ(submit(kStart, request).verdict, wire::SlotVerdict::GRANTED);
}

// ---------------------------------------------------------------- forecasts

TEST(PassSimulator, PromptsWaitForTheCurrentPassAndShareTheNext) {
  const auto document = engine_document();
  const auto& engine = *document.services.at("s").engine;
  const auto& model = engine.models.front();
  engine::PassSimulator clock;
  EXPECT_EQ(clock.forecast(kStart, engine, model, 0, 500).time_to_first_event, milliseconds(60));
  clock.add(kStart, engine, model, 1, 500);
  // The current pass processes no prompt and ends at 50 ms; the next one processes both prompts.
  const auto next = clock.forecast(kStart, engine, model, 1, 1'000);
  EXPECT_EQ(next.time_to_first_event, milliseconds(50 + 50 + 30));
  EXPECT_EQ(next.longest_pass, milliseconds(80));
  EXPECT_EQ(clock.forecast(kStart + seconds(1), engine, model, 1, 0).longest_pass, milliseconds(50))
      << "all prompts were processed";
}

TEST(PassSimulator, LimitsThePromptTokensOfAPass) {
  const auto document = engine_document();
  const auto& engine = *document.services.at("s").engine;
  const auto& model = engine.models.front();
  engine::PassSimulator clock;
  const auto forecast = clock.forecast(kStart, engine, model, 0, 15'000);
  EXPECT_EQ(forecast.longest_pass, milliseconds(250)) << "10,000 tokens";
  EXPECT_EQ(forecast.time_to_first_event, milliseconds(250 + 150));
}

TEST(PassSimulator, CapsPromptSizesBeyondTheCapacity) {
  auto document = engine_document();
  auto& engine = *document.services.at("s").engine;
  engine.kv_capacity = 20'000;
  const auto& model = engine.models.front();
  engine::PassSimulator clock;
  EXPECT_EQ(clock.forecast(kStart, engine, model, 0, 2e9).time_to_first_event, milliseconds(2 * 250));
  clock.add(kStart, engine, model, 0, 2e9);
  EXPECT_LE(clock.forecast(kStart, engine, model, 1, 0).time_to_first_event, milliseconds(3 * 250));
  EXPECT_EQ(clock.forecast(kStart + milliseconds(10), engine, model, 0, 500).time_to_first_event,
            milliseconds(240 + 60))
      << "the engine rejected it: nothing runs, so only the current pass delays the prompt";
}

TEST(RecentQuantile, IgnoresOutliersAndFollowsChanges) {
  requests::RecentQuantile samples;
  EXPECT_EQ(samples.value(kStart, 0.75), Duration::zero());
  samples.add_sample(kStart, seconds(2));
  samples.add_sample(kStart, milliseconds(90));
  EXPECT_EQ(samples.value(kStart, 0.75), milliseconds(90)) << "the first sample is an outlier";
  for (int sample = 0; sample < 40; ++sample) {
    const bool is_outlier = sample % 5 == 0;
    samples.add_sample(kStart, is_outlier ? milliseconds(1200) : milliseconds(90 + sample % 3));
  }
  EXPECT_LE(samples.value(kStart, 0.75), milliseconds(92));
  for (int sample = 0; sample < 16; ++sample) {
    samples.add_sample(kStart, milliseconds(150));
  }
  EXPECT_EQ(samples.value(kStart, 0.75), milliseconds(150));
  EXPECT_EQ(samples.value(kStart + seconds(5), 0.75), Duration::zero()) << "old samples expire";
}

TEST(LatencyEstimate, EstimatesMeanAndDeviation) {
  requests::LatencyEstimate estimate;
  EXPECT_FALSE(estimate.has_samples());
  for (int count = 0; count < 200; ++count) {
    estimate.add_sample(milliseconds(count % 2 == 0 ? 90 : 110));
  }
  EXPECT_NEAR(static_cast<double>(estimate.mean() / milliseconds(1)), 100, 3);
  EXPECT_NEAR(static_cast<double>(estimate.upper_bound(1) / milliseconds(1)), 110, 4);
}

}  // namespace
}  // namespace larchlever::fleet
