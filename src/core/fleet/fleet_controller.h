#pragma once

#include <cstdint>
#include <map>
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

namespace larchlever::fleet {

struct FleetControllerOutputs {
  std::vector<wire::Envelope> envelopes;
  /// To be written in this order, each then handed back to `FleetController::written`.
  std::vector<consensus::RaftOutput> storage;
  std::vector<InstanceOrder> orders;
  std::vector<GroupDecision> decisions;
  /// Answers to calls submitted here.
  std::vector<wire::ControlCallReply> replies;
  /// Reports that were refused here, by instance; to be logged.
  std::vector<std::pair<std::string, MalformedReport>> malformed_reports;
  /// While a fleet forms: the founder that this seed chose, to be on disk before
  /// `FleetController::founder_choice_stored`. Handed out again until then.
  std::optional<std::string> founder_choice;
  /// This seed is to make the first log and start again on it, with `start_replica`. Handed out again until then.
  bool create_log = false;
};

/// All decisions of one control replica of a registered fleet: its part of the replicated log, the leader's work while
/// it leads, the forwarding of calls and registrations to whoever does, and the distribution of what it learns to the
/// entries that subscribe to it.
///
/// Inputs are methods that take the time; outputs are collected until `take_outputs`. Nothing here reads a clock or
/// touches a file or socket. Single-threaded, deterministic.
class FleetController {
 public:
  FleetController(const FleetOptions& options, const FleetIdentity& identity, std::vector<std::string> seeds,
                  uint64_t random_seed);

  /// Joins the log under the data folder's identity; `boot` rises with every call. May be called again after
  /// `stop_replica`.
  void start_replica(TimePoint now, ReplicaId replica_id, Incarnation boot, consensus::PersistedState persisted);
  void stop_replica() { raft_.reset(); }
  /// Takes part in forming a new fleet until this replica holds a log or hears of one. `stored_choice` is what the disk
  /// holds of an earlier life's choice, empty if nothing.
  void begin_cluster_formation(TimePoint now, const std::string& stored_choice);
  void founder_choice_stored();
  /// Null unless this replica takes part in forming a fleet.
  const ClusterFormation* formation() const { return formation_ ? &*formation_ : nullptr; }
  /// The fleet's state as this replica held it before it restarted; newer copies replace it.
  void restore_state(const wire::FleetState& state) { subscription_.restore_state(state); }

  void tick(TimePoint now);
  void receive(TimePoint now, const wire::Envelope& envelope);
  void handle_storage_synced(TimePoint now, consensus::RaftOutput batch);
  void handle_order_result(TimePoint now, const InstanceOrderResult& result) {
    leader_.handle_order_result(now, result);
  }
  /// Takes a call of an instance or operator; the answer comes in `replies` under the returned id, at the latest after
  /// `FleetOptions::call_patience`.
  int64_t submit_call(TimePoint now, wire::ControlCall call);

  /// This process stood still for `pause` until now: nobody else's silence in that time counts.
  void note_own_pause(TimePoint now, Duration pause) {
    leader_.note_own_pause(now, pause);
    entry_distributor_.note_own_pause(now, pause);
  }
  void begin_leaving() { leaving_ = true; }
  /// Peer addresses learned from settings.
  void add_peers(const std::vector<std::string>& peers) { subscription_.add_peers(peers); }
  bool is_leader(TimePoint now) const;
  bool needs_new_identity() const { return raft_ && raft_->identity_rejected(); }
  /// Sends nothing of an order once this fails: another leader may act by now.
  bool may_send_orders(TimePoint now) const { return is_leader(now); }
  const FleetLog& log() const { return log_; }
  /// The leader's view; only meaningful while `is_leader`.
  const FleetLeader& leader_view() const { return leader_; }
  const consensus::RaftNode* raft() const { return raft_ ? &*raft_ : nullptr; }
  const FleetSubscription& subscription() const { return subscription_; }
  FleetControllerOutputs take_outputs();

 private:
  struct PendingCall {
    wire::ControlCall call;
    TimePoint deadline{};
    TimePoint next_send{};
  };

  bool holds_log() const { return raft_ && !raft_->replicas().voters.empty(); }
  void handle_formation(TimePoint now, const wire::Envelope& envelope);
  void tick_formation(TimePoint now);
  std::string leader_node() const { return raft_ ? raft_->leader_node() : ""; }
  /// Who leads as far as this replica knows, by the log or by its subscription.
  std::string known_leader() const;
  DistributorSource distributor_source() const;
  void send(wire::Envelope envelope);
  void send_raft(std::vector<wire::RaftMessage> messages);
  void record_replica_addresses();
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope);
  void handle_entry_heartbeat(TimePoint now, const wire::Envelope& envelope);
  void handle_registrations(TimePoint now, const wire::Envelope& envelope);
  /// A leader answered this replica of late.
  bool has_recent_leader_contact(TimePoint now) const;
  /// Takes a registration that no entry must confirm: keeps it for the leader and answers it. False when the call is
  /// another, or is to be decided by the leader.
  bool try_accept_registration(TimePoint now, const wire::ControlCall& call);
  /// What is wrong with a report that names a service nobody knows of.
  std::optional<MalformedReport> find_service_error(const wire::Instance& report) const;
  void reject_report(const wire::ControlCall& call, const MalformedReport& error);
  void reply(int64_t id, int status, std::string body);
  void forward_registrations(TimePoint now);
  void push_updates_to_entries(TimePoint now, bool wants_confirmation);
  void handle_call(TimePoint now, const wire::Envelope& envelope);
  void handle_call_reply(const wire::ControlCallReply& reply);
  void send_pending_calls(TimePoint now);
  void apply_committed();
  void forward_leader_outputs(TimePoint now);
  void process_replica_outputs(TimePoint now);

  FleetOptions options_;
  FleetIdentity identity_;
  /// Peer addresses of the seeds, as the settings named them at the start.
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
  bool leaving_ = false;
  TimePoint next_leadership_transfer_ = TimePoint::min();
  TimePoint next_distribution_ = TimePoint::min();
  int64_t next_call_id_ = 1;
  std::map<int64_t, PendingCall> pending_calls_;
  consensus::ReplicaRoutes replica_routes_;
  std::vector<wire::Envelope> loopback_messages_;
  FleetControllerOutputs outputs_;
};

}  // namespace larchlever::fleet
