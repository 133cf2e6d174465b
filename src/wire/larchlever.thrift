/**
 * Messages between larchlever processes, and the records stored in the replicated log and its snapshots. Regenerate the
 * C++ code with scripts/generate-wire.
 */
namespace cpp larchlever.wire

// ---------------------------------------------------------------- consensus

/** One durable identity of a control replica: its node and the identity of its data folder. */
struct ReplicaAddress {
  1: i64 replica_id,
  2: string node,
  3: string zone,
}

struct ReplicaSet {
  1: list<ReplicaAddress> voters,
  2: list<ReplicaAddress> learners,
}

enum EntryKind { NOOP = 0, COMMAND = 1, REPLICA_SET = 2 }

struct LogEntry {
  1: i64 term,
  2: i64 index,
  3: EntryKind kind,
  4: binary payload,
}

struct HardState {
  1: i64 term,
  2: i64 voted_for,
}

struct SnapshotHeader {
  1: i64 index,
  2: i64 term,
  3: ReplicaSet replicas,
}

struct VoteRequest {
  1: i64 term,
  2: i64 last_index,
  3: i64 last_term,
  4: bool pre_vote,
  /** Set by a leadership transfer: the voter need not wait for its contact with the old leader to time out. */
  5: bool transfer,
}

struct VoteReply {
  1: i64 term,
  2: bool granted,
  3: bool pre_vote,
  /**
   * The voter restarted recently, and a leader may still rely on an acknowledgement from before the restart. The vote
   * counts only if all voters grant theirs.
   */
  4: bool granted_if_unanimous,
  /** The voter's disk was lost. Another identity runs at its address, so it holds no lease and will never vote. */
  5: bool voter_gone,
}

struct AppendRequest {
  1: i64 term,
  2: i64 previous_index,
  3: i64 previous_term,
  4: i64 commit_index,
  5: list<LogEntry> entries,
  /** Send time on the leader's clock. The reply returns it, and the leader computes its lease from it. */
  6: i64 sent_at_us,
}

struct AppendReply {
  1: i64 term,
  2: bool success,
  /** On success the last index known to match; otherwise the index after which to continue. */
  3: i64 match_index,
  4: i64 sent_at_us,
  /**
   * Index of the last entry that the sender holds. Together with `boot` and `order` it reveals a disk that lost
   * acknowledged entries.
   */
  5: i64 last_index,
  /** Boot number of the sender's process; increases with every start. */
  6: i64 boot,
  /** Sequence number of the reply since that start; distinguishes a late reply from a newer one. */
  7: i64 order,
}

struct SnapshotRequest {
  1: i64 term,
  2: SnapshotHeader header,
  3: binary state,
  4: i64 sent_at_us,
}

struct HandOverRequest {
  1: i64 term,
}

/**
 * The leader found that the receiver's disk lost acknowledged entries. The receiver must not take part under this
 * identity again.
 */
struct IdentityRejection {
  1: i64 term,
}

struct RaftMessage {
  1: i64 from_replica,
  2: i64 to_replica,
  3: optional VoteRequest vote_request,
  4: optional VoteReply vote_reply,
  5: optional AppendRequest append_request,
  6: optional AppendReply append_reply,
  7: optional SnapshotRequest snapshot_request,
  8: optional HandOverRequest hand_over_request,
  9: optional IdentityRejection identity_rejection,
}

// ------------------------------------------------------------ configuration

enum RepeatPolicy { UNSAFE = 0, SAFE = 1 }

/** Layout of the groups that serve one model version. */
struct Template {
  1: string name,
  2: string model,
  3: string version,
  4: list<string> adapters,
  5: i32 machines_per_group,
  6: RepeatPolicy repeat,
}

/** One tenant's parameters. */
struct Tenant {
  1: string name,
  2: string template_name,
  3: list<string> zones,
  4: list<string> adapters,
  5: i32 share_percent,
  6: i32 max_concurrent,
  7: i32 priority,
  8: optional RepeatPolicy repeat,
}

