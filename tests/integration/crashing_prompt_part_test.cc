#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "engine_fleet.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr const char* kCrashPart = "dead";
constexpr int kHarmfulCallers = 4;
constexpr auto kHarmfulInterval = milliseconds(125);
constexpr int kSoundCallers = 12;
constexpr auto kSoundInterval = milliseconds(25);
constexpr auto kTimeBefore = seconds(3);
constexpr auto kTimeDuring = seconds(9);
/// Until then, all entries know of a suspicion that the leader logged.
constexpr auto kPublishTime = milliseconds(80);
/// At most this many servers may crash under one part, with those that got it before anything was known of it.
constexpr size_t kMaxCrashes = 5;
/// From this time after the last allowed crash on, the part must reach no server.
constexpr auto kMaxBlockingTime = milliseconds(500);
/// From this time after the last allowed crash on, sound requests must be served as before, to this share.
constexpr auto kMaxDisturbance = seconds(1);
constexpr double kMinShareOfBefore = 0.95;

/// Lists of parts with a placeholder for a subject that only some requests share, and the same with the harmful part.
struct PromptLayout {
  std::string name;
  std::string sound;
  std::string harmful;
};

std::ostream& operator<<(std::ostream& out, const PromptLayout& layout) { return out << layout.name; }

std::string fill_in(std::string layout, const std::string& placeholder, const std::string& value) {
  const auto at = layout.find(placeholder);
  return at == std::string::npos ? layout : layout.replace(at, placeholder.size(), value);
}

struct TimedResult {
  Clock::time_point sent_at;
  bool is_served = false;
  /// Response body or error if the request was not served.
  std::string reason;
};

std::string describe(const net::FetchResult& result) {
  return result.response ? std::to_string(result.response->status) + " " + result.response->body.substr(0, 100)
                         : result.error;
}

FleetNodeOptions fleet_options() { return FleetNodeOptions::with_three_replicas(9); }

/// Nine entries and 48 engine servers, which crash when they begin to answer a request with the harmful part.
class CrashingPromptPart : public EngineFleetFixture, public testing::WithParamInterface<PromptLayout> {
 protected:
  CrashingPromptPart() : EngineFleetFixture(fleet_options()) {}
  void SetUp() override {
    RegisteredEngines::Options options;
    // More groups of the model than may lose their servers, so that sound requests have a place throughout.
    options.domains = 6;
    options.servers_per_domain = 8;
    options.crash_prompt_part = kCrashPart;
    EngineFleetFixture::start(options, 14);
    wait_until_entries_serve();
  }
  void TearDown() override {
    stopped_ = true;
    for (auto& caller : callers_) {
      caller.join();
    }
  }

  /// Starts `count` callers. Each sends distinct requests with the parts of `layout` to all entries in turn.
  void start_callers(int count, milliseconds interval, const std::string& layout, std::vector<TimedResult>& results) {
    for (int number = 0; number < count; ++number) {
      callers_.emplace_back([this, number, interval, layout, &results] { call(number, interval, layout, results); });
    }
  }
  double served_share(const std::vector<TimedResult>& results, Clock::time_point from, Clock::time_point to) {
    const std::lock_guard lock(mutex_);
    int sent_count = 0;
    int served_count = 0;
    for (const auto& result : results) {
      const bool is_counted = result.sent_at >= from && result.sent_at < to;
      sent_count += is_counted ? 1 : 0;
      served_count += is_counted && result.is_served ? 1 : 0;
    }
    return sent_count == 0 ? 0 : static_cast<double>(served_count) / sent_count;
  }

  /// Reasons why requests sent since `from` were not served, with their numbers.
  std::string describe_unserved(const std::vector<TimedResult>& results, Clock::time_point from) {
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> counts;
    for (const auto& result : results) {
      if (!result.is_served && result.sent_at >= from) {
        ++counts[result.reason];
      }
    }
    std::string text;
    for (const auto& [reason, count] : counts) {
      text += "  " + std::to_string(count) + " x " + reason + "\n";
    }
    return text;
  }

  /// Starts all callers, those of harmful requests after `kTimeBefore`. Runs `during` once harmful requests are sent,
  /// and checks how many servers crashed and how many sound requests were served.
  void send_requests_and_check(const std::function<void()>& during);
  bool leader_has_logged(const std::string& event) { return fleet_.log(leader()).find(event) != std::string::npos; }
  void kill_leader() { fleet_.kill(leader()); }

  std::vector<TimedResult> sound_results_;
  std::vector<TimedResult> harmful_results_;

