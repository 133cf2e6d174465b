#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus/replicated_log.h"
#include "core/base/ids.h"
#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::consensus {

struct RaftOptions {
  Duration heartbeat_interval = milliseconds(100);
  /// A voter that heard a leader within this time votes for nobody else; the leader's lease is this long.
  Duration election_timeout_min = milliseconds(1000);
  Duration election_timeout_max = milliseconds(1700);
  /// A restarted voter asks for votes after this long, again and again, until its restart check is over: where all
  /// restarted at once, nobody's lease is left to wait for.
  Duration restart_election_timeout_min = milliseconds(60);
  Duration restart_election_timeout_max = milliseconds(200);
  /// Longest wait of a restarted voter for its peers' word on what it had acknowledged before.
  Duration restart_check_timeout = milliseconds(1200);
  size_t max_entries_per_append = 256;
  size_t max_bytes_per_append = 512 * 1024;
  size_t max_appends_in_flight = 16;
};

/// What a replica finds in its data folder at start.
struct PersistedState {
  wire::HardState hard_state;
  wire::SnapshotHeader snapshot;
  std::string snapshot_state;
  std::vector<wire::LogEntry> entries;
};

struct Snapshot {
  wire::SnapshotHeader header;
  std::string state;
  /// Received from the leader: everything stored before it is void. Otherwise entries after it stay valid.
  bool replaces_log = false;
};

/// One step's work for the owner of the node. The order is binding: everything in `hard_state`, `snapshot` and
/// `entries` reaches the disk, synced, before any of `messages_after_sync` leaves and before
/// `RaftNode::synced(ticket)` is called. `messages` may leave at once: they promise nothing about our disk.
struct RaftOutput {
  int64_t ticket = 0;
  std::optional<wire::HardState> hard_state;
  std::optional<Snapshot> snapshot;
  /// Entries to store; the first one replaces whatever is stored at its index and after.
  std::vector<wire::LogEntry> entries;
  std::vector<wire::RaftMessage> messages;
  std::vector<wire::RaftMessage> messages_after_sync;

  bool needs_sync() const { return hard_state || snapshot || !entries.empty(); }
  bool empty() const { return !needs_sync() && messages.empty() && messages_after_sync.empty(); }
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct RaftStats {
  uint64_t elections_started = 0;
  uint64_t terms_led = 0;
  uint64_t quorum_losses = 0;
  uint64_t snapshots_sent = 0;
  uint64_t snapshots_installed = 0;
  uint64_t messages_to_other_identity = 0;
  uint64_t rollbacks_detected = 0;
};

/// A member of the replicated log, as a deterministic state machine: Raft with pre-vote, check-quorum, a leader
/// lease, learners and single-replica membership changes.
///
/// Guarantees, given that the owner keeps RaftOutput's order and that clocks drift by at most kMaximumClockDrift:
/// - an entry handed out by `take_committed` is never lost nor replaced;
/// - `has_lease` is true on at most one replica at any moment;
/// - a replica acknowledges only what is synced, and votes only under the identity of its data folder.
///
/// Thread rules: none of its own; the owner serialises all calls.
class RaftNode {
 public:
  /// `replica_id` is the identity stored in the data folder, `boot` must rise with every start of this replica. `seed`
  /// feeds the election timer only.
  RaftNode(ReplicaId replica_id, Incarnation boot, const RaftOptions& options, PersistedState persisted, uint64_t seed,
           TimePoint now);

  /// Makes the first log of a new fleet: one voter. To be persisted before the node is constructed.
  static PersistedState bootstrap(const wire::ReplicaAddress& first_voter);

  void tick(TimePoint now);
  void step(TimePoint now, const wire::RaftMessage& message);
  /// The batch with this ticket, and all before it, are on disk.
  void mark_synced(TimePoint now, int64_t ticket);

  /// Appends a command to the leader's log. Returns its index; nothing when this replica does not lead.
  std::optional<int64_t> propose(TimePoint now, std::string payload);
  /// Proposes a replica set that differs from the current one in one replica. Returns nothing when not leading, when
  /// an earlier change is uncommitted, or when more than one voter would change.
  std::optional<int64_t> propose_replicas(TimePoint now, const wire::ReplicaSet& replicas);
  /// Gives leadership to the most complete other voter. The lease ends at once. False when nobody is fit.
  bool transfer_leadership(TimePoint now);

