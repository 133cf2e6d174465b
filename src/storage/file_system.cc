#include "storage/file_system.h"

#include <unistd.h>

namespace larchlever::storage {

ssize_t FileSystem::write(int descriptor, const void* data, size_t size) { return ::write(descriptor, data, size); }

int FileSystem::sync(int descriptor) { return ::fdatasync(descriptor); }

}  // namespace larchlever::storage
