#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "core/admission/admission_controller.h"
#include "core/admission/budget_allocator.h"
#include "core/requests/endpoint_selector.h"
#include "core/requests/retry_state.h"
#include "core/requests/stream_verifier.h"
#include "core/routing/router.h"
#include "wire/codec.h"

namespace larchlever {
namespace {

const TimePoint kNow = TimePoint(seconds(100));

std::string event(const std::string& id, int offset) {
  return "id: " + id + ":" + std::to_string(offset) + "\ndata: {}\n\n";
}

TEST(StreamVerifier, EmitsOnlyCompleteEventsForAnyChunkSize) {
  rc::check([] {
    std::string stream;
    const int events = *rc::gen::inRange(0, 8);
    for (int offset = 0; offset < events; ++offset) {
      stream += event("r", offset);
    }
    stream += "data: [DONE]\n\n";
    requests::StreamVerifier verifier("r", 0);
    std::string passed;
    size_t position = 0;
    while (position < stream.size()) {
      const auto size = std::min<size_t>(*rc::gen::inRange<size_t>(1, 40), stream.size() - position);
      passed += verifier.feed(stream.substr(position, size));
      RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
      position += size;
    }
    RC_ASSERT(passed == stream);
    RC_ASSERT(verifier.status() == requests::StreamStatus::kDone);
    RC_ASSERT(verifier.next_offset() == events);
  });
}

TEST(StreamVerifier, DetectsForeignMissingDuplicateAndLateEvents) {
  using requests::StreamStatus;
  const auto status_after = [](const std::string& stream, int from = 0) {
    requests::StreamVerifier verifier("r", from);
    verifier.feed(stream);
    return verifier.status();
  };
  EXPECT_EQ(status_after(event("r", 0) + event("other", 1)), StreamStatus::kWrongRequest);
  EXPECT_EQ(status_after(event("r", 0) + event("r", 2)), StreamStatus::kOutOfOrder);
  EXPECT_EQ(status_after(event("r", 0) + event("r", 0)), StreamStatus::kOutOfOrder);
  EXPECT_EQ(status_after(event("r", 0), 3), StreamStatus::kOutOfOrder);
  EXPECT_EQ(status_after("data: {}\n\n"), StreamStatus::kMalformed);
  EXPECT_EQ(status_after(event("r", 0)), StreamStatus::kOpen) << "incomplete without the terminal event";
  requests::StreamVerifier verifier("r", 0);
  EXPECT_EQ(verifier.feed("data: [DONE]\n\n" + event("r", 0)), "data: [DONE]\n\n");
}

TEST(RetryState, RetriesOnlyUnstartedOrSafeRequests) {
  using requests::AttemptResult;
  using requests::Outcome;
  requests::RetryBudget budget(20);
  requests::RetryState unsafe(false, 5, kNow + seconds(1));
  EXPECT_TRUE(unsafe.try_start_retry(kNow, AttemptResult::kNotSent, "t", budget));
  EXPECT_TRUE(unsafe.try_start_retry(kNow, AttemptResult::kRefusedUnstarted, "t", budget));
  EXPECT_EQ(unsafe.outcome(), Outcome::kNotRun);
  EXPECT_FALSE(unsafe.try_start_retry(kNow, AttemptResult::kLostAfterSend, "t", budget));
  EXPECT_EQ(unsafe.outcome(), Outcome::kUnknown);
  requests::RetryState safe(true, 3, kNow + seconds(1));
  EXPECT_TRUE(safe.try_start_retry(kNow, AttemptResult::kLostAfterSend, "t", budget));
  EXPECT_FALSE(safe.try_start_retry(kNow + seconds(2), AttemptResult::kNotSent, "t", budget)) << "deadline exceeded";
  EXPECT_EQ(safe.outcome(), Outcome::kUnknown);
}

TEST(RetryState, UnsentAttemptsDoNotCountAgainstTheLimit) {
  using requests::AttemptResult;
  requests::RetryBudget budget(20);
  requests::RetryState state(true, 2, kNow + seconds(1));
  EXPECT_TRUE(state.try_start_retry(kNow, AttemptResult::kCutInStream, "t", budget));
  for (int refused = 0; refused < 5; ++refused) {
    EXPECT_TRUE(state.try_start_retry(kNow, AttemptResult::kNotSent, "t", budget));
  }
  EXPECT_FALSE(state.try_start_retry(kNow, AttemptResult::kCutInStream, "t", budget));
}

TEST(RetryState, BudgetLimitsRetriesToAFractionOfRequests) {
  requests::RetryBudget budget(10);
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.record_request("t");
    while (budget.try_spend("t")) {
      ++retries;
    }
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 111);
}

TEST(EndpointSelector, EjectsFailingEndpointsUpToHalf) {
  requests::EndpointSelector selector;
  const std::vector<std::string> all = {"a", "b", "c", "d"};
  for (const auto* endpoint : {"a", "b", "c"}) {
    for (int failure = 0; failure < 3; ++failure) {
      selector.report_result(kNow, endpoint, false);
    }
  }
  std::set<std::string> picked;
  for (int turn = 0; turn < 8; ++turn) {
    picked.insert(selector.pick(kNow, "s", all, {}));
  }
  EXPECT_EQ(picked.size(), 4U) << "more than half would be ejected, so all are used";
  requests::EndpointSelector other;
  for (int failure = 0; failure < 3; ++failure) {
    other.report_result(kNow, "a", false);
  }
  for (int turn = 0; turn < 8; ++turn) {
    EXPECT_NE(other.pick(kNow, "s", all, {}), "a");
  }
  EXPECT_FALSE(other.pick(kNow + seconds(6), "s", {"a"}, {}).empty()) << "the ejection has expired";
  other.set_leaving({"b", "c", "d"});
  EXPECT_EQ(other.pick(kNow + seconds(6), "s", {"b", "c", "d"}, {}), "");
}

TEST(AdmissionController, QueuesByPriorityAndRejectsEarly) {
  admission::AdmissionController controller(2);
  using admission::AdmissionVerdict;
  EXPECT_EQ(controller.request_admission(kNow, 1, "t", 5, kNow + seconds(5)), AdmissionVerdict::kQueued)
      << "no budget yet";
  controller.set_budget("t", 1, kNow + seconds(10));
  EXPECT_EQ(controller.take_admitted(kNow), std::vector<admission::AdmissionRequestId>{1});
  EXPECT_EQ(controller.request_admission(kNow, 2, "t", 1, kNow + seconds(5)), AdmissionVerdict::kQueued);
  EXPECT_EQ(controller.request_admission(kNow, 3, "t", 9, kNow + seconds(5)), AdmissionVerdict::kQueued);
  EXPECT_EQ(controller.request_admission(kNow, 4, "t", 9, kNow + seconds(5)), AdmissionVerdict::kRefusedQueueFull);
  controller.finish_request("t", seconds(2));
  EXPECT_EQ(controller.take_admitted(kNow), std::vector<admission::AdmissionRequestId>{3})
      << "the request with the higher priority is admitted first";
  EXPECT_EQ(controller.request_admission(kNow, 5, "t", 5, kNow + seconds(1)), AdmissionVerdict::kRefusedDeadline);
  EXPECT_EQ(controller.take_expired(kNow + seconds(5)), std::vector<admission::AdmissionRequestId>{2});
  controller.finish_request("t", seconds(2));
  EXPECT_EQ(controller.request_admission(kNow + seconds(11), 6, "t", 5, kNow + seconds(20)), AdmissionVerdict::kQueued)
      << "the budget's lease has expired";
}

TEST(BudgetAllocator, NeverGrantsMoreThanTheLimitAcrossEntries) {
  rc::check([] {
    admission::BudgetAllocator allocator;
    const int limit = *rc::gen::inRange(1, 40);
    std::map<std::string, std::pair<int, TimePoint>> granted;
    TimePoint now = kNow;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 700));
      const std::string node = "n" + std::to_string(*rc::gen::inRange(0, 5));
      const int running =
          granted.contains(node) && granted[node].second > now ? *rc::gen::inRange(0, granted[node].first + 1) : 0;
      const admission::BudgetAllocator::DemandReport report{running, *rc::gen::inRange(0, 50), 0};
      const TimePoint expires = now + milliseconds(1500);
      granted[node] = {allocator.grant(now, "t", limit, node, report, expires, true), expires};
      int total = 0;
      for (const auto& [name, grant] : granted) {
        total += grant.second > now ? grant.first : 0;
      }
      RC_ASSERT(total <= limit);
    }
  });
}

