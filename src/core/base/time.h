#pragma once

#include <chrono>
#include <cstdint>

namespace larchlever {

/// Monotonic time as decision logic sees it: always passed in, never read. The daemon fills it from the steady
/// clock, the simulator from virtual time; hence there is no `now()`.
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

/// Microseconds since the clock's origin; the form in which a time travels in messages.
inline int64_t to_microseconds(TimePoint time) { return time.time_since_epoch().count(); }
inline TimePoint from_microseconds(int64_t value) { return TimePoint(Duration(value)); }

/// When somebody counts as last heard after this process stood still for `pause` until `now`: the pause is no silence
/// of theirs. Whoever was heard since keeps that moment.
inline TimePoint last_contact_after_pause(TimePoint now, TimePoint last_contact, Duration pause) {
  return last_contact + pause < now ? last_contact + pause : now;
}

/// Greatest relative difference of two machines' monotonic clocks that every lease allows for.
constexpr double kMaxClockDriftRatio = 0.01;

/// A lease as its granter must count it: longer than the holder counts it, by the drift bound.
inline Duration with_drift_margin(Duration lease) {
  return Duration(static_cast<int64_t>(static_cast<double>(lease.count()) * (1.0 + kMaxClockDriftRatio))) +
         milliseconds(1);
}

}  // namespace larchlever
