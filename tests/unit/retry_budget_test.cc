#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/fleet/dispatcher.h"

namespace larchlever::fleet {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr const char* kService = "forms";
/// Attempts per request beyond the first, if the budget allows them.
constexpr int kMaxRetriesPerRequest = 5;
/// By then a restarted entry knows how many entries there are.
constexpr Duration kCountDelay = milliseconds(1500);
/// When the first document of a new fleet is committed.
constexpr TimePoint kFirstDocument = TimePoint() + milliseconds(600);
/// The entries of a new fleet start at random times until then.
constexpr Duration kStartSpread = milliseconds(600);
/// After this time, the other entries know of an entry of a new fleet.
constexpr Duration kNewEntryDelay = milliseconds(500);

FleetOptions fleet_options() {
  FleetOptions options;
  options.retry_ratio = 0.2;
  options.retry_slack = 136;
  options.retry_window = seconds(10);
  return options;
}

/// Disruptions of a fleet of entries whose servers reject every request.
struct DisruptionSchedule {
  std::string name;
  /// Interval between two disruptions; zero for none.
  Duration interval{};
  /// Entries restarted by each disruption, the next ones in turn.
  int restarted = 0;
  /// Callers move to other entries at each disruption: all requests arrive at one entry, the next one in turn.
  bool moves_load = false;
  /// Entries that run from the start on; the others are added and removed at disruptions in turn.
  int initial_entries = 9;
  Duration length = seconds(30);
  /// The fleet is new: its entries start before its first document, and learn so. Requests begin with the document.
  bool is_new_fleet = false;
  double requests_per_second = 36;
};

std::ostream& operator<<(std::ostream& out, const DisruptionSchedule& schedule) { return out << schedule.name; }

/// Plays a schedule in virtual time with one budget per entry and adds up the retries of all entries.
class RetryPlayback {
 public:
  RetryPlayback(DisruptionSchedule schedule, uint64_t seed) : schedule_(std::move(schedule)), random_(seed) {
    entries_.resize(kEntries);
    for (size_t index = 0; index < static_cast<size_t>(schedule_.initial_entries); ++index) {
      const Duration delay =
          schedule_.is_new_fleet ? kStartSpread * static_cast<int>(random_() % 100) / 100 : Duration();
      start(index, TimePoint() + delay);
    }
  }

  void run() {
    TimePoint next_disruption = TimePoint() + schedule_.interval;
    for (TimePoint now{}; now < TimePoint() + schedule_.length; now += kStep) {
      requests_.push_back(0);
      retries_.push_back(0);
      if (schedule_.interval > Duration::zero() && now >= next_disruption) {
        disrupt(now);
        next_disruption += schedule_.interval;
      }
      update_counts(now);
      if (!schedule_.is_new_fleet || now >= kFirstDocument) {
        send_requests(now);
      }
    }
  }

  /// Largest number of retries beyond what is allowed in any window; not positive if the bound holds.
  double max_excess() const {
    const auto window = window_steps();
    double result = -options_.retry_slack;
    for (size_t begin = 0; begin < retries_.size(); ++begin) {
      const double counted = sum(retries_, begin, begin + window);
      const double requests =
          std::max({sum(requests_, begin, begin + window), sum(requests_, begin > window ? begin - window : 0, begin),
                    sum(requests_, begin > window / 2 ? begin - window / 2 : 0, begin + window / 2)});
      result = std::max(result, counted - options_.retry_ratio * requests - options_.retry_slack);
    }
    return result;
  }
  /// Retries per allowed retry over the last whole window.
  double last_window_use() const { return window_use(retries_.size() - window_steps()); }
  /// Retries per allowed retry over the first whole window with requests.
  double first_window_use() const { return window_use(static_cast<size_t>(kFirstDocument.time_since_epoch() / kStep)); }

 private:
  static constexpr size_t kEntries = 9;

  struct Entry {
    std::unique_ptr<Dispatcher> dispatcher;
    TimePoint started_at{};
  };

