#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "engine_fleet.h"
#include "soak_seeds.h"
#include "stream_result.h"

namespace larchlever::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr int kEntries = 4;
constexpr int kCallers = 24;
constexpr int kEvents = 12;
constexpr auto kEventPause = milliseconds(200);
constexpr auto kDeadline = seconds(8);
constexpr int kStopsPerEntry = 2;
constexpr int kMaxRunningMs = 4000;
constexpr int kMinDisturbanceIntervalMs = 500;
constexpr int kMaxDisturbanceIntervalMs = 2000;
constexpr int kMaxSilenceMs = 1200;
/// Callers open a new connection after this pause if an entry is not there, ...
constexpr auto kReconnectPause = milliseconds(20);
/// ... and send the next request this long after a refusal.
constexpr auto kPauseAfterRefusal = milliseconds(100);
/// An entry may close a connection while a request is on its way, but reads none that it does not answer.
constexpr auto kUnreadTime = milliseconds(300);
/// Streams sent until this long after SIGTERM may be cut, if they are still running in the last sixth of the grace
/// period.
constexpr auto kExcusedUntil = seconds(3);
constexpr auto kLastSixth = milliseconds(6667);
constexpr int kMinWhole = 100;

FleetNodeOptions soak_options() {
  auto options = FleetNodeOptions::with_three_replicas(kEntries);
  options.chat_timeout = kDeadline;
  return options;
}

/// Callers that keep their connections send streams while entries are stopped and started, the configuration changes,
/// settings are reloaded and sound servers fall silent for a second.
class EntryShutdownSoak : public EngineFleetFixture, public testing::WithParamInterface<uint64_t> {
 protected:
  EntryShutdownSoak() : EngineFleetFixture(soak_options()) {}

  void SetUp() override {
    RegisteredEngines::Options options;
    options.domains = 2;
    options.servers_per_domain = 8;
    options.events = kEvents;
    options.event_pause = kEventPause;
    ASSERT_NO_FATAL_FAILURE(start(options, 5));
    ASSERT_NO_FATAL_FAILURE(wait_until_entries_serve());
  }

  void call_until_stopped(int caller) {
    std::mt19937_64 random(GetParam() * kCallers + static_cast<uint64_t>(caller));
    const auto entries = fleet_.entries();
    auto client = std::make_unique<BlockingClient>();
    const std::string* entry = &entries[random() % entries.size()];
    for (int number = 0; !is_over_; ++number) {
      const std::string id = *entry + "-" + std::to_string(caller) + "-" + std::to_string(number);
      const StreamCall call{random() % 2 == 0 ? kResumableHost : kNonResumableHost,
                            random() % 2 == 0 ? "large" : "small", id, kEvents, kDeadline};
      auto result = send_stream(fleet_, *client, *entry, call);
      if (result.announces_close || result.status == 0) {
        entry = &entries[random() % entries.size()];
        std::this_thread::sleep_for(kReconnectPause);
      }
      if (result.is_refused() && !result.announces_close) {
        std::this_thread::sleep_for(kPauseAfterRefusal);
      }
      const std::lock_guard lock(mutex_);
      results_.push_back(std::move(result));
    }
  }
  void stop_and_start_repeatedly(const std::string& entry, uint64_t seed) {
    std::mt19937_64 random(seed);
    for (int stop = 0; stop < kStopsPerEntry; ++stop) {
      std::this_thread::sleep_for(milliseconds(random() % kMaxRunningMs));
      {
        const std::lock_guard lock(mutex_);
        signalled_at_[entry].push_back(Clock::now());
      }
      EXPECT_EQ(fleet_.terminate(entry), 0) << entry;
      fleet_.start(entry);
      // Before its start is complete, SIGTERM ends a process without an exit code.
      EXPECT_TRUE(wait_until([&] { return fleet_.is_ready(entry); }, kWaitTimeout)) << entry;
    }
  }
  void disturb(std::mt19937_64& random) {
    const auto silence = milliseconds(200 + static_cast<int>(random() % kMaxSilenceMs));
    switch (random() % 4) {
      case 0:
        return engines_->silence_open_heads(0.6, silence, random());
      case 1:
        return engines_->silence_all(silence);
      case 2:
        EXPECT_TRUE(fleet_.put_document(++document_version_, kWaitTimeout));
        return;
      default:
        for (const auto& replica : fleet_.control_replicas()) {
          fleet_.signal(replica, SIGHUP);
        }
    }
  }
  /// The deadline was reached, or the stream was sent early enough after SIGTERM and still running near the end.
  bool is_excused(const StreamResult& result) {
    if (result.ended_at - result.sent_at >= kDeadline) {
      return true;
    }
    const auto& signals = signalled_at_[result.entry];
    return std::any_of(signals.begin(), signals.end(), [&result](auto signalled_at) {
      return result.sent_at <= signalled_at + kExcusedUntil && result.ended_at >= signalled_at + kLastSixth;
    });
  }
  std::map<std::string, int> count_runs() {
    std::map<std::string, int> runs;
    for (const auto& arrival : engines_->arrivals_in("a")) {
      ++runs[arrival.request_id];
    }
    return runs;
  }
  /// Describes the times of the result relative to the stops of its entry.
  std::string describe(const StreamResult& result) {
    std::string text = result.id + ", ended after " +
                       std::to_string((result.ended_at - result.sent_at) / milliseconds(1)) + " ms, sent";
    for (const auto signalled_at : signalled_at_[result.entry]) {
      text += " " + std::to_string((result.sent_at - signalled_at) / milliseconds(1));
    }
    return text + " ms after SIGTERM: " + result.description;
  }

