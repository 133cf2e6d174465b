#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "simulation/simulated_fleet.h"

namespace larchlever::simulation {

struct FaultOptions {
  /// Mean of the exponentially distributed time between faults.
  Duration mean_interval = milliseconds(1200);
  bool disk_faults = true;
};

/// Injects faults on a schedule derived from the seed; several may be active at once: node crashes and pauses, network
/// partitions (one-way, of a whole node, or from the back ends), message loss, duplication and delay, machines that
/// die, pause, restart or leave, lost and rolled-back disks, and a second disk loss right after the repair of the
/// first.
///
/// A disk fails only while every other control replica is up and up to date: the design tolerates no more than that.
class FaultInjector {
 public:
  FaultInjector(const FaultOptions& options, SimulatedFleet& fleet) : options_(options), fleet_(fleet) {}

  void start(TimePoint end);
  /// Ends all active faults: restarts nodes and machines and restores all links.
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
