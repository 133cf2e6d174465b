#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "core/base/http_status.h"
#include "engine_fleet.h"
#include "plain_fleet.h"
#include "stream_result.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr int kEvents = 12;
constexpr auto kEventPause = milliseconds(350);
constexpr auto kStreamLength = kEvents * kEventPause;
constexpr auto kDeadline = seconds(8);
constexpr int kCallers = 24;
/// Requests sent later than this after SIGTERM come over kept connections, and are not due before the entry ends.
constexpr auto kLate = seconds(3);
constexpr int kMinLateRequests = 3;

FleetNodeOptions engine_fleet_options() {
  auto options = FleetNodeOptions::with_three_replicas(3);
  options.chat_timeout = kDeadline;
  return options;
}

class EntryShutdown : public EngineFleetFixture, public testing::WithParamInterface<const char*> {
 protected:
  EntryShutdown() : EngineFleetFixture(engine_fleet_options()) {}

  void SetUp() override {
    RegisteredEngines::Options options;
    options.domains = 2;
    options.servers_per_domain = 8;
    options.events = kEvents;
    options.event_pause = kEventPause;
    ASSERT_NO_FATAL_FAILURE(start(options, 5));
    BlockingClient client;
    for (const auto& entry : fleet_.entries()) {
      ASSERT_TRUE(wait_until([&] { return send_stream(client, entry, 0, "first").is_whole; }, kWaitTimeout)) << entry;
    }
  }

  StreamResult send_stream(BlockingClient& client, const std::string& entry, int caller, const std::string& name) {
    const std::string id = entry + "-" + std::to_string(caller) + "-" + name;
    const StreamCall call{GetParam(), caller % 2 == 0 ? "large" : "small", id, kEvents, kDeadline};
    return integration::send_stream(fleet_, client, entry, call);
  }

  /// Sends one stream after another on the same connection, until a response closes it or none comes.
  void call_until_closed(int caller) {
    BlockingClient client;
    const auto entries = fleet_.entries();
    const auto& entry = entries[static_cast<size_t>(caller) % entries.size()];
    std::this_thread::sleep_for(caller * kStreamLength / kCallers);
    bool is_open = true;
    for (int number = 0; is_open; ++number) {
      auto result = send_stream(client, entry, caller, std::to_string(number));
      is_open = result.status != 0 && !result.announces_close;
      const std::lock_guard lock(mutex_);
      results_.push_back(std::move(result));
    }
  }

  std::set<std::string> ids_of_runs() {
    std::set<std::string> ids;
    for (const auto& arrival : engines_->arrivals_in("a")) {
      ids.insert(arrival.request_id);
    }
    return ids;
  }

  std::mutex mutex_;
  std::vector<StreamResult> results_;
};

// An entry took streams from kept connections seconds after SIGTERM and cut them when its grace period ended.
TEST_P(EntryShutdown, CompletesOrRefusesStreamsFromKeptConnections) {
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this, caller] { call_until_closed(caller); });
  }
  std::this_thread::sleep_for(2 * kStreamLength);
  const auto signalled_at = Clock::now();
  for (const auto& entry : fleet_.entries()) {
    fleet_.signal(entry, SIGTERM);
  }
  callers.clear();
  const auto runs = ids_of_runs();
  int late_requests = 0;
  for (const auto& result : results_) {
    const auto sent_after = std::chrono::duration_cast<milliseconds>(result.sent_at - signalled_at);
    late_requests += sent_after > kLate ? 1 : 0;
    EXPECT_TRUE(result.is_whole || result.is_refused())
        << result.id << ", sent " << sent_after.count() << " ms after SIGTERM: " << result.description;
    EXPECT_FALSE(result.is_refused() && runs.contains(result.id)) << result.id << " ran: " << result.description;
  }
  EXPECT_GE(late_requests, kMinLateRequests) << "too few to show anything";
}

INSTANTIATE_TEST_SUITE_P(Route, EntryShutdown, testing::Values(kResumableHost, kNonResumableHost),
                         [](const auto& info) { return info.param == kResumableHost ? "Resumable" : "NonResumable"; });

constexpr auto kSilence = seconds(6);
constexpr auto kAnswerTimeout = seconds(10);

FleetNodeOptions plain_fleet_options() {
  auto options = FleetNodeOptions::with_three_replicas(1);
  options.forms_timeout = kAnswerTimeout;
  options.bounds_settings = "stop_grace = 4s\n";
  return options;
}

class EntryShutdownBesideSilentServers : public PlainServerFleetFixture {
 protected:
  EntryShutdownBesideSilentServers() : PlainServerFleetFixture(plain_fleet_options(), 2) {}
};

// An entry closed the connections of callers whose servers had not answered by the end of its grace period.
TEST_F(EntryShutdownBesideSilentServers, AnswersEveryCallerBeforeItsGracePeriodEnds) {
  for (const auto& server : servers_) {
    server->set_delay(kSilence);
  }
  std::vector<net::FetchResult> results(2);
  std::vector<std::jthread> callers;
  callers.emplace_back([&] {
    BlockingClient client;
    results[0] = fleet_.call_forms(client, "e1", "repeatable", "", kAnswerTimeout);
  });
  callers.emplace_back([&] {
    BlockingClient client;
    auto order = make_order("once");
    order.headers.set("Larchlever-Deadline-Ms", std::to_string(milliseconds(kAnswerTimeout).count()));
    results[1] = client.fetch(fleet_.caller_endpoint("e1"), order, kAnswerTimeout);
  });
  ASSERT_TRUE(wait_until([&] {
    const auto is_at_a_server = [&](const std::string& id) {
      return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
        const auto arrivals = server->arrivals();
        return std::any_of(arrivals.begin(), arrivals.end(), [&](const auto& item) { return item.request_id == id; });
      });
    };
    return is_at_a_server("repeatable") && is_at_a_server("once");
  }));
  EXPECT_EQ(fleet_.terminate("e1"), 0);
  callers.clear();
  for (const auto& result : results) {
    ASSERT_TRUE(result.response) << result.error;
    EXPECT_GE(result.response->status, http_status::kBadGateway);
    EXPECT_FALSE(http_status::promises_not_run(result.response->status)) << "it may have run";
  }
}

}  // namespace
}  // namespace larchlever::integration
