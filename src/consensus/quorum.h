#pragma once

#include <cstddef>

namespace larchlever::consensus {

/// Smallest number of `voters` that any two such numbers share a voter of.
constexpr size_t majority(size_t voters) { return voters / 2 + 1; }

}  // namespace larchlever::consensus
