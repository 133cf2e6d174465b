#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::consensus {

/// One replica's log in memory: the snapshot boundary, all entries after it and the replica set in effect at each
/// index. Performs no I/O; single-threaded.
class ReplicatedLog {
 public:
  ReplicatedLog() = default;
  /// Creates a log from a snapshot boundary and the contiguous entries that follow it.
  ReplicatedLog(wire::SnapshotHeader snapshot, std::vector<wire::LogEntry> entries);

  int64_t first_index() const { return snapshot_.index + 1; }
  int64_t last_index() const { return snapshot_.index + static_cast<int64_t>(entries_.size()); }
  int64_t last_term() const { return term_at(last_index()); }
  const wire::SnapshotHeader& snapshot() const { return snapshot_; }

  /// Returns the term of the entry at `index`, or -1 if the index lies before the snapshot or after the end of the log.
  int64_t term_at(int64_t index) const;
  /// Precondition: first_index() <= index <= last_index().
  const wire::LogEntry& at(int64_t index) const;
  /// Returns the entries from `from` on: at most `max_entries`, and at most `max_bytes` of payload but at least one
  /// entry.
  std::vector<wire::LogEntry> slice(int64_t from, size_t max_entries, size_t max_bytes) const;

  /// Appends an entry whose index is last_index() + 1.
  void append(wire::LogEntry entry);
  /// Removes all entries from `index` on. The replica set reverts to the one in effect before.
  void truncate_from(int64_t index);
  /// Removes the entries up to `index`, which becomes the snapshot boundary.
  void compact(int64_t index);
  /// Replaces the whole log by a snapshot received from the leader.
  void reset(const wire::SnapshotHeader& snapshot);

  /// The newest replica set in the log, committed or not. A replica uses a replica set as soon as it has stored it.
  const wire::ReplicaSet& replicas() const;
  /// The replica set in effect at `index`.
  const wire::ReplicaSet& replicas_at(int64_t index) const;
  /// Index of the entry that contains the newest replica set.
  int64_t replica_set_index() const;

 private:
  void record_replica_set(const wire::LogEntry& entry);

  wire::SnapshotHeader snapshot_;
  std::deque<wire::LogEntry> entries_;
  std::vector<std::pair<int64_t, wire::ReplicaSet>> replica_sets_;
};

}  // namespace larchlever::consensus
