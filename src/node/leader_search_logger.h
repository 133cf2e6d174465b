#pragma once

#include <string>

#include "core/base/time.h"
#include "core/fleet/fleet_subscription.h"

namespace larchlever::node {

/// Logs a node's search for a control replica that answers for a leader: whom it asked and how often, once a second
/// while the search lasts, and its end. A node that found one at once logs nothing.
class LeaderSearchLogger {
 public:
  explicit LeaderSearchLogger(std::string node) : node_name_(std::move(node)) {}

  void tick(TimePoint now, const fleet::FleetSubscription& subscription);

 private:
  std::string node_name_;
  /// The search that is under way began then; `TimePoint::min()` while there is none.
  TimePoint search_began_ = TimePoint::min();
  TimePoint next_log_{};
  bool was_logged_ = false;
};

}  // namespace larchlever::node
