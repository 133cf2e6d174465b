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

#include "core/fleet/fleet_controller.h"
#include "simulation/event_queue.h"
#include "simulation/simulated_instance.h"
#include "simulation/virtual_disk.h"

namespace larchlever::simulation {

struct RegisteredFleetOptions {
  uint64_t seed = 1;
  /// Time during which faults are injected. Afterwards all faults are repaired.
  Duration fault_duration = seconds(60);
  /// Time in which the fleet must reach a stable state after the repair.
  Duration recovery_duration = seconds(40);
  Duration mean_fault_interval = milliseconds(900);
  /// Probability that an order gets no answer and is executed seconds later.
  double late_order_probability = 0.25;
  fleet::FleetOptions fleet;
  /// Time after which an open head with a missing member becomes broken. The supervisor assumes `fleet.stall_time`.
  Duration head_stall_time = seconds(5);
  /// If set, operators evacuate and restore zones, one order at a time.
  bool enable_zone_orders = false;
  /// Probability that a call forwarded between control replicas arrives once more, seconds later.
  double late_call_probability = 0;
  /// Injected defects, for tests that the checks detect them.
  bool entries_ignore_leases = false;
  bool entries_ignore_evacuations = false;
  bool acknowledge_unsynced_writes = false;
  /// If set, receives a line for every executed order, every instance report and every fault.
  std::function<void(const std::string&)> trace;
};

struct RegisteredFleetResult {
  std::vector<std::string> violations;
  uint64_t documents_acknowledged = 0;
  uint64_t evacuations_acknowledged = 0;
  uint64_t groups_opened = 0;
  uint64_t faults = 0;
  uint64_t open_groups_at_end = 0;
  uint64_t created_logs = 0;
};

/// Simulates a fleet of registered engine servers in virtual time. Five control replicas and three entries run the
/// daemon's own FleetController and FleetSubscription over a network that delays and loses messages and isolates nodes.
/// Servers execute orders late, die and restart; operators replace the configuration document. Checked invariants:
/// - the seeds create exactly one log, even if a seed starts late or restarts with an empty disk and its original
///   settings;
/// - an acknowledged document is never lost, and no entry serves with an older one for longer than the lease;
/// - a head opens only after every member was ready in the same group and epoch;
/// - no server accepts a join order to another group while the head of its current group is open;
/// - an acknowledged order to evacuate or restore a zone is never lost, and no entry contradicts it for longer than the
///   lease;
/// - at the end there is one leader, every entry serves with the newest document, and groups are open.
/// Runs with the same seed are identical.
class RegisteredFleet {
 public:
  explicit RegisteredFleet(const RegisteredFleetOptions& options);
  RegisteredFleetResult run();

 private:
  struct ControlReplica {
    std::string name;
    std::unique_ptr<fleet::FleetController> controller;
    VirtualDisk disk;
    int64_t start_count = 0;
    int64_t next_replica = 0;
    /// Stored on disk while the cluster forms.
    std::string founder_choice;
    uint64_t process_generation = 0;
    /// Fleet state last saved to disk, and when.
    wire::FleetState saved_state;
    TimePoint state_saved_at{};
    bool is_running = false;
    bool is_isolated = false;
  };
  struct EntryNode {
    std::string name;
    std::unique_ptr<fleet::FleetSubscription> subscription;
    TimePoint traffic_reported_at{};
    bool is_isolated = false;
  };
  /// A host for one engine server process. The address stays the same when the process restarts.
  struct ServerSlot {
    std::string address;
    std::string domain;
    std::string zone;
    std::unique_ptr<SimulatedInstance> instance;
    bool reachable = true;
    std::vector<std::string> staged;
  };
  struct PendingDocument {
    int64_t version = 0;
  };
  /// An operator's order to evacuate or restore a zone; retried until it is acknowledged or times out.
  struct ZoneOrder {
    std::string zone;
    bool is_evacuation = false;
    TimePoint first_sent_at{};
    std::optional<TimePoint> acknowledged_at;
  };

  bool draw_bool(double probability);
  int64_t draw_integer(int64_t minimum, int64_t maximum);
  Duration draw_network_delay();
  bool is_linked(const std::string& left, const std::string& right) const;

  void start_control_replica(ControlReplica& node);
  void start_replica(ControlReplica& node);
  void create_cluster_log(ControlReplica& node);
  static bool has_log(const ControlReplica& node);
  void stop_control_replica(ControlReplica& node, bool lose_unsynced_writes);
  void process_outputs(ControlReplica& node);
  void sync_disk(ControlReplica& node, const consensus::RaftOutput& batch);
  void deliver(const wire::Envelope& envelope);
  void send(const wire::Envelope& envelope);
  /// Delivers some calls once more, seconds later, as a link that was cut in the meantime would.
  void repeat_call_late(const wire::Envelope& envelope);
  void send_from(const EntryNode& entry, wire::Envelope envelope);
  void report_traffic(const EntryNode& entry);
  void send_order(ControlReplica& node, const fleet::InstanceOrder& order);
  int execute_instance_order(const fleet::InstanceOrder& order);
  void tick();
  void send_heartbeat(ServerSlot& slot);
  /// Sends a heartbeat now and then at every heartbeat interval.
  void send_periodic_heartbeats(ServerSlot& slot);
  void put_document(int64_t version);
  void start_zone_order();
  void send_zone_order();
  /// Returns the last order for the zone if it was acknowledged at least `minimum_age` ago, else null.
  const ZoneOrder* find_acknowledged_order(const std::string& zone, Duration minimum_age) const;
  /// Checks a node's evacuations against the orders that were acknowledged at least `minimum_age` ago.
  void check_evacuations(const std::string& node_name, const wire::ZoneEvacuations& node_evacuations,
                         Duration minimum_age);
  void inject_fault();
  void inject_control_fault();
  void inject_server_fault();
  void repair_all();

  void check_join_order(const SimulatedInstance& instance, const fleet::InstanceOrder& order);
  void check_opened_group(const SimulatedInstance& head);
  void check_leases();
  void check_final_state();
  SimulatedInstance* find_instance(const std::string& id);
  void add_violation(const std::string& description);
  void trace(const std::string& description) const;

  RegisteredFleetOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<ControlReplica> control_replicas_;
  std::vector<EntryNode> entries_;
  std::vector<ServerSlot> server_slots_;
  int64_t next_instance_ = 1;
  int64_t next_version_ = 1;
  int64_t newest_acknowledged_version_ = 0;
  /// Time at which each document version was first acknowledged.
  std::map<int64_t, TimePoint> document_acknowledged_at_;
  std::map<std::pair<std::string, int64_t>, PendingDocument> pending_documents_;
  /// Separate generator for zone orders, so that enabling them does not change the other random choices.
  std::mt19937_64 operator_random_;
  std::vector<ZoneOrder> zone_orders_;
  /// Maps the pending call (node, call id) of a zone order to its index in `zone_orders_`.
  std::map<std::pair<std::string, int64_t>, size_t> pending_zone_calls_;
  std::set<std::pair<std::string, int64_t>> ready_memberships_;
  TimePoint last_disk_loss_ = TimePoint::min();
  bool faults_ended_ = false;
  RegisteredFleetResult result_;
};

}  // namespace larchlever::simulation