class RouterTest : public testing::Test {
 protected:
  void SetUp() override {
    config::RecordTable records;
    wire::Template model_template;
    model_template.name = "main";
    model_template.model = "model";
    model_template.version = "1";
    model_template.adapters = {"x"};
    records.put("template/main", wire::encode(model_template), Revision(1));
    wire::Tenant tenant;
    tenant.name = "t";
    tenant.template_name = "main";
    tenant.zones = {"a"};
    tenant.adapters = {"x"};
    records.put("tenant/t", wire::encode(tenant), Revision(2));
    std::vector<wire::GroupLease> leases;
    for (int64_t id = 1; id <= 6; ++id) {
      wire::Group group;
      group.id = id;
      group.epoch = static_cast<int32_t>(id);
      group.state = wire::GroupState::SERVING;
      group.template_name = "main";
      group.zone = id <= 4 ? "a" : "b";
      group.adapters = {"x"};
      records.put(config::group_key(id), wire::encode(group), Revision(2 + id));
      wire::GroupLease lease;
      lease.group_id = id;
      lease.epoch = static_cast<int32_t>(id);
      leases.push_back(lease);
    }
    router_.set_table(routing::RoutingTable(records));
    router_.set_leases(leases, kNow + seconds(1));
    router_.set_configuration_lease(kNow + seconds(1));
    query_.tenant = "t";
    query_.model = "model";
  }

