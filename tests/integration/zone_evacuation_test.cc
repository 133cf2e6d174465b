#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <thread>

#include "core/base/http_status.h"
#include "zoned_fleet.h"

namespace larchlever::integration {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// An evacuation must be in force at all entries within this time.
constexpr auto kMaxApplyTime = seconds(1);
constexpr auto kObservationTime = seconds(2);
constexpr int kMinServedPercent = 95;
/// How long an operator waits for the answer of a control replica before it turns to another one.
constexpr auto kOperatorPatience = seconds(1);
/// How long a replica stays suspended after a later call was acknowledged.
constexpr auto kSuspensionAfterLaterCall = milliseconds(500);

class ZoneEvacuation : public ZonedFleetFixture {
 protected:
  static constexpr const char* kEvacuatedZone = kNorth;
  static constexpr const char* kOtherZone = kSouth;

  /// Sends an operation to one control replica after another until one acknowledges it; returns the time of the
  /// acknowledgement.
  Clock::time_point send_zone_operation(const std::string& zone, const std::string& operation) {
    return send_zone_operation(zone, operation, fleet_.control_replicas());
  }
  Clock::time_point send_zone_operation(const std::string& zone, const std::string& operation,
                                        const std::vector<std::string>& control_replicas) {
    size_t next = 0;
    const bool is_acknowledged = wait_until(
        [&] {
          const auto& control = control_replicas[next++ % control_replicas.size()];
          return status_of(control, zone, operation) == http_status::kOk;
        },
        kWaitTimeout);
    EXPECT_TRUE(is_acknowledged) << operation << " of " << zone << " was not acknowledged";
    return Clock::now();
  }
  int status_of(const std::string& control, const std::string& zone, const std::string& operation) {
    const auto fetch_result = fleet_.call_control(control, "POST", "/v1/zones/" + zone + "/" + operation);
    last_response_body_ = fetch_result.response ? fetch_result.response->body : fetch_result.error;
    return fetch_result.response ? fetch_result.response->status : 0;
  }
  /// Comma-separated evacuated zones that a replica returns: "none" if there are none, "no answer" if the call fails.
  std::string evacuated_zones_at(const std::string& control) {
    const auto fetch_result = fleet_.call_control(control, "GET", "/v1/zones");
    if (!fetch_result.response || fetch_result.response->status != http_status::kOk) {
      return "no answer";
    }
    const json::value body = json::parse(fetch_result.response->body);
    std::string result;
    for (const auto& zone : body.as_object().at("evacuated").as_array()) {
      result += (result.empty() ? "" : ",") + json::value_to<std::string>(zone);
    }
    return result.empty() ? "none" : result;
  }
  /// Once the evacuation is in force, no request reaches the evacuated zone, and callers are still served.
  void expect_zone_empty_after(Clock::time_point acknowledged) {
    std::this_thread::sleep_until(acknowledged + kMaxApplyTime);
    const int sent_before = sent_count_;
    const int served_before = served_count_;
    std::this_thread::sleep_until(acknowledged + kMaxApplyTime + kObservationTime);
    const int sent = sent_count_ - sent_before;
    const int served_count = served_count_ - served_before;
    EXPECT_EQ(
        count_arrivals(kEvacuatedZone, acknowledged + kMaxApplyTime, acknowledged + kMaxApplyTime + kObservationTime),
        0);
    EXPECT_GT(count_arrivals(kOtherZone, acknowledged + kMaxApplyTime, acknowledged + kMaxApplyTime + kObservationTime),
              0);
    EXPECT_GE(served_count * 100, sent * kMinServedPercent) << served_count << " of " << sent << " served";
  }

  std::string last_response_body_;
};

/// What an operator does with the connection to a replica that does not answer.
enum class UnansweredConnection { kClosed, kKeptOpen };

class ZoneCallsDuringSuspension : public ZoneEvacuation, public testing::WithParamInterface<std::string> {
 protected:
  /// Suspends the replica, sends it `operation`, gives it up after a second, has the same operation and then the
  /// contrary one acknowledged by other replicas, and resumes the replica.
  void supersede_call_to_suspended_replica(const std::string& operation, UnansweredConnection connection) {
    const std::string replica = GetParam();
    auto others = fleet_.control_replicas();
    std::erase(others, replica);
    fleet_.signal(replica, SIGSTOP);
    boost::asio::ip::tcp::socket caller(caller_context_);
    send_without_reading(caller, replica, operation);
    std::this_thread::sleep_for(kOperatorPatience);
    if (connection == UnansweredConnection::kClosed) {
      caller.close();
    }
    send_zone_operation(kEvacuatedZone, operation, others);
    send_zone_operation(kEvacuatedZone, operation == "restore" ? "evacuate" : "restore", others);
    std::this_thread::sleep_for(kSuspensionAfterLaterCall);
    fleet_.signal(replica, SIGCONT);
    // The replica reads the call within milliseconds.
    std::this_thread::sleep_for(kMaxApplyTime);
  }

 private:
  void send_without_reading(boost::asio::ip::tcp::socket& caller, const std::string& replica,
                            const std::string& operation) {
    const auto [host, port] = net::split_endpoint(fleet_.control_endpoint(replica));
    caller.connect({boost::asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port))});
    const std::string request = std::string("POST /v1/zones/") + kEvacuatedZone + "/" + operation +
                                " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
  }

  boost::asio::io_context caller_context_;
};

