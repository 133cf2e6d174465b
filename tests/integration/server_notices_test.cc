#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "core/base/http_status.h"
#include "engine_fleet.h"
#include "plain_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

/// A server that asked for rest gets no more than this many requests from an entry until the rest is over.
constexpr int64_t kMaxRequestsDuringBackoff = 2;
constexpr auto kBackoff = seconds(3);
constexpr const char* kRetryAfterText = "3";
constexpr auto kLoadDuration = seconds(8);
/// An entry may go on sending to a server for this long after it passed on an answer in which that server leaves.
constexpr auto kLeavingGracePeriod = seconds(2);

FleetNodeOptions fleet_options() {
  FleetNodeOptions options;
  options.control_replicas = 3;
  options.entries = 4;
  options.tolerated_losses = 1;
  return options;
}

/// Three replicas, four entries with callers of their own, and two plain servers that report themselves ready.
class ServerResponseHeaders : public PlainServerFleetFixture {
 protected:
  ServerResponseHeaders() : PlainServerFleetFixture(fleet_options(), 2) {}

  FormsServer* first_server_ = servers_[0].get();
  FormsServer* second_server_ = servers_[1].get();
};

// A server that was full turned requests away and asked each entry for three seconds of rest. Nobody read that: every
// entry went on sending to it, 15 times within one rest on a recorded day, and each of these sendings cost a part of
// the retry budget, so that requests ended unserved while another server stood free:
//   sending_refused request=e1-57 target=i1 status=503
//   request_ended status=503 sent=1 runs=0 reason="no server took the request"
TEST_F(ServerResponseHeaders, RetryAfterIsRespectedAndOtherServerServesAllRequests) {
  send_load_for(seconds(1));  // Entries have a part of the retry budget by the requests that they took.
  first_server_->reject_with_retry_after(kRetryAfterText);
  const auto answers = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_during_backoff(first_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  const auto served_count = std::count_if(answers.begin(), answers.end(), is_served);
  EXPECT_EQ(served_count, std::ssize(answers)) << "the second server was free";
  // Its rest over, it is tried again, and serves again once it takes requests.
  const int served_before = first_server_->served_count();
  first_server_->reject_with_retry_after("");
  send_load_for(kBackoff + seconds(1));
  EXPECT_GT(first_server_->served_count(), served_before);
}

TEST_F(ServerResponseHeaders, CallersReceiveEarliestRetryAfterOfAllServers) {
  first_server_->reject_with_retry_after(kRetryAfterText);
  second_server_->reject_with_retry_after(kRetryAfterText);
  const auto answers = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_during_backoff(first_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  EXPECT_LE(max_requests_during_backoff(second_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  for (const auto& answer : answers) {
    EXPECT_EQ(answer.status, http_status::kServiceUnavailable);
    EXPECT_LT(answer.latency, milliseconds(500)) << "it was known at once that nobody serves";
    EXPECT_GT(answer.retry_after_seconds, 0);
    EXPECT_LE(answer.retry_after_seconds, 3.0);
  }
  // Most callers meet servers that rest for a while yet, and are told so.
  const auto long_retry_after_count = std::count_if(
      answers.begin(), answers.end(), [](const auto& answer) { return answer.retry_after_seconds > 1.0; });
  EXPECT_GT(long_retry_after_count * 2, std::ssize(answers));
  first_server_->reject_with_retry_after("");
  second_server_->reject_with_retry_after("");
  std::this_thread::sleep_for(kBackoff);
  const auto later = send_load_for(seconds(2));
  EXPECT_EQ(std::count_if(later.begin(), later.end(), is_served), std::ssize(later));
}

// Callers that were refused in the last milliseconds of a rest were told "0.00": no time to come back after. Short
// rests make that common.
TEST_F(ServerResponseHeaders, RetryAfterForCallersIsAlwaysPositive) {
  first_server_->reject_with_retry_after("0.008");
  second_server_->reject_with_retry_after("0.008");
  const auto answers = send_load_for(seconds(4));
  for (const auto& answer : answers) {
    EXPECT_TRUE(is_served(answer) || answer.retry_after_seconds > 0) << answer.status;
  }
}

// A server said in its answers that it leaves, while its reports went on saying that it is ready; 246 requests were
// sent to it later than the two seconds in which it wants to be left.
TEST_F(ServerResponseHeaders, LeavingServerReceivesNoMoreRequests) {
  first_server_->announce_leaving();
  const auto begin = Clock::now();
  const auto answers = send_load_for(kLoadDuration);
  const auto arrivals = first_server_->arrivals();
  const auto late = std::count_if(arrivals.begin(), arrivals.end(),
                                  [begin](const auto& arrival) { return arrival.at > begin + kLeavingGracePeriod; });
  EXPECT_EQ(late, 0);
  EXPECT_EQ(std::count_if(answers.begin(), answers.end(), is_served), std::ssize(answers));
}

FleetNodeOptions engine_fleet_options() {
  FleetNodeOptions options = fleet_options();
  options.entries = 3;
  return options;
}

/// Three replicas, three entries and engine servers in four groups of the model that is asked for.
class EngineResponseHeaders : public EngineFleetFixture {
 protected:
  EngineResponseHeaders() : EngineFleetFixture(engine_fleet_options()) {}
  void SetUp() override { start(); }
};

// The heads of engine groups ask for rest in the same way. The leader, which hears nothing of it, goes on granting
// slots there.
TEST_F(EngineResponseHeaders, HeadRetryAfterIsRespectedAndOtherGroupsServeAllRequests) {
  engines_->make_one_head_reject("small", kRetryAfterText);
  BlockingClient first_caller;
  for (const auto& entry : fleet_.entries()) {
    // Once served, the entry knows of another group.
    ASSERT_TRUE(wait_until([&] { return request_succeeds(first_caller, entry); }, kWaitTimeout));
  }
  std::atomic<int> sent_count = 0;
  std::atomic<int> served_count = 0;
  std::vector<std::thread> callers;
  for (const auto& entry : fleet_.entries()) {
    callers.emplace_back([&, entry] {
      BlockingClient client;
      const auto end = Clock::now() + kLoadDuration;
      while (Clock::now() < end) {
        ++sent_count;
        served_count += request_succeeds(client, entry) ? 1 : 0;
        std::this_thread::sleep_for(kRequestInterval);
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  const auto rejected_arrivals = engines_->rejected_arrivals();
  EXPECT_GT(rejected_arrivals.size(), 0U) << "no request reached the head";
  EXPECT_LE(max_requests_during_backoff(rejected_arrivals, kBackoff), kMaxRequestsDuringBackoff);
  EXPECT_EQ(served_count, sent_count);
}

}  // namespace
}  // namespace larchlever::integration
