#pragma once

#include <sys/types.h>

#include <cstddef>

namespace larchlever::storage {

/// The system calls whose failures storage must survive; tests replace it to provoke them.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  /// As write(2), including short writes.
  virtual ssize_t write(int descriptor, const void* data, size_t size);
  /// As fdatasync(2).
  virtual int sync(int descriptor);
};

}  // namespace larchlever::storage
