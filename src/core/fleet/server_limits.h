#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// The request rate limit that a server's response stated, or the absence of one.
struct LimitObservation {
  std::string incarnation;
  /// Requests per second that the server accepts from all entries together; empty if the response stated no limit.
  std::optional<double> per_second;
  /// When a response that states a limit arrived. For a response without a limit: when its request was sent, so that a
  /// delayed response does not remove a limit that was stated after it.
  TimePoint observed_at{};
};

/// The request rate limits that servers state in responses; the most recent observation per incarnation applies. A new
/// incarnation starts without a limit. Entries keep their own observations, the leader keeps those of all entries.
/// Single-threaded, deterministic.
class ServerLimits {
 public:
  /// Records the observation; returns false if a newer one is known for that incarnation.
  bool observe(const LimitObservation& observation);
  /// Whether any observation is kept for the incarnation, including the end of a limit.
  bool has_observation(const std::string& incarnation) const { return newest_observations_.contains(incarnation); }
  /// Requests per second, if the server has a limit.
  std::optional<double> limit_of(const std::string& incarnation) const;
  /// All observations kept. The end of a limit is kept while older observations may still arrive from other entries.
  std::vector<LimitObservation> observations(TimePoint now);

 private:
  void drop_expired(TimePoint now);

  std::map<std::string, LimitObservation> newest_observations_;
};

}  // namespace larchlever::fleet
