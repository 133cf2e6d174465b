#pragma once

#include <deque>
#include <optional>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Mean response time of one entry's requests to a plain server since the entry's previous report.
struct ResponseTimeSample {
  std::string entry;
  int count = 0;
  double mean_ms = 0;
};

/// The recent response times of one plain server, joined from all entries.
///
/// Failure scenario: an entry with a bad link sees long response times at servers that are fast for all others. Each
/// entry therefore counts once, and the median over entries is taken. Bounded: keeps the latest few entries only, so
/// that the server's current speed is known even if each entry has just one sample. Single-threaded, deterministic.
class RecentResponseTimes {
 public:
  void add(TimePoint now, const ResponseTimeSample& sample);
  /// The lower median over the latest entries in milliseconds; empty if there are no samples.
  std::optional<double> typical_ms() const;
  /// The latest sample in milliseconds, or 0.
  double latest_ms() const { return latest_.empty() ? 0 : latest_.back().mean_ms; }
  void forget_entry(const std::string& entry);

 private:
  struct EntryTime {
    std::string entry;
    double mean_ms = 0;
    TimePoint measured_at{};
  };

  /// One row per entry, the most recent last.
  std::deque<EntryTime> latest_;
};

}  // namespace larchlever::fleet
