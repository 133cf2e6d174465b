#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "core/admission/budget_allocator.h"
#include "core/control/control_options.h"
#include "core/control/control_state.h"
#include "core/control/group_supervisor.h"
#include "core/control/presence_table.h"
#include "core/control/replica_supervisor.h"
#include "core/membership/node_directory.h"
#include "core/membership/watch_assignment.h"

namespace larchlever::control {

struct LeaderStats {
  uint64_t heartbeats = 0;
  uint64_t stale_heartbeats = 0;
  uint64_t full_copies_sent = 0;
  uint64_t claims = 0;
  uint64_t claim_batches = 0;
};

/// Duties of the log leader other than replication: answers heartbeats with configuration, leases, concurrency budgets
/// and watch lists; decides claims; replies to operators once their change is in force on all nodes; supervises groups
/// and replicas.
///
/// All state is soft and lasts for one term. The owner must check `RaftNode::is_ready_leader` before each call that
/// grants anything. Single-threaded, deterministic.
class ControlLeader {
 public:
  ControlLeader(const ControlOptions& options, std::string node);

  /// Starts a term: resets the soft state and the time until which leases of earlier leaders may be valid.
  void start(TimePoint now);

  /// A command to append to the log, and the requests to answer once it is applied.
  struct Proposal {
    wire::Command command;
    /// Node and request id of each claim in the command, in the same order.
    std::vector<std::pair<std::string, int64_t>> claim_requests;
    /// Node and request id of each resolution in the command.
    std::vector<std::pair<std::string, int64_t>> resolution_requests;
    /// Node and request id of the operator's request, if the command comes from one.
    std::optional<std::pair<std::string, int64_t>> operator_request;
    int64_t term = 0;
  };
  struct Outputs {
    std::vector<Proposal> proposals;
    std::vector<EngineOrder> orders;
    std::optional<wire::ReplicaSet> replicas;
    std::vector<wire::Envelope> envelopes;
  };

  wire::HeartbeatReply on_heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                                    const ControlState& state);
  void on_claim_request(const std::string& node, const wire::ClaimRequest& request);
  void on_resolution_request(const std::string& node, const wire::ResolutionRequest& request);
  void on_operator_request(TimePoint now, const std::string& node, const wire::OperatorRequest& request,
                           const consensus::RaftNode& raft, const ControlState& state);
  /// Takes the platform's membership list, which names existing machines and those that are leaving. Advisory only.
  void on_membership_list(const std::vector<wire::Machine>& machines);
  void on_order_result(const OrderResult& result) { groups_.on_order_result(result); }

  /// The proposal was appended to the log at `index` in `term`.
  void on_proposal_appended(int64_t index, int64_t term, Proposal proposal);
  /// The log entry at `index` with `term` was applied. If its term differs from the proposal's, another leader
  /// overwrote the proposal; its requesters get no reply and have to retry.
  void on_entry_applied(TimePoint now, int64_t index, int64_t term, const ApplyResult& result);
  void tick(TimePoint now, const consensus::RaftNode& raft, const ControlState& state);
  Outputs take_outputs();

  const LeaderStats& stats() const { return stats_; }
  const GroupSupervisor& groups() const { return groups_; }
  const membership::NodeDirectory& nodes() const { return nodes_; }
  const PresenceTable& presence() const { return presence_; }

 private:
  /// An accepted change whose reply waits until the change is in force on all nodes.
  struct PendingChange {
    std::string node;
    int64_t request_id = 0;
    wire::ChangeAnswer answer;
    TimePoint deadline{};
  };

  void record_sightings(TimePoint now, const std::string& node, const wire::Heartbeat& heartbeat);
  void fill_records(const wire::Heartbeat& heartbeat, const ControlState& state, wire::HeartbeatReply& reply);
  void fill_budgets(TimePoint now, TimePoint budgets_until, const std::string& node, const wire::Heartbeat& heartbeat,
                    const ControlState& state, wire::HeartbeatReply& reply);
  void update_watches(TimePoint now, const ControlState& state);
  void propose_observations(const ControlState& state);
  void propose_entry_losses(TimePoint now);
  void answer_pending_changes(TimePoint now);
  void propose(wire::Command command);
  void add_pending_change(TimePoint now, const std::string& node, int64_t request_id, const wire::ChangeAnswer& answer);
  wire::OperatorReply& add_operator_reply(const std::string& node, int64_t request_id);
  wire::StatusReport make_status_report(TimePoint now, const consensus::RaftNode& raft,
                                        const ControlState& state) const;
  wire::Envelope& add_envelope(const std::string& node);

  ControlOptions options_;
  std::string node_;
  /// When all leases that earlier leaders may have granted have expired.
  TimePoint old_leases_until_{};
  membership::NodeDirectory nodes_;
  PresenceTable presence_;
  GroupSupervisor groups_;
  ReplicaSupervisor replicas_;
  admission::BudgetAllocator budgets_;
  /// Machines from the platform's membership list, by id.
  std::map<std::string, wire::Machine> listed_machines_;
  /// Send times of heartbeat replies, by node and sequence number.
  std::map<std::string, std::map<int64_t, TimePoint>> reply_sent_at_;
  /// The machines that each node polls, the nodes and machines that this was computed from, and its version.
  membership::WatchAssignment watch_assignment_;
  std::vector<std::string> watch_inputs_;
  int64_t watch_version_ = 0;
  TimePoint next_supervision_at_{};
  TimePoint next_watch_update_at_{};
  std::vector<PendingChange> pending_changes_;
  /// Claims and resolutions that are not proposed yet.
  Proposal claim_batch_;
  /// Proposals that are not applied yet, by log index.
  std::map<int64_t, Proposal> in_flight_proposals_;
  /// Tenants decoded from the records at `tenants_revision_`; a cache.
  std::vector<wire::Tenant> tenants_;
  Revision tenants_revision_{-1};
  Outputs outputs_;
  LeaderStats stats_;
};

}  // namespace larchlever::control
