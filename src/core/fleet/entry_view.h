#pragma once

#include "larchlever_types.h"

namespace larchlever::fleet {

/// What an entry needs of the fleet's state to send requests: the groups that may have requests under way, each with
/// its head alone, those heads, and the instances of plain services. What else changes in the fleet is no news for it.
wire::FleetState make_entry_view(const wire::FleetState& state);

}  // namespace larchlever::fleet
