#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/base/time.h"

namespace larchlever::simulation {

/// Event queue with a virtual clock. Actions run in order of their time; actions with equal times run in the order in
/// which they were scheduled.
class EventQueue {
 public:
  TimePoint now() const { return now_; }
  void schedule_at(TimePoint time, std::function<void()> action) {
    events_.push(Event{time < now_ ? now_ : time, next_sequence_number_++, std::move(action)});
  }
  void schedule_after(Duration delay, std::function<void()> action) { schedule_at(now_ + delay, std::move(action)); }
  /// Runs all actions due up to `end`. Returns early, without advancing the clock to `end`, once `should_stop()` is
  /// true.
  void run_until(TimePoint end, const std::function<bool()>& should_stop) {
    while (!events_.empty() && events_.top().time <= end && !should_stop()) {
      // Remove the action before running it, because it may schedule other actions.
      auto action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().time;
      events_.pop();
      ++executed_event_count_;
      action();
    }
    if (!should_stop()) {
      now_ = end;
    }
  }
  uint64_t executed_event_count() const { return executed_event_count_; }

 private:
  struct Event {
    TimePoint time;
    uint64_t sequence_number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence_number > other.sequence_number;
    }
  };

  std::priority_queue<Event> events_;
  TimePoint now_{};
  uint64_t next_sequence_number_ = 0;
  uint64_t executed_event_count_ = 0;
};

}  // namespace larchlever::simulation
