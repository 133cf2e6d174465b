#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever::requests {

/// Splits a `text/event-stream` body into complete events, so that another server can resume the response right after
/// the last event sent to the caller. Only the ids of events are interpreted.
class EventStreamSplitter {
 public:
  /// Longest event without its end. A thousand times a usual event, and short enough for the memory of a process that
  /// relays a thousand streams at once.
  static constexpr size_t kMaxEventBytes = 64U << 10U;

  /// Processes the next bytes of the body and returns the events that they complete, unchanged. Drops events whose id
  /// is not above the last one returned, because a server that resumes the stream may repeat them. Ignores all bytes
  /// from an event that is too long on.
  std::string feed(std::string_view bytes);
  /// Discards an incomplete event, before another server resumes the stream after `last_id`.
  void restart();
  /// Id of the last event returned that has one; nothing before that.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Number of events returned that have an id.
  int64_t event_count() const { return event_count_; }
  /// Bytes of an incomplete event.
  const std::string& pending() const { return pending_; }
  /// Whether the bytes fed last completed an event, even one that was dropped.
  bool has_completed_event() const { return has_completed_event_; }
  /// Whether an event is longer than `kMaxEventBytes`; the stream must then be treated as broken off.
  bool is_event_too_long() const { return pending_.size() > kMaxEventBytes; }
  /// Whether an id was not the successor of the one before; the stream must then not be reported as complete.
  bool has_gap() const { return has_gap_; }

 private:
  std::string pending_;
  /// Bytes of `pending_` that are known not to contain the end of an event.
  size_t searched_bytes_ = 0;
  bool has_completed_event_ = false;
  std::optional<int64_t> last_id_;
  int64_t event_count_ = 0;
  bool has_gap_ = false;
};

}  // namespace larchlever::requests