/** A plain service, addressed by path prefix. */
struct Service {
  1: string name,
  2: string path_prefix,
  3: list<string> endpoints,
  4: list<string> zones,
}

/** Fleet-wide parameters. */
struct FleetParameters {
  1: string placement_policy,
  /** 0..100: weight of group downtime relative to stranded accelerators. */
  2: i32 downtime_weight,
  3: i32 max_concurrent_loads,
  4: i32 claim_window_seconds,
}

enum GroupState { PLANNED = 0, LOADING = 1, READY = 2, SERVING = 3, DRAINING = 4, RELEASING = 5, GONE = 6 }

struct Group {
  1: i64 id,
  2: i32 epoch,
  3: GroupState state,
  4: string template_name,
  5: string model,
  6: string version,
  7: list<string> adapters,
  8: string zone,
  9: string domain,
  10: list<string> machines,
  /** Incarnation of each machine, in the order of `machines`, with which this epoch was formed. */
  11: list<i64> incarnations,
  /** host:port of the first machine, which receives the requests. */
  12: string endpoint,
  13: i64 changed_at_ms,
}

/** One versioned value: the unit of configuration changes and of their distribution to entries. */
struct Record {
  1: string key,
  2: i64 revision,
  3: bool deleted,
  4: binary value,
}

// ----------------------------------------------------------- log commands

struct KeyRevision {
  1: string key,
  2: i64 revision,
}

struct KeyWrite {
  1: string key,
  2: bool remove,
  3: binary value,
}

struct ConfigurationChange {
  1: string operator_name,
  2: string command_id,
  /** Revision of every key that the operator read; zero means "absent". */
  3: list<KeyRevision> reads,
  4: list<KeyWrite> writes,
}

enum Verdict { ACCEPTED = 0, CONFLICT = 1, INVALID = 2, UNKNOWN = 3 }

struct ChangeAnswer {
  1: Verdict verdict,
  2: i64 revision,
  3: string message,
}

struct AuditRecord {
  1: string operator_name,
  2: string command_id,
  3: i64 revision,
  4: Verdict verdict,
  5: list<KeyRevision> changed_from,
  6: i64 at_ms,
  7: string message,
}

enum MachineState { FREE = 0, OWNED = 1, RELEASING = 2, LEAVING = 3 }

struct Machine {
  1: string id,
  2: string zone,
  3: string domain,
  4: i32 accelerators,
  5: string endpoint,
  6: i64 incarnation,
  7: bool checks_fences,
  8: MachineState state,
  9: i64 group_id,
  10: i32 epoch,
  /** "model@version" of the weights that the machine loaded last. */
  11: string weights,
  /** The membership list or an operator has marked this machine as leaving. */
  12: bool leaving,
}

/** Observation of a machine. Registers the machine or updates its incarnation. */
struct MachineObservation {
  1: Machine machine,
}

struct GroupCreation {
  1: string template_name,
  2: string zone,
  3: string domain,
  4: list<string> machines,
}

struct GroupTransition {
  1: i64 group_id,
  2: i32 epoch,
  3: GroupState to,
}

/** A machine confirmed that it no longer holds anything of (group, epoch), or its incarnation has ended. */
struct MachineRelease {
  1: string machine,
  2: i64 group_id,
  3: i32 epoch,
}

enum ClaimState { IN_PROGRESS = 0, RAN = 1, NOT_RUN = 2, UNKNOWN = 3 }

struct Claim {
  1: string tenant,
  2: string key,
  3: i64 body_digest,
  4: string entry,
  5: i64 entry_incarnation,
  6: i64 claimed_at_ms,
  7: ClaimState state,
  8: i32 answer_status,
  9: binary answer_body,
  10: string answer_content_type,
  /** Distinguishes requests of the same entry, so that a repeated claim message gets the same answer. */
  11: i64 nonce,
}

struct ClaimBatch {
  1: list<Claim> claims,
}

