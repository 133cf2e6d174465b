#pragma once

#include <deque>
#include <optional>

#include "core/base/time.h"

namespace larchlever::fleet {

/// How fast the requests of a queue get their turns.
struct TurnPace {
  /// When the first request of the queue gets its turn.
  TimePoint next_turn_at{};
  double turns_per_second = 0;

  /// When a request with `requests_ahead` others before it gets its turn; at most an hour after the next turn.
  TimePoint turn_at(double requests_ahead) const;
};

/// Forecasts the turns of requests that wait for a full pool of slots, from how fast its slots were released.
///
/// Load answered: for seconds, callers ask for a multiple of what the servers can run. Requests whose turn comes too
/// late then wait in vain, and their callers learn so only at the end of their patience.
///
/// The forecast follows the number of slots in use, so it changes at once when servers vanish or come. Releases are
/// counted only while the pool is full: a pool that requests leave idle releases slower. Single-threaded,
/// deterministic; memory is bounded by the interval that is remembered.
class TurnForecast {
 public:
  /// The pool as one review of its queue left it.
  struct PoolLoad {
    /// Slots released since the last review.
    int released = 0;
    int busy_slots = 0;
    int free_slots = 0;
    /// Requests wait for which no slot was found.
    bool is_blocked = false;
  };

  void note_load(TimePoint now, const PoolLoad& load);
  /// A request was refused because its turn would come too late.
  void note_early_refusal() { has_refused_ = true; }
  /// The pace of the pool with `busy_slots` in use; empty while there is too little evidence.
  std::optional<TurnPace> pace(TimePoint now, int busy_slots) const;

 private:
  /// Releases during an interval in which the pool was full.
  struct FullInterval {
    TimePoint began_at{};
    Duration length{};
    double busy_seconds = 0;
    int released = 0;
  };

  void add_full_time(Duration length, int released);
  void correct_pessimism(TimePoint now, const PoolLoad& load);

  std::deque<FullInterval> full_intervals_;
  TimePoint noted_at_{};
  PoolLoad last_load_;
  bool was_full_ = false;
  /// Requests were refused early since the pool last had idle slots.
  bool has_refused_ = false;
  /// Factor on the measured pace, above 1 after early refusals were followed by idle slots.
  double optimism_ = 1;
  TimePoint corrected_at_ = TimePoint::min();
};

}  // namespace larchlever::fleet
