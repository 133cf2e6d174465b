#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever {

/// `bytes` in zlib's format, at a level that favours speed.
std::string compress(std::string_view bytes);

/// The `size` bytes that `compress` was given. Nothing when `compressed` is damaged or holds another number of bytes.
std::optional<std::string> decompress(std::string_view compressed, size_t size);

}  // namespace larchlever