struct ClaimResolution {
  1: string tenant,
  2: string key,
  3: string entry,
  4: i64 entry_incarnation,
  5: ClaimState state,
  6: i32 answer_status,
  7: binary answer_body,
  8: string answer_content_type,
  9: i64 nonce,
  10: i64 claimed_at_ms,
}

/** An incarnation of an entry ended. The requests that it had in progress have an unknown outcome. */
struct EntryLoss {
  1: string entry,
  2: i64 incarnation,
}

struct MachineDrain {
  1: string operator_name,
  2: string command_id,
  3: string machine,
  4: bool leaving,
}

/** A complete configuration document as sent by the operator, under its own version. */
struct DocumentChange {
  1: i64 version,
  /** Empty when the content is compressed. */
  2: binary content,
  3: binary compressed_content,
  /** Size of the content before it was compressed. */
  4: i64 content_size,
}

/** An operator's request to evacuate a zone or to restore it. */
struct ZoneEvacuationChange {
  1: string zone,
  2: bool begins,
}

/** The zones that operators have evacuated. Their servers receive no requests. */
struct ZoneEvacuations {
  /** Increases with each change of `zones`. */
  1: i64 revision,
  /** Sorted. */
  2: list<string> zones,
}

/**
 * The replicated state of a fleet with registered instances, as stored in snapshots. Fields 1 to 4 are those of
 * DocumentChange, which earlier versions stored alone.
 */
struct FleetLogSnapshot {
  1: i64 version,
  2: binary content,
  3: binary compressed_content,
  4: i64 content_size,
  5: ZoneEvacuations evacuations,
}

struct Command {
  /** Leader's wall clock, used for expiry and audit. Never decreases along the log. */
  1: i64 at_ms,
  2: optional ConfigurationChange change,
  3: optional MachineObservation machine_observation,
  4: optional GroupCreation group_creation,
  5: optional GroupTransition group_transition,
  6: optional MachineRelease machine_release,
  7: optional ClaimBatch claims,
  8: optional list<ClaimResolution> resolutions,
  9: optional EntryLoss entry_loss,
  10: optional MachineDrain drain,
  11: optional DocumentChange document,
  12: optional ZoneEvacuationChange zone_evacuation,
}

struct CommandAnswer {
  1: string command_id,
  2: ChangeAnswer answer,
}

/** The complete replicated state, as stored in snapshots. */
struct ControlSnapshot {
  1: i64 applied_index,
  2: list<Record> records,
  3: list<Machine> machines,
  4: list<Claim> claims,
  5: list<AuditRecord> audit,
  6: list<CommandAnswer> answers,
  7: i64 next_group_id,
  8: i64 clock_ms,
  9: i64 oldest_delta_revision,
  /** Chained hash of every applied command; equal on all replicas at the same index. */
  10: i64 history_digest,
}

// --------------------------------------------------------- node to control

struct MachineSighting {
  1: string machine,
  2: i64 incarnation,
  3: i32 seen_ago_ms,
  4: i64 group_id,
  5: i32 epoch,
  /** The machine has loaded the weights of (group_id, epoch). */
  6: bool loaded,
  /** Requests that are running or queued in the engine; counted on the group's first machine. */
  7: i32 load,
}

struct TenantDemand {
  1: string tenant,
  2: i32 running,
  3: i32 waiting,
  /** Concurrency that the node still uses under an earlier grant. */
  4: i32 held,
}

struct Heartbeat {
  1: i64 sequence,
  2: string zone,
  3: i64 applied_revision,
  4: i64 watch_version,
  5: list<MachineSighting> sightings,
  6: list<TenantDemand> demand,
  7: bool leaving,
  /** Identity of the data folder; zero on a node without a disk. */
  8: i64 replica_id,
  9: string peer_address,
  /** Sequence of the newest reply received when this was sent; zero if there was none. */
  10: i64 acknowledged_sequence,
  11: string service_address,
}

struct GroupLease {
  1: i64 group_id,
  2: i32 epoch,
  /** Requests in the engine when it was last observed. */
  3: i32 load,
}

