#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/ids.h"

namespace larchlever::membership {

/// Orders the incarnations of each node by their first arrival here: they are drawn from clocks, which may be set back,
/// so their numbers alone say nothing. Single-threaded.
class IncarnationRanks {
 public:
  Incarnation rank(const std::string& node, int64_t incarnation) {
    auto& seen = seen_[node];
    const auto found = std::find(seen.begin(), seen.end(), incarnation);
    const auto rank = found - seen.begin() + 1;
    if (found == seen.end()) {
      seen.push_back(incarnation);
    }
    return Incarnation(rank);
  }
  void clear() { seen_.clear(); }

 private:
  std::map<std::string, std::vector<int64_t>> seen_;
};

}  // namespace larchlever::membership
