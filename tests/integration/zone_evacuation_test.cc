#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <thread>

#include "core/base/http_status.h"
#include "zoned_fleet.h"

namespace larchlever::integration {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An operator's change is in force everywhere within this time.
constexpr auto kInForce = seconds(1);
constexpr auto kObserved = seconds(2);
constexpr int kServedPercent = 95;

class ZoneEvacuation : public ZonedFleet {
 protected:
  static constexpr const char* kEmptied = kNorth;
  static constexpr const char* kKept = kSouth;

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

  std::string last_answer_;
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
