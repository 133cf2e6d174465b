#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "core/base/http_status.h"
#include "soak_seeds.h"
#include "zoned_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallerCount = 8;
constexpr int kFaultCount = 12;
/// What was sent before a fault ended may reach a server until then.
constexpr auto kSettleTime = seconds(4);
constexpr auto kCallInterval = milliseconds(10);
constexpr int kMinPatienceMs = 100;
constexpr int kMaxPatienceMs = 1600;
constexpr int kMaxPauseMs = 1500;
constexpr int kMaxFaultIntervalMs = 600;
constexpr uint64_t kMinAnswered = 200;

/// Callers of a plain service and of a model whose streams are not resumable. Each request has an id of its own and is
/// sent once; callers close the connection when their patience ends, and send another request through another entry.
class AtMostOnceSoak : public ZonedFleetFixture, public testing::WithParamInterface<uint64_t> {
 protected:
  net::HttpRequest make_request(const std::string& id, bool for_model) {
    net::HttpRequest request;
    request.method = "POST";
    request.target = for_model ? "/chat/1" : "/forms/1";
    request.headers.add("Host", for_model ? kNonResumableHost : "orders.example");
    request.headers.add("Larchlever-Request-Id", id);
    request.headers.add("Larchlever-Deadline-Ms", "3000");
    if (for_model) {
      request.headers.add("Larchlever-Model", "small");
      request.headers.add("Larchlever-Tokens", "100,25");
      request.body = "{}";
    }
    return request;
  }
  void call_repeatedly(int caller) {
    std::mt19937_64 random(GetParam() * kCallerCount + static_cast<uint64_t>(caller));
    BlockingClient client;
    const auto entries = fleet_.entries();
    for (int number = 0; !callers_stopped_; ++number) {
      const auto& entry = entries[random() % entries.size()];
      const std::string id = entry + "-once-" + std::to_string(caller) + "-" + std::to_string(number);
      const auto patience = milliseconds(kMinPatienceMs + static_cast<int>(random() % kMaxPatienceMs));
      const auto request = make_request(id, number % 2 == 0);
      const auto result = client.fetch(fleet_.caller_endpoint(entry), request, patience);
      {
        const std::lock_guard lock(statuses_mutex_);
        statuses_[id] = result.response ? result.response->status : 0;
      }
      std::this_thread::sleep_for(kCallInterval);
    }
  }
  void inject_fault(std::mt19937_64& random) {
    const auto pause_length = milliseconds(200 + static_cast<int>(random() % kMaxPauseMs));
    const auto node_of = [&random](const std::vector<std::string>& nodes) { return nodes[random() % nodes.size()]; };
    switch (random() % 6) {
      case 0:
        return pause({node_of(fleet_.entries())}, pause_length);
      case 1:
        return pause({node_of(fleet_.entries()), node_of(fleet_.control_replicas())}, pause_length);
      case 2:
        engines_->silence_all(pause_length);
        return pause({node_of(fleet_.entries())}, pause_length);
      case 3:
        return slow_down_plain_servers(pause_length);
      case 4:
        return replace_entries();
      default:
        return restart(node_of(fleet_.all_nodes()));
    }
  }
  void pause(const std::vector<std::string>& nodes, milliseconds time) {
    for (const auto& node : nodes) {
      fleet_.signal(node, SIGSTOP);
    }
    std::this_thread::sleep_for(time);
    for (const auto& node : nodes) {
      fleet_.signal(node, SIGCONT);
    }
  }
  void slow_down_plain_servers(milliseconds time) {
    for (const auto& server : plain_servers_) {
      server.server->set_delay(time);
    }
    std::this_thread::sleep_for(time);
    for (const auto& server : plain_servers_) {
      server.server->set_delay({});
    }
  }
  void replace_entries() {
    for (const auto& entry : fleet_.entries()) {
      fleet_.terminate(entry);
      fleet_.start(entry);
    }
  }
  void restart(const std::string& node) {
    fleet_.kill(node);
    fleet_.start(node);
  }
  /// How often each of these requests ran.
  std::map<std::string, int> count_runs() {
    std::map<std::string, int> runs;
    for (const char* zone : {kNorth, kSouth}) {
      for (const auto& arrival : arrivals_in(zone)) {
        runs[arrival.request_id] += arrival.was_rejected ? 0 : 1;
      }
    }
    return runs;
  }
  void expect_promises_kept() {
    const auto runs = count_runs();
    uint64_t answered = 0;
    for (const auto& [id, status] : statuses_) {
      const auto found = runs.find(id);
      const int count = found == runs.end() ? 0 : found->second;
      EXPECT_LE(count, 1) << id << " ran twice; status " << status;
      EXPECT_TRUE(count == 0 || !http_status::promises_not_run(status)) << id << " ran although it got " << status;
      answered += status == http_status::kOk ? 1 : 0;
    }
    EXPECT_GE(answered, kMinAnswered) << "of " << statuses_.size();
    RecordProperty("sent", static_cast<int>(statuses_.size()));
    RecordProperty("served", static_cast<int>(answered));
  }

  std::atomic<bool> callers_stopped_ = false;
  std::mutex statuses_mutex_;
  /// Status of the response to each request; 0 if there was none.
  std::map<std::string, int> statuses_;
};

// Requests that may run once ran twice, and requests that were refused ran, while processes were suspended and replaced
// and callers gave up and turned to other entries.
TEST_P(AtMostOnceSoak, RunsNoRequestTwiceAndNoneThatWasRefused) {
  std::mt19937_64 random(GetParam());
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallerCount; ++caller) {
    callers.emplace_back([this, caller] { call_repeatedly(caller); });
  }
  for (int number = 0; number < kFaultCount; ++number) {
    inject_fault(random);
    std::this_thread::sleep_for(milliseconds(random() % kMaxFaultIntervalMs));
  }
  callers_stopped_ = true;
  callers.clear();
  std::this_thread::sleep_for(kSettleTime);
  expect_promises_kept();
}

INSTANTIATE_TEST_SUITE_P(Seeds, AtMostOnceSoak, testing::ValuesIn(soak_seeds({1, 2})));

}  // namespace
}  // namespace larchlever::integration
