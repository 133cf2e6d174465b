#pragma once

#include <optional>
#include <string>
#include <vector>

#include "settings/ini_document.h"
#include "simulation/simulated_fleet.h"

namespace larchlever::simulation {

/// A user's fleet as the simulator sees it: zones with their machines, our nodes, the templates in force.
struct Deployment {
  std::string name;
  std::vector<ZoneOptions> zones;
  int node_count = 9;
  int disk_count = 5;
  std::vector<wire::KeyWrite> configuration;
};

/// Reads `[deployment]` and its `[zone NAME]` sections; templates come from the file that `changes` names, relative to
/// `folder`. Nothing on faults, which go to `errors`.
std::optional<Deployment> parse_deployment(const settings::IniDocument& document, const std::string& folder,
                                           std::vector<std::string>& errors);

/// A fleet of any size made alike in all zones, for scale runs: `machines` in domains of 32, groups of 16.
Deployment make_uniform_deployment(int nodes, int machines, int zones);

/// Records of one tenant "t" and one model "model" with that many serving groups, epoch 1, for measuring routing.
config::RecordTable make_routing_records(int groups);

}  // namespace larchlever::simulation
