#pragma once

#include <map>
#include <set>
#include <string>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::control {

/// When each machine was last seen alive, and as what. Times are lower bounds: the latest moment at which the leader
/// can prove that the machine was alive, however long reports were under way. Leader's soft state; single-threaded.
class PresenceTable {
 public:
  struct Sighting {
    TimePoint seen_at = TimePoint::min();
    int64_t incarnation = 0;
    int64_t group_id = 0;
    int32_t epoch = 0;
    bool loaded = false;
    int32_t load = 0;
  };

  /// Notes a sighting; an older one than known is ignored, so reordered reports do no harm.
  void record_sighting(const wire::MachineSighting& report, TimePoint seen_at);
  const Sighting* find(const std::string& machine) const;
  /// Seen alive under `incarnation` within `bound` before `now`.
  bool is_present(const std::string& machine, int64_t incarnation, TimePoint now, Duration bound) const;
  const std::map<std::string, Sighting>& all_sightings() const { return sightings_; }
  void clear() { sightings_.clear(); }

 private:
  std::map<std::string, Sighting> sightings_;
};

}  // namespace larchlever::control