// There was no operation to evacuate a zone: each call got 404, and the servers of the zone got requests until they
// were switched off.
TEST_F(ZoneEvacuation, EvacuatedZoneReceivesNoRequestsUntilRestored) {
  const auto evacuated_at = send_zone_operation(kEvacuatedZone, "evacuate");
  expect_zone_empty_after(evacuated_at);
  for (const auto& control : fleet_.control_replicas()) {
    EXPECT_EQ(evacuated_zones_at(control), kEvacuatedZone) << control;
  }
  EXPECT_EQ(status_of("c2", kEvacuatedZone, "evacuate"), http_status::kOk) << "a repeated operation is acknowledged";
  send_zone_operation(kEvacuatedZone, "restore");
  EXPECT_TRUE(wait_until([this] { return receives_requests(kEvacuatedZone, Clock::now()); }, seconds(5)));
  EXPECT_EQ(status_of("c3", kEvacuatedZone, "restore"), http_status::kOk);
  EXPECT_EQ(evacuated_zones_at("c1"), "none");
}

// An acknowledged evacuation survives the leader that acknowledged it, and the loss of all processes at once.
TEST_F(ZoneEvacuation, SurvivesLeaderRestartAndLossOfAllProcesses) {
  send_zone_operation(kEvacuatedZone, "evacuate");
  for (const auto& node : fleet_.control_replicas()) {
    if (fleet_.log(node).find("event=leadership_begun") != std::string::npos) {
      fleet_.kill(node);
      fleet_.start(node);
      break;
    }
  }
  expect_zone_empty_after(Clock::now());
  for (const auto& node : fleet_.all_nodes()) {
    fleet_.kill(node);
  }
  fleet_.start_all();
  ASSERT_TRUE(fleet_.wait_until_entries_ready(kWaitTimeout));
  const auto ready = Clock::now();
  EXPECT_TRUE(wait_until([this] { return receives_requests(kOtherZone, Clock::now()); }, kWaitTimeout));
  EXPECT_EQ(count_arrivals(kEvacuatedZone, ready - seconds(1), Clock::now()), 0)
      << "requests after all processes were killed";
  EXPECT_TRUE(wait_until([this] { return evacuated_zones_at("c1") == kEvacuatedZone; }, kWaitTimeout));
}

TEST_F(ZoneEvacuation, UnknownZoneIsRejectedWithListOfZones) {
  EXPECT_EQ(status_of("c1", "nowhere", "evacuate"), http_status::kNotFound);
  EXPECT_NE(last_response_body_.find(kEvacuatedZone), std::string::npos) << last_response_body_;
  EXPECT_NE(last_response_body_.find(kOtherZone), std::string::npos) << last_response_body_;
  EXPECT_EQ(evacuated_zones_at("c1"), "none");
}

// With every zone evacuated, requests are rejected at once as not run. They are served again once a zone is restored.
TEST_F(ZoneEvacuation, RequestsAreRejectedImmediatelyWhileAllZonesAreEvacuated) {
  send_zone_operation(kEvacuatedZone, "evacuate");
  const auto evacuated_at = send_zone_operation(kOtherZone, "evacuate");
  std::this_thread::sleep_until(evacuated_at + kMaxApplyTime);
  BlockingClient client;
  const auto sent = Clock::now();
  const auto fetch_result = fleet_.call_model(client, "e1", "small", "e1-all-emptied");
  ASSERT_TRUE(fetch_result.response);
  EXPECT_EQ(fetch_result.response->status, http_status::kServiceUnavailable);
  EXPECT_FALSE(fetch_result.response->headers.find("retry-after").empty());
  EXPECT_LT(Clock::now() - sent, milliseconds(200));
  send_zone_operation(kOtherZone, "restore");
  EXPECT_TRUE(wait_until([this] { return receives_requests(kOtherZone, Clock::now()); }, seconds(5)));
}

// A suspended replica read a call after its sender had closed the connection, and undid the later calls that other
// replicas had acknowledged: the evacuated zone got requests again.
TEST_P(ZoneCallsDuringSuspension, AbandonedRestoreDoesNotUndoEvacuation) {
  send_zone_operation(kEvacuatedZone, "evacuate");
  supersede_call_to_suspended_replica("restore", UnansweredConnection::kClosed);
  expect_zone_empty_after(Clock::now() - kMaxApplyTime);
  EXPECT_EQ(evacuated_zones_at(GetParam()), kEvacuatedZone);
}

// The same in the other order: the restored zone would get no requests.
TEST_P(ZoneCallsDuringSuspension, AbandonedEvacuationDoesNotUndoRestore) {
  supersede_call_to_suspended_replica("evacuate", UnansweredConnection::kClosed);
  EXPECT_EQ(evacuated_zones_at(GetParam()), "none");
  EXPECT_TRUE(wait_until([this] { return receives_requests(kEvacuatedZone, Clock::now()); }, seconds(5)));
}

// Some operators' tools turn to another replica without closing the connection to the one that does not answer.
TEST_P(ZoneCallsDuringSuspension, RestoreOnAbandonedOpenConnectionDoesNotUndoEvacuation) {
  send_zone_operation(kEvacuatedZone, "evacuate");
  supersede_call_to_suspended_replica("restore", UnansweredConnection::kKeptOpen);
  EXPECT_EQ(evacuated_zones_at(GetParam()), kEvacuatedZone);
}

INSTANTIATE_TEST_SUITE_P(To, ZoneCallsDuringSuspension, testing::Values("c1", "c2", "c3"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace larchlever::integration
