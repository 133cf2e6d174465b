#include "core/base/compression.h"

#include <zlib.h>

namespace larchlever {

namespace {

/// Larger sizes are treated as corruption, to avoid a huge allocation.
constexpr size_t kMaxDecompressedBytes = 64U << 20U;

}  // namespace

std::string compress(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string result(size, '\0');
  compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            Z_BEST_SPEED);
  result.resize(size);
  return result;
}

std::optional<std::string> decompress(std::string_view compressed, size_t size) {
  if (size > kMaxDecompressedBytes) {
    return std::nullopt;
  }
  std::string result(size, '\0');
  uLongf written = size;
  const int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &written,
                                reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
  return status == Z_OK && written == size ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace larchlever
