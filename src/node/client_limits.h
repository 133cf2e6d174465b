#pragma once

#include <memory>

#include "core/requests/body_budget.h"
#include "settings/fleet_settings.h"

namespace larchlever::node {

/// Returns the budget for the bodies of requests that this process receives on all its listeners: from the settings,
/// or a part of the process's memory.
std::shared_ptr<requests::BodyBudget> make_body_budget(const settings::FleetSettings& settings);

}  // namespace larchlever::node
