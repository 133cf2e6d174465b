#include "core/membership/watch_assignment.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace larchlever::membership {

uint64_t rendezvous_weight(const std::string& item, const std::string& node) {
  const uint64_t seed = XXH3_64bits(node.data(), node.size());
  return XXH3_64bits_withSeed(item.data(), item.size(), seed);
}

WatchAssignment assign_watchers(const std::vector<WatcherCandidate>& nodes, const std::vector<std::string>& machines,
                                size_t watchers_per_machine) {
  WatchAssignment assignment;
  std::vector<std::pair<uint64_t, const WatcherCandidate*>> ranked;
  for (const auto& machine : machines) {
    ranked.clear();
    for (const auto& node : nodes) {
      ranked.emplace_back(rendezvous_weight(machine, node.node), &node);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
      return left.first != right.first ? left.first > right.first : left.second->node < right.second->node;
    });
    std::set<std::string> zones;
    std::vector<const WatcherCandidate*> chosen;
    for (const bool new_zones_only : {true, false}) {
      for (const auto& [weight, node] : ranked) {
        const bool is_chosen = std::find(chosen.begin(), chosen.end(), node) != chosen.end();
        if (chosen.size() < watchers_per_machine && !is_chosen && !(new_zones_only && zones.contains(node->zone))) {
          chosen.push_back(node);
          zones.insert(node->zone);
        }
      }
    }
    for (const auto* node : chosen) {
      assignment[node->node].push_back(machine);
    }
  }
  return assignment;
}

}  // namespace larchlever::membership
