#pragma once

#include <map>
#include <set>
#include <string>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::control {

/// Last sighting of each machine. Its time is a lower bound: the latest moment at which the leader can prove that the
/// machine was alive, regardless of how long reports were in transit. Soft state of the leader; single-threaded.
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

  /// Records a sighting. Ignored if it is older than the latest known, so reports may arrive out of order.
  void record_sighting(const wire::MachineSighting& report, TimePoint seen_at);
  const Sighting* find(const std::string& machine) const;
  /// Whether the machine was seen alive with this `incarnation` less than `bound` before `now`.
  bool is_present(const std::string& machine, int64_t incarnation, TimePoint now, Duration bound) const;
  const std::map<std::string, Sighting>& all_sightings() const { return sightings_; }
  void clear() { sightings_.clear(); }

 private:
  std::map<std::string, Sighting> sightings_;
};

}  // namespace larchlever::control
