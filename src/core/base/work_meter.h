#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"

namespace larchlever {

/// Time that an event loop spent in one kind of work during an interval.
struct WorkTotal {
  std::string name;
  Duration time{};
  /// The longest single piece of it.
  Duration longest{};
  /// Number of pieces, such as messages.
  int64_t pieces = 0;
  /// Rows that they held, such as reports or requests.
  int64_t rows = 0;
};

/// Adds up what an event loop does, by kind, so that a loop that falls behind can say what kept it busy. The owner
/// measures the times. Single-threaded, deterministic.
class WorkMeter {
 public:
  void add(std::string_view name, Duration time, int64_t rows = 1);
  /// Time of all work since the last `take_totals`.
  Duration busy() const { return busy_; }
  /// Removes and returns the totals of each kind, the one that took the most time first.
  std::vector<WorkTotal> take_totals();

 private:
  std::map<std::string, WorkTotal, std::less<>> totals_;
  Duration busy_{};
};

/// Formats totals for a log line: `slot_reports:310ms/905x/1400rows/4ms,...`, at most `max_kinds` of them. The last
/// figure is the longest piece.
std::string format_work(const std::vector<WorkTotal>& totals, size_t max_kinds);

}  // namespace larchlever
