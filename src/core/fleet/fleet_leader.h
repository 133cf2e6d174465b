#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "core/control/replica_supervisor.h"
#include "core/fleet/crash_attribution/request_blocker.h"
#include "core/fleet/entry_reports.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/group_supervisor.h"
#include "core/fleet/group_suspicion_event.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/server_limits.h"
#include "core/fleet/silent_groups.h"
#include "core/fleet/slot_scheduler.h"
#include "core/fleet/subscriber_table.h"
#include "core/fleet/zone_evacuations.h"
#include "core/membership/incarnation_ranks.h"
#include "core/membership/node_directory.h"

namespace larchlever::fleet {

/// Address and zone of every voter and learner, in the form that is sent to other nodes.
std::vector<wire::ControlPeer> control_peers_of(const wire::ReplicaSet& replicas);

/// The duties of a registered fleet's leader apart from log replication. It answers heartbeats of control replicas,
/// slot requests of entries, registrations of instances and calls of operators; it supervises groups and the set of
/// voters; and it pushes state updates to the control replicas, which forward them to the entries.
///
/// All state is soft and belongs to one leadership (term). A new leadership rebuilds it from the copies that the
/// control replicas hold. The owner must check `RaftNode::is_ready_leader` before every call. Single-threaded,
/// deterministic.
class FleetLeader {
 public:
  FleetLeader(const FleetOptions& options, PeerIdentity identity);

  /// A command to append to the log, and the call that is answered once it is committed.
  struct Proposal {
    wire::Command command;
    std::string call_key;
  };

  struct Outputs {
    std::vector<wire::Envelope> envelopes;
    std::vector<InstanceOrder> orders;
    std::vector<GroupDecision> decisions;
    /// What the leader concluded about groups that failed or seem to have failed; to be logged.
    std::vector<SuspicionEvent> suspicion_events;
    /// Members of suspected groups to probe; each result is passed to `handle_member_probe`.
    std::vector<MemberProbe> member_probes;
    /// Plain servers that began or ceased to count as slow; to be logged.
    std::vector<PlainServerSpeedChange> plain_speed_changes;
    std::optional<wire::ReplicaSet> proposed_replicas;
    std::vector<Proposal> proposals;
    /// Calls that evacuate or restore a zone; to be logged.
    std::vector<ZoneCallDecision> zone_calls;
    /// Replies to calls, with the call key.
    std::vector<std::pair<std::string, wire::ControlCallReply>> replies;
  };

  /// Begins a leadership; `copy` is the fleet state that this node held as a subscriber.
  void begin_leadership(TimePoint now, int64_t term, const wire::FleetState& copy);
  void handle_heartbeat(TimePoint now, const wire::Envelope& envelope, const consensus::RaftNode& raft,
                        const FleetLog& log);
  /// Handles an entry's slot requests and the load that it reports.
  void handle_slot_report(TimePoint now, const wire::Envelope& envelope, const FleetLog& log);
  /// Handles heartbeats of instances that a control replica has already answered.
  void handle_registrations(TimePoint now, const wire::RegistrationBatch& batch);
  /// `key` identifies the call in `Outputs::replies`; a retried call arrives with the same key.
  void handle_call(TimePoint now, const std::string& key, const wire::ControlCall& call,
                   const consensus::RaftNode& raft, const FleetLog& log);
  void handle_order_result(TimePoint now, const InstanceOrderResult& result) {
    group_supervisor_.order_result(now, result);
  }
  void handle_member_probe(TimePoint now, const MemberProbe& probe, MemberProbeResult result);
  /// The command of call `key` was appended to the log at `index`, or rejected if there is no index.
  void command_proposed(const std::string& key, std::optional<int64_t> index, int64_t term);
  /// The log entry at `index` with `term` was applied.
  void command_applied(int64_t index, int64_t term);
  /// This process was suspended for `pause` until now, so that time does not count towards the timeouts of other nodes.
  void note_own_pause(TimePoint now, Duration pause);
  void tick(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log);
  Outputs take_outputs();

