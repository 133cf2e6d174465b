#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace larchlever::requests {

enum class StreamStatus {
  kOpen,          ///< More events are expected.
  kDone,          ///< The terminal event arrived: the response is complete.
  kWrongRequest,  ///< An event belongs to another request.
  kOutOfOrder,    ///< An event's offset is not the next one: an event is missing, duplicated or reordered.
  kMalformed,     ///< An event has no valid id, or is too large.
};

/// Verifies that an engine's event stream belongs to a request and is complete. Every event has `id: REQUEST:OFFSET`,
/// the offsets increase by one from the requested start offset, and `data: [DONE]` terminates the stream. Only
/// complete, verified events are passed on, so that a caller never receives part of an event or an event of another
/// request. No I/O.
class StreamVerifier {
 public:
  StreamVerifier(std::string request_id, int64_t first_offset);

  /// Processes the next bytes of the stream and returns the events that they complete, if verified. Ignores all bytes
  /// once the status is not kOpen.
  std::string feed(std::string_view bytes);
  StreamStatus status() const { return status_; }
  /// Offset that the next event must have, and from which a resumed stream must start.
  int64_t next_offset() const { return next_offset_; }

 private:
  /// Returns whether a complete event is valid; updates the status and the next offset.
  bool verify_event(std::string_view event);

  std::string expected_prefix_;
  int64_t next_offset_;
  std::string pending_;
  StreamStatus status_ = StreamStatus::kOpen;
};

/// The `data:` payload of an event; empty when it has none.
std::string_view event_data(std::string_view event);

}  // namespace larchlever::requests
