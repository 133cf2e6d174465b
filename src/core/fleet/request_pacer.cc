#include "core/fleet/request_pacer.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Maximum lateness that does not reduce the rate; several review intervals of waiting requests.
constexpr Duration kMaxLateness = milliseconds(20);

Duration interval(double per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / per_second));
}

}  // namespace

TimePoint RequestPacer::next_allowed_at(TimePoint now, double per_second) {
  adopt_rate(now, per_second);
  return std::max(now, next_allowed_at_);
}

void RequestPacer::note_request(TimePoint now, double per_second) {
  adopt_rate(now, per_second);
  next_allowed_at_ = std::max(next_allowed_at_, now - kMaxLateness) + interval(per_second);
}

void RequestPacer::adopt_rate(TimePoint now, double per_second) {
  if (per_second == rate_per_second_) {
    return;
  }
  if (next_allowed_at_ > now && rate_per_second_ > 0) {
    const auto remaining_time = static_cast<double>((next_allowed_at_ - now).count()) * rate_per_second_ / per_second;
    next_allowed_at_ = now + Duration(static_cast<int64_t>(remaining_time));
  }
  rate_per_second_ = per_second;
}

}  // namespace larchlever::fleet
