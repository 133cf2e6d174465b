#pragma once

#include <string>

#include "core/base/time.h"
#include "core/fleet/fleet_subscription.h"

namespace larchlever::node {

/// Logs a node's search for a control replica that knows the leader: which replicas it asked and how often, once a
/// second during the search, and the end of the search. Logs nothing if the search ends within the first second. Also
/// logs, once a second at most, that updates of the state were lost on their way to this node.
class LeaderSearchLogger {
 public:
  explicit LeaderSearchLogger(std::string node) : node_name_(std::move(node)) {}

  void tick(TimePoint now, const fleet::FleetSubscription& subscription);

 private:
  void log_missed_changes(TimePoint now, const fleet::FleetSubscription& subscription);

  std::string node_name_;
  /// Start of the current search; `TimePoint::min()` if there is none.
  TimePoint search_began_ = TimePoint::min();
  TimePoint next_log_{};
  bool was_logged_ = false;
  int64_t logged_missed_changes_ = 0;
  TimePoint next_missed_changes_log_{};
};

}  // namespace larchlever::node
