#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace larchlever::requests {

enum class StreamStatus {
  kOpen,          ///< More must come.
  kDone,          ///< The terminal event came: the answer is whole.
  kWrongRequest,  ///< An event belongs to another request.
  kOutOfOrder,    ///< An event's offset is not the next one: one is missing, doubled or reordered.
  kMalformed,
};

/// Checks an engine's event stream against the request it is for. Every event carries `id: REQUEST:OFFSET`, offsets
/// count up by one from where the stream was asked to start, and `data: [DONE]` ends it. Only whole, verified events
/// are passed on, so a caller never sees part of an event nor a foreign one. Pure.
class StreamVerifier {
 public:
  StreamVerifier(std::string request_id, int64_t first_offset);

  /// Takes bytes as they came; returns the whole events verified by them. After any status but kOpen nothing more is
  /// accepted.
  std::string feed(std::string_view bytes);
  StreamStatus status() const { return status_; }
  /// Offset that the next event must carry: where a resumed stream has to start.
  int64_t next_offset() const { return next_offset_; }

 private:
  bool verify_event(std::string_view event);

  std::string expected_prefix_;
  int64_t next_offset_;
  std::string pending_;
  StreamStatus status_ = StreamStatus::kOpen;
};

/// The `data:` payload of an event; empty when it has none.
std::string_view event_data(std::string_view event);

}  // namespace larchlever::requests
