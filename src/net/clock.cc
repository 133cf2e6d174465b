#include "net/clock.h"

#include <atomic>
#include <chrono>

namespace larchlever::net {

namespace {

std::atomic<int64_t> suspended_for_us{0};

}  // namespace

TimePoint monotonic_now() {
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void simulate_suspension(Duration duration) { suspended_for_us += duration.count(); }

}  // namespace larchlever::net
