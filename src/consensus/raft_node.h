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
  /// A voter that received a message from a leader within this time grants no vote to other replicas. The leader's
  /// lease has this length.
  Duration election_timeout_min = milliseconds(1000);
  Duration election_timeout_max = milliseconds(1700);
  /// Election timeout of a restarted voter until its grace period ends. It is short because after a restart of all
  /// replicas there is no lease to wait for.
  Duration restart_election_timeout_min = milliseconds(60);
  Duration restart_election_timeout_max = milliseconds(200);
  /// How long a restarted voter waits for a leader to confirm that its disk still holds everything it acknowledged.
  Duration restart_check_timeout = milliseconds(1200);
  size_t max_entries_per_append = 256;
  size_t max_bytes_per_append = 512 * 1024;
  size_t max_appends_in_flight = 16;
};

/// State that a replica reads from its data folder at start.
struct PersistedState {
  wire::HardState hard_state;
  wire::SnapshotHeader snapshot;
  std::string snapshot_state;
  std::vector<wire::LogEntry> entries;
};

struct Snapshot {
  wire::SnapshotHeader header;
  std::string state;
  /// True if the snapshot was received from the leader and invalidates everything stored before it. Otherwise stored
  /// entries after the snapshot stay valid.
  bool replaces_log = false;
};

/// Work that a step leaves to the owner of the node. The order is mandatory: `hard_state`, `snapshot` and `entries`
/// must be written and synced before any of `messages_after_sync` is sent and before `RaftNode::mark_synced(ticket)` is
/// called. `messages` may be sent immediately because they do not depend on the disk of this replica.
struct RaftOutput {
  int64_t ticket = 0;
  std::optional<wire::HardState> hard_state;
  std::optional<Snapshot> snapshot;
  /// Entries to store. The first one replaces the stored entry at its index and all that follow.
  std::vector<wire::LogEntry> entries;
  std::vector<wire::RaftMessage> messages;
  std::vector<wire::RaftMessage> messages_after_sync;

  bool needs_sync() const { return hard_state || snapshot || !entries.empty(); }
  bool empty() const { return !needs_sync() && messages.empty() && messages_after_sync.empty(); }
};

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

struct RaftStats {
  uint64_t elections_started = 0;
  uint64_t elections_won = 0;
  uint64_t quorum_losses = 0;
  uint64_t snapshots_sent = 0;
  uint64_t snapshots_installed = 0;
  uint64_t messages_to_other_identity = 0;
  uint64_t rollbacks_detected = 0;
};

/// A member of the replicated log, as a deterministic state machine: Raft with pre-vote, check-quorum, a leader lease,
/// learners and membership changes of one replica at a time.
///
/// Guarantees, provided that the owner keeps the order of RaftOutput and that clocks drift by at most
/// kMaxClockDriftRatio:
/// - an entry returned by `take_committed` is never lost or replaced;
/// - `has_lease` is true on at most one replica at any time;
/// - a replica acknowledges only what is synced, and votes only under the identity of its data folder.
///
/// Not thread-safe; the owner serializes all calls.
class RaftNode {
 public:
  /// `replica_id` is the identity stored in the data folder. `boot` must increase with every start of this replica.
  /// `seed` is used only for the election timer.
  RaftNode(ReplicaId replica_id, Incarnation boot, const RaftOptions& options, PersistedState persisted, uint64_t seed,
           TimePoint now);

  /// Creates the first log of a new fleet, with one voter. It must be persisted before the node is constructed.
  static PersistedState bootstrap(const wire::ReplicaAddress& first_voter);

  void tick(TimePoint now);
  void step(TimePoint now, const wire::RaftMessage& message);
  /// Reports that the output with this ticket and all earlier ones are synced to disk.
  void mark_synced(TimePoint now, int64_t ticket);

  /// Appends a command to the leader's log. Returns its index, or nothing if this replica is not the leader.
  std::optional<int64_t> propose(TimePoint now, std::string payload);
  /// Proposes a replica set that differs from the current one by at most one voter. Returns nothing if this replica is
  /// not the leader, an earlier change is uncommitted, or more than one voter would change.
  std::optional<int64_t> propose_replicas(TimePoint now, const wire::ReplicaSet& replicas);
  /// Transfers leadership to the other voter with the most complete log. The lease ends immediately. Returns false if
  /// no voter is suitable.
  bool transfer_leadership(TimePoint now);

  RaftOutput take_output();
  /// Returns the committed entries that were not returned before, in order. After a snapshot was installed, see
  /// `take_installed_snapshot`.
  std::vector<wire::LogEntry> take_committed();
  /// Returns a snapshot that replaced this replica's log. The owner must replace its state by the snapshot's before it
  /// applies further entries.
  std::optional<Snapshot> take_installed_snapshot();
  /// Takes a snapshot: `state` is the owner's state right after entry `index`. Keeps `trailing` log entries before it.
  void compact(int64_t index, std::string state, int64_t trailing);

