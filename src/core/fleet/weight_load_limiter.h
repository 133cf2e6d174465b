#pragma once

#include <cstddef>
#include <deque>

#include "core/base/time.h"
#include "core/document/configuration_document.h"

namespace larchlever::fleet {

/// Limits model weight loads from the weight store: the number of concurrent loads, and the number started within a
/// sliding window.
///
/// Until the first request arrives, loads are cheap and only the throughput of the store limits them. Single-threaded,
/// deterministic.
class WeightLoadLimiter {
 public:
  explicit WeightLoadLimiter(Duration window) : window_(window) {}

  /// Starts a new leadership. If there was a predecessor, its last loads may have started just before.
  void start(TimePoint now, bool had_predecessor);
  /// The first request arrived: loads are expensive from now on, and the window limit applies.
  void note_first_request() { traffic_seen_ = true; }
  bool traffic_seen() const { return traffic_seen_; }
  /// Whether `new_loads` may start now, given `loads_in_progress` running loads and `loaded_servers` servers that
  /// already hold weights.
  bool may_begin_loads(TimePoint now, const document::EngineSpec& engine, size_t new_loads, size_t loads_in_progress,
                       size_t loaded_servers);
  void note_loads_begun(TimePoint now, size_t new_loads) { load_starts_.insert(load_starts_.end(), new_loads, now); }

 private:
  Duration window_;
  bool traffic_seen_ = false;
  /// No loads start before this time, so that the predecessor's last loads have left the window.
  TimePoint no_loads_before_{};
  std::deque<TimePoint> load_starts_;
};

}  // namespace larchlever::fleet
