#include "core/fleet/server_notices.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Shutdown notices are kept this long; the longest drains take minutes.
constexpr Duration kLeavingNoticeLifetime = std::chrono::hours(1);

}  // namespace

void ServerNotices::note_retry_after(TimePoint now, const std::string& incarnation, Duration delay) {
  drop_expired(now);
  Notice& notice = notices_[incarnation];
  notice.backoff_until = std::max(notice.backoff_until, now + delay);
}

bool ServerNotices::note_leaving(TimePoint now, const std::string& incarnation) {
  drop_expired(now);
  Notice& notice = notices_[incarnation];
  const bool is_first_notice = notice.leaving_since == TimePoint::min();
  notice.leaving_since = now;
  return is_first_notice;
}

TimePoint ServerNotices::available_at(TimePoint now, const std::string& incarnation) const {
  const auto found = notices_.find(incarnation);
  if (found == notices_.end()) {
    return now;
  }
  const bool is_leaving = found->second.leaving_since != TimePoint::min();
  return is_leaving ? TimePoint::max() : std::max(now, found->second.backoff_until);
}

void ServerNotices::drop_expired(TimePoint now) {
  std::erase_if(notices_, [now](const auto& item) {
    const Notice& notice = item.second;
    const bool has_recent_leaving_notice =
        notice.leaving_since != TimePoint::min() && now - notice.leaving_since < kLeavingNoticeLifetime;
    return !has_recent_leaving_notice && notice.backoff_until <= now;
  });
}

}  // namespace larchlever::fleet
