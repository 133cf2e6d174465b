#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "core/fleet/dispatcher.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

// Replays the crash of a member of a busy group in virtual time: the streams of eighteen entries stop from one pass to
// the next while new requests arrive. The entries' reports and the leader's decision are made by the product code;
// engines, links and callers are simulated.

const TimePoint kStart = TimePoint(seconds(100));
constexpr int kEntries = 18;
constexpr Duration kEntryTick = milliseconds(25);
constexpr Duration kLeaderTick = milliseconds(5);
/// Time from dispatch to the first event at a healthy group, and the callers' latency objective for it.
constexpr Duration kFirstEventLatency = milliseconds(150);
constexpr Duration kLatencyObjective = milliseconds(300);
/// Time between requests that arrive at the group.
constexpr Duration kArrivalInterval = milliseconds(45);
/// How long a single entry waits for a stalled group before it abandons its requests there, plus the time per waiting
/// request.
constexpr Duration kSingleEntryStallTimeout = milliseconds(900);
constexpr Duration kSingleEntryStallTimeoutPerRequest = milliseconds(100);

document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 48;
  engine.step_ms = 8;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2000;
  engine.prefill_tokens_per_second = 50'000;
  engine.models.push_back({"m", 1, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

class GroupCrashReplay : public testing::Test {
 protected:
  GroupCrashReplay() {
    wire::Instance instance;
    instance.id = "i0";
    instance.service_name = "s";
    instance.address = "a:0";
    state_.instances.push_back(instance);
    wire::EngineGroup group;
    group.name = "g0";
    group.service_name = "s";
    group.model = "m";
    group.members = {"i0"};
    group.phase = wire::GroupPhase::OPEN;
    state_.groups.push_back(group);
    scheduler_.start(1);
    scheduler_.set_groups(state_.groups);
    for (int number = 0; number < kEntries; ++number) {
      entries_.emplace_back(FleetOptions(), "z", number);
      auto& entry = entries_.back();
      entry.update_state(state_);
      entry.update_services(document_.services);
      entry.record_gap_objective("s", "m", milliseconds(200));
      entry.begin_attempt(kStart, target_, marks_[number]);
      entry.note_first_event(kStart, target_, marks_[number]);
      report_load(number);
    }
  }

  void report_load(int number) {
    wire::GroupLoad load;
    load.group = "g0";
    load.in_flight = 1;
    load.streaming = 1;
    scheduler_.note_loads(entry_name(number), {load}, true, 1, 0);
  }

  static std::string entry_name(int number) { return "e" + std::to_string(number); }

  /// Runs the group's passes until `end`; passes that would end after `crash_at` make no progress. Entries with numbers
  /// below `partitioned_entries` see no progress from `partition_begins_at` on. Returns the time when the leader
  /// detects a stall, or `end`.
  TimePoint run(TimePoint crash_at, TimePoint end, int partitioned_entries = 0,
                TimePoint partition_begins_at = TimePoint::max()) {
    std::mt19937 random(7);
    TimePoint pass_ends_at = kStart;
    for (TimePoint now = kStart; now < end; now += milliseconds(1)) {
      while (pass_ends_at <= now && pass_ends_at < crash_at) {
        for (int number = 0; number < kEntries; ++number) {
          if (number >= partitioned_entries || now < partition_begins_at) {
            entries_[number].note_progress(now, target_);
          }
        }
        // One pass in three is longer because it also processes a prompt.
        pass_ends_at += random() % 3 == 0 ? milliseconds(70) : milliseconds(42);
      }
      const auto age = now - kStart;
      for (int number = 0; number < kEntries; ++number) {
        if ((age + milliseconds(number)) % kEntryTick == Duration::zero()) {
          scheduler_.note_quiet_groups(now, entry_name(number), entries_[number].quiet_groups(now));
        }
      }
      if (age % kLeaderTick == Duration::zero() && !scheduler_.find_failed_groups(now, document_).empty()) {
        return now;
      }
    }
    return end;
  }

  /// Share of the requests sent to the group in the half second after the crash that are answered within the objective
  /// if all entries abandon the group at `detected_at`.
  static double share_within_objective(TimePoint crash_at, TimePoint detected_at) {
    int sent = 0;
    int in_time = 0;
    for (TimePoint arrival = crash_at; arrival < crash_at + milliseconds(500); arrival += kArrivalInterval) {
      const TimePoint first_event = std::max(arrival, detected_at) + kFirstEventLatency;
      ++sent;
      in_time += first_event - arrival <= kLatencyObjective ? 1 : 0;
    }
    return static_cast<double>(in_time) / sent;
  }

  const document::ConfigurationDocument document_ = engine_document();
  const DispatchTarget target_{"g0", "s", "g0", "i0", "a:0"};
  wire::FleetState state_;
  std::deque<Dispatcher> entries_;
  AttemptState marks_[kEntries];
  SlotScheduler scheduler_;
};

TEST_F(GroupCrashReplay, RetriesRequestsOfFailedGroupWithinLatencyObjective) {
  const TimePoint crash_at = kStart + seconds(5);
  const TimePoint detected_at = run(crash_at, crash_at + seconds(2));
  EXPECT_LE(detected_at - crash_at, milliseconds(150));
  EXPECT_GE(share_within_objective(crash_at, detected_at), 0.99);

  TimePoint detected_by_one_entry_at = crash_at;
  while (entries_[0]
             .stalled_groups(detected_by_one_entry_at, kSingleEntryStallTimeout, kSingleEntryStallTimeoutPerRequest)
             .empty()) {
    detected_by_one_entry_at += milliseconds(1);
  }
  EXPECT_LE(share_within_objective(crash_at, detected_by_one_entry_at), 0.6)
      << "the result with the evidence of a single entry";
  EXPECT_GT(detected_by_one_entry_at - crash_at, milliseconds(350));
}

TEST_F(GroupCrashReplay, NeverReportsHealthyGroupAsStalled) {
  const TimePoint end = kStart + seconds(60);
  EXPECT_EQ(run(TimePoint::max(), end), end);
}

TEST_F(GroupCrashReplay, DoesNotReportGroupAsStalledWhenOneZoneOfEntriesIsPartitioned) {
  const TimePoint end = kStart + seconds(10);
  EXPECT_EQ(run(TimePoint::max(), end, kEntries / 3, kStart + seconds(5)), end);
}

}  // namespace
}  // namespace larchlever::fleet
