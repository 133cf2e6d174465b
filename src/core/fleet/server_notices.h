#pragma once

#include <map>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// What servers asked of this entry in their responses: to send nothing for a while (Retry-After), or nothing more
/// because the server is shutting down. Checked on every send path.
///
/// Failure scenario: a full server rejects requests within milliseconds. It has few requests in flight, so by load
/// alone it looks like the best target and attracts requests from every entry; each rejection uses up retry budget
/// while other servers are free.
///
/// Limits: a backoff is kept until it expires, however many other servers there are, because only the server knows its
/// capacity. It applies to this entry only, because the response went to this entry. Notices belong to one incarnation
/// of a server; a new incarnation starts without any. They are kept when the server disappears from the fleet state,
/// because it may leave one group and join another. Single-threaded, deterministic.
class ServerNotices {
 public:
  /// The server rejected a request and asked for a delay. The latest end of all requested delays applies.
  void note_retry_after(TimePoint now, const std::string& incarnation, Duration delay);
  /// The server announced that it is shutting down. Returns true for the first announcement.
  bool note_leaving(TimePoint now, const std::string& incarnation);

  /// When the server may be sent requests: `now` if it sent no notice, `TimePoint::max()` if it is shutting down.
  TimePoint available_at(TimePoint now, const std::string& incarnation) const;
  bool may_send(TimePoint now, const std::string& incarnation) const { return available_at(now, incarnation) <= now; }
  /// Number of servers with a backoff or a shutdown notice.
  size_t size() const { return notices_.size(); }

 private:
  struct Notice {
    TimePoint backoff_until = TimePoint::min();
    /// When the server last announced its shutdown; `TimePoint::min()` if it did not.
    TimePoint leaving_since = TimePoint::min();
  };

  void drop_expired(TimePoint now);

  std::map<std::string, Notice> notices_;
};

}  // namespace larchlever::fleet
