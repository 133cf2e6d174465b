#pragma once

#include <map>
#include <string>

#include "simulation/experiment.h"

namespace larchlever::simulation {

/// One run: machines fail and are repaired at the experiment's rate under one policy. Measures, by the truth of the
/// simulation: group downtime (group-seconds wanted and not served) and stranded accelerators (accelerator-seconds of
/// idle machines in zones that lack a group).
std::map<std::string, double> run_placement_trial(const Experiment& experiment, const std::string& policy,
                                                  int64_t downtime_weight, uint64_t seed);

/// One run: requests with shared prefixes over groups of modelled engines, through several entries whose load reports
/// lag, under one routing policy.
std::map<std::string, double> run_routing_trial(const Experiment& experiment, const std::string& policy, uint64_t seed);

/// One run: operators in equal numbers race for ten tenants; `way` is whole_document, per_key or locks.
std::map<std::string, double> run_certification_trial(const Experiment& experiment,
                                                      const std::string& concurrency_control, uint64_t seed);

}  // namespace larchlever::simulation