struct TenantBudget {
  1: string tenant,
  2: i32 concurrent,
}

struct WatchTarget {
  1: string machine,
  2: string endpoint,
}

struct HeartbeatReply {
  1: i64 sequence,
  /** Set if the sender is not the leader. `leader` is the node to ask instead, if known. */
  2: bool not_leader,
  3: string leader,
  4: i64 term,
  5: i64 revision,
  6: bool full,
  7: list<Record> records,
  8: i32 lease_ms,
  9: list<GroupLease> leases,
  10: list<TenantBudget> budgets,
  11: i64 watch_version,
  12: list<WatchTarget> watches,
  13: i32 serve_lease_ms,
}

struct ClaimRequest {
  1: i64 request_id,
  2: Claim claim,
}

/** Reply to a claim: granted, or the existing claim that prevents it. */
struct ClaimReply {
  1: i64 request_id,
  2: bool decided,
  3: bool granted,
  4: Claim standing,
  5: string message,
}

struct ResolutionRequest {
  1: i64 request_id,
  2: ClaimResolution resolution,
}

/** Confirms that the resolution is committed. */
struct ResolutionReply {
  1: i64 request_id,
}

enum OperatorAction { APPLY = 0, GET = 1, STATUS = 2, AUDIT = 3, DRAIN = 4 }

struct OperatorRequest {
  1: i64 request_id,
  2: OperatorAction action,
  3: optional ConfigurationChange change,
  4: bool dry_run,
  5: string prefix,
  6: optional MachineDrain drain,
  7: i64 minimum_revision,
}

struct NodeStatus {
  1: string node,
  2: string zone,
  3: i64 incarnation,
  4: i64 revision,
  5: bool live,
  6: bool leaving,
  7: i64 replica_id,
  8: string service_address,
}

struct StatusReport {
  1: string leader,
  2: i64 term,
  3: i64 commit_index,
  4: ReplicaSet replicas,
  5: list<NodeStatus> nodes,
  6: list<Machine> machines,
  7: list<Group> groups,
  8: i64 stranded_accelerators,
}

struct OperatorReply {
  1: i64 request_id,
  2: bool not_leader,
  3: string leader,
  4: ChangeAnswer answer,
  5: bool in_force,
  6: list<string> missing_nodes,
  7: list<Record> records,
  8: list<AuditRecord> audit,
  9: optional StatusReport status,
}

// ------------------------------------------------- registered instances

enum InstanceState { READY = 0, DRAINING = 1, GONE = 2 }

enum MembershipState { NONE = 0, JOINING = 1, READY = 2, OPEN = 3, CLOSING = 4, BROKEN = 5 }

/** The group membership that an instance reports. */
struct GroupMembership {
  1: string group,
  2: i64 epoch,
  3: i32 rank,
  4: MembershipState state,
}

/** One incarnation of a back-end process, as it registered itself. */
struct Instance {
  1: string id,
  2: string service_name,
  3: string address,
  4: string zone,
  5: string domain,
  6: InstanceState state,
  7: i32 slots,
  /** Increases with every registration call of the instance. */
  8: i64 call_number,
  9: list<string> staged_models,
  10: GroupMembership membership,
  /** The instance no longer renews its registration. It may be down, or only partitioned from the control replicas. */
  11: bool silent,
  /** The model of the instance's last group since its start, whose weights it still holds; empty if it had none. */
  12: string model,
  /**
   * Unix time in milliseconds of the reported start; 0 if the instance does not report it. A new start is a new
   * incarnation.
   */
  13: i64 born_ms,
  /** For how many more milliseconds the instance can take only few requests, as it reported. */
  14: i32 cold_left_ms,
  /** The instance can take only few requests now: it reported so, or its zone was evacuated until recently. */
  15: bool cold,
  /**
   * Requests per second that the instance accepts from all entries together, as it reported in its responses; absent
   * while it reports no limit.
   */
  16: optional double limit_per_second,
}

