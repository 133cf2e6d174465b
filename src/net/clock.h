#pragma once

#include "core/base/time.h"

namespace larchlever::net {

/// Current time of CLOCK_BOOTTIME, which keeps counting while the machine is suspended. Leases, deadlines and timeouts
/// use it. Timers run on the steady clock, which stops during a suspension, so a deadline must be checked against this
/// clock when its timer fires, and again after every pause of the process.
TimePoint monotonic_now();

/// For tests: advances the boot-time clock by `duration` without advancing the timers, as a suspension does.
void simulate_suspension(Duration duration);

}  // namespace larchlever::net
