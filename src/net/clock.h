#pragma once

#include "core/base/time.h"

namespace larchlever::net {

/// The clock that leases, deadlines and timeouts are counted by.
TimePoint monotonic_now();

/// For tests: this process has been suspended for `duration`, which its timers did not count.
void simulate_suspension(Duration duration);

}  // namespace larchlever::net
