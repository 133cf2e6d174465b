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
  /// Faults strike during this time; then everything is repaired and the fleet must come to rest.
  Duration fault_duration = seconds(60);
  Duration recovery_duration = seconds(40);
  Duration mean_fault_interval = milliseconds(900);
  /// Share of the orders that get no answer and are carried out seconds later.
  double late_order_probability = 0.25;
  fleet::FleetOptions fleet;
  /// How long a head that misses a member really stands still before it is broken.
  Duration head_stall_time = seconds(5);
  /// Operators evacuate and restore zones, one order after the other.
  bool enable_zone_orders = false;
  /// Planted defects, to show that the checks find them.
  bool entries_ignore_leases = false;
  bool entries_ignore_evacuations = false;
  bool acknowledge_unsynced_writes = false;
  /// If set, told of every order carried out, every report and every fault.
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

/// A registered fleet in virtual time: five control replicas and three entries run the daemon's own FleetController and
/// FleetSubscription over a network that delays, loses and cuts; servers carry out orders late, die and come back;
/// operators send documents. Checked all the while:
/// - the seeds found one log, whoever comes late or returns with an empty disk and the settings of the first start;
/// - an acknowledged document is never lost, and nobody serves by an older one longer than the lease;
/// - a head opens only when every member was ready under the group's name and epoch;
/// - no server takes a join to another group while the head of its group is open;
/// - an acknowledged order to evacuate or restore a zone is never lost, and nobody serves against it longer than the
///   lease;
/// - at the end the fleet comes to rest: a leader, the newest document everywhere, groups open.
/// The same seed gives the same run.
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
    /// Kept on its disk while the fleet forms.
    std::string founder_choice;
    uint64_t process_generation = 0;
    /// The fleet's state as last kept on disk, and when.
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
  /// A server's place: its address outlives each start.
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
  /// An operator's order on a zone, sent again until it is acknowledged or its time is over.
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
  void send_from(const EntryNode& entry, wire::Envelope envelope);
  void report_traffic(const EntryNode& entry);
  void send_order(ControlReplica& node, const fleet::InstanceOrder& order);
  int execute_instance_order(const fleet::InstanceOrder& order);
  void tick();
  void send_heartbeat(ServerSlot& slot);
  /// Sends a heartbeat now and at every interval from now on.
  void send_periodic_heartbeats(ServerSlot& slot);
  void put_document(int64_t version);
  void start_zone_order();
  void send_zone_order();
  /// The last order on the zone, if it was acknowledged at least `age` ago.
  const ZoneOrder* find_acknowledged_order(const std::string& zone, Duration minimum_age) const;
  /// Compares what somebody holds with the orders acknowledged at least `age` ago.
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
  /// When each version was first acknowledged.
  std::map<int64_t, TimePoint> document_acknowledged_at_;
  std::map<std::pair<std::string, int64_t>, PendingDocument> pending_documents_;
  /// Operators' own, so that runs without their orders are the same as ever.
  std::mt19937_64 operator_random_;
  std::vector<ZoneOrder> zone_orders_;
  /// Which of `zone_orders_` each open call of a control node carries.
  std::map<std::pair<std::string, int64_t>, size_t> pending_zone_calls_;
  std::set<std::pair<std::string, int64_t>> ready_memberships_;
  TimePoint last_disk_loss_ = TimePoint::min();
  bool faults_ended_ = false;
  RegisteredFleetResult result_;
};

}  // namespace larchlever::simulation
