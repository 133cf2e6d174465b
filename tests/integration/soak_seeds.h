#pragma once

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <vector>

namespace larchlever::integration {

/// Seeds for a soak test: `default_seeds`, unless LARCHLEVER_SOAK_SEEDS holds a range FIRST-LAST.
inline std::vector<uint64_t> soak_seeds(std::vector<uint64_t> default_seeds) {
  const char* range = std::getenv("LARCHLEVER_SOAK_SEEDS");
  if (range == nullptr) {
    return default_seeds;
  }
  char* after_first = nullptr;
  const uint64_t first = std::strtoull(range, &after_first, 10);
  const uint64_t last = *after_first == '-' ? std::strtoull(after_first + 1, nullptr, 10) : first;
  std::vector<uint64_t> seeds(last - first + 1);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

}  // namespace larchlever::integration
