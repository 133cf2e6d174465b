#pragma once

#include "larchlever_types.h"

namespace larchlever::fleet {

/// Reduces the fleet's state to what an entry needs to dispatch requests: the groups that may have in-flight requests
/// (each with its head as the only member), the instances that are such heads, and the instances of plain services.
/// Other changes of the state need not be sent to entries.
wire::FleetState make_entry_view(const wire::FleetState& state);

}  // namespace larchlever::fleet