enum GroupPhase { JOINING = 0, OPENING = 1, OPEN = 2, DRAINING = 3, DISSOLVING = 4 }

/** A replica of a model that runs on several instances. The first member is the head and receives the requests. */
struct EngineGroup {
  1: string name,
  2: i64 epoch,
  3: string service_name,
  4: string model,
  5: list<string> members,
  6: GroupPhase phase,
  /**
   * Values of `born_ms` of the members with which the group was formed, in their order; 0 for a member that does not
   * report it.
   */
  7: list<i64> member_born_ms,
  /** Zones of the members, each once; empty if an earlier version formed the group. */
  8: list<string> zones,
}

/**
 * A request, or a part of prompts, that is no longer dispatched because servers crashed while they ran it, or that is
 * suspected of that.
 */
struct BlockedRequest {
  /** Of the request or the part. */
  1: i64 fingerprint,
  /** Number of trial dispatches granted since then, to find out whether the request still crashes servers. */
  2: i32 trials,
  /** True if the leader may grant a trial now. */
  3: bool trial_due,
  /** Total length of the current wait for the next trial, in milliseconds. */
  4: i64 wait_ms,
  /** Set if requests are blocked that have this part in their prompts. */
  5: optional bool is_prompt_part,
  /**
   * Set if nothing is blocked yet. Requests with the part are dispatched with the leader's permission, and entries
   * where one was answered report that.
   */
  6: optional bool is_suspect,
  /** Number of servers that crashed under it when this row was made. */
  7: optional i32 server_ends,
}

/** The leader's soft state, as copied by its subscribers. Ordered by (term, version). */
struct FleetState {
  1: i64 term,
  2: i64 version,
  3: list<Instance> instances,
  4: list<EngineGroup> groups,
  5: list<BlockedRequest> blocked_requests,
  /** Names of groups that are dissolved but still reported by servers. */
  6: list<string> released_groups,
}

/** Changes of the fleet state between two versions of one term. */
struct FleetStateChange {
  1: i64 term,
  /** The change applies to copies of this version or a later one. */
  2: i64 from_version,
  3: i64 version,
  4: list<Instance> instances,
  5: list<string> removed_instances,
  6: list<EngineGroup> groups,
  7: list<string> removed_groups,
  8: list<BlockedRequest> blocked_requests,
  /** Fingerprints of the requests. */
  9: list<i64> removed_blocked_requests,
  10: list<string> released_groups,
  /** Names of released groups that no server reports any more. */
  11: list<string> removed_released_groups,
}

struct GroupLoad {
  1: string group,
  2: i32 in_flight,
  /** How many of these requests have received their first stream event. */
  4: i32 streaming,
  /** Prompt tokens of the other requests. */
  5: i64 waiting_tokens,
  /** Milliseconds since the sender last received an event or response from the group; negative if it never did. */
  3: i32 progress_age_ms,
  /**
   * Intervals that the sender measured since its last report of this target, and their mean in milliseconds: pauses
   * between the events of a group's streams, or response times of a plain server. Absent if there were none.
   */
  6: optional i32 interval_count,
  7: optional double interval_ms,
}

/**
 * Requests for a model that a node received since it started. These are totals, so that a lost report loses no data.
 */
struct ModelDemand {
  1: string service_name,
  2: string model,
  3: i64 received,
  4: i64 prompt_tokens,
  /** Expected answer tokens, as far as the requests indicate them. */
  5: i64 answer_tokens,
  /** Smallest target for the time to the first event among the routes of these requests. */
  6: i32 target_latency_ms,
}

/** An entry's own observation that a group's head failed: it refused or reset connections, or stalled. */
struct GroupFailure {
  2: string group,
  /**
   * The entry's own links to servers probably failed. The observation then only counts beside others that do not depend
   * on these links.
   */
  3: optional bool is_own_link_suspected,
  /**
   * The entry only waited too long for an answer; no connection was refused or reset. Silence alone is no failure: it
   * counts as proof only beside independent evidence.
   */
  4: optional bool is_silence,
}

