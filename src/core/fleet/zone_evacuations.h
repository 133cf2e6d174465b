#pragma once

#include <string>

#include "larchlever_types.h"

/// Zones that operators emptied, so that no request goes to the servers there. Pure: rows in, answers out.
namespace larchlever::fleet {

/// Carries out an order. One that changes nothing, as when it arrives again, leaves the revision as it is.
void apply_evacuation(wire::ZoneEvacuations& evacuations, const wire::ZoneEvacuationChange& change);

bool is_evacuated(const wire::ZoneEvacuations& evacuations, const std::string& zone);

/// One member in an evacuated zone is enough: the head passes a part of each request on to every member.
bool is_evacuated(const wire::ZoneEvacuations& evacuations, const wire::EngineGroup& group);

}  // namespace larchlever::fleet
