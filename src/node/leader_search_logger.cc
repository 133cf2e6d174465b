#include "node/leader_search_logger.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// A search is logged after this time, and again each time it has lasted that much longer.
constexpr Duration kLogInterval = seconds(1);

std::string format_counts(const std::map<std::string, int>& request_counts) {
  std::string text;
  for (const auto& [peer, count] : request_counts) {
    text += (text.empty() ? "" : ",") + peer + "*" + std::to_string(count);
  }
  return text;
}

}  // namespace

void LeaderSearchLogger::log_missed_changes(TimePoint now, const fleet::FleetSubscription& subscription) {
  const int64_t missed = subscription.missed_state_changes();
  if (missed == logged_missed_changes_ || now < next_missed_changes_log_) {
    return;
  }
  next_missed_changes_log_ = now + kLogInterval;
  log_warning(node_name_, "state_changes_missed",
              {{"changes", std::to_string(missed - logged_missed_changes_)},
               {"held_version", std::to_string(subscription.state().version)}});
  logged_missed_changes_ = missed;
}

void LeaderSearchLogger::tick(TimePoint now, const fleet::FleetSubscription& subscription) {
  log_missed_changes(now, subscription);
  if (!subscription.is_searching(now)) {
    if (was_logged_) {
      log_event(node_name_, "leader_found", {{"leader", subscription.leader()}});
    }
    search_began_ = TimePoint::min();
    was_logged_ = false;
    return;
  }
  if (search_began_ == TimePoint::min()) {
    search_began_ = now;
    next_log_ = now + kLogInterval;
  }
  if (now < next_log_) {
    return;
  }
  next_log_ = now + kLogInterval;
  was_logged_ = true;
  log_warning(node_name_, "leader_sought",
              {{"for_ms", std::to_string((now - search_began_) / milliseconds(1))},
               {"known_replicas", std::to_string(subscription.peers().size())},
               {"asked", format_counts(subscription.heartbeats_in_search())}});
}

}  // namespace larchlever::node
