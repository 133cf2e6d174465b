#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/fleet/fleet_leader.h"
#include "core/fleet/registration.h"

namespace larchlever::node {

/// Logs a control replica's decisions and, while it leads, the state of the fleet: one line per change, and a summary
/// every second. Remembers what was last logged to detect changes. Runs on one thread.
class FleetChangeLogger {
 public:
  /// `name` is the name of this node.
  explicit FleetChangeLogger(std::string name) : node_name_(std::move(name)) {}

  void log_group_change(const fleet::GroupDecision& decision) const;
  void log_suspicion(const fleet::SuspicionEvent& event) const;
  void log_speed_change(const fleet::PlainServerSpeedChange& change) const;
  void log_zone_call(const fleet::ZoneCallDecision& decision) const;
  /// Logs that a report of an instance was refused. Rate-limited to a few lines a second, each with the total refused
  /// so far.
  void log_malformed_report(TimePoint now, const std::string& instance, const fleet::MalformedReport& report_error);
  /// Logs what changed since the last call. Call at each tick while this replica leads.
  void log_changes(TimePoint now, const fleet::FleetLeader& leader) {
    log_instance_changes(leader);
    log_blocked_request_changes(leader);
    log_pace_changes(now, leader);
    log_fleet_summary(now, leader);
  }

 private:
  /// Last logged state of an instance; a change is logged.
  struct LoggedInstance {
    wire::InstanceState::type state = wire::InstanceState::READY;
    bool silent = false;
    std::string model;
    std::vector<std::string> staged_models;
    int64_t born_ms = 0;
    std::optional<double> limit_per_second;
    bool operator==(const LoggedInstance&) const = default;
  };

  void log_instance_changes(const fleet::FleetLeader& leader);
  void log_blocked_request_changes(const fleet::FleetLeader& leader);
  /// Logs which groups began or ended to count as slow.
  void log_pace_changes(TimePoint now, const fleet::FleetLeader& leader);
  void log_fleet_summary(TimePoint now, const fleet::FleetLeader& leader);

  std::string node_name_;
  std::map<std::string, LoggedInstance> logged_instances_;
  std::vector<wire::BlockedRequest> logged_blocked_requests_;
  /// Groups last logged as slow.
  std::set<std::string> logged_slow_groups_;
  /// Number of instance reports refused since the process started.
  uint64_t malformed_report_count_ = 0;
  TimePoint next_malformed_report_log_{};
  TimePoint next_summary_{};
};

}  // namespace larchlever::node
