#include "stream_callers.h"

#include <gtest/gtest.h>

#include <random>

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kCallerCount = 4;
constexpr auto kRequestInterval = milliseconds(10);
/// Minimum number of requests for a meaningful served share.
constexpr uint64_t kMinSentRequests = 20;

std::string describe_result(const net::FetchResult& result) {
  return result.response ? std::to_string(result.response->status) + " " + result.response->body : result.error;
}

}  // namespace

StreamCallers::StreamCallers(const FleetNodeProcesses& fleet, int events, uint64_t seed)
    : fleet_(fleet), entries_(fleet.entries()), events_(events) {
  for (int number = 0; number < kCallerCount; ++number) {
    threads_.emplace_back([this, seed, number] { call_until_stopped(seed * kCallerCount + number, number); });
  }
}

void StreamCallers::stop() {
  stopped_ = true;
  for (auto& thread : threads_) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::vector<std::string> StreamCallers::wrong_responses() {
  const std::lock_guard lock(mutex_);
  return wrong_responses_;
}

void StreamCallers::expect_served_since(const RequestCounts& baseline) {
  const uint64_t sent_count = sent_count_ - baseline.sent_count;
  const uint64_t served_count = served_count_ - baseline.served_count;
  EXPECT_GT(sent_count, kMinSentRequests);
  EXPECT_GE(served_count * 20, sent_count * 19)
      << served_count << " of " << sent_count << " served while no fault was active\n"
      << unserved_since(baseline.at);
}

void StreamCallers::call_until_stopped(uint64_t seed, int number) {
  std::mt19937_64 random(seed);
  BlockingClient client;
  while (!stopped_) {
    const std::string id = std::to_string(number) + "-" + std::to_string(random());
    const auto& entry = entries_[random() % entries_.size()];
    const auto result = fleet_.call_model(client, entry, random() % 3 == 0 ? "small" : "large", id);
    ++sent_count_;
    const bool is_success = result.response && result.response->status == 200;
    if (is_success && result.error.empty()) {
      ++served_count_;
      if (result.response->body != make_stream_body(events_)) {
        record_wrong_response("request " + id + " at " + entry +
                              " got a complete but wrong response: " + result.response->body);
      }
    } else {
      record_unserved_request("request " + id + " at " + entry + ", " + describe_result(result) + "\n");
    }
    std::this_thread::sleep_for(kRequestInterval);
  }
}

std::string StreamCallers::unserved_since(Clock::time_point begin) {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [at, description] : unserved_) {
    if (at >= begin) {
      text +=
          "  " + std::to_string(std::chrono::duration_cast<milliseconds>(at - begin).count()) + " ms: " + description;
    }
  }
  return text;
}

void StreamCallers::record_wrong_response(std::string description) {
  const std::lock_guard lock(mutex_);
  wrong_responses_.push_back(std::move(description));
}

void StreamCallers::record_unserved_request(std::string description) {
  const std::lock_guard lock(mutex_);
  unserved_.push_back({Clock::now(), std::move(description)});
}

}  // namespace larchlever::integration
