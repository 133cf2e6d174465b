#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/ids.h"

namespace larchlever::membership {

/// Numbers the incarnations of each node in the order in which this process first sees them. Incarnations are taken
/// from wall clocks, which may be set back, so their values do not give an order. Single-threaded.
class IncarnationRanks {
 public:
  Incarnation rank(const std::string& node, int64_t incarnation) {
    auto& known_incarnations = incarnations_[node];
    const auto found = std::find(known_incarnations.begin(), known_incarnations.end(), incarnation);
    const auto rank = found - known_incarnations.begin() + 1;
    if (found == known_incarnations.end()) {
      known_incarnations.push_back(incarnation);
    }
    return Incarnation(rank);
  }
  void clear() { incarnations_.clear(); }

 private:
  std::map<std::string, std::vector<int64_t>> incarnations_;
};

}  // namespace larchlever::membership
