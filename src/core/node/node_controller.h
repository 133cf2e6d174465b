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
  /// Interval at which an unanswered request to the leader is sent again.
  Duration request_retry_interval = milliseconds(400);
  uint64_t seed = 1;
};

/// Result of a claim that this node submitted.
struct ClaimOutcome {
  int64_t request_id = 0;
  /// False if no quorum replied in time. The claim may have been granted, so the caller must resolve it as not run.
  bool decided = false;
  bool granted = false;
  bool key_expired = false;
  wire::Claim existing_claim;
};

struct NodeOutputs {
  std::vector<wire::Envelope> envelopes;
  /// Batches to write to storage in this order; after each, call `NodeController::on_storage_written`.
  std::vector<consensus::RaftOutput> storage;
  std::vector<control::EngineOrder> orders;
  std::vector<ClaimOutcome> claim_outcomes;
  std::vector<wire::OperatorReply> operator_replies;
};

/// The decision logic of one node: its log replica (if it has a disk), the leader's duties while it leads, and the
/// entry's control-plane client. The daemon and the simulator run the same class and differ in how they carry out its
/// outputs.
///
/// Input methods take the current time; outputs are collected until `take_outputs`. The class reads no clock, performs
/// no I/O and starts no thread. Single-threaded.
class NodeController {
 public:
  NodeController(const NodeControllerOptions& options, NodeIdentity identity, TimePoint now);

  /// Starts the log replica with the identity stored in the data folder. May be called again after `replica_failed` or
  /// a change of identity.
  void start_replica(TimePoint now, ReplicaId replica_id, consensus::PersistedState persisted);
  /// Stops the log replica after a failure of the data folder. The node continues as an entry.
  void replica_failed();

  /// Call at least every few milliseconds. `wall_clock_ms` is used only for expiry and the audit trail.
  void tick(TimePoint now, int64_t wall_clock_ms);
  void receive(TimePoint now, wire::Envelope envelope);
  /// `batch` and all earlier batches from `NodeOutputs::storage` are durable: sends the messages that waited for this.
  void on_storage_written(TimePoint now, consensus::RaftOutput batch);
  void on_order_result(const control::OrderResult& result) { leader_.on_order_result(result); }
  void on_sighting(TimePoint poll_sent_at, const wire::MachineSighting& sighting) {
    entry_.on_sighting(poll_sent_at, sighting);
  }
  void on_membership_list(const std::vector<wire::Machine>& machines) { leader_.on_membership_list(machines); }

  /// Sends an operator's request to the leader and returns its id; the reply appears in `operator_replies`. After
  /// `deadline` this is a reply with an empty leader name.
  int64_t submit_operator_request(TimePoint now, wire::OperatorRequest request, TimePoint deadline);
  /// Requests a claim, the right to run a request, through the replicated log and returns the request's id; the result
  /// appears in `claim_outcomes`.
  int64_t submit_claim(TimePoint now, wire::Claim claim, TimePoint deadline);
  /// Records the outcome of a claimed request; retried until the leader confirms that it is committed.
  void resolve_claim(TimePoint now, wire::ClaimResolution resolution);

  /// Prepares to stop the process: hands over leadership and reports this node as leaving.
  void begin_leaving(TimePoint now);
  /// Whether all outcomes are committed and this node does not lead, or the maximum time for this has passed, as when
  /// the whole region is stopped and no other node can take over leadership.
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

  /// Starts the leader's term after an election, applies committed entries, carries out the outputs of the leader and
  /// of Raft, and delivers messages to this node itself.
  void process_pending_work(TimePoint now);
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
  /// The term for which `leader_` was last started.
  int64_t leader_started_term_ = -1;
  int64_t wall_clock_ms_ = 0;
  int64_t last_snapshot_index_ = 0;
  bool leaving_ = false;
  TimePoint next_hand_over_at_{};
  TimePoint leaving_since_{};
  std::map<int64_t, PendingRequest<wire::OperatorRequest>> pending_operator_requests_;
  std::map<int64_t, PendingRequest<wire::ClaimRequest>> pending_claims_;
  std::map<int64_t, PendingRequest<wire::ResolutionRequest>> pending_resolutions_;
  /// The node of each replica, learned from replica sets and received messages.
  consensus::ReplicaRoutes replica_routes_;
  std::vector<wire::Envelope> envelopes_to_self_;
  NodeOutputs outputs_;
};

}  // namespace larchlever::node
