#pragma once

#include "core/base/time.h"

namespace larchlever::fleet {

/// Spaces requests evenly at a given rate, for a single process that sees all requests. In any time t at most rate * t
/// + 1 requests pass, apart from what late requests catch up: a request that comes up to 20 ms after its time does not
/// delay the next one. Single-threaded, deterministic.
class RequestPacer {
 public:
  /// When the next request is allowed, not before `now`. The rate may change between calls; it must be above 0.
  TimePoint next_allowed_at(TimePoint now, double requests_per_second);
  /// Records a request that is sent now.
  void note_request(TimePoint now, double requests_per_second);

 private:
  /// Scales the remaining wait if the rate changed.
  void adopt_rate(TimePoint now, double requests_per_second);

  double requests_per_second_ = 0;
  TimePoint next_allowed_at_ = TimePoint::min();
};

}  // namespace larchlever::fleet
