#include "storage/record_format.h"

#include <xxhash.h>

#include <cstring>

namespace larchlever::storage {

namespace {

template <typename Integer>
void append_integer(std::string& out, Integer value) {
  for (size_t byte = 0; byte < sizeof(Integer); ++byte) {
    out.push_back(static_cast<char>((value >> (8 * byte)) & 0xFF));
  }
}

template <typename Integer>
Integer read_integer(std::string_view bytes, size_t offset) {
  Integer value = 0;
  for (size_t byte = 0; byte < sizeof(Integer); ++byte) {
    value |= static_cast<Integer>(static_cast<unsigned char>(bytes[offset + byte])) << (8 * byte);
  }
  return value;
}

uint64_t checksum(uint64_t offset, std::string_view header, std::string_view payload) {
  const uint64_t header_hash = XXH3_64bits_withSeed(header.data(), header.size(), offset);
  return XXH3_64bits_withSeed(payload.data(), payload.size(), header_hash);
}

constexpr size_t kChecksummedHeaderBytes = 4 + 1 + 8;

}  // namespace

void encode_record(std::string& out, uint64_t offset, RecordType type, uint64_t synced_offset,
                   std::string_view payload) {
  const size_t start = out.size();
  append_integer<uint32_t>(out, static_cast<uint32_t>(payload.size()));
  append_integer<uint8_t>(out, static_cast<uint8_t>(type));
  append_integer<uint64_t>(out, synced_offset);
  const std::string header = out.substr(start, kChecksummedHeaderBytes);
  append_integer<uint64_t>(out, checksum(offset, header, payload));
  out.append(payload);
}

std::optional<StoredRecord> decode_record(std::string_view file, uint64_t offset) {
  if (offset > file.size() || file.size() - offset < kRecordHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view bytes = file.substr(offset);
  const auto length = read_integer<uint32_t>(bytes, 0);
  if (length > kMaxRecordPayloadBytes || bytes.size() - kRecordHeaderBytes < length) {
    return std::nullopt;
  }
  const auto type = read_integer<uint8_t>(bytes, 4);
  if (type < static_cast<uint8_t>(RecordType::kHardState) || type > static_cast<uint8_t>(RecordType::kReset)) {
    return std::nullopt;
  }
  StoredRecord record;
  record.type = static_cast<RecordType>(type);
  record.synced_offset = read_integer<uint64_t>(bytes, 5);
  record.payload = bytes.substr(kRecordHeaderBytes, length);
  record.size_on_disk = kRecordHeaderBytes + length;
  if (checksum(offset, bytes.substr(0, kChecksummedHeaderBytes), record.payload) !=
      read_integer<uint64_t>(bytes, kChecksummedHeaderBytes)) {
    return std::nullopt;
  }
  return record;
}

}  // namespace larchlever::storage
