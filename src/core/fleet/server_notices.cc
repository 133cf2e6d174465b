#include "core/fleet/server_notices.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// A server that leaves has ended long before; the longest drains take minutes.
constexpr Duration kLeavingMemory = std::chrono::hours(1);

}  // namespace

void ServerNotices::note_rest(TimePoint now, const std::string& incarnation, Duration rest) {
  forget_old(now);
  Notice& notice = notices_[incarnation];
  notice.rests_until = std::max(notice.rests_until, now + rest);
}

bool ServerNotices::note_leaving(TimePoint now, const std::string& incarnation) {
  forget_old(now);
  Notice& notice = notices_[incarnation];
  const bool is_news = notice.left_at == TimePoint::min();
  notice.left_at = now;
  return is_news;
}

TimePoint ServerNotices::free_at(TimePoint now, const std::string& incarnation) const {
  const auto found = notices_.find(incarnation);
  if (found == notices_.end()) {
    return now;
  }
  const bool leaves = found->second.left_at != TimePoint::min();
  return leaves ? TimePoint::max() : std::max(now, found->second.rests_until);
}

void ServerNotices::forget_old(TimePoint now) {
  std::erase_if(notices_, [now](const auto& item) {
    const Notice& notice = item.second;
    const bool has_left = notice.left_at != TimePoint::min() && now - notice.left_at < kLeavingMemory;
    return !has_left && notice.rests_until <= now;
  });
}

}  // namespace larchlever::fleet
