#include "node/allocator.h"

#include <malloc.h>

namespace larchlever::node {

namespace {

/// The initial value of glibc. Setting it keeps glibc from raising it.
constexpr int kLargeBlockBytes = 128 * 1024;

}  // namespace

void return_large_blocks_when_freed() { ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes); }

}  // namespace larchlever::node
