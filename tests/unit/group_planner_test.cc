#include "core/fleet/group_planner.h"

#include <gtest/gtest.h>

#include <set>

#include "core/fleet/demand_tracker.h"
#include "core/fleet/weight_load_limiter.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

/// A large model of four servers and a small one of two.
struct TwoModels {
  document::ModelSpec large{"large", 4, 0.67, 1.0, seconds(16), seconds(2)};
  document::ModelSpec small{"small", 2, 0.33, 0.6, seconds(12), seconds(1)};
};

PlannedServer server(const std::string& id, const std::string& domain, const std::string& loaded = "",
                     const std::string& staged = "", const std::string& group = "") {
  PlannedServer result;
  result.id = id;
  result.domain = domain;
  result.loaded_model = loaded;
  if (!staged.empty()) {
    result.staged_models.push_back(staged);
  }
  result.group = group;
  return result;
}

/// `domains` domains of eight servers that hold nothing yet.
std::vector<PlannedServer> empty_servers(int domains) {
  std::vector<PlannedServer> result;
  for (int domain = 0; domain < domains; ++domain) {
    for (int number = 0; number < 8; ++number) {
      result.push_back(server("i" + std::to_string(domain) + std::to_string(number), "d" + std::to_string(domain)));
    }
  }
  return result;
}

TEST(GroupPlanner, SharesServersByNeedAndSpreadsModelsOverDomains) {
  const TwoModels models;
  PlannerInput input;
  input.servers = empty_servers(6);
  input.needs = {{&models.large, 8}, {&models.small, 8}};
  GroupPlanner planner(std::move(input));
  std::map<std::string, int> groups;
  std::map<std::string, std::set<std::string>> domains;
  while (const auto plan = planner.next_group()) {
    const auto& name = plan->model->name;
    domains[name].insert(plan->members.front().substr(0, 2));
    planner.note_formed(*plan, name + std::to_string(groups[name]++));
  }
  EXPECT_EQ(groups["large"], 8);
  EXPECT_EQ(groups["small"], 8);
  EXPECT_EQ(domains["large"].size(), 6U) << "the loss of a domain costs every model something, none of them all";
}

TEST(GroupPlanner, FormsOnlyOfWarmServersWhileLoadsAreDear) {
  const TwoModels models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "large"), server("i1", "d0", "large"), server("i2", "d0", "small", "large"),
                   server("i3", "d0")};
  input.needs = {{&models.large, 1}};
  input.cold_groups_allowed = false;
  EXPECT_FALSE(GroupPlanner(input).next_group());
  const auto stagings = GroupPlanner(input).stagings();
  ASSERT_FALSE(stagings.empty());
  EXPECT_EQ(stagings.front().server, "i3") << "the one that lacks the weights gets them first";
  EXPECT_EQ(stagings.front().model, "large");
  input.servers[3].staged_models = {"large"};
  const auto plan = GroupPlanner(input).next_group();
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->loads, 0U);
  EXPECT_EQ(plan->members.front(), "i0") << "weights in the accelerators come before staged ones";
}

/// Three servers of a large group that lost its fourth, beside two small groups whose hosts hold the large weights.
PlannerInput broken_large_group(const TwoModels& models) {
  PlannerInput input;
  for (int number = 0; number < 3; ++number) {
    input.servers.push_back(server("i" + std::to_string(number), "d0", "large", "small"));
  }
  for (int number = 3; number < 7; ++number) {
    input.servers.push_back(server("i" + std::to_string(number), "d0", "small", "large", number < 5 ? "s0" : "s1"));
  }
  for (int number = 0; number < 4; ++number) {
    input.servers.push_back(server("j" + std::to_string(number), "d1", "large", "small", "l0"));
  }
  input.groups = {
      {"s0", "small", true, true, false}, {"s1", "small", true, true, false}, {"l0", "large", true, true, false}};
  input.needs = {{&models.large, 2}, {&models.small, 0.5}};
  input.cold_groups_allowed = false;
  return input;
}

TEST(GroupPlanner, GivesUpTheFewestGroupsThatCompleteANeededOne) {
  const TwoModels models;
  const auto plan = GroupPlanner(broken_large_group(models)).groups_to_give_up();
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->groups.size(), 1U) << "one of its servers is enough";
  EXPECT_EQ(plan->domain, "d0");
  EXPECT_EQ(plan->model, "large");
}

