#include "core/control/presence_table.h"

namespace larchlever::control {

void PresenceTable::record_sighting(const wire::MachineSighting& report, TimePoint seen_at) {
  Sighting& sighting = sightings_[report.machine];
  if (seen_at < sighting.seen_at) {
    return;
  }
  sighting.seen_at = seen_at;
  sighting.incarnation = report.incarnation;
  sighting.group_id = report.group_id;
  sighting.epoch = report.epoch;
  sighting.loaded = report.loaded;
  sighting.load = report.load;
}

const PresenceTable::Sighting* PresenceTable::find(const std::string& machine) const {
  const auto found = sightings_.find(machine);
  return found == sightings_.end() ? nullptr : &found->second;
}

bool PresenceTable::is_present(const std::string& machine, int64_t incarnation, TimePoint now, Duration bound) const {
  const Sighting* sighting = find(machine);
  return sighting != nullptr && sighting->incarnation == incarnation && sighting->seen_at + bound > now;
}

}  // namespace larchlever::control
