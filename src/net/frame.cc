#include "net/frame.h"

#include <xxhash.h>

#include <cstdint>
#include <cstring>

namespace larchlever::net {

namespace {

constexpr uint32_t kMagic = 0x4C4C4531;  // "LLE1"
constexpr size_t kFrameHeaderBytes = 16;
constexpr uint32_t kMaxPayloadBytes = 128U << 20U;

}  // namespace

std::string encode_frame(std::string_view payload) {
  std::string frame(kFrameHeaderBytes, '\0');
  const auto length = static_cast<uint32_t>(payload.size());
  const uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  std::memcpy(frame.data(), &kMagic, sizeof(kMagic));
  std::memcpy(frame.data() + 4, &length, sizeof(length));
  std::memcpy(frame.data() + 8, &checksum, sizeof(checksum));
  frame.append(payload);
  return frame;
}

FrameStatus decode_frame(std::string_view bytes, std::string_view& payload, size_t& size) {
  if (bytes.size() < kFrameHeaderBytes) {
    return FrameStatus::kIncomplete;
  }
  uint32_t magic = 0;
  uint32_t length = 0;
  uint64_t checksum = 0;
  std::memcpy(&magic, bytes.data(), sizeof(magic));
  std::memcpy(&length, bytes.data() + 4, sizeof(length));
  std::memcpy(&checksum, bytes.data() + 8, sizeof(checksum));
  if (magic != kMagic || length > kMaxPayloadBytes) {
    return FrameStatus::kInvalid;
  }
  if (bytes.size() - kFrameHeaderBytes < length) {
    return FrameStatus::kIncomplete;
  }
  payload = bytes.substr(kFrameHeaderBytes, length);
  size = kFrameHeaderBytes + length;
  return XXH3_64bits(payload.data(), payload.size()) == checksum ? FrameStatus::kComplete : FrameStatus::kInvalid;
}

}  // namespace larchlever::net
