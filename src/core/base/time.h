#pragma once

#include <chrono>
#include <cstdint>

namespace larchlever {

/// Monotonic clock of the decision logic, which gets the current time as an argument: from the steady clock in the
/// daemon, from virtual time in the simulator. Hence there is no `now()`.
struct MonotonicClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = MonotonicClock::time_point;
using Duration = MonotonicClock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Microseconds since the clock's epoch, as encoded in messages.
inline int64_t to_microseconds(TimePoint time) { return time.time_since_epoch().count(); }
inline TimePoint from_microseconds(int64_t value) { return TimePoint(Duration(value)); }

/// Adjusts the last contact with a peer after this process was paused for `pause` until `now`, so that the pause does
/// not count as silence of the peer. The result is never later than `now`.
inline TimePoint last_contact_after_pause(TimePoint now, TimePoint last_contact, Duration pause) {
  return last_contact + pause < now ? last_contact + pause : now;
}

/// Maximum relative drift between the monotonic clocks of two machines that leases tolerate.
constexpr double kMaxClockDriftRatio = 0.01;

/// Lease duration on the granter's clock: the holder's duration, extended by the maximum clock drift.
inline Duration with_drift_margin(Duration lease) {
  return Duration(static_cast<int64_t>(static_cast<double>(lease.count()) * (1.0 + kMaxClockDriftRatio))) +
         milliseconds(1);
}

}  // namespace larchlever
