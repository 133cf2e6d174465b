#pragma once

#include <cstddef>
#include <memory>

#include "core/requests/body_budget.h"
#include "net/http_server.h"
#include "settings/fleet_settings.h"

namespace larchlever::node {

/// Returns the budget for the bodies of requests that this process receives on all its listeners: from the settings,
/// or a part of the process's memory.
std::shared_ptr<requests::BodyBudget> make_body_budget(const settings::FleetSettings& settings);

/// Part of the process's descriptors that the connections of one listener may use. The rest is for connections to
/// servers and other nodes, for files, and for the duplicates with which disconnects are noticed.
enum class DescriptorShare { kMainListener, kRelayListener, kReadinessListener };

/// Returns the largest number of connections that one listener accepts.
size_t max_connections(const settings::FleetSettings& settings, DescriptorShare share);

/// Returns the options of a listener before a configuration document is known.
net::HttpServerOptions make_server_options(const settings::FleetSettings& settings, DescriptorShare share);

}  // namespace larchlever::node
