#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// One entry's part of the requests a second that a server takes from all entries, while no leader counts for them.
///
/// Each entry has a turn once in a while, the first at a moment drawn by lot: entries learn of a rate, and lose their
/// leader, at the same moment, and no part of a request can be sent. A turn that was not used lapses, so that turns
/// never pile up. Half of the rate is shared out, so that turns which fall together stay within what the server takes;
/// the rest is for requests that a leader grants to entries that hear it. Deterministic for a given seed.
class RateShares {
 public:
  explicit RateShares(uint64_t seed) : random_(seed) {}

  /// When this entry, one of `entries`, may send to the server next; `now` while it has its turn. `per_second` is what
  /// the server takes in all; 0 is no limit.
  TimePoint next_allowed_at(TimePoint now, const std::string& incarnation, double per_second, int entries);
  bool may_send(TimePoint now, const std::string& incarnation, double per_second, int entries) {
    return next_allowed_at(now, incarnation, per_second, entries) <= now;
  }
  void note_sent(TimePoint now, const std::string& incarnation, double per_second, int entries);
  /// Forgets the servers that take any number of requests again.
  void retain_servers(const std::set<std::string>& rated);
  bool empty() const { return schedules_.empty(); }

 private:
  struct TurnSchedule {
    TimePoint next_allowed_at{};
    /// Time from one turn to the next.
    Duration interval{};
  };

  static Duration turn_interval(double per_second, int entries);
  /// Draws when the first turn comes, within the first interval.
  TurnSchedule draw_next_turn(TimePoint now, Duration interval);

  std::mt19937_64 random_;
  std::map<std::string, TurnSchedule> schedules_;
};

}  // namespace larchlever::fleet
