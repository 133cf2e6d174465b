#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <thread>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "forms_server.h"
#include "registered_engines.h"

namespace larchlever::integration {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr auto kPatience = seconds(15);
/// An operator's change is in force everywhere within this time.
constexpr auto kInForce = seconds(1);
constexpr auto kObserved = seconds(2);
constexpr int kServedPercent = 95;
constexpr const char* kEmptied = "north";
constexpr const char* kKept = "south";

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.controls = 3;
  options.entries = 3;
  options.tolerated_losses = 1;
  return options;
}

RegisteredEngines::Options engine_options() {
  RegisteredEngines::Options options;
  options.domains = 2;
  options.servers_per_domain = 6;
  options.zones = {kEmptied, kKept};
  return options;
}

/// Three replicas, three entries, and in each of two zones a plain server and a domain of engines; callers all the
/// while.
class ZoneEvacuation : public testing::Test {
 protected:
  void SetUp() override {
    const auto addresses = fleet_.engine_addresses(2 + engine_options().domains * engine_options().servers_per_domain);
    for (const auto* zone : {kEmptied, kKept}) {
      const std::string address = addresses[forms_.size()] + ":9000";
      forms_.push_back({zone, address, std::make_unique<FormsServer>(servers_client_, address)});
    }
    std::vector<std::string> controls;
    for (const auto& node : fleet_.controls()) {
      controls.push_back(fleet_.control_endpoint(node));
    }
    engines_ = std::make_unique<RegisteredEngines>(
        engine_options(), std::vector<std::string>(addresses.begin() + 2, addresses.end()), controls);
    fleet_.start_all();
    ASSERT_TRUE(fleet_.put_document(7, kPatience));
    ASSERT_TRUE(fleet_.all_entries_ready(kPatience));
    reporter_ = std::thread([this] { keep_reporting(); });
    ASSERT_TRUE(eventually([this] { return engines_->open_groups() >= 4; }, kPatience)) << "no groups";
    for (const auto& entry : fleet_.entries()) {
      callers_.emplace_back([this, entry] { keep_calling(entry); });
    }
    ASSERT_TRUE(
        eventually([this] { return reaches(kEmptied, Clock::now()) && reaches(kKept, Clock::now()); }, kPatience));
  }
  void TearDown() override {
    stopped_ = true;
    for (auto& caller : callers_) {
      caller.join();
    }
    if (reporter_.joinable()) {
      reporter_.join();
    }
  }

  void keep_reporting() {
    BlockingClient client;
    size_t next_control = 0;
    for (int64_t number = 1; !stopped_; ++number) {
      for (const auto& server : forms_) {
        const json::object body = {
            {"service", "forms"}, {"address", server.address}, {"zone", server.zone}, {"version", "v1"},
            {"slots", 8},         {"state", "ready"},          {"cold_left_ms", 0},   {"call_seq", number}};
        net::HttpRequest request;
        request.method = "POST";
        request.target = "/v1/instances/forms-" + server.zone + "/heartbeat";
        request.body = json::serialize(body);
        const auto controls = fleet_.controls();
        for (size_t attempt = 0; attempt < controls.size(); ++attempt, ++next_control) {
          const auto& control = controls[next_control % controls.size()];
          const auto result = client.fetch(fleet_.control_endpoint(control), request, milliseconds(500));
          if (result.response && result.response->status == http_status::kOk) {
            break;
          }
        }
      }
      std::this_thread::sleep_for(milliseconds(300));
    }
  }
  /// Plain requests and streams of both models in turn.
  void keep_calling(const std::string& entry) {
    BlockingClient client;
    for (int number = 0; !stopped_; ++number) {
      const std::string id = entry + "-" + std::to_string(number);
      net::FetchResult result;
      if (number % 3 == 0) {
        net::HttpRequest request;
        request.target = "/forms/1";
        request.headers.add("Host", "forms.example");
        request.headers.add("Larchlever-Request-Id", id);
        request.headers.add("Larchlever-Deadline-Ms", "2000");
        result = client.fetch(fleet_.address(entry) + ":8227", request, seconds(3));
      } else {
        result = fleet_.call_model(client, entry, number % 3 == 1 ? "small" : "large", id);
      }
      ++sent_;
      served_ += result.response && result.response->status == http_status::kOk ? 1 : 0;
      std::this_thread::sleep_for(milliseconds(20));
    }
  }

