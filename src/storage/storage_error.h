#pragma once

#include <string>

namespace larchlever::storage {

enum class StorageErrorKind {
  kNone,
  kCannotOpen,       ///< Folder or file missing, or no permission.
  kLocked,           ///< Another process holds the data folder.
  kCorruptRecord,    ///< A record that had been synced no longer matches its checksum.
  kCorruptSnapshot,  ///< The newest snapshot does not match its checksum.
  kMissingSegment,   ///< The numbering of the segments has a gap.
  kDiskFull,         ///< No space; nothing of the failed batch counts as written.
  kSyncFailed,       ///< The kernel could not confirm a write; the folder's state is unknown.
  kWriteFailed,
};

/// What went wrong in a data folder, with the remedy in the message.
struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kNone;
  std::string message;
};

const char* to_string(StorageErrorKind kind);

}  // namespace larchlever::storage
