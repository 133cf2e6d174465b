#pragma once

#include <cstddef>
#include <deque>

#include "core/base/time.h"
#include "core/document/configuration_document.h"

namespace larchlever::fleet {

/// Keeps loads from the weight store within its limits: so many at once, so many begun in a window.
///
/// Before the first request loads are cheap and only the store's throughput counts. Single-threaded, deterministic.
class WeightLoadLimiter {
 public:
  explicit WeightLoadLimiter(Duration window) : window_(window) {}

  /// A leadership begins. Loads of a predecessor may have begun just before.
  void start(TimePoint now, bool had_predecessor);
  /// The first request was seen: loads are dear from now on.
  void note_first_request() { traffic_seen_ = true; }
  bool traffic_seen() const { return traffic_seen_; }
  /// Whether `loads` may begin now, while `loads_in_progress` go on and `finished` servers hold weights already.
  bool may_begin_loads(TimePoint now, const document::EngineSpec& engine, size_t new_loads, size_t loads_in_progress,
                       size_t loaded_servers);
  void note_loads_begun(TimePoint now, size_t new_loads) { load_starts_.insert(load_starts_.end(), new_loads, now); }

 private:
  Duration window_;
  bool traffic_seen_ = false;
  /// The predecessor's last loads have left the window by then.
  TimePoint no_loads_before_{};
  std::deque<TimePoint> load_starts_;
};

}  // namespace larchlever::fleet
