#pragma once

#include <cstdint>
#include <optional>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Forecasts when requests that wait for a pool of servers get their turn, and gives refused callers times to return
/// that are spread in the order of their turns. Single-threaded, deterministic.
class TurnForecast {
 public:
  /// `released` requests of the pool ended, and it has `slots` slots in total, of which `busy` are in use.
  void note_releases(TimePoint now, int released, int busy, int slots);
  /// Time until a request with `requests_ahead` others before it gets a slot; empty while nothing is known.
  std::optional<Duration> time_until_turn(TimePoint now, int requests_ahead) const;
  /// Refuses the request `fingerprint`, first seen at `first_seen`, and returns after which time its caller is to
  /// return. Empty while nothing is known.
  std::optional<Duration> assign_return(TimePoint now, int64_t fingerprint, TimePoint first_seen, int requests_ahead);
  /// When a request that was told to return first arrived. Empty if it was not told to return, returns clearly before
  /// its time, or returns too late.
  std::optional<TimePoint> take_return(TimePoint now, int64_t fingerprint);
};

}  // namespace larchlever::fleet
