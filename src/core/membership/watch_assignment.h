#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/ids.h"

namespace larchlever::membership {

struct WatcherCandidate {
  std::string node;
  std::string zone;
};

/// Machines to watch, by node.
using WatchAssignment = std::map<std::string, std::vector<std::string>>;

/// Gives every machine `watchers` nodes by rendezvous hashing, each in another zone while there are zones left. Losing
/// a node moves only its own machines. Deterministic in the sets given.
WatchAssignment assign_watchers(const std::vector<WatcherCandidate>& nodes, const std::vector<std::string>& machines,
                                size_t watchers_per_machine);

/// Rendezvous weight of `node` for `item`; the highest weight wins.
uint64_t rendezvous_weight(const std::string& item, const std::string& node);

}  // namespace larchlever::membership
