#include "simulation/virtual_disk.h"

#include <algorithm>

namespace larchlever::simulation {

void VirtualDisk::assign_identity(ReplicaId replica_id) {
  replica_id_ = replica_id;
  image_ = consensus::PersistedState();
  saved_image_.reset();
  in_flight_.clear();
}

void VirtualDisk::apply(consensus::PersistedState& image, const consensus::RaftOutput& batch) {
  if (batch.snapshot) {
    image.snapshot = batch.snapshot->header;
    image.snapshot_state = batch.snapshot->state;
    if (batch.snapshot->replaces_log) {
      image.entries.clear();
    }
    std::erase_if(image.entries, [&](const auto& entry) { return entry.index <= image.snapshot.index; });
  }
  if (batch.hard_state) {
    image.hard_state = *batch.hard_state;
  }
  for (const auto& entry : batch.entries) {
    while (!image.entries.empty() && image.entries.back().index >= entry.index) {
      image.entries.pop_back();
    }
    if (entry.index > image.snapshot.index) {
      image.entries.push_back(entry);
    }
  }
}

void VirtualDisk::sync_oldest() {
  if (!in_flight_.empty()) {
    apply(image_, in_flight_.front());
    in_flight_.pop_front();
  }
}

void VirtualDisk::crash(size_t synced_batches) {
  for (size_t batch = 0; batch < synced_batches && !in_flight_.empty(); ++batch) {
    sync_oldest();
  }
  in_flight_.clear();
}

void VirtualDisk::replace_with_empty() { assign_identity(ReplicaId()); }

bool VirtualDisk::restore_saved_image() {
  if (!saved_image_) {
    return false;
  }
  image_ = *saved_image_;
  in_flight_.clear();
  return true;
}

}  // namespace larchlever::simulation
