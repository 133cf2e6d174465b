#include "node/search_reporter.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// A search this long is worth a line, and a further line each time it lasts as long again.
constexpr Duration kReportInterval = seconds(1);

std::string describe(const std::map<std::string, int>& asked) {
  std::string text;
  for (const auto& [peer, count] : asked) {
    text += (text.empty() ? "" : ",") + peer + "*" + std::to_string(count);
  }
  return text;
}

}  // namespace

void SearchReporter::tick(TimePoint now, const fleet::FleetSubscription& subscription) {
  if (!subscription.is_searching(now)) {
    if (was_reported_) {
      log_event(node_, "leader_found", {{"leader", subscription.leader()}});
    }
    began_ = TimePoint::min();
    was_reported_ = false;
    return;
  }
  if (began_ == TimePoint::min()) {
    began_ = now;
    next_report_ = now + kReportInterval;
  }
  if (now < next_report_) {
    return;
  }
  next_report_ = now + kReportInterval;
  was_reported_ = true;
  log_problem(node_, "leader_sought",
              {{"for_ms", std::to_string((now - began_) / milliseconds(1))},
               {"known_replicas", std::to_string(subscription.peers().size())},
               {"asked", describe(subscription.heartbeats_in_search())}});
}

}  // namespace larchlever::node
