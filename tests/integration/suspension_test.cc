#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "fleet_node_processes.h"
#include "forms_server.h"
#include "net/clock.h"
#include "node/fleet_process.h"
#include "server_reports.h"
#include "settings/fleet_settings.h"

// The steady clock of a suspended machine, and with it every timer, does not count the suspension. The entry runs in
// the process of the test, whose clock can simulate a suspension; the control replicas are separate processes.

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kWaitTimeout = seconds(15);
constexpr auto kSuspensionTime = seconds(30);

FleetNodeOptions fleet_options() {
  FleetNodeOptions result;
  result.control_replicas = 3;
  result.entries = 1;
  result.tolerated_losses = 1;
  return result;
}

class SuspendedEntry : public testing::Test {
 protected:
  void start(milliseconds server_delay) {
    const std::string server_address = fleet_.engine_addresses(1)[0] + ":9000";
    server_ = std::make_unique<FormsServer>(client_, server_address, server_delay);
    for (const auto& node : fleet_.control_replicas()) {
      fleet_.start(node);
    }
    std::vector<std::string> errors;
    const auto settings = settings::parse_fleet_settings(read_file(fleet_.write_settings("e1")), errors);
    ASSERT_TRUE(settings) << errors.front();
    on_entry_thread([&] {
      std::string error;
      entry_ = node::make_entry_process(entry_client_.context().get_executor(), *settings);
      EXPECT_TRUE(entry_->start(error)) << error;
    });
    ASSERT_TRUE(fleet_.put_document(7, kWaitTimeout));
    ASSERT_TRUE(fleet_.wait_until_entries_ready(kWaitTimeout));
    ReportSender reports(fleet_.control_endpoints());
    const std::string report = boost::json::serialize(plain_server_report(server_address, "north", 1));
    ASSERT_TRUE(wait_until([&] { return reports.send(client_, "i1", report); }, kWaitTimeout));
  }
  void TearDown() override {
    if (entry_ == nullptr) {
      return;
    }
    // Stops the entry as its process would. Requests use the entry until they have ended, shortly after their callers
    // got the responses.
    boost::asio::co_spawn(entry_client_.context(), entry_->drain(), boost::asio::use_future).get();
    on_entry_thread([this] { entry_.reset(); });
  }

  void on_entry_thread(const std::function<void()>& action) {
    boost::asio::post(entry_client_.context(), boost::asio::use_future(action)).get();
  }
  /// Status of the response that a caller gets; 0 if there is none.
  int call_entry(milliseconds deadline) {
    const auto result = fleet_.call_forms(client_, "e1", "r" + std::to_string(calls_++), "", deadline);
    return result.response ? result.response->status : 0;
  }

  FleetNodeProcesses fleet_{fleet_options()};
  BlockingClient client_;
  /// The entry runs on the thread of this client.
  BlockingClient entry_client_;
  std::unique_ptr<FormsServer> server_;
  std::unique_ptr<node::FleetProcess> entry_;
  int calls_ = 0;
};

// By its steady clock, a resumed entry still had seconds left on its lease and served requests under it, although the
// configuration might have changed and keys been revoked during the suspension.
TEST_F(SuspendedEntry, RejectsRequestsUntilLeaseIsRenewed) {
  start(milliseconds(0));
  ASSERT_TRUE(wait_until([this] { return call_entry(seconds(1)) == 200; }, kWaitTimeout));
  // No control replica answers the entry, so it cannot learn what changed during the suspension.
  for (const auto& node : fleet_.control_replicas()) {
    fleet_.signal(node, SIGSTOP);
  }
  net::simulate_suspension(kSuspensionTime);
  EXPECT_EQ(call_entry(seconds(1)), 503);
  for (const auto& node : fleet_.control_replicas()) {
    fleet_.signal(node, SIGCONT);
  }
  EXPECT_TRUE(wait_until([this] { return call_entry(seconds(1)) == 200; }, kWaitTimeout));
}

// A request whose deadline passed during the suspension was held until the timer of the entry had counted the remaining
// time.
TEST_F(SuspendedEntry, EndsOverdueRequestsOnResume) {
  start(seconds(4));
  const auto reaches_server = [this] { return call_entry(milliseconds(100)) != 0 && server_->served_count() > 0; };
  ASSERT_TRUE(wait_until(reaches_server, kWaitTimeout)) << "the entry knows no server";
  const int served_before = server_->served_count();
  int status = 0;
  std::jthread caller([&] { status = call_entry(milliseconds(3500)); });
  ASSERT_TRUE(wait_until([&] { return server_->served_count() > served_before; }, kWaitTimeout));
  net::simulate_suspension(kSuspensionTime);
  const auto resumed_at = std::chrono::steady_clock::now();
  caller.join();
  EXPECT_EQ(status, 504);
  EXPECT_LT(std::chrono::steady_clock::now() - resumed_at, milliseconds(500));
}

}  // namespace
}  // namespace larchlever::integration
