#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever {

/// Compresses `bytes` to the zlib format, at the fastest level.
std::string compress(std::string_view bytes);

/// Restores the original `size` bytes. Returns nothing if `compressed` is corrupt or decompresses to another size.
std::optional<std::string> decompress(std::string_view compressed, size_t size);

}  // namespace larchlever
