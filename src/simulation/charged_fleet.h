#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/base/work_meter.h"
#include "core/fleet/crash_attribution/blocked_requests.h"
#include "core/fleet/fleet_controller.h"
#include "simulation/event_queue.h"
#include "simulation/simulated_instance.h"

namespace larchlever::simulation {

struct ChargedFleetOptions {
  uint64_t seed = 1;
  int zones = 5;
  int entries = 295;
  int domains_per_zone = 5;
  int servers_per_domain = 37;
  /// Fraction of a core that a control replica has: its measured processor time is divided by it.
  double processor_share = 0.3;
  double requests_per_second = 814;
  fleet::FleetOptions fleet;
};

/// Processor use of one control replica. All times are virtual: measured processor time divided by the share of a core.
struct ReplicaLoad {
  WorkMeter work;
  Duration longest_step{};
  std::string longest_step_name;
  /// Longest time between the starts of two ticks.
  Duration longest_tick_gap{};
};

struct ChargedFleetResult {
  /// Of the replica that leads at the end.
  ReplicaLoad leader;
  Duration elapsed{};
  int leader_changes = 0;
  uint64_t requests = 0;
  /// Requests withheld because of a suspected or blocked cause. No simulated request is harmful.
  uint64_t withheld_requests = 0;
  uint64_t suspected_parts = 0;
  uint64_t blocked_causes = 0;
  /// Time from an acknowledged leaving to the last entry that learned of it; the longest one.
  Duration longest_leaving_delay{};
  uint64_t acknowledged_leavings = 0;
};

/// A registered fleet at full scale in virtual time, whose control replicas are charged for the processor time that
/// they use. Five FleetControllers run the daemon's code; a handler that takes long delays those behind it, as on a
/// machine with a fraction of a core. Entries and servers are hollow and cost no virtual time: entries subscribe, ask
/// for slots, report loads and the ends of servers; servers register, join and open groups.
///
/// The random choices of two runs are equal, but the charged times are measured, so that runs differ in their timing.
class ChargedFleet {
 public:
  explicit ChargedFleet(const ChargedFleetOptions& options);
  ~ChargedFleet();

  /// Advances until `share` of the engine servers are in open groups. Returns false after `timeout`.
  bool wait_until_serving(double share, Duration timeout);
  void advance(Duration duration);
  /// Discards everything measured so far.
  void reset_measurements();
  ChargedFleetResult result() const;

  /// All servers of the zone crash now and restart after `down_time`.
  void crash_zone(int zone, Duration down_time);
  /// The replica exchanges no messages with the other replicas for `duration`; entries and servers reach it.
  void cut_replica(int replica, Duration duration);
  /// `share` of the entries restart with empty state, one after the other within `duration`.
  void restart_entries(double share, Duration duration);
  /// Entries report that `count` servers ended under different requests, evenly over `duration`.
  void report_server_ends(int count, Duration duration);
  /// A head leaves: it deregisters at the given replica until that is acknowledged.
  void deregister_head(int replica);
  /// Index of the leading replica; -1 if there is none.
  int leader_index() const;

 private:
  struct Replica;
  struct Entry;
  struct Server;
  struct Step {
    const char* name = "";
    std::function<void()> work;
  };
  struct InFlightRequest {
    requests::RequestFingerprint fingerprint;
    std::vector<requests::RequestFingerprint> parts;
    std::string model;
    std::string group;
    TimePoint started_at{};
  };
  struct Leaving {
    std::string instance;
    TimePoint acknowledged_at = TimePoint::max();
  };

  void post(Replica& replica, const char* name, std::function<void()> work);
  void run_next_step(Replica& replica);
  void start_replica(Replica& replica);
  void process_outputs(Replica& replica, std::vector<wire::Envelope>& sent);
  void tick_replica(Replica& replica);
  void send(const wire::Envelope& envelope);
  void deliver_to_entry(Entry& entry, const wire::Envelope& envelope);
  void send_from(const Entry& entry, wire::Envelope envelope);
  void execute_order(Replica& replica, const fleet::InstanceOrder& order);
  void tick_entry(Entry& entry);
  void send_heartbeat_if_due(Entry& entry);
  void start_request(Entry& entry);
  void ask_for_slot(Entry& entry, InFlightRequest request);
  void finish_request(Entry& entry, int64_t id);
  void send_report(Entry& entry, std::vector<wire::SlotRequest> requests, bool is_complete);
  void report_load_soon(Entry& entry);
  void tick_server(Server& server);
  void send_heartbeat(Server& server);
  void crash(Server& server, Duration down_time);
  void lose_requests(const std::string& group, const std::string& incarnation);
  void note_leavings(Entry& entry);
  bool draw_bool(double probability);
  int64_t draw_integer(int64_t minimum, int64_t maximum);
  static std::string incarnation_of(const Server& server);

  ChargedFleetOptions options_;
  std::mt19937_64 random_;
  EventQueue queue_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<std::string, Replica*> replicas_by_name_;
  std::map<std::string, Entry*> entries_by_name_;
  std::map<std::string, Server*> servers_by_id_;
  std::vector<Leaving> leavings_;
  std::map<std::pair<std::string, int64_t>, size_t> pending_leavings_;
  std::string last_leader_;
  TimePoint measured_since_{};
  int64_t next_fingerprint_ = 1'000'000;
  ChargedFleetResult result_;
};

}  // namespace larchlever::simulation
