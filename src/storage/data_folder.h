#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/raft_node.h"
#include "core/base/ids.h"
#include "storage/file_system.h"
#include "storage/record_format.h"
#include "storage/storage_error.h"

namespace larchlever::storage {

struct StorageStats {
  uint64_t batches = 0;
  uint64_t records = 0;
  uint64_t bytes = 0;
  uint64_t syncs = 0;
  uint64_t snapshots = 0;
  uint64_t torn_tails_truncated = 0;
};

/// The durable state of one control replica: an identity, a segmented log with checksums and the newest snapshot,
/// in one folder.
///
/// Guarantees: data that `write` reported as written survives a restart; recovery never treats a failed batch as
/// acknowledged; a folder with damaged acknowledged records does not open. After a failed sync the object rejects all
/// further work, because the kernel may have dropped the dirty pages and would report success for the next sync.
///
/// Used by one thread at a time; blocks on disk I/O.
class DataFolder {
 public:
  static constexpr uint64_t kSegmentRotationBytes = 8U << 20U;

  /// Opens `path`, creating it if absent, and recovers its content. Returns null and sets `error` on failure.
  /// `file_system` must outlive the returned object.
  static std::unique_ptr<DataFolder> open(const std::filesystem::path& path, FileSystem& file_system,
                                          StorageError& error);
  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /// Identity of this folder, or zero if none was assigned (a new or replaced disk).
  ReplicaId replica_id() const { return replica_id_; }
  /// Assigns an identity and syncs it. If the folder has another identity, its old content is first moved into a
  /// subfolder.
  std::optional<StorageError> assign_identity(ReplicaId replica_id);
  /// Returns the recovered state. It is moved out, so call this only once.
  consensus::PersistedState take_recovered_state() { return std::move(recovered_); }

  /// Writes a batch and syncs it once, so that several outputs share one sync (group commit).
  std::optional<StorageError> write(const std::vector<const consensus::RaftOutput*>& batch);
  /// Atomically replaces the state copy by `content`. The state copy is an optimization for the next start; a failure
  /// here does not affect the log.
  std::optional<StorageError> save_state_copy(std::string_view content);
  /// Returns the content last saved by `save_state_copy`, or an empty string if there is none or it is damaged.
  std::string read_state_copy() const;
  const StorageStats& stats() const { return stats_; }

 private:
  DataFolder(std::filesystem::path path, FileSystem& file_system);

  std::optional<StorageError> acquire_lock();
  std::optional<StorageError> recover();
  std::optional<StorageError> read_identity();
  std::optional<StorageError> recover_snapshot();
  std::optional<StorageError> recover_segment(uint64_t number, bool is_last);
  std::optional<StorageError> replay_record(const StoredRecord& record, uint64_t segment);
  std::optional<StorageError> start_segment(uint64_t number);
  std::optional<StorageError> write_snapshot(const consensus::Snapshot& snapshot);
  std::optional<StorageError> write_file_atomically(const std::filesystem::path& target, std::string_view content);
  std::optional<StorageError> append_and_sync(std::string_view bytes);
  std::optional<StorageError> sync_descriptor(int descriptor, const std::string& file_name);
  std::optional<StorageError> sync_folder();
  void remove_obsolete_files();
  std::filesystem::path segment_path(uint64_t number) const;

  std::filesystem::path path_;
  FileSystem& file_system_;
  int lock_descriptor_ = -1;
  int segment_descriptor_ = -1;
  uint64_t segment_number_ = 0;
  uint64_t segment_offset_ = 0;
  uint64_t synced_offset_ = 0;
  std::map<uint64_t, int64_t> last_entry_of_segment_;
  int64_t snapshot_index_ = 0;
  wire::HardState hard_state_;
  ReplicaId replica_id_;
  consensus::PersistedState recovered_;
  std::optional<StorageError> fatal_error_;
  StorageStats stats_;
};

}  // namespace larchlever::storage