/** An entry that relays requests of other entries to servers. */
struct RelayPeer {
  /** IP:PORT at which it accepts requests from other entries. */
  1: string address,
  2: string zone,
}

/**
 * Heartbeat of a node to the control replica that it subscribes to. A control replica subscribes to the leader, an
 * entry to any control replica.
 */
struct FleetHeartbeat {
  1: i64 sequence,
  2: string zone,
  /** Identity of the data folder; zero on a node without a disk. */
  3: i64 replica_id,
  /** Address, IP:PORT, at which the node serves control calls; empty if it serves none. */
  4: string control_address,
  5: i64 document_version,
  6: i64 held_term,
  7: i64 held_version,
  11: bool leaving,
  12: bool serves_requests,
  /** The sender's copy of the state, sent if the leader asked for it. */
  14: optional FleetState held_state,
  /** The entry currently chooses targets itself, so the reply must contain the loads of all entries. */
  17: bool wants_loads,
  /** On control replicas: number of subscribed entries that serve requests. */
  18: i32 serving_entries,
  /** On control replicas: the lowest version of `held_term` that these entries hold. */
  19: i64 entries_hold_version,
  /** Revision of the evacuations that the sender holds. */
  20: i64 evacuation_revision,
  /** Address at which an entry relays requests of other entries; absent if it relays none. */
  21: optional string relay_address,
  /** On control replicas: some of the subscribed entries that relay requests. Absent if unchanged. */
  22: optional list<RelayPeer> relay_peers,
  /** On entries: the links to all servers are lost, so that it can relay nothing at present. */
  23: bool reaches_no_server,
}

/** Request of an entry to the leader for a slot in a group for one request. */
struct SlotRequest {
  /** Unique among the slot requests of one entry incarnation. */
  1: i64 id,
  2: string service_name,
  3: string model,
  4: i32 prompt_tokens,
  /** Milliseconds from now until the group must deliver the first event; zero if the route has no such target. */
  5: i32 first_event_ms,
  /** The route's target for the longest pause between events, in milliseconds; zero for none. */
  6: i32 gap_ms,
  /** 0 is the highest priority. */
  7: i32 priority,
  /** How long the request may wait for a slot, in milliseconds. */
  9: i32 patience_ms,
  /** Groups that the entry observed to fail or suspects. */
  10: list<string> excluded_groups,
  /**
   * If set, the entry requests no slot but permission for one trial dispatch of the blocked request with this
   * fingerprint.
   */
  11: optional i64 trial_of,
  /**
   * If set, the entry requests no slot but permission to send the request with this fingerprint, whose response was
   * lost, or a request with this suspected part of its prompt.
   */
  12: optional i64 repeat_of,
  /** Zones of the request's home regions in which it may run, sorted; absent if it may run anywhere. */
  13: optional list<string> allowed_zones,
  /**
   * Incarnations of plain servers with a rate limit, in order of preference. The entry requests one of them instead of
   * a group. Absent if it requests a group.
   */
  14: optional list<string> rated_servers,
  /** Name of the caller's tenant; absent if the route needs no key. */
  15: optional string tenant,
  /** Tokens that the answer is expected to have; absent if unknown. */
  16: optional i32 answer_tokens,
  /** Equal for all attempts of a caller at the same request; see requests::RequestFingerprint. */
  17: optional i64 fingerprint,
  /**
   * Incarnations of plain servers whose slots the leader counts, in order of preference. The entry requests a slot of
   * one of them instead of a group. Absent if it requests a group.
   */
  18: optional list<string> plain_servers,
}

enum SlotVerdict {
  /** The request must be sent to `group`. */
  GRANTED = 0,
  /** No slot is free yet. Another answer follows within the request's patience. */
  QUEUED = 1,
  /** No slot became free in time. */
  BUSY = 2,
  /** The leader cannot decide. The entry decides by its own data. */
  UNDECIDED = 3,
}

