#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "consensus/replica_routes.h"
#include "core/control/control_leader.h"
#include "core/control/control_state.h"
#include "core/node/entry_agent.h"

namespace larchlever::node {

struct NodeControllerOptions {
  control::ControlOptions control;
  consensus::RaftOptions raft;
  routing::RoutingPolicy routing_policy = routing::RoutingPolicy::kPrefixAffinity;
  size_t queue_limit = 256;
  std::vector<std::string> control_nodes;
  /// How often an unanswered request to the leader is sent again.
  Duration request_retry_interval = milliseconds(400);
  uint64_t seed = 1;
};

/// What became of a claim that this node asked for.
struct ClaimOutcome {
  int64_t request_id = 0;
  /// False: no quorum answered in time. The claim may stand, so the caller must resolve it as not run.
  bool decided = false;
  bool granted = false;
  bool key_expired = false;
  wire::Claim existing_claim;
};

struct NodeOutputs {
  std::vector<wire::Envelope> envelopes;
  /// To be written in this order, each then handed back to `NodeController::written`.
  std::vector<consensus::RaftOutput> storage;
  std::vector<control::EngineOrder> orders;
  std::vector<ClaimOutcome> claim_outcomes;
  std::vector<wire::OperatorReply> operator_replies;
};

/// All decisions of one node: its replica of the log (if it has a disk), the leader's work while it leads, and the
/// entry's side. The daemon and the simulator run this same object; they differ in who carries its outputs.
///
/// Inputs are methods that take the time; outputs are collected until `take_outputs`. Nothing here reads a clock,
/// touches a file or socket, or keeps a thread. Single-threaded.
class NodeController {
 public:
  NodeController(const NodeControllerOptions& options, NodeIdentity identity, TimePoint now);

  /// Joins the log under the data folder's identity. May be called again after `replica_failed` or an identity change.
  void start_replica(TimePoint now, ReplicaId replica_id, consensus::PersistedState persisted);
  /// The data folder failed: this node goes on as an entry without a replica.
  void replica_failed();

  /// To be called at least every few milliseconds. `wall_clock_ms` is the wall clock, used only for expiry and the
  /// audit.
  void tick(TimePoint now, int64_t wall_clock_ms);
  void receive(TimePoint now, wire::Envelope envelope);
  /// A batch from `NodeOutputs::storage`, and all before it, are on disk: what waited for that may leave now.
  void on_storage_written(TimePoint now, consensus::RaftOutput batch);
  void on_order_result(const control::OrderResult& result) { leader_.on_order_result(result); }
  void on_sighting(TimePoint poll_sent_at, const wire::MachineSighting& sighting) {
    entry_.on_sighting(poll_sent_at, sighting);
  }
  void on_membership_list(const std::vector<wire::Machine>& machines) { leader_.on_membership_list(machines); }

  /// Sends an operator's request to the leader; the answer comes in `operator_replies` under the returned id. After
  /// `deadline` an answer with an empty leader name is given.
  int64_t submit_operator_request(TimePoint now, wire::OperatorRequest request, TimePoint deadline);
  /// Asks a quorum for the right to run a request; the outcome comes in `claim_outcomes` under the returned id.
  int64_t submit_claim(TimePoint now, wire::Claim claim, TimePoint deadline);
  /// Records what became of a claimed request; repeated until a quorum holds it.
  void resolve_claim(TimePoint now, wire::ClaimResolution resolution);

  /// The process is about to stop: leadership is handed over and the leader told to count on this node no more.
  void begin_leaving(TimePoint now);
  /// Everything that must reach a quorum before the process ends has reached it, and another leads; or that was tried
  /// for long enough, as when the whole region is being stopped and nobody is left to take over.
  bool may_stop(TimePoint now) const;

  NodeOutputs take_outputs();

  EntryAgent& entry() { return entry_; }
  const EntryAgent& entry() const { return entry_; }
  const control::ControlState& state() const { return state_; }
  const control::ControlLeader& leader() const { return leader_; }
  const consensus::RaftNode* raft() const { return raft_ ? &*raft_ : nullptr; }
  bool acts_as_leader(TimePoint now) const { return raft_ && raft_->is_ready_leader(now); }
  bool needs_new_identity() const { return raft_ && raft_->identity_rejected(); }

 private:
  template <typename Request>
  struct PendingRequest {
    Request request;
    TimePoint deadline{};
    TimePoint sent_at = TimePoint::min();
  };

  void process(TimePoint now);
  void apply_committed(TimePoint now);
  void carry_out_leader_outputs(TimePoint now);
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope);
  void handle_operator_request(TimePoint now, const wire::Envelope& envelope);
  void handle_reply(const wire::Envelope& envelope);
  void resend_pending(TimePoint now);
  void send_raft(TimePoint now, std::vector<wire::RaftMessage> messages);
  void send(TimePoint now, wire::Envelope envelope);
  wire::Envelope envelope_to_leader() const;
  std::string leader_node() const { return raft_ ? raft_->leader_node() : ""; }

  NodeControllerOptions options_;
  std::string node_;
  Incarnation incarnation_;
  int64_t next_request_id_;
  EntryAgent entry_;
  control::ControlState state_;
  control::ControlLeader leader_;
  std::optional<consensus::RaftNode> raft_;
  int64_t leader_started_term_ = -1;
  int64_t wall_clock_ms_ = 0;
  int64_t last_snapshot_index_ = 0;
  bool leaving_ = false;
  TimePoint next_hand_over_at_{};
  TimePoint leaving_since_{};
  std::map<int64_t, PendingRequest<wire::OperatorRequest>> operator_requests_;
  std::map<int64_t, PendingRequest<wire::ClaimRequest>> claims_;
  std::map<int64_t, PendingRequest<wire::ResolutionRequest>> resolutions_;
  /// Node of each replica that was named in a replica set or spoke to us.
  consensus::ReplicaRoutes replica_routes_;
  std::vector<wire::Envelope> envelopes_to_self_;
  NodeOutputs outputs_;
};

}  // namespace larchlever::node