 private:
  void call(int number, milliseconds interval, const std::string& layout, std::vector<TimedResult>& results) {
    BlockingClient client;
    const auto entries = fleet_.entries();
    for (int round = 0; !stopped_; ++round) {
      const auto& entry = entries[static_cast<size_t>(number + round) % entries.size()];
      const int request = next_request_++;
      const std::string id = entry + "-part-" + std::to_string(request);
      std::string parts = fill_in(layout, "SUBJECT", "ab" + std::to_string(request % kSubjects));
      parts = fill_in(parts, "OWN", std::to_string(request));
      const auto sent_at = Clock::now();
      const auto result = fleet_.call_model(client, entry, "small", id, "{\"n\":\"" + id + "\"}", parts);
      const bool is_served = result.response && result.response->status == http_status::kOk && result.error.empty();
      {
        const std::lock_guard lock(mutex_);
        results.push_back({sent_at, is_served, is_served ? "" : describe(result)});
      }
      std::this_thread::sleep_for(interval);
    }
  }

  /// The first replica that has led.
  std::string leader() {
    const auto replicas = fleet_.control_replicas();
    const auto found = std::find_if(replicas.begin(), replicas.end(), [this](const auto& node) {
      return fleet_.log(node).find("event=leadership_begun") != std::string::npos;
    });
    return found == replicas.end() ? "" : *found;
  }

  static constexpr int kSubjects = 10;

  std::mutex mutex_;
  std::atomic<bool> stopped_ = false;
  std::atomic<int> next_request_ = 0;
  std::vector<std::thread> callers_;
};

void CrashingPromptPart::send_requests_and_check(const std::function<void()>& during) {
  start_callers(kSoundCallers, kSoundInterval, GetParam().sound, sound_results_);
  const auto began_at = Clock::now();
  std::this_thread::sleep_for(kTimeBefore);
  const auto harm_began_at = Clock::now();
  start_callers(kHarmfulCallers, kHarmfulInterval, GetParam().harmful, harmful_results_);
  during();
  std::this_thread::sleep_until(harm_began_at + kTimeDuring);
  const auto crashes = engines_->crash_times();
  const auto arrivals = engines_->crash_request_arrivals();
  ASSERT_FALSE(crashes.empty());
  const auto last_allowed = crashes[std::min(crashes.size(), kMaxCrashes) - 1];
  const auto late_arrivals =
      std::count_if(arrivals.begin(), arrivals.end(), [&](auto at) { return at > last_allowed + kMaxBlockingTime; });
  const double share_before = served_share(sound_results_, began_at, harm_began_at);
  const double share_after = served_share(sound_results_, last_allowed + kMaxDisturbance, Clock::now());
  std::cout << crashes.size() << " servers crashed, " << arrivals.size() << " arrivals, " << late_arrivals
            << " of them late; sound requests served " << share_before << " before, " << share_after << " after\n";
  EXPECT_LE(crashes.size(), kMaxCrashes);
  EXPECT_EQ(late_arrivals, 0);
  EXPECT_GE(share_after, kMinShareOfBefore * share_before)
      << describe_unserved(sound_results_, last_allowed + kMaxDisturbance);
}

// One part of many prompts, no two of them alike, crashed every server that wrote on it. Only repetitions of whole
// requests were recognized, so that servers crashed one after the other, and sound requests with them.
TEST_P(CrashingPromptPart, IsBlockedWithoutSoundRequestsThatShareItsOtherParts) {
  send_requests_and_check([] {});
}

// Entries sent requests with a suspected part while no leader answered, all at the same time.
TEST_P(CrashingPromptPart, IsBlockedIfTheLeaderIsLostWhileThePartIsSuspected) {
  send_requests_and_check([this] {
    ASSERT_TRUE(wait_until([this] { return leader_has_logged("event=prompt_part_suspected"); }, kTimeDuring));
    std::this_thread::sleep_for(kPublishTime);
    kill_leader();
  });
}

// Retries whose leader is lost before it decides on them, while nothing is suspected yet, end further servers.
TEST_P(CrashingPromptPart, IsBlockedIfTheLeaderIsLostBeforeThePartIsKnown) {
  send_requests_and_check([this] {
    ASSERT_TRUE(wait_until([this] { return engines_->crash_times().size() >= 2; }, kTimeDuring));
    kill_leader();
  });
}

INSTANTIATE_TEST_SUITE_P(
    Place, CrashingPromptPart,
    testing::Values(PromptLayout{"SecondOfThree", "a0:40,SUBJECT:300,OWN:100", "a0:40,dead:300,OWN:100"},
                    PromptLayout{"FirstOfThree", "a0:40,SUBJECT:300,OWN:100", "dead:40,SUBJECT:300,OWN:100"},
                    PromptLayout{"ThirdOfFive", "a0:40,SUBJECT:300,c0:20,d0:30,OWN:100",
                                 "a0:40,SUBJECT:300,dead:20,d0:30,OWN:100"}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace larchlever::integration