struct SlotGrant {
  /** The id of the SlotRequest. */
  1: i64 id,
  /** Increases with each slot granted to the entry in the leader's term. */
  2: i64 sequence,
  3: SlotVerdict verdict,
  4: string group,
  /** Milliseconds after which the group's first event is expected. */
  5: i32 expected_ms,
  /** The server of `rated_servers` or `plain_servers` to which the request must be sent. */
  6: optional string server,
  /** With BUSY: milliseconds after which there is expected to be room for the request. */
  7: optional i32 retry_after_ms,
}

/** A server crashed or ended while it ran a request of the sender. */
struct RequestServerEnd {
  1: i64 fingerprint,
  /** Incarnation of the server: its id, and its `born_ms` if it reports one. */
  2: string instance_id,
  /** Milliseconds since the sender noticed the end. */
  3: i64 age_ms,
  /** Set if no process answers at the server's address. A later report of the server itself disproves the end. */
  4: optional bool is_likely,
  /** Fingerprint of the request, if `fingerprint` is that of a part of its prompt. */
  5: optional i64 request_of_part,
}

/**
 * The limit that a server named in a response to the sender: requests per second that it accepts from all entries
 * together.
 */
struct ServerLimitReport {
  1: string incarnation,
  /** Absent if the server no longer names a limit. */
  2: optional double per_second,
  /** Milliseconds since the sender observed the limit. */
  3: i64 age_ms,
}

/** An entry's slot requests, and its loads that changed since its last report. Sent to the leader. */
struct SlotReport {
  1: list<SlotRequest> requests,
  2: list<GroupLoad> loads,
  /** Term and sequence of the last slot grant received. `loads` include the requests of all grants up to it. */
  3: i64 grants_term,
  4: i64 grants_seen,
  /** `loads` list every group at which the entry has requests in flight; it has none at other groups. */
  5: bool is_complete,
  /** Totals since the entry started; only in complete reports. */
  6: list<ModelDemand> demand,
  /** Groups that the entry avoids. Contained in complete reports, and sent immediately when a group is added. */
  7: list<GroupFailure> failures,
  /** The entry has received at least one caller's request since it started. */
  8: bool traffic_seen,
  /** Groups whose streams at this entry currently pause for longer than expected. */
  9: list<string> quiet_groups,
  /**
   * Servers that ended during the entry's requests since its last report. The most recent ones are repeated to a new
   * leader.
   */
  10: list<RequestServerEnd> server_ends,
  /** Fingerprints of suspected or blocked requests that a server answered. */
  11: list<i64> answered_requests,
  /** Server limits that changed since the entry's last report; all known ones in complete reports. */
  12: list<ServerLimitReport> server_limits,
}

struct SlotAnswer {
  1: i64 term,
  2: list<SlotGrant> grants,
  /**
   * Groups that have stalled according to several entries. Another place must be found for their in-flight requests;
   * the groups may still go on with them.
   */
  3: list<string> failed_groups,
}

/** A control replica, as other nodes learn of it. */
struct ControlPeer {
  1: string address,
  /** Empty while the zone is unknown. */
  2: string zone,
}

/**
 * Reply to a heartbeat (sequence set) or an unsolicited update (sequence zero). Control replicas receive it from the
 * leader; entries receive it from the control replica that they subscribe to, which forwards its own copy.
 */
