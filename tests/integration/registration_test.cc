#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <thread>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "forms_server.h"
#include "server_reports.h"

namespace larchlever::integration {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kWaitTimeout = seconds(15);
constexpr int64_t kStartTimeMs = 1'780'000'000'000;

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(1); }

class ServerRegistration : public testing::Test {
 protected:
  void SetUp() override {
    const auto addresses = fleet_.engine_addresses(2);
    healthy_address_ = addresses[0] + ":9000";
    other_address_ = addresses[1] + ":9000";
    healthy_server_ = std::make_unique<FormsServer>(client_, healthy_address_);
    other_server_ = std::make_unique<FormsServer>(client_, other_address_);
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
  }

  static json::object heartbeat_body(const std::string& address, int64_t call_number) {
    return plain_server_report(address, "north", call_number);
  }
  int send_heartbeat(const std::string& id, const std::string& body) {
    const auto result =
        fleet_.call_control("c" + std::to_string(1 + calls_++ % 3), "POST", "/v1/instances/" + id + "/heartbeat", body);
    return result.response ? result.response->status : 0;
  }
  int send_heartbeat(const std::string& id, const json::object& body) {
    return send_heartbeat(id, json::serialize(body));
  }
  bool request_succeeds() {
    const auto result = fleet_.call_forms(client_, "e1", "r" + std::to_string(calls_++), "", seconds(1));
    return result.response && result.response->status == http_status::kOk;
  }

  FleetNodeProcesses fleet_{fleet_options()};
  BlockingClient client_;
  std::string healthy_address_;
  std::string other_address_;
  std::unique_ptr<FormsServer> healthy_server_;
  std::unique_ptr<FormsServer> other_server_;
  int calls_ = 0;
};

// The only server of a service was draining, sent no report for two seconds and restarted under the same id, with a
// later start time and call numbers from 1. Its reports were acknowledged, but its state stayed draining, so it got no
// more requests.
TEST_F(ServerRegistration, DrainedServerIsUsedAgainAfterRestartUnderSameId) {
  auto body = heartbeat_body(healthy_address_, 1001);
  body["born"] = kStartTimeMs;
  ASSERT_EQ(send_heartbeat("i1", body), 200);
  ASSERT_TRUE(wait_until([this] { return request_succeeds(); }, kWaitTimeout));
  body["call_seq"] = 1002;
  body["state"] = "draining";
  EXPECT_TRUE(wait_until([&] { return send_heartbeat("i1", body) == 200; }, kWaitTimeout));
  EXPECT_FALSE(request_succeeds());
  std::this_thread::sleep_for(seconds(2));
  auto restarted_body = heartbeat_body(healthy_address_, 1);
  restarted_body["born"] = kStartTimeMs + 5000;
  EXPECT_TRUE(wait_until([&] { return send_heartbeat("i1", restarted_body) == 200; }, kWaitTimeout));
  EXPECT_TRUE(wait_until([this] { return request_succeeds(); }, seconds(2)));
  // A late report of the previous incarnation changes nothing, although its call number is higher.
  EXPECT_TRUE(wait_until([&] { return send_heartbeat("i1", body) == 200; }, kWaitTimeout));
  EXPECT_TRUE(request_succeeds());
}

// Malformed reports, some under the id of a healthy server, were each answered with 200, and requests were sent to
// their address.
TEST_F(ServerRegistration, MalformedReportsAreRejectedWithoutSideEffects) {
  ASSERT_EQ(send_heartbeat("i1", heartbeat_body(healthy_address_, 1)), 200);
  ASSERT_TRUE(wait_until([this] { return request_succeeds(); }, kWaitTimeout));
  std::vector<std::pair<std::string, std::string>> bodies = {{"body", "\xff\xfe{"}, {"body", "[]"}, {"body", ""}};
  const auto add_body_with = [&](const char* field, const json::value& value) {
    auto body = heartbeat_body(other_address_, 5);
    body[field] = value;
    bodies.emplace_back(field, json::serialize(body));
  };
  add_body_with("state", "resting");
  add_body_with("state", 7);
  add_body_with("state", nullptr);
  add_body_with("call_seq", "x");
  add_body_with("call_seq", 1.5);
  add_body_with("call_seq", -1);
  add_body_with("slots", nullptr);
  add_body_with("slots", 1e300);
  add_body_with("zone", 3);
  add_body_with("version", json::array());
  add_body_with("cold_left_ms", "0");
  add_body_with("born", "soon");
  add_body_with("born", 1.5);
  add_body_with("born", nullptr);
  add_body_with("service", json::array{"forms"});
  add_body_with("service", "nobody-named-this");
  add_body_with("address", "somewhere");
  add_body_with("domain", 4);
  add_body_with("staged", "large");
  add_body_with("models", json::object());
  add_body_with("group", json::object{{"name", "g1"}, {"epoch", 1}, {"rank", 0}, {"state", "dreaming"}});
  for (const char* field : {"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "call_seq"}) {
    auto body = heartbeat_body(other_address_, 5);
    body.erase(field);
    bodies.emplace_back(field, json::serialize(body));
  }
  for (const auto& [field, body] : bodies) {
    // Under an unused id, and under the id of the healthy server.
    for (const auto* id : {"i2", "i1"}) {
      const auto fetch_result = fleet_.call_control("c" + std::to_string(1 + calls_++ % 3), "POST",
                                                    std::string("/v1/instances/") + id + "/heartbeat", body);
      ASSERT_TRUE(fetch_result.response) << body;
      EXPECT_EQ(fetch_result.response->status, 400) << body;
      EXPECT_NE(fetch_result.response->body.find(field), std::string::npos)
          << fetch_result.response->body << " to " << body;
    }
  }
  std::this_thread::sleep_for(milliseconds(300));
  for (int request = 0; request < 30; ++request) {
    EXPECT_TRUE(request_succeeds());
  }
  EXPECT_EQ(other_server_->served_count(), 0);
  for (const auto& node : fleet_.all_nodes()) {
    EXPECT_TRUE(fleet_.is_running(node)) << node << " exited";
  }
  EXPECT_NE((fleet_.log("c1") + fleet_.log("c2") + fleet_.log("c3")).find("event=malformed_report"), std::string::npos);
}

}  // namespace
}  // namespace larchlever::integration
