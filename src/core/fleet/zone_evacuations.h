#pragma once

#include <string>

#include "larchlever_types.h"

/// Evacuated zones: operators mark a zone as evacuated so that no requests are sent to its servers. Pure functions.
namespace larchlever::fleet {

/// Applies a change. A change without effect, such as a duplicate, leaves the revision unchanged.
void apply_evacuation(wire::ZoneEvacuations& evacuations, const wire::ZoneEvacuationChange& change);

bool is_evacuated(const wire::ZoneEvacuations& evacuations, const std::string& zone);

/// A group counts as evacuated if any member is in an evacuated zone, since every member runs a part of each request.
bool is_evacuated(const wire::ZoneEvacuations& evacuations, const wire::EngineGroup& group);

}  // namespace larchlever::fleet
