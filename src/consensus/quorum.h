#pragma once

#include <cstddef>

namespace larchlever::consensus {

/// Smallest size at which any two subsets of `voters` voters have a common member.
constexpr size_t majority(size_t voters) { return voters / 2 + 1; }

}  // namespace larchlever::consensus
