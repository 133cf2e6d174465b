#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "consensus/raft_node.h"
#include "core/base/ids.h"

namespace larchlever::simulation {

/// A data folder in virtual time: holds what was synced; a crash loses what was not, or keeps a part of it.
class VirtualDisk {
 public:
  ReplicaId replica_id() const { return replica_id_; }
  void assign_identity(ReplicaId replica_id);

  /// A batch on its way to the disk.
  void submit(const consensus::RaftOutput& batch) { in_flight_.push_back(batch); }
  /// The oldest batch in flight reached the disk.
  void sync_oldest();
  /// Power is lost: of the batches in flight the first `kept` had reached the disk all the same.
  void crash(size_t synced_batches);
  /// The disk is replaced by an empty one.
  void replace_with_empty();
  /// Remembers the present content; `restore_saved_image` returns to it later under the same identity.
  void save_image() { saved_image_ = image_; }
  bool restore_saved_image();

  const consensus::PersistedState& image() const { return image_; }
  size_t in_flight() const { return in_flight_.size(); }
  /// The batch that will be synced next. Precondition: something is in flight.
  const consensus::RaftOutput& oldest() const { return in_flight_.front(); }

 private:
  static void apply(consensus::PersistedState& image, const consensus::RaftOutput& batch);

  ReplicaId replica_id_;
  consensus::PersistedState image_;
  std::optional<consensus::PersistedState> saved_image_;
  std::deque<consensus::RaftOutput> in_flight_;
};

}  // namespace larchlever::simulation
