#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/fleet/dispatcher.h"
#include "net/http_client.h"

namespace larchlever::node {

/// One attempt of a request at a target, from sending the request until the end of the response. Destroying it closes
/// its connection, unless the whole response was read.
struct RelayAttempt {
  RelayAttempt() = default;
  RelayAttempt(const RelayAttempt&) = delete;
  RelayAttempt& operator=(const RelayAttempt&) = delete;
  ~RelayAttempt() {
    cancellation->set_cancel_callback(nullptr);
    if (on_end) {
      on_end();
    }
  }

  /// Ends the attempt because its response is not needed any more. Its end then says nothing about the target.
  void discard(std::string_view cause) {
    is_discarded = true;
    cancellation->cancel(cause);
  }
  /// Bytes are awaited; the target has made no progress since `since`.
  void begin_wait(TimePoint since) {
    awaiting_since = since;
    if (suspected_at && since > *suspected_at) {
      suspected_at.reset();
    }
  }
  void end_wait() { awaiting_since = TimePoint::max(); }
  /// The attempt has ended by itself, so no other target is looked for beside it.
  void note_end() { on_suspected = nullptr; }

  fleet::DispatchTarget target;
  /// Deadline of the final response.
  TimePoint deadline{};
  TimePoint sent_at{};
  std::shared_ptr<net::Cancellation> cancellation = std::make_shared<net::Cancellation>();
  fleet::AttemptState load_mark;
  /// The response; null until its head arrived.
  std::unique_ptr<net::ClientStream> stream;
  /// Bytes of the response that were read but not relayed yet.
  std::string unread;
  /// Since when bytes of the target are awaited; `TimePoint::max()` while none are, such as while the caller reads.
  TimePoint awaiting_since = TimePoint::max();
  /// Silence after which the attempt is suspected on its own, even if its target makes progress for other requests.
  Duration max_silence = Duration::max();
  /// When the attempt was last suspected, unless its target made progress since then.
  std::optional<TimePoint> suspected_at;
  bool is_discarded = false;
  /// Called when the target may have failed. The attempt goes on. Empty if the request may not be repeated.
  std::function<void(std::string_view cause)> on_suspected;
  std::function<void()> on_end;
};

}  // namespace larchlever::node
