#include "core/fleet/zone_evacuations.h"

#include <algorithm>

namespace larchlever::fleet {

void apply_evacuation(wire::ZoneEvacuations& evacuations, const wire::ZoneEvacuationChange& change) {
  auto& zones = evacuations.zones;
  const auto position = std::lower_bound(zones.begin(), zones.end(), change.zone);
  const bool is_already_evacuated = position != zones.end() && *position == change.zone;
  if (is_already_evacuated == change.begins) {
    return;
  }
  if (change.begins) {
    zones.insert(position, change.zone);
  } else {
    zones.erase(position);
  }
  ++evacuations.revision;
}

bool is_evacuated(const wire::ZoneEvacuations& evacuations, const std::string& zone) {
  return std::binary_search(evacuations.zones.begin(), evacuations.zones.end(), zone);
}

bool is_evacuated(const wire::ZoneEvacuations& evacuations, const wire::EngineGroup& group) {
  return std::any_of(group.zones.begin(), group.zones.end(),
                     [&](const auto& zone) { return is_evacuated(evacuations, zone); });
}

}  // namespace larchlever::fleet
