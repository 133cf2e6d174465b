#pragma once

#include "core/base/time.h"

namespace larchlever::fleet {

/// Spaces requests evenly at a rate, at one place that sees all of them: in any time t no more than rate x t pass, and
/// one. What comes a few milliseconds after its turn loses nothing of the rate. Single-threaded, deterministic.
class RequestPacer {
 public:
  /// When the next request may pass, not before `now`. The rate may change from call to call; it is above 0.
  TimePoint next_allowed_at(TimePoint now, double per_second);
  /// A request passes.
  void note_request(TimePoint now, double per_second);

 private:
  void adopt_rate(TimePoint now, double per_second);

  double rate_per_second_ = 0;
  TimePoint next_allowed_at_ = TimePoint::min();
};

}  // namespace larchlever::fleet
