#pragma once

#include <vector>

namespace larchlever::fair_share {

/// The max-min fair share of `capacity`: the amount to which each of the `demands` is cut so that the sum fits, while
/// what small demands leave is shared by the others. Infinite if all demands fit.
double max_min_share(std::vector<double> demands, double capacity);

}  // namespace larchlever::fair_share