struct FleetUpdate {
  1: i64 sequence,
  2: bool not_leader,
  /** Peer address of the leader, if known to the sender. */
  3: string leader,
  5: i64 term,
  6: i64 document_version,
  8: optional FleetState state,
  /** In-flight requests per group at all entries, for nodes that asked for them. */
  9: list<GroupLoad> loads,
  /** Number of entries that currently serve requests. Budgets shared by all entries are divided by it. */
  10: i32 serving_nodes,
  /** The leader does not have its predecessor's state and asks for the receiver's copy. */
  11: bool wants_state,
  /** Sent instead of the state if the receiver holds an earlier version of the same term. */
  12: optional FleetStateChange state_change,
  /** A call waits until all nodes hold this version: confirm immediately instead of with the next heartbeat. */
  13: bool wants_confirmation,
  /** Milliseconds since a leader last confirmed that `document_version` is the newest; negative if none ever did. */
  14: i64 confirmed_age_ms,
  /** All known control replicas. */
  15: list<ControlPeer> control_peers,
  /** Sent if the receiver holds an earlier version. */
  16: optional DocumentChange document,
  /** Revision of the evacuations that was the newest when `document_version` was confirmed. */
  17: i64 evacuation_revision,
  /** Sent if the receiver holds an earlier revision. */
  18: optional ZoneEvacuations evacuations,
  /** Entries that relay requests for others: to control replicas some of all, to an entry those that it may use. */
  19: optional list<RelayPeer> relay_peers,
  /** Milliseconds since the last time at which a leader knew that no document was committed yet. */
  20: optional i64 no_document_age_ms,
}

enum ControlCallKind {
  HEARTBEAT = 0,
  DEREGISTER = 1,
  PUT_DOCUMENT = 2,
  GET_DOCUMENT = 3,
  EVACUATE_ZONE = 4,
  RESTORE_ZONE = 5,
  GET_ZONES = 6,
  /** Explains where a request with the properties in `body` (JSON) would be sent now. */
  EXPLAIN_PLACEMENT = 7,
}

/** A change of the evacuated zones, in the order in which leaders propose them to the log. */
struct ZoneChangeId {
  /** Term of the leader. */
  1: i64 term,
  /** Number of zone changes that the leader has proposed in this term, this one included. */
  2: i64 number,
}

/** A call of an instance or operator, forwarded to the leader by the replica that received it. */
struct ControlCall {
  1: i64 id,
  2: ControlCallKind kind,
  3: string instance_id,
  4: binary body,
  /** Zone of a call to evacuate or restore. */
  5: string zone,
  /** A call to evacuate or restore is rejected with status 409 unless this is the leader's last zone change. */
  6: optional ZoneChangeId expected_zone_change,
}

struct ControlCallReply {
  1: i64 id,
  2: i32 status,
  3: binary body,
  /** The leader's last zone change, in replies to GET_ZONES. */
  4: optional ZoneChangeId last_zone_change,
}

/** A heartbeat of an instance, as received by a control replica. */
struct RegistrationReport {
  1: Instance instance,
  /** Term of the newest leader known to the replica when it received the heartbeat; 0 if it knew none. */
  2: i64 known_term,
}

/** Heartbeats of instances received by a control replica, for the leader. */
struct RegistrationBatch {
  1: list<RegistrationReport> reports,
}

/** Message of a seed of a new fleet to the other seeds until one of them has created the first log. */
struct FormationNotice {
  /**
   * Peer address of the seed that the sender has chosen to create the first log, as persisted on its disk; empty while
   * it has not chosen.
   */
  1: string choice,
  /** The sender has a log, so the fleet already exists. */
  2: bool holds_log,
}

struct Envelope {
  1: string from_node,
  2: i64 from_incarnation,
  3: string to_node,
  4: optional RaftMessage raft,
  5: optional Heartbeat heartbeat,
  6: optional HeartbeatReply heartbeat_reply,
  7: optional ClaimRequest claim_request,
  8: optional ClaimReply claim_reply,
  9: optional ResolutionRequest resolution,
  10: optional OperatorRequest operator_request,
  11: optional OperatorReply operator_reply,
  12: optional ResolutionReply resolution_reply,
  13: optional FleetHeartbeat fleet_heartbeat,
  14: optional FleetUpdate fleet_update,
  15: optional ControlCall control_call,
  16: optional ControlCallReply control_call_reply,
  17: optional SlotReport slot_report,
  18: optional SlotAnswer slot_answer,
  19: optional RegistrationBatch registrations,
  20: optional FormationNotice formation,
}
