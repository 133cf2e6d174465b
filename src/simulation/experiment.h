#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "simulation/deployment.h"

namespace larchlever::simulation {

/// Settings of an experiment: the policies to compare, the number of seeds and the simulated conditions.
struct Experiment {
  std::string name;
  std::string kind;  ///< "placement", "routing" or "certification".
  std::vector<std::string> policies;
  std::vector<int64_t> downtime_weights;  ///< Placement only: downtime weights to try with policies that use them.
  int seed_count = 10;
  int64_t duration_seconds = 1800;
  int64_t mean_seconds_between_failures = 60;
  int64_t mean_repair_seconds = 300;
  int64_t requests_per_second = 60;
  int64_t operator_count = 6;
  Deployment deployment;
};

std::optional<Experiment> parse_experiment(const std::string& path, std::vector<std::string>& errors);

/// Median, minimum and maximum of one measure over all seeds.
struct SampleSummary {
  double median = 0;
  double minimum = 0;
  double maximum = 0;
};

struct ExperimentRow {
  std::string policy;
  std::map<std::string, SampleSummary> measures;
};

/// Runs every policy with every seed, using all processors. Each run depends only on its policy and seed.
std::vector<ExperimentRow> run_experiment(const Experiment& experiment);

std::string format_experiment_csv(const std::vector<ExperimentRow>& rows);
std::string format_experiment_json(const Experiment& experiment, const std::vector<ExperimentRow>& rows);
/// Draws a bar chart of one measure: the median per policy, with a line from minimum to maximum.
std::string format_experiment_svg(const Experiment& experiment, const std::vector<ExperimentRow>& rows,
                                  const std::string& measure);

}  // namespace larchlever::simulation
