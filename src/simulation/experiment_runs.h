#pragma once

#include <map>
#include <string>

#include "simulation/experiment.h"

namespace larchlever::simulation {

/// Runs one placement policy while machines fail and are repaired at the experiment's rates. Measures the group
/// downtime (group-seconds demanded but not served) and the stranded accelerators (accelerator-seconds of idle machines
/// in zones that lack a group), both from the actual state of the simulated machines.
std::map<std::string, double> run_placement_trial(const Experiment& experiment, const std::string& policy,
                                                  int64_t downtime_weight, uint64_t seed);

/// Runs one routing policy. Requests with shared prefixes pass through several entries to groups of simulated engines;
/// the entries receive load reports late.
std::map<std::string, double> run_routing_trial(const Experiment& experiment, const std::string& policy, uint64_t seed);

/// Runs operators that concurrently change ten tenants. `concurrency_control` is `whole_document`, `per_key` or
/// `locks`.
std::map<std::string, double> run_certification_trial(const Experiment& experiment,
                                                      const std::string& concurrency_control, uint64_t seed);

}  // namespace larchlever::simulation
