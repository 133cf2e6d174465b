#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace larchlever::net {

/// Frame around a payload, as sent between our processes: magic, length, checksum, payload.
std::string encode_frame(std::string_view payload);

enum class FrameStatus { kComplete, kIncomplete, kInvalid };

/// Finds the frame at the start of `bytes`. On kComplete `payload` views its content and `size` is its whole length.
FrameStatus decode_frame(std::string_view bytes, std::string_view& payload, size_t& size);

}  // namespace larchlever::net
