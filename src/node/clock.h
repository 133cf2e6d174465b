#pragma once

#include <chrono>

#include "core/base/time.h"

namespace larchlever::node {

/// The steady clock as decision logic takes it.
inline TimePoint monotonic_now() {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace larchlever::node
