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
  explicit RateShares(uint64_t seed) : random_engine_(seed) {}

  /// When this entry, one of `entry_count` entries, may next send to the server; `now` during its turn.
  /// `requests_per_second` is the total rate that the server accepts; 0 means no limit.
  TimePoint next_allowed_at(TimePoint now, const std::string& incarnation, double requests_per_second, int entry_count);
  bool may_send(TimePoint now, const std::string& incarnation, double requests_per_second, int entry_count) {
    return next_allowed_at(now, incarnation, requests_per_second, entry_count) <= now;
  }
  void note_sent(TimePoint now, const std::string& incarnation, double requests_per_second, int entry_count);
  /// Removes the servers that are no longer rate-limited.
  void retain_servers(const std::set<std::string>& rate_limited_incarnations);
  bool empty() const { return schedules_.empty(); }

 private:
  struct TurnSchedule {
    TimePoint next_allowed_at{};
    /// Time between the starts of two consecutive turns.
    Duration interval{};
  };

  static Duration turn_interval(double requests_per_second, int entry_count);
  /// Draws the start of the next turn at random, within one interval from now.
  TurnSchedule draw_next_turn(TimePoint now, Duration interval);

  std::mt19937_64 random_engine_;
  std::map<std::string, TurnSchedule> schedules_;
};

}  // namespace larchlever::fleet
