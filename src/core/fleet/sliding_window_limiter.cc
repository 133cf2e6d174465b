#include "core/fleet/sliding_window_limiter.h"

#include <algorithm>
#include <cmath>

namespace larchlever::fleet {

TimePoint SlidingWindowLimiter::next_allowed_at(TimePoint now, double requests_per_second) {
  if (requests_per_second <= 0) {
    request_times_.clear();
    return now;
  }
  const double window_seconds = std::max(1.0, 1 / requests_per_second);
  const auto window = std::chrono::ceil<Duration>(std::chrono::duration<double>(window_seconds));
  const auto allowed = static_cast<size_t>(std::max(1.0, std::floor(requests_per_second)));
  while (!request_times_.empty() && now - request_times_.front() >= window) {
    request_times_.pop_front();
  }
  return request_times_.size() < allowed ? now : request_times_[request_times_.size() - allowed] + window;
}

}  // namespace larchlever::fleet