  Role role() const { return role_; }
  bool is_leader() const { return role_ == Role::kLeader; }
  /// True if this replica is the leader and no other replica can be one before `now`, so that reads and grants are
  /// safe.
  bool has_lease(TimePoint now) const;
  /// True if this replica is the leader, holds the lease and has committed an entry of its own term, so that it knows
  /// all committed entries.
  bool is_ready_leader(TimePoint now) const;
  ReplicaId id() const { return id_; }
  ReplicaId leader() const { return ReplicaId(leader_); }
  /// Returns the peer address of the leader, or an empty string while it is unknown.
  std::string leader_node() const;
  int64_t term() const { return hard_state_.term; }
  int64_t commit_index() const { return commit_index_; }
  int64_t first_index() const { return log_.first_index(); }
  int64_t last_index() const { return log_.last_index(); }
  const wire::ReplicaSet& replicas() const { return log_.replicas(); }
  bool replica_change_pending() const { return log_.replica_set_index() > commit_index_; }
  bool is_voter() const;
  /// False while a restarted voter does not know yet whether its disk lost acknowledged entries, and once its identity
  /// was rejected.
  bool may_vote() const { return !restart_check_pending_ && !identity_rejected_; }
  /// True if this replica restarted recently and no leader has contacted it since. A leader that counted a reply sent
  /// before the restart may still hold its lease. Therefore a vote given in this period counts only if all voters grant
  /// theirs, which a lease holder does not do.
  bool in_restart_grace_period(TimePoint now) const;
  TimePoint restart_grace_end() const;
  /// True if no leader has contacted this replica since its start and the other replicas may have restarted at about
  /// the same time. Election timeouts are short in this period.
  bool may_be_cluster_restart(TimePoint now) const;
  /// Replies to a vote request sent to an identity that this address had before it lost its disk. Data folders do not
  /// move between addresses, so that identity no longer runs anywhere.
  void reply_voter_gone(const wire::RaftMessage& message);
  /// True once a leader found that this replica's disk lost acknowledged entries. This object then no longer takes part
  /// in the protocol; the owner must give the data folder a new identity and rejoin as a learner.
  bool identity_rejected() const { return identity_rejected_; }
  /// Highest index that `replica` is known to hold. Meaningful only on the leader.
  int64_t match_index(ReplicaId replica) const;
  /// Returns when `replica` last replied to this leader, or nothing if it never did.
  std::optional<TimePoint> last_contact(ReplicaId replica) const;
  /// Replicas that acknowledged entries and later reported that they do not hold them, because their disks were rolled
  /// back.
  const std::set<int64_t>& rolled_back_replicas() const { return rolled_back_replicas_; }
  const RaftStats& stats() const { return stats_; }

 private:
  struct Progress {
    int64_t next_index = 1;
    int64_t match_index = 0;
    /// Boot number and reply number of the reply that last confirmed a match.
    std::pair<int64_t, int64_t> last_match_reply{0, 0};
    size_t appends_in_flight = 0;
    /// Send time, on this replica's clock, of the newest append that was answered.
    int64_t answered_send_time_us = -1;
    TimePoint last_reply_time{};
    bool has_replied = false;
    TimePoint snapshot_sent_at{};
    bool snapshot_in_flight = false;
  };

  void become_follower(TimePoint now, int64_t term, int64_t leader);
  void become_leader(TimePoint now);
  void campaign(TimePoint now, bool pre_vote, bool transfer);
  void tally_votes(TimePoint now);
  void reset_election_timer(TimePoint now);
  /// Records contact from a leader. Must be called before the leader's term is adopted, because that sets the election
  /// timer, which depends on the contact.
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
  int64_t next_reply_number_ = 1;
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
  TimePoint started_at_{};
  bool leader_contacted_since_start_ = false;
  bool restart_check_pending_ = false;
  TimePoint restart_check_deadline_{};
  bool identity_rejected_ = false;
  TimePoint next_heartbeat_at_{};
  TimePoint quorum_deadline_{};
  int64_t term_start_index_ = 0;
  bool lease_released_ = false;
  /// Granted votes by replica. True if the vote counts only if all voters grant theirs.
  std::map<int64_t, bool> votes_;
  /// Voters whose address replied with another identity during this campaign.
  std::set<int64_t> gone_voters_;
  std::map<int64_t, Progress> progress_;
  std::set<int64_t> rolled_back_replicas_;
  int64_t synced_index_ = 0;
  std::deque<std::pair<int64_t, int64_t>> unsynced_batches_;  ///< (ticket, last index written by that output)
  int64_t next_ticket_ = 1;
  RaftOutput output_;
  RaftStats stats_;
};

}  // namespace larchlever::consensus
