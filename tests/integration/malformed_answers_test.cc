#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <ostream>
#include <thread>

#include "core/base/http_status.h"
#include "fleet_node_processes.h"
#include "raw_server.h"
#include "server_reports.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kWaitTimeout = seconds(15);
constexpr auto kPatience = seconds(5);
constexpr const char* kName = "malformed";

struct MalformedAnswer {
  const char* name;
  const char* status;
  /// Header lines ahead of the others.
  const char* first_fields;
};

std::ostream& operator<<(std::ostream& out, const MalformedAnswer& answer) { return out << answer.name; }

/// Runs one entry and a plain server that answers requests for one path with a malformed head.
class MalformedAnswers : public testing::TestWithParam<MalformedAnswer> {
 protected:
  void SetUp() override {
    ASSERT_TRUE(fleet_.start_serving(kWaitTimeout));
    reporter_ = std::thread([this] { report_until_stopped(); });
    ASSERT_TRUE(wait_until([this] { return call("forms.example", "GET", "1") == http_status::kOk; }, kWaitTimeout));
  }
  void TearDown() override {
    stopped_ = true;
    if (reporter_.joinable()) {
      reporter_.join();
    }
  }
  static RawAnswers make_answers() {
    const auto& answer = GetParam();
    const std::string head = std::string("HTTP/1.1 ") + answer.status + "\r\n" + answer.first_fields +
                             "Larchlever-Signature: signed\r\nLarchlever-Request-Id: e1-1\r\n";
    return {{kName, RawAnswer{head + "Content-Length: 4\r\n\r\nform", "", false}}};
  }
  void report_until_stopped() {
    BlockingClient client;
    ReportSender reports({fleet_.control_endpoint("c1"), fleet_.control_endpoint("c2")});
    for (int64_t number = 1; !stopped_; ++number) {
      reports.send(client, "i1", boost::json::serialize(plain_server_report(server_address_, "north", number)));
      std::this_thread::sleep_for(milliseconds(400));
    }
  }
  /// Returns the status of the response; 0 if there is none.
  int call(const std::string& host, const std::string& method, const std::string& name) {
    BlockingClient client;
    net::HttpRequest request;
    request.method = method;
    request.target = "/forms/" + name;
    request.headers.add("Host", host);
    request.headers.add("Larchlever-Request-Id", "e1-1");
    request.headers.add("Larchlever-Deadline-Ms", std::to_string(milliseconds(kPatience).count()));
    const auto result = client.fetch(fleet_.caller_endpoint("e1"), request, kPatience + seconds(1));
    return result.response ? result.response->status : 0;
  }

  FleetNodeProcesses fleet_{FleetNodeOptions::with_three_replicas(1)};
  const std::string server_address_ = fleet_.engine_addresses(1)[0] + ":9000";
  RawServer server_{server_address_, make_answers()};
  std::thread reporter_;
  std::atomic<bool> stopped_ = false;
};

// Callers got the answer of a server in trouble, with a status that is none or a body that was not the server's.
TEST_P(MalformedAnswers, AreNotPassedOn) {
  EXPECT_EQ(call("forms.example", "GET", kName), http_status::kBadGateway);
  EXPECT_EQ(call("orders.example", "POST", kName), http_status::kBadGateway);
}

INSTANTIATE_TEST_SUITE_P(Heads, MalformedAnswers,
                         testing::Values(MalformedAnswer{"Status000", "000 None", ""},
                                         MalformedAnswer{"Status099", "099 None", ""},
                                         MalformedAnswer{"Status600", "600 None", ""},
                                         MalformedAnswer{"Status999", "999 None", ""},
                                         MalformedAnswer{"BlankFirstLine", "200 OK", " X: 1\r\n"},
                                         MalformedAnswer{"BlankInName", "200 OK", "X Y: 1\r\n"},
                                         MalformedAnswer{"ControlByteInName", "200 OK", "X\x01: 1\r\n"}),
                         [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
