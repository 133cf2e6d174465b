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
  /// Hash of the run's counters; equal for runs with equal options and seed.
  uint64_t digest = 0;
};

/// Options of a fault run on a small fleet: six nodes, four of them with disks, three zones and eighteen machines.
SimulationOptions fault_run_options(uint64_t seed);

/// Runs one simulation: applies the configuration, runs the workload under faults, repairs all faults, and then checks
/// liveness: there is a leader, a change comes into force, and every demanded group that fits is serving.
SimulationResult run_simulation(const SimulationOptions& options);

}  // namespace larchlever::simulation
