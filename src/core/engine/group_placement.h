#pragma once

#include <compare>

#include "core/base/time.h"

namespace larchlever::engine {

/// What is expected of a group that could run a request.
struct PlacementForecast {
  /// Streams of the group pause too long.
  bool is_quiet = false;
  /// Time from now to the request's first event.
  Duration first_event{};
  /// Mean number of the group's present requests that still run while the request's answer is produced.
  double mean_running = 0;
  /// The group misses an objective of the request only because it is slower than the cost model says.
  bool is_too_slow = false;
};

/// How well a group suits a request; the lowest is the best.
struct PlacementScore {
  /// Whether the first event is surely in time, just in time, or late.
  enum class Timing { kSurely, kBarely, kLate };

  bool is_quiet = false;
  bool is_too_slow = false;
  Timing timing = Timing::kLate;
  /// Only counts for first events that are surely in time, otherwise zero.
  double mean_running = 0;
  Duration first_event{};

  auto operator<=>(const PlacementScore&) const = default;
};

/// Scores a group for a request whose first event is due in `time_left`; zero or less if it has no objective or has
/// missed it.
///
/// Answers a load in which requests that look alike take very different times. In time comes first: a group whose first
/// event is expected late or barely in time is chosen by that event alone. Among the groups that are surely in time,
/// the best is the one where the fewest requests run while the answer is produced. So a long answer goes where others
/// soon end rather than where they still run for long, and a short one where few run now.
PlacementScore score_placement(const PlacementForecast& forecast, Duration time_left);

}  // namespace larchlever::engine
