#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/raft_node.h"
#include "consensus/replica_routes.h"
#include "core/fleet/cluster_formation.h"
#include "core/fleet/entry_distributor.h"
#include "core/fleet/fleet_leader.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/registration.h"
#include "core/fleet/registration_relay.h"
#include "core/fleet/zone_change.h"

namespace larchlever::fleet {

struct FleetControllerOutputs {
  std::vector<wire::Envelope> envelopes;
  /// Batches to persist in this order; each is then passed to `FleetController::handle_storage_synced`.
  std::vector<consensus::RaftOutput> storage_batches;
  std::vector<InstanceOrder> orders;
  std::vector<GroupDecision> decisions;
  /// Plain servers that began or ceased to count as slow; to be logged.
  std::vector<PlainServerSpeedChange> plain_speed_changes;
  /// Conclusions about groups that failed or seem to have failed; to be logged.
  std::vector<SuspicionEvent> suspicion_events;
  /// Members of suspected groups to probe; each result is passed to `handle_member_probe`.
  std::vector<MemberProbe> member_probes;
  /// Calls that evacuate or restore a zone, as this leader decided them; to be logged.
  std::vector<ZoneCallDecision> zone_calls;
  /// Replies to calls that were submitted with `FleetController::submit_call`.
  std::vector<wire::ControlCallReply> replies;
  /// Instance reports that this replica rejected, with the instance id; to be logged.
  std::vector<std::pair<std::string, MalformedReport>> malformed_reports;
  /// During cluster formation: the founder that this seed chose. The caller persists it and then calls
  /// `FleetController::founder_choice_stored`; until then every `take_outputs` repeats it.
  std::optional<std::string> founder_choice;
  /// This seed is the founder: the caller creates the first log and calls `start_replica` with it. Repeated until then.
  bool create_log = false;
};

/// The logic of one control replica of a registered fleet. It takes part in the replicated log, acts as the leader
/// while it is elected, forwards calls and registrations to the leader otherwise, and distributes configuration and
/// fleet state to the entries that subscribe to it.
///
/// Inputs are method calls that pass the current time; outputs are collected until `take_outputs`. The class reads no
/// clock and does no file or network I/O. Single-threaded, deterministic.
class FleetController {
 public:
  FleetController(const FleetOptions& options, const PeerIdentity& identity, std::vector<std::string> seeds,
                  uint64_t random_seed);

  /// Starts the Raft replica that the data folder identifies; `boot` rises with every call. May be called again after
  /// `stop_replica`.
  void start_replica(TimePoint now, ReplicaId replica_id, Incarnation boot, consensus::PersistedState persisted);
  void stop_replica() { raft_.reset(); }
  /// Takes part in forming a new cluster until this replica has a log or learns that one exists. `stored_choice` is
  /// the founder choice that an earlier incarnation persisted; empty if there is none.
  void begin_cluster_formation(TimePoint now, const std::string& stored_choice);
  void founder_choice_stored();
  /// Null unless this replica takes part in forming a cluster.
  const ClusterFormation* formation() const { return formation_ ? &*formation_ : nullptr; }
  /// Restores the copy of the fleet's state that was saved before a restart; newer copies replace it.
  void restore_state(const wire::FleetState& state) { subscription_.restore_state(state); }

  void tick(TimePoint now);
  void receive(TimePoint now, const wire::Envelope& envelope);
  void handle_storage_synced(TimePoint now, consensus::RaftOutput batch);
  void handle_order_result(TimePoint now, const InstanceOrderResult& result) {
    leader_.handle_order_result(now, result);
  }
  void handle_member_probe(TimePoint now, const MemberProbe& probe, MemberProbeResult result) {
    if (is_leader(now)) {
      leader_.handle_member_probe(now, probe, result);
    }
  }
  /// Submits a call of an instance or operator. Its reply appears in `FleetControllerOutputs::replies` with the
  /// returned id, at the latest after `FleetOptions::call_timeout`. A call that evacuates or restores a zone takes
  /// effect only if its caller is waiting for the answer when it is forwarded.
  int64_t submit_call(TimePoint now, wire::ControlCall call, IsCallerWaiting is_caller_waiting = nullptr);