  /// Requests that reached the servers of a zone between two moments.
  int64_t arrivals(const std::string& zone, Clock::time_point from, Clock::time_point to) {
    auto all = engines_->arrivals_in(zone);
    for (const auto& server : forms_) {
      if (server.zone == zone) {
        const auto plain = server.server->arrivals();
        all.insert(all.end(), plain.begin(), plain.end());
      }
    }
    return std::count_if(all.begin(), all.end(),
                         [&](const auto& arrival) { return arrival.at >= from && arrival.at < to; });
  }
  /// Both kinds of servers of a zone got requests shortly before `at`.
  bool reaches(const std::string& zone, Clock::time_point at) {
    const auto is_recent = [at](const Arrival& arrival) { return arrival.at > at - seconds(1); };
    const auto engines = engines_->arrivals_in(zone);
    const bool plain = std::any_of(forms_.begin(), forms_.end(), [&](const auto& server) {
      const auto list = server.server->arrivals();
      return server.zone == zone && std::any_of(list.begin(), list.end(), is_recent);
    });
    return plain && std::any_of(engines.begin(), engines.end(), is_recent);
  }
  /// Sends an order to one replica after the other until it is acknowledged; the moment of the acknowledgement.
  Clock::time_point order(const std::string& zone, const std::string& operation) {
    const auto controls = fleet_.controls();
    size_t next = 0;
    const bool taken = eventually(
        [&] {
          const auto& control = controls[next++ % controls.size()];
          return status_of(control, zone, operation) == http_status::kOk;
        },
        kPatience);
    EXPECT_TRUE(taken) << operation << " of " << zone << " was not acknowledged";
    return Clock::now();
  }
  int status_of(const std::string& control, const std::string& zone, const std::string& operation) {
    const auto answer = fleet_.call_control(control, "POST", "/v1/zones/" + zone + "/" + operation);
    last_answer_ = answer.response ? answer.response->body : answer.error;
    return answer.response ? answer.response->status : 0;
  }
  /// The evacuated zones as a replica reads them back, joined; "none" where it answers with none.
  std::string zones_read_at(const std::string& control) {
    const auto answer = fleet_.call_control(control, "GET", "/v1/zones");
    if (!answer.response || answer.response->status != http_status::kOk) {
      return "no answer";
    }
    const json::value body = json::parse(answer.response->body);
    std::string result;
    for (const auto& zone : body.as_object().at("evacuated").as_array()) {
      result += (result.empty() ? "" : ",") + json::value_to<std::string>(zone);
    }
    return result.empty() ? "none" : result;
  }
  /// From when an order is in force, nothing reaches the emptied zone, and callers are served all the same.
  void expect_empty_from(Clock::time_point acknowledged) {
    std::this_thread::sleep_until(acknowledged + kInForce);
    const int sent_before = sent_;
    const int served_before = served_;
    std::this_thread::sleep_until(acknowledged + kInForce + kObserved);
    const int sent = sent_ - sent_before;
    const int served = served_ - served_before;
    EXPECT_EQ(arrivals(kEmptied, acknowledged + kInForce, acknowledged + kInForce + kObserved), 0);
    EXPECT_GT(arrivals(kKept, acknowledged + kInForce, acknowledged + kInForce + kObserved), 0);
    EXPECT_GE(served * 100, sent * kServedPercent) << served << " of " << sent << " served";
  }

