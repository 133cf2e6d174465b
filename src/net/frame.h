#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace larchlever::net {

/// Returns `payload` in a frame for the connections between larchlever processes: magic, length, checksum, payload.
std::string encode_frame(std::string_view payload);

enum class FrameStatus { kComplete, kIncomplete, kInvalid };

/// Decodes the frame at the start of `bytes`. On kComplete, `payload` is a view of its content and `size` is the length
/// of the whole frame.
FrameStatus decode_frame(std::string_view bytes, std::string_view& payload, size_t& size);

}  // namespace larchlever::net
