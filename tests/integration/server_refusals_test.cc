#include <gtest/gtest.h>

#include <algorithm>

#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

constexpr int kOrderCount = 20;

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(2); }

/// Number of times that the request reached one of the servers.
int64_t count_arrivals(const std::vector<std::unique_ptr<FormsServer>>& servers, const std::string& id) {
  int64_t count = 0;
  for (const auto& server : servers) {
    const auto arrivals = server->arrivals();
    count += std::count_if(arrivals.begin(), arrivals.end(),
                           [&id](const auto& arrival) { return arrival.request_id == id; });
  }
  return count;
}

/// Runs two plain servers that answer with the status of the parameter after they ran a request.
class StatusAfterRun : public PlainServerFleetFixture, public testing::WithParamInterface<int> {
 protected:
  StatusAfterRun() : PlainServerFleetFixture(fleet_options(), 2) {}

  void SetUp() override {
    PlainServerFleetFixture::SetUp();
    for (const auto& server : servers_) {
      server->set_status_after_run(GetParam());
    }
  }
  net::HttpResponse send_order(BlockingClient& client, const std::string& id) {
    const auto result = client.fetch(fleet_.caller_endpoint("e1"), make_order(id), kWaitTimeout);
    EXPECT_TRUE(result.response) << result.error;
    return result.response.value_or(net::HttpResponse());
  }
  int64_t count_runs(const std::string& id) const { return count_arrivals(servers_, id); }
};

using PromisesAfterRun = StatusAfterRun;
using FailuresAfterRun = StatusAfterRun;

// A server ran an order and answered it with a status that promises callers that it did not run. The entry passed it
// on, and the caller sent the order again.
TEST_P(PromisesAfterRun, AreNotPassedOnForOrdersThatRan) {
  BlockingClient client;
  for (int number = 0; number < kOrderCount; ++number) {
    const std::string id = "e1-order-" + std::to_string(number);
    const auto response = send_order(client, id);
    EXPECT_EQ(count_runs(id), 1) << id;
    EXPECT_EQ(response.status, http_status::kBadGateway) << id;
    EXPECT_EQ(response.headers.find("Larchlever-Outcome"), "unknown") << id;
    EXPECT_FALSE(response.headers.contains("Larchlever-Signature")) << "the server gave another status";
  }
}

// Other failures make no promise and reach the caller as the server sent them.
TEST_P(FailuresAfterRun, ArePassedOnUnchanged) {
  BlockingClient client;
  const auto response = send_order(client, "e1-order");
  EXPECT_EQ(count_runs("e1-order"), 1);
  EXPECT_EQ(response.status, GetParam());
  EXPECT_EQ(response.headers.find("Larchlever-Signature"), "signed");
  EXPECT_EQ(response.body, "form");
}

FleetNodeOptions single_attempt_options() {
  auto options = fleet_options();
  options.forms_max_attempts = 1;
  options.bounds_settings = "retry_ratio = 4\n";
  return options;
}

/// Two plain servers, one of which turns every request away, on routes that allow one server.
class OneServerPerOrder : public PlainServerFleetFixture {
 protected:
  OneServerPerOrder() : PlainServerFleetFixture(single_attempt_options(), 2) {}

  void SetUp() override {
    PlainServerFleetFixture::SetUp();
    servers_.front()->reject_share(1);
  }
};

// A request that may run once was sent on to a second server after a refusal, although its route allows one.
TEST_F(OneServerPerOrder, IsKeptAfterARefusal) {
  BlockingClient client;
  int refused = 0;
  int served = 0;
  for (int number = 0; number < kOrderCount; ++number) {
    const std::string id = "e1-order-" + std::to_string(number);
    const auto result = client.fetch(fleet_.caller_endpoint("e1"), make_order(id), kWaitTimeout);
    ASSERT_TRUE(result.response) << result.error;
    EXPECT_EQ(count_arrivals(servers_, id), 1) << id;
    served += result.response->status == http_status::kOk ? 1 : 0;
    if (result.response->status == http_status::kServiceUnavailable) {
      ++refused;
      EXPECT_EQ(result.response->headers.find("Larchlever-Outcome"), "not-run");
      EXPECT_EQ(result.response->headers.find("Retry-After"), "0.01") << "the other server is free";
    }
  }
  EXPECT_GT(refused, 0);
  EXPECT_EQ(served + refused, kOrderCount);
}

// Requests that may be repeated go to another server, since one that turned them away counts as no attempt.
TEST_F(OneServerPerOrder, DoesNotHoldForRepeatableRequests) {
  BlockingClient client;
  for (int number = 0; number < kOrderCount; ++number) {
    EXPECT_EQ(call(client, "e1").status, http_status::kOk);
  }
}

INSTANTIATE_TEST_SUITE_P(Status, PromisesAfterRun,
                         testing::Values(http_status::kServiceUnavailable, http_status::kTooManyRequests,
                                         http_status::kRequestTimeout));
INSTANTIATE_TEST_SUITE_P(Status, FailuresAfterRun, testing::Values(500, http_status::kGatewayTimeout));

}  // namespace
}  // namespace larchlever::integration