  /// This process was suspended for `pause` until now, so that time does not count towards the timeouts of other nodes.
  void note_own_pause(TimePoint now, Duration pause) {
    leader_.note_own_pause(now, pause);
    entry_distributor_.note_own_pause(now, pause);
  }
  void begin_leaving() { is_leaving_ = true; }
  /// Peer addresses learned from settings.
  void add_peers(const std::vector<std::string>& peers) { subscription_.add_peers(peers); }
  bool is_leader(TimePoint now) const;
  bool needs_new_identity() const { return raft_ && raft_->identity_rejected(); }
  /// Checked before each order is sent: once this is false, another leader may already act.
  bool may_send_orders(TimePoint now) const { return is_leader(now); }
  const FleetLog& log() const { return log_; }
  /// State of the leadership; only meaningful while `is_leader`.
  const FleetLeader& leader_view() const { return leader_; }
  const consensus::RaftNode* raft() const { return raft_ ? &*raft_ : nullptr; }
  const FleetSubscription& subscription() const { return subscription_; }
  FleetControllerOutputs take_outputs();

 private:
  struct PendingCall {
    wire::ControlCall call;
    TimePoint deadline{};
    TimePoint next_send{};
    /// The zone change that this call is a step of; null for other calls.
    std::shared_ptr<ZoneChange> zone_change;
  };

  bool holds_log() const { return raft_ && !raft_->replicas().voters.empty(); }
  void handle_formation_notice(TimePoint now, const wire::Envelope& envelope);
  void tick_formation(TimePoint now);
  std::string leader_node() const { return raft_ ? raft_->leader_node() : ""; }
  /// Peer address of the leader according to the log, or else to the subscription; empty if unknown.
  std::string known_leader() const;
  DistributorSource distributor_source() const;
  void send(wire::Envelope envelope);
  void send_raft(std::vector<wire::RaftMessage> messages);
  void record_replica_addresses();
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope);
  void handle_entry_heartbeat(TimePoint now, const wire::Envelope& envelope);
  void handle_registrations(TimePoint now, const wire::Envelope& envelope);
  /// A leader answered this replica within the last second.
  bool has_recent_leader_contact(TimePoint now) const;
  /// Handles an instance's heartbeat here if the entries need not confirm it: queues it for the leader and replies.
  /// Returns false for all other calls; those go to the leader.
  bool try_accept_registration(TimePoint now, const wire::ControlCall& call);
  /// The error of a report whose service is neither in the configuration nor already registered for the instance.
  std::optional<MalformedReport> find_service_error(const wire::Instance& report) const;
  void reject_report(const wire::ControlCall& call, const MalformedReport& error);
  void reply(int64_t id, int status, std::string body);
  void forward_registrations(TimePoint now);
  void push_updates_to_entries(TimePoint now, bool wants_confirmation);
  void handle_call(TimePoint now, const wire::Envelope& envelope);
  void handle_call_reply(TimePoint now, const wire::ControlCallReply& reply);
  /// Forwards the first or next step of a zone change to the leader.
  void forward_zone_change(TimePoint now, wire::ControlCall step, TimePoint deadline,
                           std::shared_ptr<ZoneChange> zone_change);
  void send_pending_calls(TimePoint now);
  void apply_committed();
  void forward_leader_outputs(TimePoint now);
  void process_replica_outputs(TimePoint now);

  FleetOptions options_;
  PeerIdentity identity_;
  /// Peer addresses of the seeds from the settings.
  std::vector<std::string> seeds_;
  uint64_t random_seed_;
  FleetSubscription subscription_;
  FleetLeader leader_;
  EntryDistributor entry_distributor_;
  RegistrationRelay registration_relay_;
  std::optional<consensus::RaftNode> raft_;
  std::optional<ClusterFormation> formation_;
  FleetLog log_;
  int64_t leadership_term_ = -1;
  int64_t last_snapshot_index_ = 0;
  bool is_leaving_ = false;
  TimePoint next_leadership_transfer_ = TimePoint::min();
  TimePoint next_entry_push_ = TimePoint::min();
  TimePoint next_relay_peers_ = TimePoint::min();
  int64_t next_call_id_ = 1;
  std::map<int64_t, PendingCall> pending_calls_;
  consensus::ReplicaRoutes replica_routes_;
  std::vector<wire::Envelope> loopback_messages_;
  FleetControllerOutputs outputs_;
};

}  // namespace larchlever::fleet
