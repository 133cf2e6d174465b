#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulated_fleet.h"

namespace larchlever::simulation {

struct WorkloadOptions {
  Duration request_interval = milliseconds(120);
  Duration change_interval = milliseconds(900);
  Duration service_time = milliseconds(150);
  int operator_count = 2;
  std::vector<std::string> tenants;
};

struct WorkloadStats {
  uint64_t requests = 0;
  uint64_t ran = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t replayed = 0;
  uint64_t changes = 0;
  uint64_t accepted = 0;
  uint64_t conflicts = 0;
  uint64_t in_force = 0;
};

/// Simulates callers that send and retry requests through several nodes, and operators that make concurrent changes and
/// retry commands whose replies were lost. Takes the place of the daemon's request path, with the same claims, routing
/// and outcomes.
class Workload {
 public:
  Workload(const WorkloadOptions& options, SimulatedFleet& fleet);

  /// Sends requests and changes until `end`.
  void start(TimePoint end);
  /// Changes `tenant` once, retrying a limited number of times until there is a reply; passes the reply to `done`.
  void apply_change(const std::string& tenant, std::function<void(const wire::OperatorReply&)> done);
  /// Applies the initial configuration; calls `done` on the reply.
  void configure(const std::vector<wire::KeyWrite>& writes, std::function<void()> done);
  /// Resends every change that was answered. The monitor checks that the new reply agrees with the first.
  void resend_answered_changes();

  const WorkloadStats& stats() const { return stats_; }

 private:
  struct CallerRequest {
    std::string tenant;
    std::string key;
    std::string id;
    int remaining_sends = 0;
    int remaining_attempts = 3;
    int64_t claim_nonce = 0;
    std::set<int64_t> tried_groups;
  };
  using RequestPointer = std::shared_ptr<CallerRequest>;
  using ReplyHandler = std::function<void(const wire::OperatorReply&)>;

  void send_next_request(TimePoint end);
  void send_next_change(TimePoint end, int operator_number);
  SimulatedNode* pick_running_node();
  void send_request(SimulatedNode& node, const RequestPointer& request);
  void dispatch_request(SimulatedNode& node, const RequestPointer& request);
  void apply_dispatch_defects(const routing::Router& router, const routing::TenantWithTemplate* tenant,
                              routing::RouteDecision& decision);
  void finish_request(SimulatedNode& node, const RequestPointer& request, wire::ClaimState::type state);
  void schedule_retry(const RequestPointer& request);
  void handle_claim_outcome(SimulatedNode& node, const node::ClaimOutcome& outcome);
  void send_operator_request(const wire::OperatorRequest& request, const ReplyHandler& handler, int attempts);
  void send_change(const wire::ConfigurationChange& change, const ReplyHandler& handler);
  void record_change_reply(const wire::ConfigurationChange& change, const wire::OperatorReply& reply);

  WorkloadOptions options_;
  SimulatedFleet& fleet_;
  std::map<std::pair<std::string, int64_t>, RequestPointer> pending_claims_;
  std::map<std::pair<std::string, int64_t>, ReplyHandler> pending_replies_;
  std::map<std::string, wire::ConfigurationChange> answered_changes_;
  int64_t next_id_ = 1;
  WorkloadStats stats_;
};

}  // namespace larchlever::simulation
