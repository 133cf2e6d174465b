#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/charged_fleet.h"
#include "simulation/virtual_disk.h"

namespace larchlever::simulation {

/// Constants and node types that the parts of ChargedFleet share.
inline constexpr int kReplicaCount = 5;
inline constexpr Duration kNetworkDelay = microseconds(500);
inline constexpr const char* kServiceName = "engines";
inline const std::vector<std::string> kModelNames = {"large", "small"};

inline std::string zone_name(int zone) { return "z" + std::to_string(zone); }

/// A control replica with the steps that wait for its processor.
struct ChargedFleet::Replica {
  std::string name;
  std::string zone;
  std::unique_ptr<fleet::FleetController> controller;
  VirtualDisk disk;
  std::string founder_choice;
  std::deque<Step> steps;
  bool is_busy = false;
  bool is_cut = false;
  TimePoint last_tick{};
  ReplicaLoad load;
};

/// A hollow entry. Requests wait for a slot or for permission, then run until they are answered.
struct ChargedFleet::Entry {
  std::string name;
  std::string relay_address;
  std::string zone;
  int64_t incarnation = 1;
  bool is_running = true;
  std::unique_ptr<fleet::FleetSubscription> subscription;
  fleet::BlockedRequests tracker;
  std::map<int64_t, InFlightRequest> waiting;
  std::map<int64_t, InFlightRequest> permissions;
  std::map<int64_t, InFlightRequest> running;
  std::map<std::string, int> reported_loads;
  std::set<std::string> failed_groups;
  std::map<std::string, int64_t> started_by_model;
  int64_t next_id = 1;
  int64_t grants_term = 0;
  int64_t grants_seen = 0;
  bool is_report_scheduled = false;
  TimePoint next_complete_report{};
};

/// A hollow server; its instance is replaced when it restarts.
struct ChargedFleet::Server {
  int zone = 0;
  std::string address;
  std::string domain;
  int64_t born_ms = 1;
  bool is_up = true;
  bool is_gone = false;
  std::unique_ptr<SimulatedInstance> instance;
  TimePoint next_heartbeat{};
};

}  // namespace larchlever::simulation
