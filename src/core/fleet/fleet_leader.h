#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "core/control/replica_supervisor.h"
#include "core/fleet/entry_reports.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/group_supervisor.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/request_blocker.h"
#include "core/fleet/server_limits.h"
#include "core/fleet/slot_scheduler.h"
#include "core/fleet/subscriber_table.h"
#include "core/membership/incarnation_ranks.h"
#include "core/membership/node_directory.h"

namespace larchlever::fleet {

/// The log's replicas, as nodes learn of them.
std::vector<wire::ControlPeer> control_peers_of(const wire::ReplicaSet& replicas);

/// What the leader of a registered fleet does besides replicating: answers control replicas' heartbeats, entries'
/// questions for slots, instances' registrations and operators' calls; supervises groups and the log's voters; pushes
/// news to the control replicas, which pass them on to the entries.
///
/// All its state is soft and belongs to one leadership; it starts from the copies that the control replicas hold.
/// `RaftNode::is_ready_leader` must hold at every call (the owner checks). Single-threaded, deterministic.
class FleetLeader {
 public:
  FleetLeader(const FleetOptions& options, FleetIdentity identity);

  /// A command to append to the log, with the call that waits for it.
  struct Proposal {
    wire::Command command;
    std::string call_key;
  };

  struct Outputs {
    std::vector<wire::Envelope> envelopes;
    std::vector<InstanceOrder> orders;
    std::vector<GroupDecision> decisions;
    std::optional<wire::ReplicaSet> replicas;
    std::vector<Proposal> proposals;
    /// Answers to calls, by call key.
    std::vector<std::pair<std::string, wire::ControlCallReply>> replies;
  };

  /// A leadership begins; `copy` is the state that this node held as a subscriber.
  void start(TimePoint now, int64_t term, const wire::FleetState& copy);
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                        const FleetLog& log);
  /// An entry's questions for slots, and news of its load.
  void handle_slot_report(TimePoint now, const wire::Envelope& envelope, const FleetLog& log);
  /// Heartbeats of instances that a control replica took and answered.
  void handle_registrations(TimePoint now, const wire::RegistrationBatch& batch);
  /// `key` identifies the call in the answers; the same call may arrive again under the same key.
  void handle_call(TimePoint now, const std::string& key, const wire::ControlCall& call,
                   const consensus::RaftNode& raft, const FleetLog& log);
  void handle_order_result(TimePoint now, const InstanceOrderResult& result) {
    group_supervisor_.order_result(now, result);
  }
  /// The command of the call `key` was appended to the log, or could not be.
  void command_proposed(const std::string& key, std::optional<int64_t> index, int64_t term);
  /// The entry at `index`, of `term`, was applied.
  void command_applied(int64_t index, int64_t term);
  /// This process stood still for `pause`: nobody's silence in that time counts against them.
  void note_own_pause(TimePoint now, Duration pause);
  void tick(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log);
  Outputs take_outputs();

  const InstanceDirectory& instances() const { return instance_directory_; }
  std::vector<wire::EngineGroup> groups() const { return group_supervisor_.snapshot(); }
  const wire::EngineGroup* group_of(const std::string& instance) const { return group_supervisor_.owner_of(instance); }
  /// What is under way per group, over all entries.
  const std::map<std::string, wire::GroupLoad>& loads() const { return group_loads_; }
  /// Requests that are sent to no server, since they end those that run them.
  std::vector<wire::BlockedRequest> blocked_requests() const { return request_blocker_.rows(); }

 private:
  /// What a control replica told of the entries that subscribe to it.
  struct EntrySubscribers {
    int64_t term = 0;
    /// The version of `term` that all of them hold.
    int64_t version = 0;
    int serving = 0;
  };
  /// A call answered once every live node confirmed a version of the state.
  struct UnconfirmedCall {
    std::string key;
    int64_t version = 0;
    TimePoint received_at{};
  };
  /// A call answered once the command that it asked for is committed.
  struct PendingCommand {
    std::string key;
    int64_t term = 0;
  };

