#include "core/fleet/weight_load_limiter.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Delay before the first load after a leader change: loads that the previous leader ordered count in the same window.
constexpr Duration kTakeoverLoadDelay = seconds(3);

}  // namespace

void WeightLoadLimiter::start(TimePoint now, bool had_predecessor) {
  load_starts_.clear();
  no_loads_before_ = had_predecessor ? now + kTakeoverLoadDelay : now;
}

bool WeightLoadLimiter::may_begin_loads(TimePoint now, const document::EngineSpec& engine, size_t new_loads,
                                        size_t loads_in_progress, size_t loaded_servers) {
  if (new_loads == 0) {
    return true;
  }
  if (now < no_loads_before_) {
    return false;
  }
  const auto max_concurrent = static_cast<size_t>(engine.max_concurrent_weight_loads);
  if (!traffic_seen_) {
    // The limit grows with the number of loaded servers: the throughput of the store stays the same, and fewer loads
    // are left for the time when they are expensive.
    return loads_in_progress < max_concurrent + loaded_servers;
  }
  if (loads_in_progress >= max_concurrent) {
    return false;
  }
  while (!load_starts_.empty() && now - load_starts_.front() > window_) {
    load_starts_.pop_front();
  }
  const double window_seconds = std::chrono::duration<double>(window_).count();
  const auto max_in_window = static_cast<size_t>(std::max(1.0, engine.max_weight_loads_per_second * window_seconds));
  return load_starts_.size() + new_loads <= std::max(max_in_window, new_loads);
}

}  // namespace larchlever::fleet
