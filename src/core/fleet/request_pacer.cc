#include "core/fleet/request_pacer.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Maximum lateness that does not reduce the rate; several review intervals of waiting requests.
constexpr Duration kMaxLateness = milliseconds(20);

Duration interval(double requests_per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / requests_per_second));
}

}  // namespace

TimePoint RequestPacer::next_allowed_at(TimePoint now, double requests_per_second) {
  adopt_rate(now, requests_per_second);
  return std::max(now, next_allowed_at_);
}

void RequestPacer::note_request(TimePoint now, double requests_per_second) {
  adopt_rate(now, requests_per_second);
  next_allowed_at_ = std::max(next_allowed_at_, now - kMaxLateness) + interval(requests_per_second);
}

void RequestPacer::adopt_rate(TimePoint now, double requests_per_second) {
  if (requests_per_second == requests_per_second_) {
    return;
  }
  if (next_allowed_at_ > now && requests_per_second_ > 0) {
    const auto remaining_time =
        static_cast<double>((next_allowed_at_ - now).count()) * requests_per_second_ / requests_per_second;
    next_allowed_at_ = now + Duration(static_cast<int64_t>(remaining_time));
  }
  requests_per_second_ = requests_per_second;
}

}  // namespace larchlever::fleet
