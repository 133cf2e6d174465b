#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/fleet/plain_servers/response_times.h"

namespace larchlever::fleet {

/// The learned response time of one plain server, depending on its load and on the entry that asks.
///
/// The time at low load follows the latest samples. How much longer responses take at higher load is learned slowly, so
/// that a server that becomes slow as a whole is told from one that is slow when it is nearly full. Single-threaded,
/// deterministic.
class PlainServerSpeed {
 public:
  /// `load_share` is the share of the server's slots that other requests used, from 0 to 1.
  void note_sample(TimePoint now, const ResponseTimeSample& sample, double load_share);
  /// Expected response time in milliseconds for a request of `entry` at this load; empty if nothing is known.
  std::optional<double> expected_ms(TimePoint now, const std::string& entry, double load_share) const;
  /// Typical response time at low load over all entries, in milliseconds.
  std::optional<double> typical_ms() const { return times_.typical_ms(); }
  /// The latest response came much faster than is typical, so that the server has probably become faster.
  bool seems_faster() const;
  void forget_entry(const std::string& entry);

 private:
  static constexpr size_t kLoadLevels = 4;
  /// An entry for which responses of the server take longer than for others.
  struct SlowLink {
    double mean_ms = 0;
    TimePoint until{};
  };

  static size_t level_of(double load_share);
  void learn_load_factor(size_t level, double factor);
  void note_link(TimePoint now, const ResponseTimeSample& sample, double usual_ms);

  /// Response times, divided by the factor of the load at which they were measured.
  RecentResponseTimes times_;
  /// How many times as long a response takes at each level of load; not falling.
  std::array<double, kLoadLevels> load_factors_{1, 1, 1, 1};
  /// When a response at low load was last measured.
  TimePoint last_reference_at_{};
  /// By entry.
  std::map<std::string, SlowLink> slow_links_;
};

}  // namespace larchlever::fleet
