#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "simulation/simulated_fleet.h"

namespace larchlever::simulation {

struct FaultOptions {
  Duration mean_interval = milliseconds(1200);
  bool disk_faults = true;
};

/// Provokes the faults of the brief from a seeded schedule, several at once: crashes, pauses, cuts (one-way, whole
/// node, zone, back ends), loss, duplication, delay, machines that die, pause and return, lost and rolled-back disks,
/// a second loss right after a repair.
///
/// Disks fail only while every other control replica is up and complete: more than that the design does not promise.
class FaultInjector {
 public:
  FaultInjector(const FaultOptions& options, SimulatedFleet& fleet) : options_(options), fleet_(fleet) {}

  void start(TimePoint end);
  /// Ends every fault: nodes run, links carry, machines are back.
  void heal();
  const std::map<std::string, uint64_t>& counts() const { return counts_; }

 private:
  void next(TimePoint end);
  void inject();
  void fault_node();
  void fault_links();
  void fault_machine();
  void fault_disk();
  bool replicas_are_whole() const;
  void cut_both(const std::string& node, bool both_ways);
  std::string random_node();
  int random_number(int least, int most);
  void count(const std::string& fault) { ++counts_[fault]; }

  FaultOptions options_;
  SimulatedFleet& fleet_;
  TimePoint quiet_until_{};
  bool second_loss_due_ = false;
  std::map<std::string, uint64_t> counts_;
};

}  // namespace larchlever::simulation
