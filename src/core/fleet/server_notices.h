#pragma once

#include <map>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// What servers asked of this entry in their answers: to be left alone for a while, or for good because they leave.
/// Every way to send asks here first.
///
/// Load pattern: a server that is full turns requests away within milliseconds. It has little under way, so by load
/// alone it looks like the best target of all and draws the requests of every entry, each of which costs a part of the
/// retry budget, while free servers stand beside it.
/// Limits: a rest is kept to its end, however many other servers there are, since the server alone knows what it can
/// take; it binds this entry only, because it was asked of this entry. Both belong to one incarnation of a server: a
/// later start asked for nothing. They outlast the row of a server, which may leave one group and come back in another.
/// Single-threaded, deterministic.
class ServerNotices {
 public:
  /// The server turned a request away and wants nothing more for this long. The longest rest asked for holds.
  void note_retry_after(TimePoint now, const std::string& incarnation, Duration delay);
  /// The server said that it leaves. True when that is news.
  bool note_leaving(TimePoint now, const std::string& incarnation);

  /// When the server may be sent to: `now` for one that asked for nothing, `TimePoint::max()` for one that leaves.
  TimePoint available_at(TimePoint now, const std::string& incarnation) const;
  bool may_send(TimePoint now, const std::string& incarnation) const { return available_at(now, incarnation) <= now; }
  /// Servers that rest or leave.
  size_t size() const { return notices_.size(); }

 private:
  struct Notice {
    TimePoint backoff_until = TimePoint::min();
    /// When the server last said that it leaves; `TimePoint::min()` for never.
    TimePoint leaving_since = TimePoint::min();
  };

  void drop_expired(TimePoint now);

  std::map<std::string, Notice> notices_;
};

}  // namespace larchlever::fleet
