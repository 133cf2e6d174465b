#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/base/time.h"

/// Fair sharing of a pool of servers between tenants and urgencies.
namespace larchlever::fair_share {

/// A request that waits for a server of the pool.
struct PendingRequest {
  std::string tenant;
  /// Lower values are more urgent; 0 is the most urgent.
  int urgency = 0;
  /// It can only be answered late; requests that can still be in time go first.
  bool has_missed_objective = false;
  TimePoint arrived_at{};
  /// Expected occupation of a server, in milliseconds of a slot.
  double cost = 0;
};

/// Decides the order in which the requests that compete for one pool of servers are admitted. Single-threaded,
/// deterministic.
class ShareLedger {
 public:
  /// A request arrived. Attempts that a caller repeats count again, as demand of its tenant.
  void note_arrival(TimePoint now, const PendingRequest& request);
  /// The request was admitted.
  void note_admission(TimePoint now, const PendingRequest& request);
  /// Indices of `waiting` in the order in which the requests are to be offered room.
  std::vector<size_t> admission_order(TimePoint now, const std::vector<PendingRequest>& waiting);
};

}  // namespace larchlever::fair_share