  static double sum(const std::vector<int>& counts, size_t begin, size_t end) {
    double result = 0;
    for (size_t index = begin; index < std::min(end, counts.size()); ++index) {
      result += counts[index];
    }
    return result;
  }
  size_t window_steps() const { return static_cast<size_t>(options_.retry_window / kStep); }
  double window_use(size_t begin) const {
    const size_t end = begin + window_steps();
    return sum(retries_, begin, end) / (options_.retry_ratio * sum(requests_, begin, end) + options_.retry_slack);
  }
  void start(size_t index, TimePoint now) {
    entries_[index] = {std::make_unique<Dispatcher>(options_, "north", random_()), now};
    entries_[index].dispatcher->retry_budget().start(now);
  }
  int running_count() const {
    return static_cast<int>(std::count_if(entries_.begin(), entries_.end(),
                                          [](const Entry& entry) { return entry.dispatcher != nullptr; }));
  }
  void disrupt(TimePoint now) {
    for (int count = 0; count < schedule_.restarted; ++count) {
      start(next_restarted_++ % kEntries, now);
    }
    loaded_entry_ = (loaded_entry_ + 1) % kEntries;
    for (size_t index = static_cast<size_t>(schedule_.initial_entries); index < kEntries; ++index) {
      if (entries_[index].dispatcher == nullptr) {
        start(index, now);
      } else {
        entries_[index].dispatcher.reset();
      }
    }
  }
  bool is_entry_of_new_fleet(const Entry& entry) const {
    return schedule_.is_new_fleet && entry.started_at <= kFirstDocument;
  }
  int count_known_to(const Entry& entry, TimePoint now) {
    if (is_entry_of_new_fleet(entry)) {
      const auto is_known = [now](const Entry& other) { return now - other.started_at >= kNewEntryDelay; };
      const int known = static_cast<int>(std::count_if(entries_.begin(), entries_.end(), is_known));
      return now < kFirstDocument + kNewEntryDelay ? std::max(1, known) : max_running_;
    }
    // A new leader, too, knows few entries at first.
    const bool knows_few = now - entry.started_at < kCountDelay;
    return knows_few ? 1 + static_cast<int>(random_() % kEntries) : max_running_;
  }
  void update_counts(TimePoint now) {
    max_running_ = std::max(max_running_, running_count());
    for (auto& entry : entries_) {
      if (entry.dispatcher != nullptr) {
        entry.dispatcher->set_serving_nodes(count_known_to(entry, now));
        if (schedule_.is_new_fleet) {
          entry.dispatcher->retry_budget().note_no_requests_until(std::min(now, kFirstDocument));
        }
      }
    }
  }
  void send_requests(TimePoint now) {
    const double expected = schedule_.requests_per_second * std::chrono::duration<double>(kStep).count();
    std::poisson_distribution<int> count(expected);
    for (int number = count(random_); number > 0; --number) {
      ++requests_.back();
      Dispatcher* entry = choose_entry();
      if (entry == nullptr) {
        continue;
      }
      entry->retry_budget().note_request(now, kService);
      for (int retry = 0; retry < kMaxRetriesPerRequest && entry->retry_budget().try_take(now, kService); ++retry) {
        ++retries_.back();
      }
    }
  }
  Dispatcher* choose_entry() {
    const size_t index = schedule_.moves_load ? loaded_entry_ : random_() % kEntries;
    return entries_[index].dispatcher.get();
  }

  const FleetOptions options_ = fleet_options();
  const DisruptionSchedule schedule_;
  std::mt19937_64 random_;
  std::vector<Entry> entries_;
  size_t next_restarted_ = 0;
  size_t loaded_entry_ = 0;
  int max_running_ = 1;
  /// Counts per step.
  std::vector<int> requests_;
  std::vector<int> retries_;
};

class RetriesOfAllEntries : public testing::TestWithParam<DisruptionSchedule> {};

// Each restarted entry retried as if it and its predecessor had not retried yet, so that a service got more retries in
// a window than the fleet may send.
TEST_P(RetriesOfAllEntries, StayWithinBudgetOverAnyWindow) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    RetryPlayback playback(GetParam(), seed);
    playback.run();
    EXPECT_LE(playback.max_excess(), 0) << "seed " << seed;
  }
}

std::vector<DisruptionSchedule> schedules() {
  std::vector<DisruptionSchedule> result = {
      {.name = "StartOfFleet"},
      {.name = "OneEntryAtATime", .interval = milliseconds(250), .restarted = 1},
      {.name = "HerdsOfEntries", .interval = milliseconds(2500), .restarted = 6},
      {.name = "AllEntriesUnderHeavyLoad", .interval = seconds(3), .restarted = 9, .requests_per_second = 600},
      {.name = "AllEntriesOnAShortDay",
       .interval = seconds(4),
       .restarted = 9,
       .length = seconds(15),
       .requests_per_second = 165},
      {.name = "LoadMovesBetweenEntries", .interval = seconds(5), .moves_load = true, .requests_per_second = 600},
      {.name = "NumberOfEntriesChanges", .interval = seconds(4), .initial_entries = 3},
      {.name = "RestartsWhileLoadMoves",
       .interval = milliseconds(800),
       .restarted = 2,
       .moves_load = true,
       .initial_entries = 6},
  };
  const size_t schedule_count = result.size();
  for (size_t index = 0; index < schedule_count; ++index) {
    DisruptionSchedule new_fleet = result[index];
    new_fleet.name += "OfNewFleet";
    new_fleet.is_new_fleet = true;
    result.push_back(new_fleet);
  }
  return result;
}

INSTANTIATE_TEST_SUITE_P(Restarts, RetriesOfAllEntries, testing::ValuesIn(schedules()),
                         [](const auto& test) { return test.param.name; });

// The budget protects servers without refusing retries that it has room for.
TEST(RetryBudget, IsUsedWithoutDisruption) {
  RetryPlayback playback({.name = "StartOfFleet"}, 1);
  playback.run();
  EXPECT_GE(playback.last_window_use(), 0.66);
}

// Entries of a new fleet rejected retries for a whole window, although none of them has a predecessor that retried.
TEST(RetryBudget, IsUsedFromTheFirstDocumentOn) {
  RetryPlayback playback({.name = "StartOfNewFleet", .is_new_fleet = true}, 1);
  playback.run();
  EXPECT_GE(playback.first_window_use(), 0.6);
}

// An entry that started after requests were served may have a predecessor whose retries still count.
TEST(RetryBudget, LeavesSlackToPredecessorOfEntryStartedAfterTheFirstDocument) {
  RetryBudget budget({0.2, 40, seconds(10)});
  const TimePoint start = kFirstDocument + milliseconds(1);
  budget.start(start);
  budget.note_no_requests_until(kFirstDocument);
  EXPECT_EQ(budget.remaining(start + seconds(9), kService), 0);
  EXPECT_GT(budget.remaining(start + seconds(10), kService), 0);
}

}  // namespace
}  // namespace larchlever::fleet
