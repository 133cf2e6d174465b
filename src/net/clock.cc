#include "net/clock.h"

#include <atomic>
#include <ctime>

namespace larchlever::net {

namespace {

std::atomic<int64_t> suspended_for_us{0};

}  // namespace

TimePoint monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  const Duration since_boot =
      seconds(now.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec));
  return TimePoint(since_boot + Duration(suspended_for_us.load(std::memory_order_relaxed)));
}

void simulate_suspension(Duration duration) { suspended_for_us += duration.count(); }

}  // namespace larchlever::net