  struct PlainServer {
    std::string zone;
    std::string address;
    std::unique_ptr<FormsServer> server;
  };

  FleetNodeProcesses fleet_{fleet_options()};
  BlockingClient servers_client_;
  std::vector<PlainServer> forms_;
  std::unique_ptr<RegisteredEngines> engines_;
  std::string last_answer_;
  std::thread reporter_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> sent_ = 0;
  std::atomic<int> served_ = 0;
};

// An operator who must empty a zone had no order for it: each call got 404, and the zone's servers went on getting
// requests until they were switched off under them.
TEST_F(ZoneEvacuation, NothingReachesAnEmptiedZoneUntilItIsTakenBack) {
  const auto emptied = order(kEmptied, "evacuate");
  expect_empty_from(emptied);
  for (const auto& control : fleet_.controls()) {
    EXPECT_EQ(zones_read_at(control), kEmptied) << control;
  }
  EXPECT_EQ(status_of("c2", kEmptied, "evacuate"), http_status::kOk) << "an order that arrives again is acknowledged";
  order(kEmptied, "restore");
  EXPECT_TRUE(eventually([this] { return reaches(kEmptied, Clock::now()); }, seconds(5)));
  EXPECT_EQ(status_of("c3", kEmptied, "restore"), http_status::kOk);
  EXPECT_EQ(zones_read_at("c1"), "none");
}

// What was acknowledged outlasts the leader that did so, and the loss of every process at once.
TEST_F(ZoneEvacuation, OutlastsItsLeaderAndTheLossOfAllProcesses) {
  order(kEmptied, "evacuate");
  for (const auto& node : fleet_.controls()) {
    if (fleet_.log(node).find("event=leadership_begun") != std::string::npos) {
      fleet_.kill(node);
      fleet_.start(node);
      break;
    }
  }
  expect_empty_from(Clock::now());
  for (const auto& node : fleet_.all()) {
    fleet_.kill(node);
  }
  fleet_.start_all();
  ASSERT_TRUE(fleet_.all_entries_ready(kPatience));
  const auto ready = Clock::now();
  EXPECT_TRUE(eventually([this] { return reaches(kKept, Clock::now()); }, kPatience));
  EXPECT_EQ(arrivals(kEmptied, ready - seconds(1), Clock::now()), 0) << "requests after all processes were killed";
  EXPECT_TRUE(eventually([this] { return zones_read_at("c1") == kEmptied; }, kPatience));
}

TEST_F(ZoneEvacuation, NamesTheZonesWhenOneIsUnknown) {
  EXPECT_EQ(status_of("c1", "nowhere", "evacuate"), http_status::kNotFound);
  EXPECT_NE(last_answer_.find(kEmptied), std::string::npos) << last_answer_;
  EXPECT_NE(last_answer_.find(kKept), std::string::npos) << last_answer_;
  EXPECT_EQ(zones_read_at("c1"), "none");
}

// With every zone emptied nobody can be served, and callers are told so at once, as not run; they are served again once
// a zone is back.
TEST_F(ZoneEvacuation, RefusesAtOnceWhileEveryZoneIsEmptied) {
  order(kEmptied, "evacuate");
  const auto emptied = order(kKept, "evacuate");
  std::this_thread::sleep_until(emptied + kInForce);
  BlockingClient client;
  const auto sent = Clock::now();
  const auto answer = fleet_.call_model(client, "e1", "small", "e1-all-emptied");
  ASSERT_TRUE(answer.response);
  EXPECT_EQ(answer.response->status, http_status::kServiceUnavailable);
  EXPECT_FALSE(answer.response->headers.find("retry-after").empty());
  EXPECT_LT(Clock::now() - sent, milliseconds(200));
  order(kKept, "restore");
  EXPECT_TRUE(eventually([this] { return reaches(kKept, Clock::now()); }, seconds(5)));
}

}  // namespace
}  // namespace larchlever::integration
