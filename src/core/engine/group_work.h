#pragma once

#include <cstddef>
#include <vector>

#include "core/base/time.h"

namespace larchlever::engine {

/// Forecast of a request when it is granted a slot.
struct ExpectedRun {
  /// From the grant to the first event.
  Duration first_event{};
  /// From the first event to the end of the answer.
  Duration answer{};
};

/// The work that one engine group still has to do: the requests that it runs, and when each is expected to end.
///
/// Answers a load in which requests that look alike occupy slots for very different times, so that the number in flight
/// alone does not tell which group is soon free. Load reports say how many requests are in flight, not which ended: a
/// request that ended is taken to be the one that was expected to end first. Requests that were not granted here (by a
/// previous leader, or chosen by entries alone) count as average ones, of which a part has passed. An overdue request
/// is expected to go on for a share of the time that it has taken so far. Bounded by the group's slots;
/// single-threaded, deterministic.
class GroupWork {
 public:
  /// A request was granted a slot.
  void add(TimePoint now, const ExpectedRun& run);
  /// Adjusts the requests to the number in flight, but to at most `slots`. `average_run` is the duration of an average
  /// request.
  void reconcile(TimePoint now, int in_flight, int slots, Duration average_run);
  /// Sum over the requests of the time until their expected ends.
  Duration remaining(TimePoint now) const;
  /// Mean number of these requests that still run during the next `period`, each weighted with its time.
  double mean_running(TimePoint now, Duration period) const;
  /// The expected times of the next releases of slots, sorted, at most `count`.
  std::vector<TimePoint> next_releases(TimePoint now, size_t count) const;
  size_t size() const { return requests_.size(); }

 private:
  struct Request {
    TimePoint granted_at{};
    TimePoint expected_end{};
  };

  static Duration remaining_time(TimePoint now, const Request& request);

  std::vector<Request> requests_;
};

}  // namespace larchlever::engine
