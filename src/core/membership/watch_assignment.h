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

/// The machines that each node polls, by node.
using WatchAssignment = std::map<std::string, std::vector<std::string>>;

/// Assigns `watchers_per_machine` nodes to every machine by rendezvous hashing, in different zones as far as possible.
/// Losing a node reassigns only the machines that it polled. The same sets of nodes and machines always give the same
/// assignment.
WatchAssignment assign_watchers(const std::vector<WatcherCandidate>& nodes, const std::vector<std::string>& machines,
                                size_t watchers_per_machine);

/// Rendezvous hashing weight of `node` for `item`; the nodes with the highest weights are chosen.
uint64_t rendezvous_weight(const std::string& item, const std::string& node);

}  // namespace larchlever::membership
