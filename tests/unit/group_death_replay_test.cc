#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "core/fleet/dispatcher.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {
namespace {

// Replays, in virtual time, the second in which a member of a busy group dies: streams of eighteen entries stop from
// one pass to the next, and callers go on arriving. The entries' words and the leader's judgement are those of the
// product; engines, links and callers are played.

const TimePoint kStart = TimePoint(seconds(100));
constexpr int kEntries = 18;
constexpr Duration kEntryTick = milliseconds(25);
constexpr Duration kLeaderTick = milliseconds(5);
/// From sending to the first event at a group that works, and the callers' objective for it.
constexpr Duration kFirstEvent = milliseconds(150);
constexpr Duration kObjective = milliseconds(300);
/// Arrivals at the group, one after the other.
constexpr Duration kArrivalGap = milliseconds(45);
/// The time that an entry alone lets a group stand still before it gives up what it has there.
constexpr Duration kStallAlone = milliseconds(900);
constexpr Duration kStallEachAlone = milliseconds(100);

document::ConfigurationDocument engine_document() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 48;
  engine.step_ms = 8;
  engine.steps_per_pass = 5;
  engine.chunk_tokens = 2000;
  engine.read_tokens_per_second = 50'000;
  engine.models.push_back({"m", 1, 1.0, 1.0, {}, {}});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

class GroupDeathReplay : public testing::Test {
 protected:
  GroupDeathReplay() {
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
      tell_load(number);
    }
  }

  void tell_load(int number) {
    wire::GroupLoad load;
    load.group = "g0";
    load.in_flight = 1;
    load.streaming = 1;
    scheduler_.note_loads(name_of(number), {load}, true, 1, 0);
  }

  static std::string name_of(int number) { return "e" + std::to_string(number); }

  /// Plays the group's passes until `end`; those that would end after `death` bring nothing. Entries numbered below
  /// `cut_off` see nothing from `cut` on. Returns when the leader finds that the group stands still, or `end`.
  TimePoint play(TimePoint death, TimePoint end, int cut_off = 0, TimePoint cut = TimePoint::max()) {
    std::mt19937 random(7);
    TimePoint pass_ends = kStart;
    for (TimePoint now = kStart; now < end; now += milliseconds(1)) {
      while (pass_ends <= now && pass_ends < death) {
        for (int number = 0; number < kEntries; ++number) {
          if (number >= cut_off || now < cut) {
            entries_[number].note_progress(now, target_);
          }
        }
        // One pass in three reads a prompt beside its writing.
        pass_ends += random() % 3 == 0 ? milliseconds(70) : milliseconds(42);
      }
      const auto age = now - kStart;
      for (int number = 0; number < kEntries; ++number) {
        if ((age + milliseconds(number)) % kEntryTick == Duration::zero()) {
          scheduler_.note_quiet_groups(now, name_of(number), entries_[number].quiet_groups(now));
        }
      }
      if (age % kLeaderTick == Duration::zero() && !scheduler_.find_failed_groups(now, document_).empty()) {
        return now;
      }
    }
    return end;
  }

  /// Of the callers that are sent to the group in the half second after its death, the share that is answered within
  /// the objective when all entries give the group up at `known`.
  static double share_in_time(TimePoint death, TimePoint known) {
    int sent = 0;
    int in_time = 0;
    for (TimePoint arrival = death; arrival < death + milliseconds(500); arrival += kArrivalGap) {
      const TimePoint first_event = std::max(arrival, known) + kFirstEvent;
      ++sent;
      in_time += first_event - arrival <= kObjective ? 1 : 0;
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

TEST_F(GroupDeathReplay, CallersSentToADeadGroupAreSentElsewhereWithinTheirObjective) {
  const TimePoint death = kStart + seconds(5);
  const TimePoint known = play(death, death + seconds(2));
  EXPECT_LE(known - death, milliseconds(150));
  EXPECT_GE(share_in_time(death, known), 0.99);

  TimePoint known_alone = death;
  while (entries_[0].stalled_groups(known_alone, kStallAlone, kStallEachAlone).empty()) {
    known_alone += milliseconds(1);
  }
  EXPECT_LE(share_in_time(death, known_alone), 0.6) << "what an entry's own evidence would give";
  EXPECT_GT(known_alone - death, milliseconds(350));
}

TEST_F(GroupDeathReplay, AGroupThatWorksIsNeverFoundToStandStill) {
  const TimePoint end = kStart + seconds(60);
  EXPECT_EQ(play(TimePoint::max(), end), end);
}

TEST_F(GroupDeathReplay, AZoneOfEntriesThatIsCutOffDoesNotCondemnTheGroup) {
  const TimePoint end = kStart + seconds(10);
  EXPECT_EQ(play(TimePoint::max(), end, kEntries / 3, kStart + seconds(5)), end);
}

}  // namespace
}  // namespace larchlever::fleet
