#include "core/fleet/load_limiter.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Loads ordered by the previous leader count in the same window; this long none is added to them.
constexpr Duration kPredecessorLoads = seconds(3);

}  // namespace

void LoadLimiter::start(TimePoint now, bool had_predecessor) {
  starts_.clear();
  predecessor_until_ = had_predecessor ? now + kPredecessorLoads : now;
}

bool LoadLimiter::may_begin(TimePoint now, const document::EngineSpec& engine, size_t loads, size_t under_way,
                            size_t finished) {
  if (loads == 0) {
    return true;
  }
  if (now < predecessor_until_) {
    return false;
  }
  const auto at_once = static_cast<size_t>(engine.loads_at_once);
  if (!traffic_seen_) {
    // The more of the fleet is loaded, the more are begun at once: the store's throughput stays the same, and fewer
    // are left for when they are dear.
    return under_way < at_once + finished;
  }
  if (under_way >= at_once) {
    return false;
  }
  while (!starts_.empty() && now - starts_.front() > window_) {
    starts_.pop_front();
  }
  const double window_seconds = std::chrono::duration<double>(window_).count();
  const auto most = static_cast<size_t>(std::max(1.0, engine.loads_per_second * window_seconds));
  return starts_.size() + loads <= std::max(most, loads);
}

}  // namespace larchlever::fleet
