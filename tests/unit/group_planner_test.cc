#include "core/fleet/group_planner.h"

#include <gtest/gtest.h>

#include <set>

#include "core/fleet/demand_tracker.h"
#include "core/fleet/weight_load_limiter.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

/// A large model with groups of four servers and a small one with groups of two.
struct LargeAndSmallModel {
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

/// `domains` domains of eight servers without weights.
std::vector<PlannedServer> servers_without_weights(int domains) {
  std::vector<PlannedServer> result;
  for (int domain = 0; domain < domains; ++domain) {
    for (int number = 0; number < 8; ++number) {
      result.push_back(server("i" + std::to_string(domain) + std::to_string(number), "d" + std::to_string(domain)));
    }
  }
  return result;
}

TEST(GroupPlanner, DividesServersByNeedAndSpreadsModelsOverDomains) {
  const LargeAndSmallModel models;
  PlannerInput input;
  input.servers = servers_without_weights(6);
  input.needs = {{&models.large, 8}, {&models.small, 8}};
  GroupPlanner planner(std::move(input));
  std::map<std::string, int> groups;
  std::map<std::string, std::set<std::string>> domains;
  while (const auto plan = planner.next_group()) {
    const auto& name = plan->model->name;
    domains[name].insert(plan->members.front().substr(0, 2));
    planner.add_formed_group(*plan, name + std::to_string(groups[name]++));
  }
  EXPECT_EQ(groups["large"], 8);
  EXPECT_EQ(groups["small"], 8);
  EXPECT_EQ(domains["large"].size(), 6U) << "the loss of one domain must not remove all groups of a model";
}

TEST(GroupPlanner, FormsGroupsOnlyOfWarmServersWhenColdGroupsAreNotAllowed) {
  const LargeAndSmallModel models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "large"), server("i1", "d0", "large"), server("i2", "d0", "small", "large"),
                   server("i3", "d0")};
  input.needs = {{&models.large, 1}};
  input.cold_groups_allowed = false;
  EXPECT_FALSE(GroupPlanner(input).next_group());
  const auto staging_plans = GroupPlanner(input).staging_plans();
  ASSERT_FALSE(staging_plans.empty());
  EXPECT_EQ(staging_plans.front().server, "i3") << "the server without the weights is staged first";
  EXPECT_EQ(staging_plans.front().model, "large");
  input.servers[3].staged_models = {"large"};
  const auto plan = GroupPlanner(input).next_group();
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->weight_loads, 0U);
  EXPECT_EQ(plan->members.front(), "i0")
      << "servers with weights in the accelerators come before those with staged weights";
}

/// The three remaining servers of a large group that lost a member, and two small groups whose hosts hold the weights
/// of the large model.
PlannerInput input_with_incomplete_large_group(const LargeAndSmallModel& models) {
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

TEST(GroupPlanner, PreemptsFewestGroupsNeededToFormAnother) {
  const LargeAndSmallModel models;
  const auto plan = GroupPlanner(input_with_incomplete_large_group(models)).groups_to_preempt();
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->groups.size(), 1U) << "one server of one small group is missing";
  EXPECT_EQ(plan->domain, "d0");
  EXPECT_EQ(plan->model, "large");
}

TEST(GroupPlanner, DoesNotPreemptWithoutBenefitOrDuringAnotherPreemption) {
  const LargeAndSmallModel models;
  auto input = input_with_incomplete_large_group(models);
  input.needs[1].groups_needed = 6;
  EXPECT_FALSE(GroupPlanner(input).groups_to_preempt());
  input = input_with_incomplete_large_group(models);
  input.needs = {{&models.large, 0.8}, {&models.small, 0.2}};
  EXPECT_FALSE(GroupPlanner(input).groups_to_preempt()) << "one large group is enough for the demand";
  input = input_with_incomplete_large_group(models);
  input.groups[0] = {"s0", "small", false, false, true};
  EXPECT_FALSE(GroupPlanner(input).groups_to_preempt());
  input = input_with_incomplete_large_group(models);
  input.reserved_domains["d0"] = "large";
  EXPECT_FALSE(GroupPlanner(input).groups_to_preempt()) << "the servers of the previous preemption are not in use yet";
}

