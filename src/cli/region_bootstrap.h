#pragma once

#include <string>

#include "settings/node_settings.h"

namespace larchlever::cli {

/// Initializes the node's data folder with a replica id and the log of a new region whose only voter is this node. If
/// the folder already belongs to a region, returns `allow_existing`. Returns false and sets `error` on failure.
bool bootstrap_region(const settings::NodeSettings& node_settings, std::string& error, bool allow_existing = true);

}  // namespace larchlever::cli
