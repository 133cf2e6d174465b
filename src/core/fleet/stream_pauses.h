#pragma once

#include <optional>
#include <utility>

#include "core/base/time.h"
#include "core/base/trimmed_mean.h"

namespace larchlever::fleet {

/// Pauses that an entry measured between the events of a group's streams.
struct PauseReport {
  /// Pauses since the previous report.
  int count = 0;
  Duration typical{};
};

/// The recent pauses between the events of one group's streams at one entry, as reported to the leader.
/// Single-threaded.
class StreamPauses {
 public:
  void add(Duration pause) {
    recent_.add(pause);
    ++unreported_;
  }
  /// Forgets everything, because the next pauses have nothing to do with the previous ones.
  void clear() { *this = StreamPauses(); }
  /// Includes the current pause, which has lasted for `ongoing`, if it is longer than usual. Empty if there is nothing
  /// new since the previous call.
  std::optional<PauseReport> take_report(Duration ongoing) {
    const bool is_ongoing_long = !recent_.is_empty() && ongoing > recent_.value();
    const int count = std::exchange(unreported_, 0) + (is_ongoing_long ? 1 : 0);
    if (count == 0) {
      return std::nullopt;
    }
    TrimmedMean pauses = recent_;
    if (is_ongoing_long) {
      pauses.add(ongoing);
    }
    return PauseReport{count, pauses.value()};
  }

 private:
  TrimmedMean recent_;
  int unreported_ = 0;
};

}  // namespace larchlever::fleet
