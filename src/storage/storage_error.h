#pragma once

#include <string>

namespace larchlever::storage {

enum class StorageErrorKind {
  kNone,
  kCannotOpen,       ///< Folder or file missing, or no permission.
  kLocked,           ///< Another process has locked the data folder.
  kCorruptRecord,    ///< A record that had been synced no longer matches its checksum.
  kCorruptSnapshot,  ///< The newest snapshot does not match its checksum.
  kMissingSegment,   ///< A segment between two others is missing.
  kDiskFull,         ///< No space left; nothing of the failed batch is kept.
  kSyncFailed,       ///< A sync failed; the content of the folder is unknown.
  kWriteFailed,
};

/// A failure of a data folder. The message includes a remedy.
struct StorageError {
  StorageErrorKind kind = StorageErrorKind::kNone;
  std::string message;
};

const char* to_string(StorageErrorKind kind);

}  // namespace larchlever::storage
