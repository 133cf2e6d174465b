#include "storage/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

#include "wire/codec.h"

namespace larchlever::storage {

namespace {

namespace fs = std::filesystem;

constexpr const char* kIdentityFile = "identity";
constexpr const char* kStateCopyFile = "copy";
constexpr const char* kSnapshotPrefix = "snapshot-";
constexpr const char* kSegmentPrefix = "log-";
constexpr size_t kChecksumDigits = 16;

StorageError make_error(StorageErrorKind kind, std::string message) { return StorageError{kind, std::move(message)}; }

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string prepend_checksum(std::string_view content) {
  char digest[kChecksumDigits + 1];
  std::snprintf(digest, sizeof(digest), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(content.data(), content.size())));
  return std::string(digest, kChecksumDigits) + std::string(content);
}

std::optional<std::string> verify_and_strip_checksum(const std::string& content) {
  if (content.size() < kChecksumDigits ||
      prepend_checksum(std::string_view(content).substr(kChecksumDigits)) != content) {
    return std::nullopt;
  }
  return content.substr(kChecksumDigits);
}

/// Returns the numbers N of the files named `prefix`N, in ascending order.
std::vector<uint64_t> list_numbered_files(const fs::path& folder, std::string_view prefix) {
  std::vector<uint64_t> numbers;
  for (const auto& item : fs::directory_iterator(folder)) {
    const std::string name = item.path().filename().string();
    uint64_t number = 0;
    if (name.starts_with(prefix)) {
      const char* end = name.data() + name.size();
      const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
      if (parsed.ec == std::errc() && parsed.ptr == end) {
        numbers.push_back(number);
      }
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace

const char* to_string(StorageErrorKind kind) {
  switch (kind) {
    case StorageErrorKind::kNone:
      return "none";
    case StorageErrorKind::kCannotOpen:
      return "cannot_open";
    case StorageErrorKind::kLocked:
      return "locked";
    case StorageErrorKind::kCorruptRecord:
      return "corrupt_record";
    case StorageErrorKind::kCorruptSnapshot:
      return "corrupt_snapshot";
    case StorageErrorKind::kMissingSegment:
      return "missing_segment";
    case StorageErrorKind::kDiskFull:
      return "disk_full";
    case StorageErrorKind::kSyncFailed:
      return "sync_failed";
    case StorageErrorKind::kWriteFailed:
      return "write_failed";
  }
  return "unknown";
}

DataFolder::DataFolder(fs::path path, FileSystem& file_system) : path_(std::move(path)), file_system_(file_system) {}

DataFolder::~DataFolder() {
  for (const int descriptor : {segment_descriptor_, lock_descriptor_}) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
  }
}

std::unique_ptr<DataFolder> DataFolder::open(const fs::path& path, FileSystem& file_system, StorageError& error) {
  std::error_code code;
  fs::create_directories(path, code);
  if (code) {
    error = make_error(StorageErrorKind::kCannotOpen, "cannot create data folder " + path.string() + ": " +
                                                          code.message() + "; check the path and its permissions");
    return nullptr;
  }
  std::unique_ptr<DataFolder> folder(new DataFolder(path, file_system));
  auto open_error = folder->acquire_lock();
  if (!open_error) {
    open_error = folder->recover();
  }
  if (open_error) {
    error = *open_error;
    return nullptr;
  }
  return folder;
}

std::optional<StorageError> DataFolder::acquire_lock() {
  lock_descriptor_ = ::open((path_ / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_descriptor_ < 0) {
    return make_error(StorageErrorKind::kCannotOpen,
                      "cannot write in data folder " + path_.string() + "; check its permissions");
  }
  if (::flock(lock_descriptor_, LOCK_EX | LOCK_NB) != 0) {
    return make_error(StorageErrorKind::kLocked, "data folder " + path_.string() +
                                                     " is in use by another process; stop that process or give this "
                                                     "node a folder of its own");
  }
  return std::nullopt;
}

// ----------------------------------------------------------------- recovery

std::optional<StorageError> DataFolder::recover() {
  if (auto error = read_identity()) {
    return error;
  }
  if (auto error = recover_snapshot()) {
    return error;
  }
  const auto segments = list_numbered_files(path_, kSegmentPrefix);
  for (size_t position = 0; position < segments.size(); ++position) {
    if (position > 0 && segments[position] != segments[position - 1] + 1) {
      return make_error(StorageErrorKind::kMissingSegment,
                        "segment " + std::to_string(segments[position - 1] + 1) + " is missing in " + path_.string() +
                            "; move the folder away and restart: the replica returns under a new identity");
    }
    if (auto error = recover_segment(segments[position], position + 1 == segments.size())) {
      return error;
    }
  }
  // If the first entry has an older term than the snapshot, the entries belong to a log that the snapshot replaced.
  if (!recovered_.entries.empty() && recovered_.entries.front().term < recovered_.snapshot.term) {
    recovered_.entries.clear();
  }
  hard_state_ = recovered_.hard_state;
  return start_segment(segments.empty() ? 1 : segments.back() + 1);
}

std::optional<StorageError> DataFolder::read_identity() {
  const fs::path file = path_ / kIdentityFile;
  if (!fs::exists(file)) {
    return std::nullopt;
  }
  const auto content = verify_and_strip_checksum(read_file(file));
  if (!content) {
    return make_error(StorageErrorKind::kCorruptRecord, "identity file in " + path_.string() +
                                                            " is damaged; move the folder away and restart: the " +
                                                            "replica returns under a new identity");
  }
  replica_id_ = ReplicaId(std::stoll(*content));
  return std::nullopt;
}

std::optional<StorageError> DataFolder::recover_snapshot() {
  const auto snapshots = list_numbered_files(path_, kSnapshotPrefix);
  if (snapshots.empty()) {
    return std::nullopt;
  }
  // Do not fall back to an older snapshot: log entries that only the newest one covers may have been removed.
  const auto content =
      verify_and_strip_checksum(read_file(path_ / (kSnapshotPrefix + std::to_string(snapshots.back()))));
  const auto stored = content ? wire::decode<wire::SnapshotRequest>(*content) : std::nullopt;
  if (!stored) {
    return make_error(StorageErrorKind::kCorruptSnapshot,
                      "snapshot " + std::to_string(snapshots.back()) + " in " + path_.string() +
                          " is damaged; move the folder away and restart: the replica returns under a new identity");
  }
  recovered_.snapshot = stored->header;
  recovered_.snapshot_state = stored->state;
  snapshot_index_ = stored->header.index;
  return std::nullopt;
}

std::optional<StorageError> DataFolder::recover_segment(uint64_t number, bool is_last) {
  const std::string file = read_file(segment_path(number));
  uint64_t offset = 0;
  while (offset < file.size()) {
    const auto record = decode_record(file, offset);
    if (!record) {
      break;
    }
    if (auto error = replay_record(*record, number)) {
      return error;
    }
    offset += record->size_on_disk;
  }
  if (offset == file.size()) {
    return std::nullopt;
  }
  // An intact later record that was written after `offset` had been synced proves that the damage is not an unfinished
  // write. The replica may have acknowledged the lost entries, so it must not take part.
  bool may_be_acknowledged = !is_last;
  for (uint64_t later_offset = offset + 1; later_offset < file.size() && !may_be_acknowledged; ++later_offset) {
    const auto record = decode_record(file, later_offset);
    may_be_acknowledged = record && record->synced_offset > offset;
  }
  if (may_be_acknowledged) {
    return make_error(StorageErrorKind::kCorruptRecord,
                      "record at byte " + std::to_string(offset) + " of " + segment_path(number).string() +
                          " is damaged; move the folder away and restart: the replica returns under a new identity");
  }
  ++stats_.torn_tails_truncated;
  std::error_code code;
  fs::resize_file(segment_path(number), offset, code);
  if (code) {
    return make_error(StorageErrorKind::kWriteFailed, "cannot truncate the unfinished tail of " +
                                                          segment_path(number).string() + ": " + code.message());
  }
  return std::nullopt;
}

std::optional<StorageError> DataFolder::replay_record(const StoredRecord& record, uint64_t segment) {
  const auto make_corrupt_record_error = [this, segment] {
    return make_error(StorageErrorKind::kCorruptRecord,
                      "unreadable record in " + segment_path(segment).string() +
                          "; move the folder away and restart: the replica returns under a new identity");
  };
  if (record.type == RecordType::kReset) {
    recovered_.entries.clear();
    return std::nullopt;
  }
  if (record.type == RecordType::kHardState) {
    const auto state = wire::decode<wire::HardState>(record.payload);
    if (!state) {
      return make_corrupt_record_error();
    }
    recovered_.hard_state = *state;
    return std::nullopt;
  }
  auto entry = wire::decode<wire::LogEntry>(record.payload);
  if (!entry) {
    return make_corrupt_record_error();
  }
  last_entry_of_segment_[segment] = std::max(last_entry_of_segment_[segment], entry->index);
  auto& entries = recovered_.entries;
  while (!entries.empty() && entries.back().index >= entry->index) {
    entries.pop_back();
  }
  const int64_t expected = entries.empty() ? recovered_.snapshot.index + 1 : entries.back().index + 1;
  if (entry->index > expected) {
    return make_corrupt_record_error();
  }
  if (entry->index == expected) {
    entries.push_back(std::move(*entry));
  }
  return std::nullopt;
}

// ------------------------------------------------------------------ writing

fs::path DataFolder::segment_path(uint64_t number) const { return path_ / (kSegmentPrefix + std::to_string(number)); }

std::optional<StorageError> DataFolder::start_segment(uint64_t number) {
  if (segment_descriptor_ >= 0) {
    ::close(segment_descriptor_);
  }
  segment_descriptor_ = ::open(segment_path(number).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  if (segment_descriptor_ < 0) {
    return make_error(errno == ENOSPC ? StorageErrorKind::kDiskFull : StorageErrorKind::kCannotOpen,
                      "cannot create " + segment_path(number).string() + ": " + std::strerror(errno) +
                          "; free space or check permissions, then restart");
  }
  segment_number_ = number;
  segment_offset_ = 0;
  synced_offset_ = 0;
  // Every segment begins with the hard state, so that older segments can be removed.
  std::string bytes;
  encode_record(bytes, 0, RecordType::kHardState, 0, wire::encode(hard_state_));
  if (auto error = append_and_sync(bytes)) {
    return error;
  }
  return sync_folder();
}

std::optional<StorageError> DataFolder::write(const std::vector<const consensus::RaftOutput*>& batch) {
  if (fatal_error_) {
    return fatal_error_;
  }
  ++stats_.batches;
  std::string bytes;
  for (const auto* output : batch) {
    if (output->snapshot) {
      // Earlier outputs of the batch belong to the old segment. The snapshot then starts a new one.
      std::optional<StorageError> error = bytes.empty() ? std::nullopt : append_and_sync(bytes);
      bytes.clear();
      if (!error) {
        error = write_snapshot(*output->snapshot);
      }
      if (error) {
        return error;
      }
    }
    if (output->hard_state) {
      hard_state_ = *output->hard_state;
      encode_record(bytes, segment_offset_ + bytes.size(), RecordType::kHardState, synced_offset_,
                    wire::encode(hard_state_));
      ++stats_.records;
    }
    for (const auto& entry : output->entries) {
      encode_record(bytes, segment_offset_ + bytes.size(), RecordType::kEntry, synced_offset_, wire::encode(entry));
      auto& last = last_entry_of_segment_[segment_number_];
      last = std::max(last, entry.index);
      ++stats_.records;
    }
  }
  if (bytes.empty()) {
    return std::nullopt;
  }
  if (auto error = append_and_sync(bytes)) {
    return error;
  }
  return segment_offset_ >= kSegmentRotationBytes ? start_segment(segment_number_ + 1) : std::nullopt;
}

std::optional<StorageError> DataFolder::append_and_sync(std::string_view bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = file_system_.write(segment_descriptor_, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      const bool disk_full = errno == ENOSPC || errno == EDQUOT;
      // Remove the partly written batch: it must not be read as a record, and the next batch must not follow a gap.
      const bool truncated = ::ftruncate(segment_descriptor_, static_cast<off_t>(segment_offset_)) == 0;
      auto error = make_error(disk_full ? StorageErrorKind::kDiskFull : StorageErrorKind::kWriteFailed,
                              "cannot append to " + segment_path(segment_number_).string() + ": " +
                                  std::strerror(errno) + "; free space on the data disk, then restart the node");
      if (!truncated || !disk_full) {
        fatal_error_ = error;
      }
      return error;
    }
    written += static_cast<size_t>(count);
  }
  segment_offset_ += bytes.size();
  stats_.bytes += bytes.size();
  if (auto error = sync_descriptor(segment_descriptor_, segment_path(segment_number_).string())) {
    return error;
  }
  synced_offset_ = segment_offset_;
  return std::nullopt;
}

std::optional<StorageError> DataFolder::sync_descriptor(int descriptor, const std::string& file_name) {
  ++stats_.syncs;
  if (file_system_.sync(descriptor) != 0) {
    fatal_error_ = make_error(StorageErrorKind::kSyncFailed,
                              "cannot sync " + file_name + ": " + std::strerror(errno) +
                                  "; check the disk; the replica is disabled until the node is restarted");
    return fatal_error_;
  }
  return std::nullopt;
}

std::optional<StorageError> DataFolder::sync_folder() {
  const int descriptor = ::open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0 || ::fsync(descriptor) != 0) {
    fatal_error_ =
        make_error(StorageErrorKind::kSyncFailed, "cannot sync folder " + path_.string() + "; check the disk");
  }
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  return fatal_error_;
}

std::optional<StorageError> DataFolder::write_file_atomically(const fs::path& target, std::string_view content) {
  const fs::path temporary = target.string() + ".new";
  const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  std::optional<StorageError> error;
  size_t written = 0;
  while (descriptor >= 0 && written < content.size()) {
    const ssize_t count = file_system_.write(descriptor, content.data() + written, content.size() - written);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  if (descriptor < 0 || written < content.size()) {
    error = make_error(errno == ENOSPC ? StorageErrorKind::kDiskFull : StorageErrorKind::kWriteFailed,
                       "cannot write " + temporary.string() + ": " + std::strerror(errno) +
                           "; free space on the data disk, then restart the node");
  } else {
    error = sync_descriptor(descriptor, temporary.string());
  }
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  std::error_code code;
  if (error) {
    fs::remove(temporary, code);
    return error;
  }
  fs::rename(temporary, target, code);
  if (code) {
    return make_error(StorageErrorKind::kWriteFailed, "cannot rename " + temporary.string() + ": " + code.message());
  }
  return sync_folder();
}

std::optional<StorageError> DataFolder::write_snapshot(const consensus::Snapshot& snapshot) {
  wire::SnapshotRequest stored;
  stored.header = snapshot.header;
  stored.state = snapshot.state;
  const fs::path target = path_ / (kSnapshotPrefix + std::to_string(snapshot.header.index));
  if (auto error = write_file_atomically(target, prepend_checksum(wire::encode(stored)))) {
    return error;
  }
  ++stats_.snapshots;
  snapshot_index_ = snapshot.header.index;
  if (auto error = start_segment(segment_number_ + 1)) {
    return error;
  }
  if (snapshot.replaces_log) {
    // Write the snapshot before the reset record. In the opposite order, a crash in between would lose acknowledged
    // entries. After a crash in this order, recovery detects the outdated entries by their term.
    std::string bytes;
    encode_record(bytes, segment_offset_, RecordType::kReset, synced_offset_, "");
    if (auto error = append_and_sync(bytes)) {
      return error;
    }
  }
  remove_obsolete_files();
  return std::nullopt;
}

std::optional<StorageError> DataFolder::save_state_copy(std::string_view content) {
  return write_file_atomically(path_ / kStateCopyFile, prepend_checksum(content));
}

std::string DataFolder::read_state_copy() const {
  const fs::path file = path_ / kStateCopyFile;
  return fs::exists(file) ? verify_and_strip_checksum(read_file(file)).value_or("") : "";
}

void DataFolder::remove_obsolete_files() {
  std::error_code code;
  for (const uint64_t number : list_numbered_files(path_, kSegmentPrefix)) {
    const bool covered_by_snapshot = number < segment_number_ && last_entry_of_segment_[number] <= snapshot_index_;
    if (!covered_by_snapshot) {
      break;
    }
    fs::remove(segment_path(number), code);
    last_entry_of_segment_.erase(number);
  }
  for (const uint64_t number : list_numbered_files(path_, kSnapshotPrefix)) {
    if (static_cast<int64_t>(number) < snapshot_index_) {
      fs::remove(path_ / (kSnapshotPrefix + std::to_string(number)), code);
    }
  }
}

std::optional<StorageError> DataFolder::assign_identity(ReplicaId replica_id) {
  if (replica_id_.value() != 0) {
    // Keep the retired log for inspection, where recovery does not read it.
    const fs::path retired_folder = path_ / ("retired-" + std::to_string(replica_id_.value()));
    std::error_code code;
    fs::create_directories(retired_folder, code);
    for (const char* prefix : {kSegmentPrefix, kSnapshotPrefix}) {
      for (const uint64_t number : list_numbered_files(path_, prefix)) {
        const std::string name = prefix + std::to_string(number);
        fs::rename(path_ / name, retired_folder / name, code);
      }
    }
    recovered_ = consensus::PersistedState();
    last_entry_of_segment_.clear();
    hard_state_ = wire::HardState();
    snapshot_index_ = 0;
    if (auto error = start_segment(1)) {
      return error;
    }
  }
  if (auto error = write_file_atomically(path_ / kIdentityFile, prepend_checksum(std::to_string(replica_id.value())))) {
    return error;
  }
  replica_id_ = replica_id;
  return std::nullopt;
}

}  // namespace larchlever::storage
