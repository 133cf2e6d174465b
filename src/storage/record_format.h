#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever::storage {

enum class RecordType : uint8_t {
  kHardState = 1,
  kEntry = 2,
  /// A snapshot from the leader replaced the log; entries stored earlier are invalid.
  kReset = 3,
};

/// One record of a segment file. Its checksum covers its own file offset, so a record copied to another offset is not
/// accepted.
struct StoredRecord {
  RecordType type = RecordType::kEntry;
  /// Length of the file that was known to be synced when this record was written. A damaged record before that offset
  /// had been acknowledged (corruption); one at or after it may be an unfinished write (torn tail).
  uint64_t synced_offset = 0;
  std::string_view payload;
  size_t size_on_disk = 0;
};

constexpr size_t kRecordHeaderBytes = 4 + 1 + 8 + 8;
constexpr uint32_t kMaxRecordPayloadBytes = 64U << 20U;

/// Encodes a record that will be at `offset` of its file and appends it to `out`.
void encode_record(std::string& out, uint64_t offset, RecordType type, uint64_t synced_offset,
                   std::string_view payload);

/// Decodes the record at `offset` of `file`. Returns nothing if it is incomplete or its checksum does not match.
std::optional<StoredRecord> decode_record(std::string_view file, uint64_t offset);

}  // namespace larchlever::storage