  RaftOutput take_output();
  /// Committed entries not taken before, in order. After an installed snapshot see `take_installed_snapshot`.
  std::vector<wire::LogEntry> take_committed();
  /// A snapshot that replaced this replica's log; its state must replace the owner's before more is applied.
  std::optional<Snapshot> take_installed_snapshot();
  /// Stores `state`, the owner's state right after entry `index`, and keeps `trailing` entries before it.
  void compact(int64_t index, std::string state, int64_t trailing);

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /// Leads, and no other replica can lead before `now`: reads and grants are safe.
  bool has_lease(TimePoint now) const;
  /// Leads, holds the lease and has committed an entry of its own term, hence knows all that was ever committed.
  bool is_ready_leader(TimePoint now) const;
  ReplicaId id() const { return id_; }
  ReplicaId leader() const { return ReplicaId(leader_); }
  /// Peer address of the leader; empty while none is known.
  std::string leader_node() const;
  int64_t term() const { return hard_state_.term; }
  int64_t commit_index() const { return commit_index_; }
  int64_t first_index() const { return log_.first_index(); }
  int64_t last_index() const { return log_.last_index(); }
  const wire::ReplicaSet& replicas() const { return log_.replicas(); }
  bool replica_change_pending() const { return log_.replicas_index() > commit_index_; }
  bool is_voter() const;
  /// False while a restarted voter still waits to learn whether its disk lost acknowledged entries.
  bool may_vote() const { return !restart_check_pending_ && !identity_rejected_; }
  /// Restarted a moment ago and not heard from a leader since. A leader that counted an earlier answer of ours may hold
  /// its lease; unless every voter votes, which a leader that holds one does not, it must run out first.
  bool in_restart_grace_period(TimePoint now) const;
  TimePoint restart_grace_end() const;
  /// No leader was heard since the start, and others may have started as late: campaigns follow each other quickly.
  bool may_be_cluster_restart(TimePoint now) const;
  /// Answers a candidate that asked an identity which this address had before it lost its disk. Data folders do not
  /// move between addresses, so that replica runs nowhere.
  void reply_voter_gone(const wire::RaftMessage& message);
  /// A leader proved that this replica's disk lost acknowledged entries. The owner must give the data folder a new
  /// identity and come back as a learner; this object takes part in nothing any more.
  bool identity_rejected() const { return identity_rejected_; }
  /// Highest entry that `replica` is known to hold; only meaningful on the leader.
  int64_t match_index(ReplicaId replica) const;
  /// When `replica` last answered this leader; nothing if it never did.
  std::optional<TimePoint> last_contact(ReplicaId replica) const;
  /// Replicas that acknowledged entries and later turned out not to hold them: their disks were rolled back.
  const std::set<int64_t>& rolled_back() const { return rolled_back_; }
  const RaftStats& stats() const { return stats_; }

 private:
  struct Progress {
    int64_t next_index = 1;
    int64_t match_index = 0;
    /// Start and number of the reply that last confirmed a match.
    std::pair<int64_t, int64_t> match_reply{0, 0};
    size_t appends_in_flight = 0;
    int64_t lease_contact_us = -1;  ///< Our clock when the newest answered append was sent.
    TimePoint last_reply{};
    bool replied = false;
    TimePoint snapshot_sent{};
    bool snapshot_in_flight = false;
  };

  void become_follower(TimePoint now, int64_t term, int64_t leader);
  void become_leader(TimePoint now);
  void campaign(TimePoint now, bool pre_vote, bool transfer);
  void tally_votes(TimePoint now);
  void reset_election_timer(TimePoint now);
  /// A leader spoke; to be noted before its term is taken over, which sets the election timer by it.
  void record_leader_contact(TimePoint now);
  void handle_vote_request(TimePoint now, int64_t from, const wire::VoteRequest& request);
  void handle_vote_reply(TimePoint now, int64_t from, const wire::VoteReply& reply);
  void handle_append_request(TimePoint now, int64_t from, const wire::AppendRequest& request);
  void handle_append_reply(TimePoint now, int64_t from, const wire::AppendReply& reply);
  void handle_snapshot_request(TimePoint now, int64_t from, const wire::SnapshotRequest& request);
  void handle_hand_over_request(TimePoint now, const wire::HandOverRequest& request);
  bool log_is_up_to_date(const wire::VoteRequest& request) const;
  void append_own_entry(wire::EntryKind::type kind, std::string payload);
  void persist_hard_state();
  void send_append(TimePoint now, int64_t to, bool heartbeat);
  void send_snapshot(TimePoint now, int64_t to, Progress& progress);
  void replicate(TimePoint now);
  void advance_commit();
  void check_quorum(TimePoint now);
  void update_progress_table();
  TimePoint quorum_contact_time(TimePoint now) const;
  bool has_recent_leader_contact(TimePoint now) const;
  wire::RaftMessage& add_message(int64_t to, bool after_sync);
  wire::AppendReply& add_append_reply(int64_t to, bool success, int64_t match, int64_t sent_at_us);

  ReplicaId id_;
  Incarnation boot_;
  int64_t next_reply_ = 1;
  RaftOptions options_;
  std::mt19937_64 random_;
  ReplicatedLog log_;
  Snapshot snapshot_;
  std::optional<Snapshot> installed_snapshot_;
  wire::HardState hard_state_;
  Role role_ = Role::kFollower;
  int64_t leader_ = 0;
  int64_t commit_index_ = 0;
  int64_t delivered_index_ = 0;
  TimePoint election_deadline_{};
  TimePoint last_leader_contact_{};
  TimePoint started_{};
  bool leader_contacted_since_start_ = false;
  bool restart_check_pending_ = false;
  TimePoint restart_check_deadline_{};
  bool identity_rejected_ = false;
  TimePoint next_heartbeat_{};
  TimePoint quorum_deadline_{};
  int64_t term_start_index_ = 0;
  bool lease_released_ = false;
  /// Votes granted, by replica; true when they hold only if all voters grant theirs.
  std::map<int64_t, bool> votes_;
  /// Voters at whose address another identity answered in this campaign.
  std::set<int64_t> gone_voters_;
  std::map<int64_t, Progress> progress_;
  std::set<int64_t> rolled_back_;
  int64_t synced_index_ = 0;
  std::deque<std::pair<int64_t, int64_t>> unsynced_batches_;  ///< (ticket, last index of that batch)
  int64_t next_ticket_ = 1;
  RaftOutput output_;
  RaftStats stats_;
};

}  // namespace larchlever::consensus