TEST(GroupPlanner, GivesNothingUpThatIsNeededAsMuchOrWhileOneIsGivenUp) {
  const TwoModels models;
  auto input = broken_large_group(models);
  input.needs[1].groups_needed = 6;
  EXPECT_FALSE(GroupPlanner(input).groups_to_give_up());
  input = broken_large_group(models);
  input.needs = {{&models.large, 0.8}, {&models.small, 0.2}};
  EXPECT_FALSE(GroupPlanner(input).groups_to_give_up()) << "one large group is enough for the demand";
  input = broken_large_group(models);
  input.groups[0] = {"s0", "small", false, false, true};
  EXPECT_FALSE(GroupPlanner(input).groups_to_give_up());
  input = broken_large_group(models);
  input.reserved_domains["d0"] = "large";
  EXPECT_FALSE(GroupPlanner(input).groups_to_give_up()) << "the servers given up before are not taken yet";
}

TEST(GroupPlanner, KeepsGivenUpServersForTheModelThatWantsThem) {
  const TwoModels models;
  auto input = broken_large_group(models);
  input.needs = {{&models.large, 0.1}, {&models.small, 5}};
  ASSERT_TRUE(GroupPlanner(input).next_group());
  EXPECT_EQ(GroupPlanner(input).next_group()->model->name, "small");
  input.reserved_domains["d0"] = "large";
  EXPECT_FALSE(GroupPlanner(input).next_group());
}

TEST(GroupPlanner, DoesNotSpendWeightsThatAMorePressedModelNeeds) {
  const TwoModels models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "large", "small"), server("i1", "d0", "large", "small"), server("i2", "d1")};
  input.needs = {{&models.large, 2}, {&models.small, 1}};
  input.groups = {{"l0", "large", true, true, false}, {"s0", "small", true, true, false}};
  for (int number = 0; number < 4; ++number) {
    input.servers.push_back(server("l" + std::to_string(number), "d2", "large", "small", "l0"));
  }
  for (int number = 0; number < 2; ++number) {
    input.servers.push_back(server("s" + std::to_string(number), "d2", "small", "large", "s0"));
  }
  input.cold_groups_allowed = false;
  EXPECT_FALSE(GroupPlanner(input).next_group()) << "two of the four that a large group takes";
  input.needs[1].groups_needed = 3;
  ASSERT_TRUE(GroupPlanner(input).next_group()) << "the small model is worse off";
  input.needs[1].groups_needed = 1.5;
  EXPECT_FALSE(GroupPlanner(input).next_group());
  input.servers[0] = server("i0", "d0", "small", "large");
  input.servers[1] = server("i1", "d0", "small", "large");
  input.servers.push_back(server("i3", "d1"));
  input.servers.push_back(server("i4", "d1"));
  EXPECT_TRUE(GroupPlanner(input).next_group()) << "nothing is lost: the hosts keep the large weights";
}

TEST(GroupPlanner, StagesFirstWhereTheFewestAreLacking) {
  const TwoModels models;
  PlannerInput input;
  input.servers = {server("i0", "d0"), server("i1", "d1"), server("i2", "d1", "large"), server("i3", "d1", "large")};
  input.needs = {{&models.large, 1}};
  const auto stagings = GroupPlanner(input).stagings();
  ASSERT_FALSE(stagings.empty());
  EXPECT_EQ(stagings.front().server, "i1");
}

TEST(GroupPlanner, HostsHoldTheWeightsOfTheOtherModel) {
  const TwoModels models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "small", "small", "s0"), server("i1", "d0", "large", "large", "l0"),
                   server("i2", "d0", "small", "large", "s0")};
  input.groups = {{"s0", "small", true, true, false}, {"l0", "large", true, true, false}};
  input.needs = {{&models.large, 2}, {&models.small, 1}};
  const auto stagings = GroupPlanner(input).stagings();
  ASSERT_EQ(stagings.size(), 2U);
  EXPECT_EQ(stagings[0].server, "i0");
  EXPECT_EQ(stagings[0].model, "large");
  EXPECT_EQ(stagings[0].priority, LoadPriority::kStandby);
  EXPECT_EQ(stagings[1].server, "i1");
  EXPECT_EQ(stagings[1].priority, LoadPriority::kPrecaution) << "a large group's survivors find use without it";
}

TEST(GroupPlanner, FreeServersHoldTheModelThatNeedsMostAndAnotherOnTheirHosts) {
  const TwoModels models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "large"), server("i1", "d0"), server("i2", "d0", "", "small"),
                   server("i3", "d0", "large", "small")};
  input.needs = {{&models.large, 2}, {&models.small, 1}};
  const auto stagings = GroupPlanner(input).stagings();
  ASSERT_EQ(stagings.size(), 3U);
  EXPECT_EQ(stagings[0].server, "i1");
  EXPECT_EQ(stagings[0].model, "large");
  EXPECT_TRUE(stagings[0].into_accelerators);
  EXPECT_EQ(stagings[1].server, "i2");
  EXPECT_EQ(stagings[1].model, "small") << "no load is needed for it";
  EXPECT_TRUE(stagings[1].into_accelerators);
  EXPECT_EQ(stagings[2].server, "i0");
  EXPECT_EQ(stagings[2].model, "small");
  EXPECT_FALSE(stagings[2].into_accelerators);
}

