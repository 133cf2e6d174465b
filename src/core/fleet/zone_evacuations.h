#pragma once

#include <cstdint>
#include <string>

#include "larchlever_types.h"

/// Evacuated zones: operators mark a zone as evacuated so that no requests are sent to its servers. Pure functions.
namespace larchlever::fleet {

/// What the leader did with a call that evacuates or restores a zone; to be logged.
struct ZoneCallDecision {
  /// Identifies the call and the replica that received it.
  std::string call_key;
  wire::ZoneEvacuationChange change;
  /// Revision of the evacuations that the log held then.
  int64_t revision = 0;
  /// Another change was proposed since the call was received, so it was rejected.
  bool is_superseded = false;
};

/// Applies a change. A change without effect, such as a duplicate, leaves the revision unchanged.
void apply_evacuation(wire::ZoneEvacuations& evacuations, const wire::ZoneEvacuationChange& change);

bool is_evacuated(const wire::ZoneEvacuations& evacuations, const std::string& zone);

/// A group counts as evacuated if any member is in an evacuated zone, since every member runs a part of each request.
bool is_evacuated(const wire::ZoneEvacuations& evacuations, const wire::EngineGroup& group);

}  // namespace larchlever::fleet
