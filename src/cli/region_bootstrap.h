#pragma once

#include <string>

#include "settings/node_settings.h"

namespace larchlever::cli {

/// Gives the node's data folder an identity and the first log of a new region, of which it is the only voter. True also
/// when the folder belongs to a region already and `allow_existing` allows that. False with `error` set otherwise.
bool bootstrap_region(const settings::NodeSettings& node_settings, std::string& error, bool allow_existing = true);

}  // namespace larchlever::cli
