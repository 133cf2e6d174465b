#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "consensus/raft_node.h"
#include "core/base/ids.h"

namespace larchlever::simulation {

/// Simulates a replica's data folder. Submitted batches are lost in a crash unless they were synced.
class VirtualDisk {
 public:
  ReplicaId replica_id() const { return replica_id_; }
  void assign_identity(ReplicaId replica_id);

  /// Submits a write batch; it stays in flight until it is synced.
  void submit(const consensus::RaftOutput& batch) { in_flight_.push_back(batch); }
  /// Syncs the oldest batch in flight.
  void sync_oldest();
  /// Simulates a power loss: the first `synced_batches` batches in flight reach the disk, the others are lost.
  void crash(size_t synced_batches);
  /// Replaces the disk by an empty one without a replica id.
  void replace_with_empty();
  /// Saves the current content, so that `restore_saved_image` can roll the disk back to it under the same replica id.
  void save_image() { saved_image_ = image_; }
  /// Returns false if no image was saved since the replica id was assigned.
  bool restore_saved_image();

  const consensus::PersistedState& image() const { return image_; }
  size_t in_flight() const { return in_flight_.size(); }
  /// The batch that is synced next. Precondition: `in_flight() > 0`.
  const consensus::RaftOutput& oldest() const { return in_flight_.front(); }

 private:
  static void apply(consensus::PersistedState& image, const consensus::RaftOutput& batch);

  ReplicaId replica_id_;
  consensus::PersistedState image_;
  std::optional<consensus::PersistedState> saved_image_;
  std::deque<consensus::RaftOutput> in_flight_;
};

}  // namespace larchlever::simulation
