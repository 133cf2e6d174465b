#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/node/node_controller.h"
#include "simulation/event_queue.h"
#include "simulation/invariant_monitor.h"
#include "simulation/simulated_machine.h"
#include "simulation/virtual_disk.h"

namespace larchlever::simulation {

/// Size and machine type of one zone of the simulated fleet.
struct ZoneOptions {
  std::string name;
  int domains = 2;
  int machines_per_domain = 3;
  int accelerators = 8;
  bool checks_fences = true;
};

/// Defects that can be enabled to test that the invariant monitor detects them.
struct InjectedDefects {
  bool entries_ignore_leases = false;        ///< Entries dispatch even without a valid configuration lease.
  bool entries_ignore_zones = false;         ///< Entries dispatch to any group of the template, whatever its zone.
  bool acknowledge_unsynced_writes = false;  ///< Writes are acknowledged before they are synced.
  bool dispatch_without_claim = false;       ///< Requests with a key are dispatched without a committed claim.
  bool report_unknown_as_not_run = false;    ///< Callers get "not run" when the outcome is unknown.
  bool in_force_at_commit = false;           ///< A change is reported as in force once it is committed.
  bool reads_from_any_node = false;          ///< Configuration reads use the local state of any node.
};

struct SimulatedFleetOptions {
  std::vector<ZoneOptions> zones;
  int node_count = 6;
  int disk_count = 4;  ///< Number of nodes with a disk; these are the control nodes.
  node::NodeControllerOptions controller;
  Duration tick_interval = milliseconds(20);
  Duration network_delay = microseconds(500);
  Duration network_jitter = milliseconds(2);  ///< Mean of the random delay added to `network_delay`.
  Duration disk_sync_time = milliseconds(2);
  Duration load_time = milliseconds(800);
  Duration poll_interval = milliseconds(400);
  Duration membership_lag = seconds(2);
  double max_clock_drift = 0.004;
  InjectedDefects defects;
  /// Measures encoded message bytes and processor time per node; slows the simulation down.
  bool measure_cost = false;
  uint64_t seed = 1;
};

/// Resources that one node has used so far.
struct NodeCost {
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t messages_sent = 0;
  uint64_t synced_batches = 0;
  int64_t processor_ns = 0;
};

/// Faults currently active on the network.
struct NetworkFaults {
  double loss_probability = 0;
  double duplication_probability = 0;
  Duration extra_delay{};
  /// One-way partitions: messages from `first` to `second` are dropped.
  std::set<std::pair<std::string, std::string>> cuts;
};

struct SimulatedNode {
  std::string name;
  std::string zone;
  bool has_disk = false;
  bool running = false;
  TimePoint paused_until = TimePoint::min();
  double clock_rate = 1.0;
  int64_t incarnation = 0;
  uint64_t process_generation = 0;
  bool is_syncing = false;
  std::unique_ptr<node::NodeController> controller;
  VirtualDisk disk;
  NodeCost cost;
};

/// Simulates nodes, machines and their network in virtual time. The nodes run the daemon's own NodeController; only
/// network, disks, clocks and back ends are simulated. Deterministic for a given seed; single-threaded.
class SimulatedFleet {
 public:
  SimulatedFleet(const SimulatedFleetOptions& options, EventQueue& queue, InvariantMonitor& monitor);

  /// Bootstraps the replicated log on the first node and starts all nodes.
  void start();

  void crash(const std::string& node);
  void restart(const std::string& node);
  void pause(const std::string& node, Duration duration);
  /// Replaces the node's disk by an empty one. The node must be down.
  void lose_disk(const std::string& node);
  bool roll_back_disk(const std::string& node);
  NetworkFaults& network() { return network_; }

  std::map<std::string, SimulatedNode>& nodes() { return nodes_; }
  std::map<std::string, SimulatedMachine>& machines() { return machines_; }
  SimulatedNode* leader();
  TimePoint local_now(const SimulatedNode& node) const;
  bool is_up(const SimulatedNode& node) const { return node.running && queue_.now() >= node.paused_until; }
  std::mt19937_64& random() { return random_; }
  const SimulatedFleetOptions& options() const { return options_; }
  EventQueue& queue() { return queue_; }
  InvariantMonitor& monitor() { return monitor_; }
  Duration random_delay();
  /// Processes the pending outputs of the node's controller: messages, disk writes, orders and replies. Must be called
  /// after every input to the controller.
  void process_outputs(SimulatedNode& node);

  /// Outcome of one request attempt; `kLost` means that it is unknown whether the request ran.
  enum class AttemptResult { kExecuted, kRefused, kLost };
  /// Sends a request to the group's first machine and passes the outcome to `done`.
  void run_request(SimulatedNode& node, const wire::Group& group, const std::string& tenant,
                   const std::string& request_id, const std::string& key, Duration service_time,
                   std::function<void(AttemptResult)> done);

  std::function<void(SimulatedNode&, const node::ClaimOutcome&)> on_claim_outcome;
  std::function<void(SimulatedNode&, const wire::OperatorReply&)> on_operator_reply;
  std::function<void(SimulatedNode&)> on_tick;

  uint64_t message_count() const { return message_count_; }

 private:
  void start_node(SimulatedNode& node);
  void tick(const std::string& name, uint64_t process_generation);
  void deliver(const std::string& to, wire::Envelope envelope);
  void send_envelope(SimulatedNode& from, const wire::Envelope& envelope);
  /// Runs `work` and adds its processor time to the node's cost.
  void run_and_measure(SimulatedNode& node, const std::function<void()>& work);
  void start_sync(SimulatedNode& node);
  void poll_machines(const std::string& name, uint64_t process_generation);
  void publish_membership(const std::string& name, uint64_t process_generation);
  void send_order(SimulatedNode& node, const control::EngineOrder& order);
  void check_invariants(SimulatedNode& node);
  bool machine_link_is_cut(const std::string& node) const;
  /// Runs `action` on the node, after its pause if it is paused. Does nothing if that process has ended.
  void run_on_node(const std::string& name, uint64_t process_generation, std::function<void(SimulatedNode&)> action);
  double draw_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  SimulatedFleetOptions options_;
  EventQueue& queue_;
  InvariantMonitor& monitor_;
  std::mt19937_64 random_;
  std::map<std::string, SimulatedNode> nodes_;
  std::map<std::string, SimulatedMachine> machines_;
  NetworkFaults network_;
  int64_t next_incarnation_ = 1;
  int64_t next_replica_ = 1000;
  uint64_t message_count_ = 0;
};

}  // namespace larchlever::simulation
