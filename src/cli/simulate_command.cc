#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "cli/command_line.h"
#include "cli/flags.h"
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
  void note(const simulation::RunResult& result) {
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

}  // namespace

int run_simulate() {
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
