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
  void repair_all();
  const std::map<std::string, uint64_t>& fault_counts() const { return fault_counts_; }

 private:
  void schedule_next_fault(TimePoint end);
  void inject_fault();
  void inject_node_fault();
  void inject_network_fault();
  void inject_machine_fault();
  void inject_disk_fault();
  bool all_replicas_up_to_date() const;
  void cut_node_links(const std::string& node, bool bidirectional);
  std::string random_node();
  int random_number(int minimum, int maximum);
  void count_fault(const std::string& fault) { ++fault_counts_[fault]; }

  FaultOptions options_;
  SimulatedFleet& fleet_;
  TimePoint faults_suspended_until_{};
  bool second_disk_loss_pending_ = false;
  std::map<std::string, uint64_t> fault_counts_;
};

}  // namespace larchlever::simulation
