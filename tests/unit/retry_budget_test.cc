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
  double requests_per_second = 36;
};

std::ostream& operator<<(std::ostream& out, const DisruptionSchedule& schedule) { return out << schedule.name; }

/// Plays a schedule in virtual time with one budget per entry and adds up the retries of all entries.
class RetryPlayback {
 public:
  RetryPlayback(DisruptionSchedule schedule, uint64_t seed) : schedule_(std::move(schedule)), random_(seed) {
    entries_.resize(kEntries);
    for (size_t index = 0; index < static_cast<size_t>(schedule_.initial_entries); ++index) {
      start(index, TimePoint());
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
      send_requests(now);
    }
  }

  /// Largest number of retries beyond what is allowed in any window; not positive if the bound holds.
  double max_excess() const {
    const auto window = static_cast<size_t>(options_.retry_window / kStep);
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
  double last_window_use() const {
    const auto window = static_cast<size_t>(options_.retry_window / kStep);
    const size_t begin = retries_.size() - window;
    return sum(retries_, begin, retries_.size()) /
           (options_.retry_ratio * sum(requests_, begin, requests_.size()) + options_.retry_slack);
  }

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
  void update_counts(TimePoint now) {
    max_running_ = std::max(max_running_, running_count());
    for (auto& entry : entries_) {
      if (entry.dispatcher != nullptr) {
        // A new leader, too, knows few entries at first.
        const bool knows_few = now - entry.started_at < kCountDelay;
        entry.dispatcher->set_serving_nodes(knows_few ? 1 + static_cast<int>(random_() % kEntries) : max_running_);
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

DisruptionSchedule schedule(const std::string& name) {
  DisruptionSchedule result;
  result.name = name;
  return result;
}

std::vector<DisruptionSchedule> schedules() {
  std::vector<DisruptionSchedule> result;
  result.push_back(schedule("StartOfFleet"));
  auto one_by_one = schedule("OneEntryAtATime");
  one_by_one.interval = milliseconds(250);
  one_by_one.restarted = 1;
  result.push_back(one_by_one);
  auto herds = schedule("HerdsOfEntries");
  herds.interval = milliseconds(2500);
  herds.restarted = 6;
  result.push_back(herds);
  auto busy = schedule("AllEntriesUnderHeavyLoad");
  busy.interval = seconds(3);
  busy.restarted = 9;
  busy.requests_per_second = 600;
  result.push_back(busy);
  auto short_day = schedule("AllEntriesOnAShortDay");
  short_day.interval = seconds(4);
  short_day.restarted = 9;
  short_day.requests_per_second = 165;
  short_day.length = seconds(15);
  result.push_back(short_day);
  auto moves = schedule("LoadMovesBetweenEntries");
  moves.interval = seconds(5);
  moves.moves_load = true;
  moves.requests_per_second = 600;
  result.push_back(moves);
  auto changing = schedule("NumberOfEntriesChanges");
  changing.interval = seconds(4);
  changing.initial_entries = 3;
  result.push_back(changing);
  auto everything = schedule("RestartsWhileLoadMoves");
  everything.interval = milliseconds(800);
  everything.restarted = 2;
  everything.moves_load = true;
  everything.initial_entries = 6;
  result.push_back(everything);
  return result;
}

INSTANTIATE_TEST_SUITE_P(Restarts, RetriesOfAllEntries, testing::ValuesIn(schedules()),
                         [](const auto& test) { return test.param.name; });

// The budget protects servers without refusing retries that it has room for.
TEST(RetryBudget, IsUsedWithoutDisruption) {
  RetryPlayback playback(schedule("StartOfFleet"), 1);
  playback.run();
  EXPECT_GE(playback.last_window_use(), 0.66);
}

}  // namespace
}  // namespace larchlever::fleet
