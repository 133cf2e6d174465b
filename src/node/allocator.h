#pragma once

namespace larchlever::node {

/// Makes the allocator return every large block to the operating system when it is freed. By default glibc keeps more
/// and more of them, and the bodies of requests that were dropped stay resident between those that are in use.
void return_large_blocks_when_freed();

}  // namespace larchlever::node
