#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "core/base/time.h"

/// How many requests go to a server that is cold: just started, or back after a while without work. It bears few
/// requests a second, over all entries together, and falls over when it gets many more.
///
/// Load pattern: a zone of servers comes back cold under full load. By what is under way there they look like the best
/// targets of all, so that everything would go to them at once.
namespace larchlever::fleet {

/// Counts events of the last second against a rate, at one place that sees all of them. A rate of 0 is no limit.
class RateWindow {
 public:
  bool has_room(TimePoint now, double per_second);
  void note(TimePoint now) { times_.push_back(now); }

 private:
  std::deque<TimePoint> times_;
};

/// One entry's part of what a cold server bears while no leader counts for all of them.
///
/// Each entry waits for a whole turn, at a moment drawn by lot, before it sends its first request, and for another
/// after each: entries learn of a cold server at the same moment, and no part of a request can be sent. Half of the
/// rate is shared out, so that turns which fall together stay within what the server bears; the rest is for requests
/// that a leader granted before it was lost. Deterministic for a given seed.
class ColdStartShares {
 public:
  explicit ColdStartShares(uint64_t seed) : random_(seed) {}

  /// Whether this entry, one of `entries`, may send to the cold server now. `per_second` is what the server bears in
  /// all; 0 is no limit.
  bool may_send(TimePoint now, const std::string& incarnation, double per_second, int entries);
  void note_sent(TimePoint now, const std::string& incarnation, double per_second, int entries);
  /// Forgets the servers that are cold no more: one that turns cold again begins anew, and its entries draw new turns.
  void keep_only(const std::set<std::string>& cold);
  bool empty() const { return next_.empty(); }

 private:
  static Duration turn(double per_second, int entries);

  std::mt19937_64 random_;
  /// When this entry may send to each cold server next.
  std::map<std::string, TimePoint> next_;
};

}  // namespace larchlever::fleet
