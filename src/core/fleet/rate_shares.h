#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// One entry's share of the request rate that a server accepts from all entries, used while no leader counts requests
/// centrally.
///
/// Each entry gets one turn per interval and may send one request in a turn. The first turn comes after a random delay,
/// because all entries learn of a rate limit, and lose their leader, at the same moment. An unused turn expires, so
/// turns do not accumulate. Only half of the rate is distributed, so that coinciding turns stay within the server's
/// limit; the other half is left for requests that a leader grants to entries that can reach it. Deterministic for a
/// given seed.
class RateShares {
 public:
  explicit RateShares(uint64_t seed) : random_(seed) {}

  /// When this entry, one of `entries`, may next send to the server; `now` during its turn. `per_second` is the total
  /// rate that the server accepts; 0 means no limit.
  TimePoint next_allowed_at(TimePoint now, const std::string& incarnation, double per_second, int entries);
  bool may_send(TimePoint now, const std::string& incarnation, double per_second, int entries) {
    return next_allowed_at(now, incarnation, per_second, entries) <= now;
  }
  void note_sent(TimePoint now, const std::string& incarnation, double per_second, int entries);
  /// Removes the servers that are no longer rate-limited.
  void retain_servers(const std::set<std::string>& rated);
  bool empty() const { return schedules_.empty(); }

 private:
  struct TurnSchedule {
    TimePoint next_allowed_at{};
    /// Time between the starts of two consecutive turns.
    Duration interval{};
  };

  static Duration turn_interval(double per_second, int entries);
  /// Draws the start of the next turn uniformly from one interval.
  TurnSchedule draw_next_turn(TimePoint now, Duration interval);

  std::mt19937_64 random_;
  std::map<std::string, TurnSchedule> schedules_;
};

}  // namespace larchlever::fleet