  const InstanceDirectory& instances() const { return instance_directory_; }
  std::vector<wire::EngineGroup> groups() const { return group_supervisor_.snapshot(); }
  const wire::EngineGroup* group_of(const std::string& instance) const { return group_supervisor_.owner_of(instance); }
  /// Load per group, summed over all entries.
  const std::map<std::string, wire::GroupLoad>& loads() const { return group_loads_; }
  /// Groups that are slower than the cost model says, with the factor.
  std::map<std::string, double> slow_groups(TimePoint now) const { return slot_scheduler_.slow_groups(now); }
  /// Requests that entries must not send to any server because they crash the servers that run them.
  std::vector<wire::BlockedRequest> blocked_requests() const { return request_blocker_.rows(); }

 private:
  /// A control replica's latest report on the entries that subscribe to it.
  struct EntrySubscribers {
    int64_t term = 0;
    /// The newest state version of `term` that all of them hold.
    int64_t version = 0;
    int serving_count = 0;
    std::vector<wire::RelayPeer> relay_peers;
    /// When the replica is next sent the relay peers of all replicas.
    TimePoint next_relay_peers = TimePoint::min();
  };
  /// A call that is answered once every live node has confirmed state `version`.
  struct UnconfirmedCall {
    std::string key;
    int64_t version = 0;
    TimePoint received_at{};
  };
  /// A call that is answered once its command is committed.
  struct PendingCommand {
    std::string key;
    int64_t term = 0;
  };

  bool is_recovering_state(TimePoint now) const { return now < state_recovery_deadline_; }
  void record_entry_subscribers(TimePoint now, const wire::Envelope& envelope);
  /// Merges a copy of the previous leadership's state. Groups are adopted only from a copy that is newer than the one
  /// adopted so far.
  void merge_state_copy(TimePoint now, const wire::FleetState& copy);
  /// Ends the recovery phase once every voter has reported and none holds a newer copy.
  void end_state_recovery_early(TimePoint now, const wire::ReplicaSet& replicas);
  /// Marks groups as failed that an entry reports, if a second entry or a silent member confirms the failure.
  void handle_reported_failures(TimePoint now, const wire::SlotReport& report);
  void put_document(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                    const FleetLog& log);
  /// Returns false and answers the call with an error while the log has fewer voters than fault tolerance requires.
  bool may_propose(const std::string& key, const consensus::RaftNode& raft);
  /// Replies with the placement that a request with the properties in the call's body would get now. Changes no state.
  void explain_placement(TimePoint now, const std::string& key, const wire::ControlCall& call, const FleetLog& log);
  void reply_with_zones(const std::string& key, const consensus::RaftNode& raft, const FleetLog& log);
  wire::ZoneChangeId last_zone_change() const;
  /// Proposes the change, unless another one was proposed since the one that the call expects to be the last.
  void change_evacuation(const std::string& key, const wire::ControlCall& call, const consensus::RaftNode& raft,
                         const FleetLog& log);
  /// Zones from the settings and zones of registered instances and voters.
  std::set<std::string> known_zones(const consensus::RaftNode& raft) const;
  /// Applies changed evacuations of the log to groups and slots. Instances of restored zones count as cold at first.
  void adopt_evacuations(TimePoint now, const FleetLog& log);
  /// Passes the groups and plain servers outside evacuated zones, and the rate limits of servers, to the slot
  /// scheduler.
  void update_scheduler_groups();
  /// Forgets what is known of the silence of groups that are gone or being dissolved.
  void retain_suspicions(const std::vector<wire::EngineGroup>& groups);
  std::vector<PlainServer> available_plain_servers() const;
  void register_instance(TimePoint now, const std::string& key, const wire::ControlCall& call);
  /// Replies to a call that is still open; does nothing otherwise.
  void reply_to_call(const std::string& key, int status, std::string body = {});
  void reply_to_call(const std::string& key, wire::ControlCallReply reply);
  void send_update(TimePoint now, const std::string& node, int64_t sequence, const consensus::RaftNode& raft,
                   const FleetLog& log);
  void publish_state();
  bool may_send_state_to(TimePoint now, const std::string& node) const;
  int serving_entries(TimePoint now) const;
  /// Adds the relay peers of all live replicas to the update if they are due.
  void add_relay_peers(TimePoint now, const std::string& node, wire::FleetUpdate& update);
  /// All live control replicas and the entries that subscribe to them hold state `version`.
  bool is_held_by_all(TimePoint now, int64_t version) const;
  void push_updates(TimePoint now, const consensus::RaftNode& raft, const FleetLog& log);
  void reply_to_confirmed_calls(TimePoint now);
  void answer_slot_requests(TimePoint now, const FleetLog& log);
  /// Records an entry's reports of servers that terminated while they ran its requests.
  void record_server_ends(TimePoint now, const wire::SlotReport& report);
  /// Unblocks requests whose server turns out to have survived: the incarnation of `report` is still running.
  void unblock_survived_requests(TimePoint now, const wire::Instance& report);
  /// Records the rate limits that servers announced to an entry.
  void record_server_limits(TimePoint now, const wire::SlotReport& report);
  void answer_trial_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  void answer_repeat_request(TimePoint now, const std::string& node, const wire::SlotRequest& request);
  void send_verdict(const std::string& node, int64_t id, bool is_granted);
  void send_slot_answer(const std::string& node, wire::SlotAnswer answer);
  /// Acknowledges an entry's report with an empty answer; an entry treats a link without answers as broken.
  void acknowledge_report(const std::string& node);
  void remove_timed_out_entries(TimePoint now);
  /// Suspects groups that several entries report as stalled.
  void suspect_stalled_groups(TimePoint now, const FleetLog& log);
  /// Withholds requests from a group that is silent since `silent_since`, and tells the entries that use it.
  void suspect_group(TimePoint now, const std::string& group, SuspicionCause cause, TimePoint silent_since,
                     const std::vector<std::string>& entries);
  /// Ends suspicions of groups that make progress, and gives up those that are silent for too long.
  void review_suspected_groups(TimePoint now);
  void probe_suspected_groups(TimePoint now);
  /// The instance serves at this address as a member of an open group. A member that leaves may refuse connections.
  bool is_serving_member(const wire::EngineGroup& group, const std::string& instance_id,
                         const std::string& address) const;
  SuspectedGroupState suspected_group_state(const std::string& name) const;
  bool has_silent_member(const std::string& group) const;
  /// Logs a conclusion about a group and acts on it.
  void apply_suspicion_event(TimePoint now, SuspicionEvent event);
  void update_loads(TimePoint now);

