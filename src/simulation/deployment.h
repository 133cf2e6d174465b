#pragma once

#include <optional>
#include <string>
#include <vector>

#include "settings/ini_document.h"
#include "simulation/simulated_fleet.h"

namespace larchlever::simulation {

/// Description of a fleet to simulate: its zones and machines, the larchlever nodes and the initial configuration.
struct Deployment {
  std::string name;
  std::vector<ZoneOptions> zones;
  int node_count = 9;
  int disk_count = 5;  ///< Number of nodes that have a disk and so can run a control replica.
  std::vector<wire::KeyWrite> configuration;
};

/// Parses the `[deployment]` and `[zone NAME]` sections. The initial configuration is read from the file named by
/// `changes`, relative to `folder`. Returns nullopt and appends to `errors` if the settings are invalid.
std::optional<Deployment> parse_deployment(const settings::IniDocument& document, const std::string& folder,
                                           std::vector<std::string>& errors);

/// Builds a fleet with identical zones for scale runs. Domains have about 32 machines, groups have 16.
Deployment make_uniform_deployment(int nodes, int machines, int zones);

/// Builds the records of a tenant "t", a model "model" and `groups` serving groups with epoch 1, for routing
/// benchmarks.
config::RecordTable make_routing_records(int groups);

}  // namespace larchlever::simulation
