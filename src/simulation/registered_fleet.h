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
  Duration fault_time = seconds(60);
  Duration calm_time = seconds(40);
  Duration mean_fault_interval = milliseconds(900);
  /// Share of the orders that get no answer and are carried out seconds later.
  double late_orders = 0.25;
  fleet::FleetOptions fleet;
  /// How long a head that misses a member really stands still before it is broken.
  Duration server_stall = seconds(5);
  /// Operators evacuate and restore zones, one order after the other.
  bool operators_evacuate = false;
  /// Planted defects, to show that the checks find them.
  bool entries_ignore_leases = false;
  bool entries_miss_evacuations = false;
  bool lying_disks = false;
  /// If set, told of every order carried out, every report and every fault.
  std::function<void(const std::string&)> trace;
};

struct RegisteredFleetResult {
  std::vector<std::string> violations;
  uint64_t documents_acknowledged = 0;
  uint64_t evacuations_acknowledged = 0;
  uint64_t groups_opened = 0;
  uint64_t faults = 0;
  uint64_t open_at_end = 0;
  uint64_t logs_founded = 0;
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
  struct ControlNode {
    std::string name;
    std::unique_ptr<fleet::FleetController> controller;
    VirtualDisk disk;
    int64_t boots = 0;
    int64_t next_replica = 0;
    /// Kept on its disk while the fleet forms.
    std::string founder_choice;
    uint64_t life = 0;
    /// The fleet's state as last kept on disk, and when.
    wire::FleetState saved_state;
    TimePoint saved_at{};
    bool up = false;
    bool cut = false;
  };
  struct EntryNode {
    std::string name;
    std::unique_ptr<fleet::FleetSubscription> subscription;
    TimePoint reported_at{};
    bool cut = false;
  };
  /// A server's place: its address outlives each start.
  struct Place {
    std::string address;
    std::string domain;
    std::string zone;
    std::unique_ptr<SimulatedInstance> instance;
    bool reachable = true;
    std::vector<std::string> staged;
  };
  struct PendingPut {
    int64_t version = 0;
  };
  /// An operator's order on a zone, sent again until it is acknowledged or its time is over.
  struct ZoneOrder {
    std::string zone;
    bool begins = false;
    TimePoint first_sent{};
    std::optional<TimePoint> acknowledged;
  };

  bool chance(double probability);
  int64_t draw(int64_t least, int64_t most);
  Duration network_delay();
  bool linked(const std::string& left, const std::string& right) const;

  void start_control(ControlNode& node);
  void start_replica(ControlNode& node);
  void found_cluster(ControlNode& node);
  static bool holds_log(const ControlNode& node);
  void stop_control(ControlNode& node, bool power_lost);
  void carry_outputs(ControlNode& node);
  void sync_disk(ControlNode& node, const consensus::RaftOutput& batch);
  void deliver(const wire::Envelope& envelope);
  void send(const wire::Envelope& envelope);
  void send_from(const EntryNode& entry, wire::Envelope envelope);
  void report_traffic(const EntryNode& entry);
  void send_order(ControlNode& node, const fleet::InstanceOrder& order);
  int execute(const fleet::InstanceOrder& order);
  void tick();
  void beat(Place& place);
  /// Sends a heartbeat now and at every interval from now on.
  void keep_beating(Place& place);
  void put_document(int64_t version);
  void begin_zone_order();
  void send_zone_order();
  /// The last order on the zone, if it was acknowledged at least `age` ago.
  const ZoneOrder* settled_order(const std::string& zone, Duration age) const;
  /// Compares what somebody holds with the orders acknowledged at least `age` ago.
  void check_evacuations(const std::string& who, const wire::ZoneEvacuations& held, Duration age);
  void strike();
  void strike_control();
  void strike_server();
  void heal_all();

  void check_join(const SimulatedInstance& instance, const fleet::InstanceOrder& order);
  void check_open(const SimulatedInstance& head);
  void check_leases();
  void check_rest();
  SimulatedInstance* find_instance(const std::string& id);
  void violate(const std::string& what);
  void trace(const std::string& what) const;

  RegisteredFleetOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<ControlNode> controls_;
  std::vector<EntryNode> entries_;
  std::vector<Place> places_;
  int64_t next_instance_ = 1;
  int64_t next_version_ = 1;
  int64_t newest_acknowledged_ = 0;
  /// When each version was first acknowledged.
  std::map<int64_t, TimePoint> acknowledged_at_;
  std::map<std::pair<std::string, int64_t>, PendingPut> puts_;
  /// Operators' own, so that runs without their orders are the same as ever.
  std::mt19937_64 operators_random_;
  std::vector<ZoneOrder> zone_orders_;
  /// Which of `zone_orders_` each open call of a control node carries.
  std::map<std::pair<std::string, int64_t>, size_t> pending_zone_calls_;
  std::set<std::pair<std::string, int64_t>> ever_ready_;
  TimePoint last_wipe_ = TimePoint::min();
  bool calm_ = false;
  RegisteredFleetResult result_;
};

}  // namespace larchlever::simulation