  FleetOptions options_;
  PeerIdentity identity_;
  int64_t term_ = 0;
  int64_t version_ = 0;
  /// The control replicas, this one included.
  SubscriberTable control_subscribers_;
  std::map<std::string, EntrySubscribers> entry_subscribers_;
  TimePoint next_push_{};
  /// Term and version of the state copy from which the groups were adopted.
  std::pair<int64_t, int64_t> inherited_version_{0, 0};
  TimePoint state_recovery_deadline_{};
  TimePoint next_supervision_{};
  TimePoint next_load_update_{};
  TimePoint next_group_supervision_{};
  /// The latest time at which this replica led and no document was committed yet.
  TimePoint no_document_until_ = TimePoint::min();
  InstanceDirectory instance_directory_;
  GroupSupervisor group_supervisor_;
  SlotScheduler slot_scheduler_;
  membership::NodeDirectory node_directory_;
  control::ReplicaSupervisor replica_supervisor_;
  membership::IncarnationRanks incarnation_ranks_;
  EntryReports entry_reports_;
  SilentGroups silent_groups_;
  RequestBlocker request_blocker_;
  ServerLimits server_limits_;
  std::map<std::string, wire::GroupLoad> group_loads_;
  std::vector<UnconfirmedCall> unconfirmed_calls_;
  std::map<int64_t, PendingCommand> pending_commands_;
  /// Zone changes proposed in this leadership.
  int64_t zone_change_count_ = 0;
  /// The evacuations that groups and slots currently reflect.
  wire::ZoneEvacuations adopted_evacuations_;
  /// Call ids of the forwarding replicas, by call key; only calls without a reply.
  std::map<std::string, int64_t> open_call_ids_;
  Outputs outputs_;
};

}  // namespace larchlever::fleet
