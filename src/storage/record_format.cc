#include "storage/record_format.h"

#include <xxhash.h>

#include <cstring>

namespace larchlever::storage {

namespace {

template <typename Integer>
void put(std::string& out, Integer value) {
  for (size_t byte = 0; byte < sizeof(Integer); ++byte) {
    out.push_back(static_cast<char>((value >> (8 * byte)) & 0xFF));
  }
}

template <typename Integer>
Integer get(std::string_view bytes, size_t offset) {
  Integer value = 0;
  for (size_t byte = 0; byte < sizeof(Integer); ++byte) {
    value |= static_cast<Integer>(static_cast<unsigned char>(bytes[offset + byte])) << (8 * byte);
  }
  return value;
}

uint64_t checksum(uint64_t offset, std::string_view head, std::string_view payload) {
  const uint64_t head_hash = XXH3_64bits_withSeed(head.data(), head.size(), offset);
  return XXH3_64bits_withSeed(payload.data(), payload.size(), head_hash);
}

constexpr size_t kHeadSize = 4 + 1 + 8;

}  // namespace

void encode_record(std::string& out, uint64_t offset, RecordType type, uint64_t synced_before,
                   std::string_view payload) {
  const size_t start = out.size();
  put<uint32_t>(out, static_cast<uint32_t>(payload.size()));
  put<uint8_t>(out, static_cast<uint8_t>(type));
  put<uint64_t>(out, synced_before);
  const std::string head = out.substr(start, kHeadSize);
  put<uint64_t>(out, checksum(offset, head, payload));
  out.append(payload);
}

std::optional<StoredRecord> decode_record(std::string_view file, uint64_t offset) {
  if (offset > file.size() || file.size() - offset < kRecordHeaderSize) {
    return std::nullopt;
  }
  const std::string_view bytes = file.substr(offset);
  const auto length = get<uint32_t>(bytes, 0);
  if (length > kMaximumRecordPayload || bytes.size() - kRecordHeaderSize < length) {
    return std::nullopt;
  }
  const auto type = get<uint8_t>(bytes, 4);
  if (type < static_cast<uint8_t>(RecordType::kHardState) || type > static_cast<uint8_t>(RecordType::kReset)) {
    return std::nullopt;
  }
  StoredRecord record;
  record.type = static_cast<RecordType>(type);
  record.synced_before = get<uint64_t>(bytes, 5);
  record.payload = bytes.substr(kRecordHeaderSize, length);
  record.size_on_disk = kRecordHeaderSize + length;
  if (checksum(offset, bytes.substr(0, kHeadSize), record.payload) != get<uint64_t>(bytes, kHeadSize)) {
    return std::nullopt;
  }
  return record;
}

}  // namespace larchlever::storage
