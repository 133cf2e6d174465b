#pragma once

#include <cmath>

#include "core/base/time.h"

namespace larchlever::fair_share {

/// Sum of amounts in which an amount loses its weight exponentially with its age: about what was added within the last
/// `memory`. Sums with the same memory can be compared at the same time.
class DecayingSum {
 public:
  explicit DecayingSum(Duration memory) : memory_(memory) {}

  void add(TimePoint now, double amount) {
    sum_ = value(now) + amount;
    updated_at_ = now;
  }
  double value(TimePoint now) const { return sum_ == 0 ? 0 : sum_ * std::exp(-((now - updated_at_) / memory_)); }

 private:
  std::chrono::duration<double> memory_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

/// Cost that was asked for and cost that was admitted lately, in milliseconds of a slot.
struct RecentDemand {
  explicit RecentDemand(Duration memory) : wanted(memory), admitted(memory) {}

  DecayingSum wanted;
  DecayingSum admitted;
};

}  // namespace larchlever::fair_share