  bool is_recovering_state(TimePoint now) const { return now < state_recovery_deadline_; }
  void record_entry_subscribers(TimePoint now, const wire::Envelope& envelope);
  /// Takes a copy of the predecessor's state if it is newer than what this leadership began with.
  void merge_state_copy(TimePoint now, const wire::FleetState& copy);
  /// Every voter has reported, and none holds a newer copy: there is nothing left to wait for.
  void end_state_recovery_early(TimePoint now, const wire::ReplicaSet& replicas);
  /// A group's head fails, or stands still, by the word of entries that is borne out.
  void handle_reported_failures(TimePoint now, const wire::SlotReport& report);
  void put_document(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                    const FleetLog& log);
  /// False, and the call is answered, while the log has too few voters to bear the losses that it must.
  bool may_propose(const std::string& key, const consensus::RaftNode& raft);
  void change_evacuation(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft);
  /// Zones that the settings name, and those of servers and control replicas.
  std::set<std::string> known_zones(const consensus::RaftNode& raft) const;
  /// The log's evacuations changed: groups and slots follow, and servers of restored zones count as cold at first.
  void adopt_evacuations(TimePoint now, const FleetLog& log);
  /// Groups that may get requests, as far as zones matter, to the scheduler.
  void update_scheduler_groups();
  void register_instance(TimePoint now, const std::string& key, const wire::ControlCall& call);
  /// Answers a call that is still open; does nothing for another.
  void reply_to_call(const std::string& key, int status, std::string body = {});
  void send_update(TimePoint now, const std::string& node, int64_t sequence, const consensus::RaftNode& raft,
                   const FleetLog& log);
  void publish_state();
  bool may_send_state_to(TimePoint now, const std::string& node) const;
  int serving_entries(TimePoint now) const;
  /// All live control replicas, and the entries that subscribe to them, hold `version`.
  bool is_held_by_all(TimePoint now, int64_t version) const;
  void push_updates(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log);
  void reply_to_confirmed_calls(TimePoint now);
  void answer_slot_requests(TimePoint now, const FleetLog& log);
  /// Takes an entry's words on servers that ended under its requests.
  void record_server_ends(TimePoint now, const wire::SlotReport& report);
  /// A server reported itself.
  void unblock_requests_survived_by(TimePoint now, const wire::Instance& report);
  /// Takes an entry's words on the limits that servers named to it.
  void record_server_limits(TimePoint now, const wire::SlotReport& report);
  void answer_trial_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  void answer_repeat_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  void send_verdict(const std::string& node, int64_t id, bool is_granted);
  void send_slot_answer(const std::string& node, wire::SlotAnswer answer);
  /// Tells an entry that its report arrived: a link that brings nothing back is taken for dead.
  void acknowledge_report(const std::string& node);
  void remove_timed_out_entries(TimePoint now);
  /// Groups that stand still by the word of several entries: dissolved, and the entries that use them told at once.
  void fail_stalled_groups(TimePoint now, const FleetLog& log);
  void update_loads(TimePoint now);

  FleetOptions options_;
  FleetIdentity identity_;
  int64_t term_ = 0;
  int64_t version_ = 0;
  /// The control replicas, this one included.
  SubscriberTable control_subscribers_;
  std::map<std::string, EntrySubscribers> entry_subscribers_;
  TimePoint next_push_{};
  /// Order of the copy that the groups were taken from.
  std::pair<int64_t, int64_t> inherited_version_{0, 0};
  TimePoint state_recovery_deadline_{};
  TimePoint next_supervision_{};
  TimePoint next_load_update_{};
  TimePoint next_group_supervision_{};
  InstanceDirectory instance_directory_;
  GroupSupervisor group_supervisor_;
  SlotScheduler slot_scheduler_;
  membership::NodeDirectory node_directory_;
  control::ReplicaSupervisor replica_supervisor_;
  membership::IncarnationRanks incarnation_ranks_;
  EntryReports entry_reports_;
  RequestBlocker request_blocker_;
  ServerLimits server_limits_;
  std::map<std::string, wire::GroupLoad> group_loads_;
  std::vector<UnconfirmedCall> unconfirmed_calls_;
  std::map<int64_t, PendingCommand> pending_commands_;
  /// The log's evacuations as groups and slots follow them.
  wire::ZoneEvacuations adopted_evacuations_;
  /// The id under which each open call's forwarder knows it.
  std::map<std::string, int64_t> open_call_ids_;
  Outputs outputs_;
};

}  // namespace larchlever::fleet
