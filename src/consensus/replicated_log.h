#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::consensus {

/// The in-memory image of one replica's log: a snapshot boundary and every entry after it, together with the
/// replica set in force at each index. Holds no I/O; single-threaded.
class ReplicatedLog {
 public:
  ReplicatedLog() = default;
  /// Starts from a snapshot boundary and the contiguous entries that follow it.
  ReplicatedLog(wire::SnapshotHeader snapshot, std::vector<wire::LogEntry> entries);

  int64_t first_index() const { return snapshot_.index + 1; }
  int64_t last_index() const { return snapshot_.index + static_cast<int64_t>(entries_.size()); }
  int64_t last_term() const { return term_at(last_index()); }
  const wire::SnapshotHeader& snapshot() const { return snapshot_; }

  /// Term of the entry at `index`; -1 when the index lies before the snapshot or after the end.
  int64_t term_at(int64_t index) const;
  /// Precondition: first_index() <= index <= last_index().
  const wire::LogEntry& at(int64_t index) const;
  /// At most `limit` entries from `from` on, and at most about `max_bytes` payload bytes (at least one entry).
  std::vector<wire::LogEntry> slice(int64_t from, size_t max_entries, size_t max_bytes) const;

  /// Appends an entry whose index is last_index() + 1.
  void append(wire::LogEntry entry);
  /// Drops every entry from `index` on; the replica set falls back to the one before.
  void truncate_from(int64_t index);
  /// Forgets entries up to `index`, which becomes the snapshot boundary.
  void compact(int64_t index);
  /// Replaces the whole log by a snapshot received from the leader.
  void reset(const wire::SnapshotHeader& snapshot);

  /// The newest replica set in the log, committed or not: a replica acts by it as soon as it holds it.
  const wire::ReplicaSet& replicas() const;
  /// Replica set as of `index`.
  const wire::ReplicaSet& replicas_at(int64_t index) const;
  /// Index of the entry that brought the newest replica set.
  int64_t replicas_index() const;

 private:
  void record_replica_set(const wire::LogEntry& entry);

  wire::SnapshotHeader snapshot_;
  std::deque<wire::LogEntry> entries_;
  std::vector<std::pair<int64_t, wire::ReplicaSet>> replica_sets_;
};

}  // namespace larchlever::consensus
