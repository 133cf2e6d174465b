#pragma once

#include <string>

#include "settings/node_settings.h"

namespace larchlever::cli {

/// Gives the node's data folder an identity and the first log of a new region, of which it is the only voter. True also
/// when the folder belongs to a region already and `may_exist` allows that. False with `error` set otherwise.
bool begin_region(const settings::NodeSettings& first, std::string& error, bool may_exist = true);

}  // namespace larchlever::cli
