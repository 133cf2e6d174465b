#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/fault_injector.h"
#include "simulation/simulated_fleet.h"
#include "simulation/workload.h"

namespace larchlever::simulation {

struct SimulationOptions {
  uint64_t seed = 1;
  SimulatedFleetOptions fleet;
  WorkloadOptions workload;
  FaultOptions faults;
  std::vector<wire::KeyWrite> configuration;
  Duration fault_duration = seconds(30);
  Duration recovery_duration = seconds(40);
};

struct SimulationResult {
  uint64_t seed = 0;
  std::vector<std::string> violations;
  WorkloadStats workload;
  std::map<std::string, uint64_t> faults;
  uint64_t checks = 0;
  uint64_t events = 0;
  /// Equal for equal seeds: a hash over what happened.
  uint64_t digest = 0;
};

/// The small fleet on which fault runs are made: six nodes, four of them with disks, three zones, eighteen machines.
SimulationOptions fault_run_options(uint64_t seed);

/// One run: templates applied, faults and load, everything healed, then liveness: a leader, a change in force, every
/// wanted group serving.
SimulationResult run_simulation(const SimulationOptions& options);

}  // namespace larchlever::simulation
