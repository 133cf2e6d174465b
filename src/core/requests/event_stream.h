#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever::requests {

/// Cuts a `text/event-stream` body into whole events, so that an answer can be continued by another server exactly
/// behind the last event that reached the caller. Events are opaque but for their ids.
class EventStreamSplitter {
 public:
  /// Takes the next bytes of the body. Returns the events that are whole now, unchanged. Events whose id is not above
  /// the last one passed on are dropped: a server that continues may repeat them.
  std::string feed(std::string_view bytes);
  /// A new server continues behind `last_id`: what was left of an unfinished event is void.
  void restart() { pending_.clear(); }
  /// Id of the last event returned; nothing before the first.
  const std::optional<int64_t>& last_id() const { return last_id_; }
  /// Bytes of an unfinished event.
  const std::string& pending() const { return pending_; }
  /// An id that skipped its predecessor was seen: this stream must not be presented as whole.
  bool has_gap() const { return has_gap_; }

 private:
  std::string pending_;
  std::optional<int64_t> last_id_;
  bool has_gap_ = false;
};

}  // namespace larchlever::requests