TEST(GroupPlanner, ReservesPreemptedServersForTheReceivingModel) {
  const LargeAndSmallModel models;
  auto input = input_with_incomplete_large_group(models);
  input.needs = {{&models.large, 0.1}, {&models.small, 5}};
  ASSERT_TRUE(GroupPlanner(input).next_group());
  EXPECT_EQ(GroupPlanner(input).next_group()->model->name, "small");
  input.reserved_domains["d0"] = "large";
  EXPECT_FALSE(GroupPlanner(input).next_group());
}

TEST(GroupPlanner, DoesNotDiscardWeightsNeededByAModelUnderHigherPressure) {
  const LargeAndSmallModel models;
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
  EXPECT_FALSE(GroupPlanner(input).next_group())
      << "would discard the weights on two of the four servers that a large group needs";
  input.needs[1].groups_needed = 3;
  ASSERT_TRUE(GroupPlanner(input).next_group()) << "the small model is under higher pressure";
  input.needs[1].groups_needed = 1.5;
  EXPECT_FALSE(GroupPlanner(input).next_group());
  input.servers[0] = server("i0", "d0", "small", "large");
  input.servers[1] = server("i1", "d0", "small", "large");
  input.servers.push_back(server("i3", "d1"));
  input.servers.push_back(server("i4", "d1"));
  EXPECT_TRUE(GroupPlanner(input).next_group()) << "no weights are discarded: the hosts keep those of the large model";
}

TEST(GroupPlanner, StagesFirstInDomainMissingFewestServers) {
  const LargeAndSmallModel models;
  PlannerInput input;
  input.servers = {server("i0", "d0"), server("i1", "d1"), server("i2", "d1", "large"), server("i3", "d1", "large")};
  input.needs = {{&models.large, 1}};
  const auto staging_plans = GroupPlanner(input).staging_plans();
  ASSERT_FALSE(staging_plans.empty());
  EXPECT_EQ(staging_plans.front().server, "i1");
}

TEST(GroupPlanner, StagesWeightsOfTheOtherModelOnHosts) {
  const LargeAndSmallModel models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "small", "small", "s0"), server("i1", "d0", "large", "large", "l0"),
                   server("i2", "d0", "small", "large", "s0")};
  input.groups = {{"s0", "small", true, true, false}, {"l0", "large", true, true, false}};
  input.needs = {{&models.large, 2}, {&models.small, 1}};
  const auto staging_plans = GroupPlanner(input).staging_plans();
  ASSERT_EQ(staging_plans.size(), 2U);
  EXPECT_EQ(staging_plans[0].server, "i0");
  EXPECT_EQ(staging_plans[0].model, "large");
  EXPECT_EQ(staging_plans[0].priority, LoadPriority::kStandby);
  EXPECT_EQ(staging_plans[1].server, "i1");
  EXPECT_EQ(staging_plans[1].priority, LoadPriority::kPrecaution)
      << "the survivors of a large group can be used without it";
}

TEST(GroupPlanner, LoadsNeediestModelOnFreeServersAndStagesAnotherOnTheirHosts) {
  const LargeAndSmallModel models;
  PlannerInput input;
  input.servers = {server("i0", "d0", "large"), server("i1", "d0"), server("i2", "d0", "", "small"),
                   server("i3", "d0", "large", "small")};
  input.needs = {{&models.large, 2}, {&models.small, 1}};
  const auto staging_plans = GroupPlanner(input).staging_plans();
  ASSERT_EQ(staging_plans.size(), 3U);
  EXPECT_EQ(staging_plans[0].server, "i1");
  EXPECT_EQ(staging_plans[0].model, "large");
  EXPECT_TRUE(staging_plans[0].into_accelerators);
  EXPECT_EQ(staging_plans[1].server, "i2");
  EXPECT_EQ(staging_plans[1].model, "small") << "these weights need no load";
  EXPECT_TRUE(staging_plans[1].into_accelerators);
  EXPECT_EQ(staging_plans[2].server, "i0");
  EXPECT_EQ(staging_plans[2].model, "small");
  EXPECT_FALSE(staging_plans[2].into_accelerators);
}

