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

/// Maximum number of requests that an entry may send to a server during the backoff that the server requested.
constexpr int64_t kMaxRequestsDuringBackoff = 2;
constexpr auto kBackoff = seconds(3);
constexpr const char* kRetryAfterText = "3";
constexpr auto kLoadDuration = seconds(8);
/// An entry may send requests to a server for this long after it relayed a response in which the server announced that
/// it is leaving.
constexpr auto kLeavingGracePeriod = seconds(2);

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(4); }

/// Runs three control replicas, four entries with callers of their own, and two plain servers that report themselves as
/// ready.
class ServerResponseHeaders : public PlainServerFleetFixture {
 protected:
  ServerResponseHeaders() : PlainServerFleetFixture(fleet_options(), 2) {}

  FormsServer* first_server_ = servers_[0].get();
  FormsServer* second_server_ = servers_[1].get();
};

// A full server rejected requests with a Retry-After of three seconds, which entries ignored. Each entry kept sending
// requests to it, 15 within one backoff in a recording. Each of these attempts used up retry budget, so requests failed
// with status 503 after one attempt although another server was free.
TEST_F(ServerResponseHeaders, RetryAfterIsRespectedAndOtherServerServesAllRequests) {
  send_load_for(seconds(1));  // Gives the entries credit in their retry budget.
  first_server_->reject_with_retry_after(kRetryAfterText);
  const auto responses = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_during_backoff(first_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  const auto served_count = std::count_if(responses.begin(), responses.end(), is_served);
  EXPECT_EQ(served_count, std::ssize(responses)) << "the second server had free slots";
  // After the backoff the server is tried again, and it gets requests again once it accepts them.
  const int served_before = first_server_->served_count();
  first_server_->reject_with_retry_after("");
  send_load_for(kBackoff + seconds(1));
  EXPECT_GT(first_server_->served_count(), served_before);
}

TEST_F(ServerResponseHeaders, CallersReceiveEarliestRetryAfterOfAllServers) {
  first_server_->reject_with_retry_after(kRetryAfterText);
  second_server_->reject_with_retry_after(kRetryAfterText);
  const auto responses = send_load_for(kLoadDuration);
  EXPECT_LE(max_requests_during_backoff(first_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  EXPECT_LE(max_requests_during_backoff(second_server_->arrivals(), kBackoff), kMaxRequestsDuringBackoff);
  for (const auto& response : responses) {
    EXPECT_EQ(response.status, http_status::kServiceUnavailable);
    EXPECT_LT(response.latency, milliseconds(500)) << "the entry already knew that no server accepts requests";
    EXPECT_GT(response.retry_after_seconds, 0);
    EXPECT_LE(response.retry_after_seconds, 3.0);
  }
  // Most requests are rejected long before the backoff ends, and their Retry-After says so.
  const auto long_retry_after_count = std::count_if(
      responses.begin(), responses.end(), [](const auto& response) { return response.retry_after_seconds > 1.0; });
  EXPECT_GT(long_retry_after_count * 2, std::ssize(responses));
  first_server_->reject_with_retry_after("");
  second_server_->reject_with_retry_after("");
  std::this_thread::sleep_for(kBackoff);
  const auto later_responses = send_load_for(seconds(2));
  EXPECT_EQ(std::count_if(later_responses.begin(), later_responses.end(), is_served), std::ssize(later_responses));
}

// Requests rejected in the last milliseconds of a backoff got a Retry-After of "0.00". Short backoffs make this common.
TEST_F(ServerResponseHeaders, RetryAfterForCallersIsAlwaysPositive) {
  first_server_->reject_with_retry_after("0.008");
  second_server_->reject_with_retry_after("0.008");
  const auto responses = send_load_for(seconds(4));
  for (const auto& response : responses) {
    EXPECT_TRUE(is_served(response) || response.retry_after_seconds > 0) << response.status;
  }
}

// A server announced in its responses that it is leaving, while its reports still said that it is ready. Entries sent
// it 246 requests later than the two seconds after which it must get none.
TEST_F(ServerResponseHeaders, LeavingServerReceivesNoMoreRequests) {
  first_server_->announce_leaving();
  const auto begin = Clock::now();
  const auto responses = send_load_for(kLoadDuration);
  const auto arrivals = first_server_->arrivals();
  const auto late_arrivals = std::count_if(arrivals.begin(), arrivals.end(), [begin](const auto& arrival) {
    return arrival.at > begin + kLeavingGracePeriod;
  });
  EXPECT_EQ(late_arrivals, 0);
  EXPECT_EQ(std::count_if(responses.begin(), responses.end(), is_served), std::ssize(responses));
}

FleetNodeOptions engine_fleet_options() {
  FleetNodeOptions options = fleet_options();
  options.entries = 3;
  return options;
}

/// Runs three control replicas, three entries and engine servers in four groups of the requested model.
class EngineResponseHeaders : public EngineFleetFixture {
 protected:
  EngineResponseHeaders() : EngineFleetFixture(engine_fleet_options()) {}
  void SetUp() override { start(); }
};

// The heads of engine groups reject requests with Retry-After in the same way. The leader does not learn of this and
// keeps granting slots there.
TEST_F(EngineResponseHeaders, HeadRetryAfterIsRespectedAndOtherGroupsServeAllRequests) {
  engines_->make_one_head_reject("small", kRetryAfterText);
  BlockingClient first_caller;
  for (const auto& entry : fleet_.entries()) {
    // After the first served request the entry knows another group.
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
