#include "core/fair_share/max_min_share.h"

#include <algorithm>
#include <limits>

namespace larchlever::fair_share {

double max_min_share(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double remaining_capacity = capacity;
  auto remaining_demands = static_cast<double>(demands.size());
  for (const double demand : demands) {
    const double equal_part = remaining_capacity / remaining_demands;
    if (demand > equal_part) {
      return equal_part;
    }
    remaining_capacity -= demand;
    remaining_demands -= 1;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace larchlever::fair_share
