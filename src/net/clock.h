#pragma once

#include "core/base/time.h"

namespace larchlever::net {

/// The boot-time clock, which goes on while the machine is suspended: leases, deadlines and timeouts are counted by it.
/// The steady clock, which timers run on, stands still meanwhile; so whatever a timer guards is checked against this
/// one when it fires, and the processes look for what is overdue after every pause of their own.
TimePoint monotonic_now();

/// For tests: this process has slept for `duration`, which its timers did not count.
void simulate_suspension(Duration duration);

}  // namespace larchlever::net
