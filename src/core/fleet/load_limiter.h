#pragma once

#include <cstddef>
#include <deque>

#include "core/base/time.h"
#include "core/document/configuration_document.h"

namespace larchlever::fleet {

/// Keeps loads from the weight store within its limits: so many at once, so many begun in a window.
///
/// Before the first request loads are cheap and only the store's throughput counts. Single-threaded, deterministic.
class LoadLimiter {
 public:
  explicit LoadLimiter(Duration window) : window_(window) {}

  /// A leadership begins. Loads of a predecessor may have begun just before.
  void start(TimePoint now, bool had_predecessor);
  /// The first request was seen: loads are dear from now on.
  void note_traffic() { traffic_seen_ = true; }
  bool traffic_seen() const { return traffic_seen_; }
  /// Whether `loads` may begin now, while `under_way` go on and `finished` servers hold weights already.
  bool may_begin(TimePoint now, const document::EngineSpec& engine, size_t loads, size_t under_way, size_t finished);
  void note_begun(TimePoint now, size_t loads) { starts_.insert(starts_.end(), loads, now); }

 private:
  Duration window_;
  bool traffic_seen_ = false;
  /// The predecessor's last loads have left the window by then.
  TimePoint predecessor_until_{};
  std::deque<TimePoint> starts_;
};

}  // namespace larchlever::fleet