// ---------------------------------------------------------- load limiter

document::EngineSpec engine_with_load_limits() {
  document::EngineSpec engine;
  engine.max_weight_loads_per_second = 1;
  engine.max_concurrent_weight_loads = 3;
  return engine;
}

TEST(GroupPlanner, DividesFreeServersOfADomainAmongModelsByNeed) {
  const LargeAndSmallModel models;
  PlannerInput input;
  for (int number = 0; number < 5; ++number) {
    input.servers.push_back(server("i" + std::to_string(number), "d0", number == 0 ? "large" : ""));
  }
  input.servers.push_back(server("other", "d1"));
  input.needs = {{&models.large, 3}, {&models.small, 6}};
  std::map<std::string, int> held;
  for (const auto& plan : GroupPlanner(std::move(input)).staging_plans()) {
    if (plan.into_accelerators && plan.server != "other") {
      ++held[plan.model];
    }
  }
  // Both models need the same number of servers.
  EXPECT_EQ(held["large"], 2) << "in addition to the server that already holds it";
  EXPECT_EQ(held["small"], 2);
}

TEST(WeightLoadLimiter, LimitsConcurrentLoadsAndLoadsPerWindow) {
  WeightLoadLimiter limiter(seconds(5));
  limiter.start(kStart, false);
  limiter.note_first_request();
  EXPECT_TRUE(limiter.may_begin_loads(kStart, engine_with_load_limits(), 1, 2, 0));
  EXPECT_FALSE(limiter.may_begin_loads(kStart, engine_with_load_limits(), 1, 3, 0))
      << "three loads are already in progress";
  limiter.note_loads_begun(kStart, 5);
  EXPECT_FALSE(limiter.may_begin_loads(kStart + seconds(4), engine_with_load_limits(), 1, 0, 0))
      << "five loads began in the window";
  EXPECT_TRUE(limiter.may_begin_loads(kStart + seconds(6), engine_with_load_limits(), 1, 0, 0));
  EXPECT_TRUE(limiter.may_begin_loads(kStart, engine_with_load_limits(), 0, 3, 0)) << "no load is needed";
}

TEST(WeightLoadLimiter, ReservesCapacityForLoadsOfPreviousLeader) {
  WeightLoadLimiter limiter(seconds(5));
  limiter.start(kStart, true);
  EXPECT_FALSE(limiter.may_begin_loads(kStart + seconds(1), engine_with_load_limits(), 1, 0, 0));
  EXPECT_TRUE(limiter.may_begin_loads(kStart + seconds(4), engine_with_load_limits(), 1, 0, 0));
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

TEST(DemandTracker, ComputesRatesFromTotalsAcrossNodeRestarts) {
  DemandTracker tracker;
  tracker.start();
  tracker.note_totals(kStart, "n", totals(1000));
  EXPECT_FALSE(tracker.has_enough_data(kStart + seconds(10), "s"))
      << "the age of the first thousand requests is unknown";
  for (int step = 1; step <= 50; ++step) {
    tracker.note_totals(kStart + milliseconds(100) * step, "n", totals(1000 + 2 * step));
  }
  const TimePoint now = kStart + seconds(5);
  ASSERT_TRUE(tracker.has_enough_data(now, "s"));
  const auto rate = tracker.rate(now, "s", "m");
  EXPECT_NEAR(rate.requests_per_second, 20, 1);
  EXPECT_DOUBLE_EQ(rate.sizes.prompt, 100);
  EXPECT_EQ(rate.target_latency, milliseconds(300));
  tracker.note_totals(now, "n", totals(3));
  EXPECT_NEAR(tracker.rate(now, "s", "m").requests_per_second, 20, 1) << "a node restart subtracts nothing";
  EXPECT_EQ(tracker.rate(now, "s", "other").requests_per_second, 0);
  EXPECT_FALSE(tracker.has_enough_data(now + seconds(20), "s")) << "no recent requests";
}

}  // namespace
}  // namespace larchlever::fleet
