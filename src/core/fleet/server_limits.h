#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// What an answer of a server said of its limit.
struct LimitObservation {
  std::string incarnation;
  /// Requests a second that it takes from all entries together; nothing when it named no limit.
  std::optional<double> per_second;
  /// The arrival of an answer that names a limit; the sending of the request for one that names none, so that an answer
  /// which was overtaken ends no limit.
  TimePoint observed_at{};
};

/// The limits that servers name, by the newest observation of each. A limit belongs to one incarnation: a later start
/// has named none. Entries keep what they were told, the leader what all entries were.
/// Single-threaded, deterministic.
class ServerLimits {
 public:
  /// True when no newer observation of that incarnation is held.
  bool observe(const LimitObservation& observation);
  /// Something was observed of that incarnation, the end of a limit included.
  bool has_observation(const std::string& incarnation) const { return newest_observations_.contains(incarnation); }
  std::optional<double> limit_of(const std::string& incarnation) const;
  /// What is held, ends of limits included while an older observation may still be under way elsewhere.
  std::vector<LimitObservation> observations(TimePoint now);

 private:
  void drop_expired(TimePoint now);

  std::map<std::string, LimitObservation> newest_observations_;
};

}  // namespace larchlever::fleet