  std::atomic<bool> is_over_ = false;
  std::mutex mutex_;
  std::vector<StreamResult> results_;
  std::map<std::string, std::vector<Clock::time_point>> signalled_at_;
  int64_t document_version_ = FleetNodeProcesses::kFirstDocumentVersion;
};

// Entries that were stopped in turn cut streams that they had taken, or closed connections whose requests they had
// read.
TEST_P(EntryShutdownSoak, CompletesOrRefusesEveryStream) {
  std::mt19937_64 random(GetParam());
  std::vector<std::jthread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this, caller] { call_until_stopped(caller); });
  }
  std::atomic<size_t> stopped_entries = 0;
  std::vector<std::jthread> operators;
  for (const auto& entry : fleet_.entries()) {
    operators.emplace_back([this, &stopped_entries, entry, seed = random()] {
      stop_and_start_repeatedly(entry, seed);
      ++stopped_entries;
    });
  }
  while (stopped_entries < fleet_.entries().size()) {
    disturb(random);
    std::this_thread::sleep_for(
        milliseconds(kMinDisturbanceIntervalMs + static_cast<int>(random() % kMaxDisturbanceIntervalMs)));
  }
  operators.clear();
  ASSERT_TRUE(fleet_.wait_until_entries_ready(kWaitTimeout));
  is_over_ = true;
  callers.clear();
  auto runs = count_runs();
  int whole = 0;
  int refused = 0;
  int unread = 0;
  int excused = 0;
  for (const auto& result : results_) {
    const bool has_run = runs[result.id] > 0;
    const bool is_unread = result.status == 0 && !has_run && result.ended_at - result.sent_at < kUnreadTime;
    whole += result.is_whole ? 1 : 0;
    refused += result.is_refused() ? 1 : 0;
    unread += is_unread ? 1 : 0;
    excused += !result.is_whole && is_excused(result) ? 1 : 0;
    EXPECT_TRUE(result.is_whole || result.is_refused() || is_unread || is_excused(result)) << describe(result);
    EXPECT_FALSE(result.is_refused() && has_run) << describe(result);
  }
  EXPECT_GE(whole, kMinWhole);
  RecordProperty("sent", static_cast<int>(results_.size()));
  RecordProperty("whole", whole);
  RecordProperty("refused", refused);
  RecordProperty("unread", unread);
  RecordProperty("excused", excused);
}

INSTANTIATE_TEST_SUITE_P(Seed, EntryShutdownSoak, testing::ValuesIn(soak_seeds({1})),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

}  // namespace
}  // namespace larchlever::integration