// ---------------------------------------------------------- load limiter

document::EngineSpec limited_store() {
  document::EngineSpec engine;
  engine.loads_per_second = 1;
  engine.loads_at_once = 3;
  return engine;
}

TEST(GroupPlanner, TheFreeServersOfADomainHoldEveryModelByNeed) {
  const TwoModels models;
  PlannerInput input;
  for (int number = 0; number < 5; ++number) {
    input.servers.push_back(server("i" + std::to_string(number), "d0", number == 0 ? "large" : ""));
  }
  input.servers.push_back(server("other", "d1"));
  input.needs = {{&models.large, 3}, {&models.small, 6}};
  std::map<std::string, int> held;
  for (const auto& plan : GroupPlanner(std::move(input)).stagings()) {
    if (plan.into_accelerators && plan.server != "other") {
      ++held[plan.model];
    }
  }
  // As many servers work for each model.
  EXPECT_EQ(held["large"], 2) << "beside the one that holds it already";
  EXPECT_EQ(held["small"], 2);
}

TEST(WeightLoadLimiter, BoundsLoadsAtOnceAndInTheWindow) {
  WeightLoadLimiter limiter(seconds(5));
  limiter.start(kStart, false);
  limiter.note_first_request();
  EXPECT_TRUE(limiter.may_begin_loads(kStart, limited_store(), 1, 2, 0));
  EXPECT_FALSE(limiter.may_begin_loads(kStart, limited_store(), 1, 3, 0)) << "three go on already";
  limiter.note_loads_begun(kStart, 5);
  EXPECT_FALSE(limiter.may_begin_loads(kStart + seconds(4), limited_store(), 1, 0, 0)) << "five begun in the window";
  EXPECT_TRUE(limiter.may_begin_loads(kStart + seconds(6), limited_store(), 1, 0, 0));
  EXPECT_TRUE(limiter.may_begin_loads(kStart, limited_store(), 0, 3, 0)) << "no load at all";
}

TEST(WeightLoadLimiter, LeavesRoomForThePredecessorsLoads) {
  WeightLoadLimiter limiter(seconds(5));
  limiter.start(kStart, true);
  EXPECT_FALSE(limiter.may_begin_loads(kStart + seconds(1), limited_store(), 1, 0, 0));
  EXPECT_TRUE(limiter.may_begin_loads(kStart + seconds(4), limited_store(), 1, 0, 0));
}

// --------------------------------------------------------- demand tracker

std::vector<wire::ModelDemand> totals(int64_t received) {
  wire::ModelDemand demand;
  demand.service_name = "s";
  demand.model = "m";
  demand.received = received;
  demand.prompt_tokens = received * 100;
  demand.answer_tokens = received * 10;
  demand.target_latency_ms = 300;
  return {demand};
}

TEST(DemandTracker, TurnsTotalsIntoRatesAndSurvivesRestartsOfNodes) {
  DemandTracker tracker;
  tracker.start();
  tracker.note_totals(kStart, "n", totals(1000));
  EXPECT_FALSE(tracker.is_known(kStart + seconds(10), "s")) << "how old the first thousand are is not known";
  for (int step = 1; step <= 50; ++step) {
    tracker.note_totals(kStart + milliseconds(100) * step, "n", totals(1000 + 2 * step));
  }
  const TimePoint now = kStart + seconds(5);
  ASSERT_TRUE(tracker.is_known(now, "s"));
  const auto rate = tracker.rate(now, "s", "m");
  EXPECT_NEAR(rate.requests_per_second, 20, 1);
  EXPECT_DOUBLE_EQ(rate.sizes.prompt, 100);
  EXPECT_EQ(rate.target_latency, milliseconds(300));
  tracker.note_totals(now, "n", totals(3));
  EXPECT_NEAR(tracker.rate(now, "s", "m").requests_per_second, 20, 1) << "a restarted node takes nothing back";
  EXPECT_EQ(tracker.rate(now, "s", "other").requests_per_second, 0);
  EXPECT_FALSE(tracker.is_known(now + seconds(20), "s")) << "nothing was seen of late";
}

}  // namespace
}  // namespace larchlever::fleet
