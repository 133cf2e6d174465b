#pragma once

#include <sys/types.h>

#include <cstddef>

namespace larchlever::storage {

/// System calls whose failures storage must handle. Tests override them to inject failures.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// As write(2), including short writes.
  virtual ssize_t write(int descriptor, const void* data, size_t size);
  /// As fdatasync(2).
  virtual int sync(int descriptor);
};

}  // namespace larchlever::storage
