#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever::requests {

/// Splits a `text/event-stream` body into complete events, so that another server can resume the response right after
/// the last event sent to the caller. Only the ids of events are interpreted.
class EventStreamSplitter {
 public:
  /// Processes the next bytes of the body and returns the events that they complete, unchanged. Drops events whose id
  /// is not above the last one returned, because a server that resumes the stream may repeat them.
  std::string feed(std::string_view bytes);
  /// Discards an incomplete event, before another server resumes the stream after `last_id`.
  void restart() { pending_.clear(); }
  /// Id of the last event returned that has one; nothing before that.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Number of events returned that have an id.
  int64_t event_count() const { return event_count_; }
  /// Bytes of an incomplete event.
  const std::string& pending() const { return pending_; }
  /// Whether an id was not the successor of the one before; the stream must then not be reported as complete.
  bool has_gap() const { return has_gap_; }

 private:
  std::string pending_;
  std::optional<int64_t> last_id_;
  int64_t event_count_ = 0;
  bool has_gap_ = false;
};

}  // namespace larchlever::requests
