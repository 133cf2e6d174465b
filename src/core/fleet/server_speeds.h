#pragma once

#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// Durations that one entry measured at a target since its last report, and what the cost model expects of them.
struct SpeedSample {
  std::string entry;
  /// Name of the group, or incarnation of the plain server.
  std::string target;
  int count = 0;
  double observed_ms = 0;
  double expected_ms = 0;
};

/// How much slower than expected each group and plain server currently is, joined from the observations of all entries.
/// Single-threaded, deterministic.
class ServerSpeeds {
 public:
  void note_sample(TimePoint now, const SpeedSample& sample);
  /// Factor by which the target takes longer than expected; 1 if nothing is known of it.
  double time_factor(TimePoint now, const std::string& target) const;
  /// Whether a slow target that gets no work should get one request, to find out whether it is fast again. Returns true
  /// at most once per trial interval.
  bool take_trial(TimePoint now, const std::string& target);
  void forget_entry(const std::string& entry);
  /// Removes all targets but these.
  void retain_targets(const std::vector<std::string>& targets);
};

}  // namespace larchlever::fleet
