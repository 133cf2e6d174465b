#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simulation/deployment.h"

namespace larchlever::simulation {

/// An experiment file: what is compared, over which seeds.
struct Experiment {
  std::string name;
  std::string kind;  ///< "placement", "routing" or "certification".
  std::vector<std::string> policies;
  std::vector<int64_t> weights;  ///< placement: downtime weights to try for policies that use them.
  int seeds = 10;
  int64_t duration_seconds = 1800;
  int64_t seconds_between_failures = 60;
  int64_t repair_seconds = 300;
  int64_t requests_per_second = 60;
  int64_t operators = 6;
  Deployment deployment;
};

std::optional<Experiment> parse_experiment(const std::string& path, std::vector<std::string>& errors);

/// Median, least and greatest of one measure over the seeds.
struct Spread {
  double median = 0;
  double least = 0;
  double greatest = 0;
};

struct ExperimentRow {
  std::string policy;
  std::map<std::string, Spread> measures;
};

/// Runs policies times seeds on all processors; each run is deterministic in its seed.
std::vector<ExperimentRow> run_experiment(const Experiment& experiment);

std::string experiment_csv(const std::vector<ExperimentRow>& rows);
std::string experiment_json(const Experiment& experiment, const std::vector<ExperimentRow>& rows);
/// Bars of one measure's medians with their spread.
std::string experiment_svg(const Experiment& experiment, const std::vector<ExperimentRow>& rows,
                           const std::string& measure);

}  // namespace larchlever::simulation
