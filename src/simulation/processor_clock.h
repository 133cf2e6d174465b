#pragma once

#include <time.h>

#include <cstdint>

namespace larchlever::simulation {

/// Processor time that the calling thread has used, in nanoseconds.
inline int64_t thread_processor_time_ns() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

}  // namespace larchlever::simulation
