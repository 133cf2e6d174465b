#pragma once

#include <string>

#include "core/base/time.h"
#include "core/fleet/fleet_subscription.h"

namespace larchlever::node {

/// Logs a node's search for a control replica that answers for a leader: whom it asked and how often, once a second
/// while the search lasts, and its end. A node that found one at once logs nothing.
class SearchReporter {
 public:
  explicit SearchReporter(std::string node) : node_(std::move(node)) {}

  void tick(TimePoint now, const fleet::FleetSubscription& subscription);

 private:
  std::string node_;
  /// The search that is under way began then; `TimePoint::min()` while there is none.
  TimePoint began_ = TimePoint::min();
  TimePoint next_report_{};
  bool was_reported_ = false;
};

}  // namespace larchlever::node
