#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "simulation/experiment.h"
#include "simulation/scale_run.h"
#include "simulation/simulation_run.h"

namespace larchlever::cli {

namespace {

/// Runs one independent simulation per seed, on several threads, and adds up the results.
class FaultScheduleRunner {
 public:
  void run(uint64_t first_seed, uint64_t count, unsigned threads) {
    next_seed_ = first_seed;
    const uint64_t end_seed = first_seed + count;
    std::vector<std::thread> workers;
    for (unsigned number = 0; number < threads; ++number) {
      workers.emplace_back([this, end_seed] {
        for (uint64_t seed = next_seed_++; seed < end_seed; seed = next_seed_++) {
          add_result(simulation::run_simulation(simulation::fault_run_options(seed)));
        }
      });
    }
    for (auto& worker : workers) {
      worker.join();
    }
  }

  int report() const {
    std::cout << "runs " << total_runs_ << "  violations " << failed_runs_ << "  requests " << total_requests_
              << " (ran " << ran_requests_ << ", not run " << not_run_requests_ << ", unknown " << unknown_outcomes_
              << ")  changes accepted " << accepted_changes_ << "  conflicts " << conflicting_changes_ << "  checks "
              << total_checks_ << "\nfaults:";
    for (const auto& [fault, count] : fault_counts_) {
      std::cout << "  " << fault << " " << count;
    }
    std::cout << "\n";
    return failed_runs_ == 0 ? kExitSuccess : kExitFailed;
  }

 private:
  void add_result(const simulation::SimulationResult& result) {
    const std::lock_guard lock(mutex_);
    ++total_runs_;
    total_requests_ += result.workload.requests;
    ran_requests_ += result.workload.ran;
    not_run_requests_ += result.workload.not_run;
    unknown_outcomes_ += result.workload.unknown;
    accepted_changes_ += result.workload.accepted;
    conflicting_changes_ += result.workload.conflicts;
    total_checks_ += result.checks;
    for (const auto& [fault, count] : result.faults) {
      fault_counts_[fault] += count;
    }
    if (!result.violations.empty()) {
      ++failed_runs_;
      std::cout << "seed " << result.seed << " " << result.violations.front() << "\n";
    }
  }

  std::atomic<uint64_t> next_seed_{0};
  std::mutex mutex_;
  uint64_t total_runs_ = 0;
  uint64_t failed_runs_ = 0;
  uint64_t total_requests_ = 0;
  uint64_t ran_requests_ = 0;
  uint64_t not_run_requests_ = 0;
  uint64_t unknown_outcomes_ = 0;
  uint64_t accepted_changes_ = 0;
  uint64_t conflicting_changes_ = 0;
  uint64_t total_checks_ = 0;
  std::map<std::string, uint64_t> fault_counts_;
};

int run_experiment_file() {
  std::vector<std::string> errors;
  const auto experiment = simulation::parse_experiment(FLAGS_experiment, errors);
  for (const auto& error : errors) {
    std::cerr << FLAGS_experiment << ": " << error << "\n";
  }
  if (!experiment) {
    return kExitInvalid;
  }
  const auto rows = simulation::run_experiment(*experiment);
  std::cout << simulation::format_experiment_csv(rows);
  if (!FLAGS_out.empty()) {
    const std::filesystem::path folder = FLAGS_out;
    std::filesystem::create_directories(folder);
    std::ofstream(folder / (experiment->name + ".csv")) << simulation::format_experiment_csv(rows);
    std::ofstream(folder / (experiment->name + ".json")) << simulation::format_experiment_json(*experiment, rows);
    for (const auto& [measure, spread] : rows.front().measures) {
      if (measure != "violations") {
        std::ofstream(folder / (experiment->name + "-" + measure + ".svg"))
            << simulation::format_experiment_svg(*experiment, rows, measure);
      }
    }
  }
  return kExitSuccess;
}

int run_scale_measurements() {
  constexpr int kTargetNodes = 340;
  constexpr int kTargetMachines = 1400;
  std::vector<simulation::ScaleResult> results;
  for (const int nodes : {9, 40, 100, 200, kTargetNodes}) {
    if (nodes > FLAGS_hollow) {
      break;
    }
    const int machines = std::max(48, nodes * kTargetMachines / kTargetNodes);
    const int zones = nodes < 100 ? 3 : 15;
    results.push_back(simulation::run_scale(nodes, machines, zones, 10));
    std::cerr << "measured " << nodes << " nodes\n";
  }
  std::cout << simulation::format_scale_csv(results);
  return kExitSuccess;
}

}  // namespace

int run_simulate() {
  if (!FLAGS_experiment.empty()) {
    return run_experiment_file();
  }
  if (FLAGS_hollow > 0) {
    return run_scale_measurements();
  }
  const auto started = std::chrono::steady_clock::now();
  FaultScheduleRunner runs;
  runs.run(static_cast<uint64_t>(FLAGS_first_seed), static_cast<uint64_t>(FLAGS_runs),
           std::max(1U, std::thread::hardware_concurrency()));
  const int code = runs.report();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
  std::cout << "wall time " << elapsed.count() << " s\n";
  return code;
}

}  // namespace larchlever::cli
