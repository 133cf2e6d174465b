#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <thread>

#include "core/base/http_status.h"
#include "zoned_fleet.h"

namespace larchlever::integration {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRoundCount = 30;
constexpr const char* kRegionBoundIdPrefix = "home-";

/// Routes with `allowed_regions`, whose requests may run only in the northern region, next to unrestricted routes.
class RegionBoundRoutes : public ZonedFleetFixture {
 protected:
  /// Sends one request on a region-bound route through an entry; `model` is empty for the plain service.
  net::FetchResult call_region_bound_route(BlockingClient& client, const std::string& entry, const std::string& model) {
    net::HttpRequest request;
    request.method = model.empty() ? "GET" : "POST";
    request.target = model.empty() ? "/forms/1" : "/chat/1";
    request.body = model.empty() ? "" : "{}";
    request.headers.add("Host", model.empty() ? "forms-north.example" : "chat-north.example");
    request.headers.add("Larchlever-Request-Id", kRegionBoundIdPrefix + std::to_string(next_request_++));
    request.headers.add("Larchlever-Deadline-Ms", "2000");
    if (!model.empty()) {
      request.headers.add("Larchlever-Model", model);
      request.headers.add("Larchlever-Tokens", "100,25");
    }
    return client.fetch(fleet_.caller_endpoint(entry), request, seconds(3));
  }
  int64_t count_region_bound_arrivals(const std::string& zone) {
    const auto all = arrivals_in(zone);
    return std::count_if(all.begin(), all.end(),
                         [](const auto& arrival) { return arrival.request_id.starts_with(kRegionBoundIdPrefix); });
  }

  int next_request_ = 0;
};

// The `allowed_regions` of a route were ignored: half of its requests ran in the other region.
TEST_F(RegionBoundRoutes, RequestsRunOnlyInAllowedRegions) {
  BlockingClient client;
  int served_count = 0;
  for (int round = 0; round < kRoundCount; ++round) {
    for (const auto& entry : fleet_.entries()) {
      const std::string model = round % 3 == 0 ? "" : round % 3 == 1 ? "small" : "large";
      const auto fetch_result = call_region_bound_route(client, entry, model);
      served_count += fetch_result.response && fetch_result.response->status == http_status::kOk ? 1 : 0;
    }
  }
  EXPECT_EQ(count_region_bound_arrivals(kSouth), 0);
  EXPECT_GT(count_region_bound_arrivals(kNorth), 0);
  EXPECT_EQ(served_count, kRoundCount * static_cast<int>(fleet_.entries().size()));
}

// With the allowed region evacuated, its requests must not run elsewhere and are rejected at once as not run. Requests
// of other routes are still served.
TEST_F(RegionBoundRoutes, RequestsAreRejectedWhileAllowedRegionIsEvacuated) {
  ASSERT_EQ(fleet_.call_control("c1", "POST", std::string("/v1/zones/") + kNorth + "/evacuate").response->status,
            http_status::kOk);
  std::this_thread::sleep_for(seconds(1));
  BlockingClient client;
  const int served_before = served_count_;
  for (const std::string model : {"", "small", "large"}) {
    const auto sent_at = Clock::now();
    const auto fetch_result = call_region_bound_route(client, "e1", model);
    ASSERT_TRUE(fetch_result.response);
    EXPECT_EQ(fetch_result.response->status, http_status::kServiceUnavailable);
    EXPECT_LT(Clock::now() - sent_at, milliseconds(200));
  }
  EXPECT_EQ(count_region_bound_arrivals(kSouth), 0);
  EXPECT_TRUE(wait_until([&] { return served_count_ > served_before + 30; }, seconds(5)));
}

TEST_F(RegionBoundRoutes, DocumentWithUnknownRegionIsRejected) {
  const auto current_document = fleet_.call_control("c1", "GET", "/v1/configuration");
  ASSERT_TRUE(current_document.response);
  json::value document = json::parse(current_document.response->body);
  document.as_object()["version"] = 9;
  document.as_object()["routes"].as_array()[0].as_object()["allowed_regions"] = json::array{"atlantis"};
  const auto fetch_result = fleet_.call_control("c1", "PUT", "/v1/configuration", json::serialize(document));
  ASSERT_TRUE(fetch_result.response);
  EXPECT_EQ(fetch_result.response->status, http_status::kBadRequest);
  EXPECT_NE(fetch_result.response->body.find("routes[0].allowed_regions"), std::string::npos)
      << fetch_result.response->body;
  EXPECT_NE(fetch_result.response->body.find("region-north"), std::string::npos) << fetch_result.response->body;
  EXPECT_EQ(fleet_.document_version_at("c1"), 7);
}

}  // namespace
}  // namespace larchlever::integration