  routing::Router router_{routing::RoutingPolicy::kPrefixAffinity, 1};
  routing::RouteQuery query_;
};

TEST_F(RouterTest, NeverRoutesOutsidePermittedZones) {
  for (uint64_t prefix = 1; prefix < 200; ++prefix) {
    query_.prefix_hash = prefix;
    const auto decision = router_.route(kNow, query_);
    ASSERT_EQ(decision.verdict, routing::RouteVerdict::kDispatch);
    EXPECT_EQ(decision.group->zone, "a");
  }
  query_.excluded_group_ids = {1, 2, 3, 4};
  EXPECT_EQ(router_.route(kNow, query_).verdict, routing::RouteVerdict::kNoGroupAvailable);
}

TEST_F(RouterTest, ChecksPermissionsAndLeases) {
  EXPECT_EQ(router_.route(kNow + seconds(1), query_).verdict, routing::RouteVerdict::kNoConfigurationLease);
  router_.set_configuration_lease(kNow + seconds(9));
  EXPECT_EQ(router_.route(kNow + seconds(2), query_).verdict, routing::RouteVerdict::kNoGroupAvailable);
  query_.model = "other";
  EXPECT_EQ(router_.route(kNow, query_).verdict, routing::RouteVerdict::kUnknownModel);
  query_.model = "model";
  query_.adapter = "y";
  EXPECT_EQ(router_.route(kNow, query_).verdict, routing::RouteVerdict::kAdapterNotPermitted);
  query_.tenant = "nobody";
  EXPECT_EQ(router_.route(kNow, query_).verdict, routing::RouteVerdict::kUnknownTenant);
}

TEST_F(RouterTest, KeepsAPrefixOnOneGroupUpToTheLoadLimit) {
  query_.prefix_hash = 77;
  const int64_t first_group = router_.route(kNow, query_).group->id;
  EXPECT_EQ(router_.route(kNow, query_).group->id, first_group);
  std::map<int64_t, int> sent;
  for (int request = 0; request < 40; ++request) {
    const int64_t id = router_.route(kNow, query_).group->id;
    router_.record_dispatch(id);
    ++sent[id];
  }
  EXPECT_EQ(sent.size(), 4U);
  for (const auto& [id, count] : sent) {
    EXPECT_LE(count, 14) << "limited to a multiple of the mean load, 10";
  }
}

}  // namespace
}  // namespace larchlever
