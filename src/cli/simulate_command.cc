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

/// Runs seeds on several threads; each run is a world of its own.
class SeedRuns {
 public:
  void run(uint64_t first, uint64_t count, unsigned threads) {
    next_ = first;
    const uint64_t end = first + count;
    std::vector<std::thread> workers;
    for (unsigned number = 0; number < threads; ++number) {
      workers.emplace_back([this, end] {
        for (uint64_t seed = next_++; seed < end; seed = next_++) {
          note(simulation::run_simulation(simulation::fault_run_options(seed)));
        }
      });
    }
    for (auto& worker : workers) {
      worker.join();
    }
  }

  int report() const {
    std::cout << "runs " << runs_ << "  violations " << failed_ << "  requests " << requests_ << " (ran " << ran_
              << ", not run " << not_run_ << ", unknown " << unknown_ << ")  changes accepted " << accepted_
              << "  conflicts " << conflicts_ << "  checks " << checks_ << "\nfaults:";
    for (const auto& [fault, count] : faults_) {
      std::cout << "  " << fault << " " << count;
    }
    std::cout << "\n";
    return failed_ == 0 ? kExitDone : kExitFailed;
  }

 private:
  void note(const simulation::SimulationResult& result) {
    const std::lock_guard lock(mutex_);
    ++runs_;
    requests_ += result.workload.requests;
    ran_ += result.workload.ran;
    not_run_ += result.workload.not_run;
    unknown_ += result.workload.unknown;
    accepted_ += result.workload.accepted;
    conflicts_ += result.workload.conflicts;
    checks_ += result.checks;
    for (const auto& [fault, count] : result.faults) {
      faults_[fault] += count;
    }
    if (!result.violations.empty()) {
      ++failed_;
      std::cout << "seed " << result.seed << " " << result.violations.front() << "\n";
    }
  }

  std::atomic<uint64_t> next_{0};
  std::mutex mutex_;
  uint64_t runs_ = 0;
  uint64_t failed_ = 0;
  uint64_t requests_ = 0;
  uint64_t ran_ = 0;
  uint64_t not_run_ = 0;
  uint64_t unknown_ = 0;
  uint64_t accepted_ = 0;
  uint64_t conflicts_ = 0;
  uint64_t checks_ = 0;
  std::map<std::string, uint64_t> faults_;
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
  return kExitDone;
}

int run_scale_sizes() {
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
  return kExitDone;
}

}  // namespace

int run_simulate() {
  if (!FLAGS_experiment.empty()) {
    return run_experiment_file();
  }
  if (FLAGS_hollow > 0) {
    return run_scale_sizes();
  }
  const auto started = std::chrono::steady_clock::now();
  SeedRuns runs;
  runs.run(static_cast<uint64_t>(FLAGS_first_seed), static_cast<uint64_t>(FLAGS_runs),
           std::max(1U, std::thread::hardware_concurrency()));
  const int code = runs.report();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started;
  std::cout << "wall time " << elapsed.count() << " s\n";
  return code;
}

}  // namespace larchlever::cli
