#pragma once

#include <deque>

#include "core/base/time.h"

namespace larchlever::fair_share {

/// The virtual time of start-time fair queueing: the largest start tag of the admitted requests. It advances by the
/// cost that a tenant with waiting requests is admitted, so differences of tags are milliseconds of a slot. Remembers
/// its recent past, which bounds the claims of tenants that were admitted less than others.
class VirtualClock {
 public:
  /// How long ago a tenant may have been behind the others and still have a claim. Callers that stay below their share
  /// send irregularly within seconds; an older claim would starve others while it is made up for.
  static constexpr Duration kMaxClaimAge = seconds(2);

  /// A request with this start tag was admitted.
  void advance(TimePoint now, double start_tag);
  double current() const { return current_; }
  /// The virtual time `kMaxClaimAge` ago. Rises in steps of a few per cent of that time.
  double oldest_claim(TimePoint now);

 private:
  struct Sample {
    TimePoint taken_at{};
    double tag = 0;
  };
  void forget_old_samples(TimePoint now);

  double current_ = 0;
  /// The virtual time at the end of the remembered past.
  double oldest_claim_ = 0;
  std::deque<Sample> samples_;
};

}  // namespace larchlever::fair_share
