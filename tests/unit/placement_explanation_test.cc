#include "core/fleet/placement_explanation.h"

#include <gtest/gtest.h>

#include "core/base/json_fields.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kTerm = 7;

/// A model with two slots per group, a plain service, and a route to each.
document::ConfigurationDocument make_document() {
  document::ServiceSpec engines;
  engines.name = "engines";
  auto& engine = engines.engine.emplace();
  engine.slots = 2;
  engine.step_ms = 10;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2000;
  engine.prefill_tokens_per_second = 50'000;
  engine.typical_prompt_tokens = 500;
  engine.typical_answer_tokens = 100;
  engine.models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  document::ServiceSpec forms;
  forms.name = "forms";
  document::ConfigurationDocument document;
  document.services["engines"] = engines;
  document.services["forms"] = forms;
  for (const auto* service : {"engines", "forms"}) {
    document::Route route;
    route.name = std::string(service) + "-route";
    route.target_latency = milliseconds(400);
    route.priority = 2;
    route.services.push_back({service, 1});
    document.routes.push_back(route);
  }
  document.tenants.emplace().push_back({"office", 0, {"key"}, {}});
  return document;
}

wire::EngineGroup open_group(const std::string& name) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "engines";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  return group;
}

wire::SlotRequest slot_request(int64_t id) {
  wire::SlotRequest request;
  request.id = id;
  request.service_name = "engines";
  request.model = "m";
  request.prompt_tokens = 500;
  request.first_event_ms = 400;
  request.patience_ms = 80;
  return request;
}

class PlacementExplanationTest : public testing::Test {
 protected:
  PlacementExplanationTest() : scheduler_(all_parts()) {
    scheduler_.start(kTerm);
    scheduler_.set_groups({open_group("g1"), open_group("g2")});
  }

  static AdmissionOptions all_parts() { return {true, true, true, true, true}; }

  PlacementQuery query(const std::string& body) {
    const auto parsed = parse_placement_query(body, document_, {});
    const auto* error = std::get_if<PlacementQueryError>(&parsed);
    EXPECT_EQ(error, nullptr) << (error == nullptr ? "" : error->message);
    return error == nullptr ? std::get<PlacementQuery>(parsed) : PlacementQuery();
  }
  PlacementExplanation explain(TimePoint now) {
    return scheduler_.explain(now, document_, query(R"({"route":"engines-route","model":"m","tenant":"office"})"));
  }
  std::string grant(TimePoint now, int64_t id) {
    scheduler_.add_request(now, "n1", slot_request(id));
    const auto decisions = scheduler_.decide(now, document_);
    return decisions.empty() ? "" : decisions.back().grant.group;
  }

  document::ConfigurationDocument document_ = make_document();
  SlotScheduler scheduler_;
};

// Guards against an explanation that names another group than a request would get.
TEST_F(PlacementExplanationTest, NamesTheGroupThatARequestGets) {
  TimePoint now = kStart;
  for (int64_t id = 0; id < 4; ++id) {
    now += milliseconds(37);
    const auto explanation = explain(now);
    EXPECT_EQ(explanation.candidates.size(), 2U);
    EXPECT_EQ(explanation.chosen, grant(now, id)) << id;
  }
}

// Guards against explanations that take slots, advance forecasts or queue requests.
TEST_F(PlacementExplanationTest, ChangesNoDecision) {
  SlotScheduler undisturbed(all_parts());
  undisturbed.start(kTerm);
  undisturbed.set_groups({open_group("g1"), open_group("g2")});
  for (int64_t id = 0; id < 8; ++id) {
    const TimePoint now = kStart + milliseconds(23) * id;
    for (int repeat = 0; repeat < 5; ++repeat) {
      explain(now - milliseconds(repeat));
    }
    undisturbed.add_request(now, "n1", slot_request(id));
    const auto expected = undisturbed.decide(now, document_);
    scheduler_.add_request(now, "n1", slot_request(id));
    const auto decisions = scheduler_.decide(now, document_);
    ASSERT_EQ(decisions.size(), expected.size()) << id;
    for (size_t index = 0; index < expected.size(); ++index) {
      EXPECT_EQ(decisions[index].grant, expected[index].grant) << id;
    }
    EXPECT_EQ(scheduler_.waiting_count(), undisturbed.waiting_count());
  }
}

// Guards against full groups without a reason, and against a queue that the explanation does not see.
TEST_F(PlacementExplanationTest, TellsWhatRulesGroupsOutAndWhoWaits) {
  for (int64_t id = 0; id < 5; ++id) {
    grant(kStart, id);
  }
  const auto explanation = explain(kStart + milliseconds(1));
  EXPECT_EQ(explanation.chosen, "");
  for (const auto& candidate : explanation.candidates) {
    EXPECT_EQ(candidate.ruled_out, RuledOut::kNoFreeSlot);
    EXPECT_EQ(candidate.in_flight, 2);
  }
  EXPECT_EQ(explanation.waiting, 1);
  const auto body = parse_json_object(to_json(explanation));
  EXPECT_EQ(string_field(body, "model"), "m");
  EXPECT_EQ(integer_field(body, "priority"), 0) << "the tenant's priority goes before the route's";
  EXPECT_EQ(integer_field(body, "prompt_tokens"), 500) << "the typical size";
}

TEST_F(PlacementExplanationTest, ListsPlainServersWithTheirSlots) {
  scheduler_.set_plain_servers({{"i1", "forms", 4}, {"i2", "forms", 4}});
  const auto explanation = scheduler_.explain(kStart, document_, query(R"({"route":"forms-route"})"));
  ASSERT_EQ(explanation.candidates.size(), 2U);
  EXPECT_EQ(explanation.candidates.front().slots, 4);
  EXPECT_FALSE(explanation.chosen.empty());
}

// Guards against a query that is answered for another route, model or tenant than was meant.
TEST_F(PlacementExplanationTest, RejectsUnknownNames) {
  for (const auto* body : {"{}", "not JSON", R"({"route":"no-route"})", R"({"route":"engines-route","model":"other"})",
                           R"({"route":"engines-route","model":"m","tenant":"nobody"})"}) {
    EXPECT_TRUE(std::holds_alternative<PlacementQueryError>(parse_placement_query(body, document_, {}))) << body;
  }
}

}  // namespace
}  // namespace larchlever::fleet
