#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/base/time.h"

namespace larchlever::admission {

/// Divides each tenant's fleet-wide concurrency limit among the entries, in proportion to recent demand. The sum of
/// unexpired grants and reported running requests exceeds the limit by at most the number of requests that were already
/// running when the limit was lowered.
///
/// Soft state of the leader: a new leader rebuilds it from the budgets that entries report in heartbeats.
/// Single-threaded.
class BudgetAllocator {
 public:
  /// A tenant's requests at one entry, from the entry's heartbeat.
  struct DemandReport {
    int running = 0;
    int waiting = 0;
    int held_budget = 0;  ///< Unexpired concurrency budget that the entry already has.
  };

  /// Returns the concurrency budget of `node` for `tenant` until `expires`. While `may_increase` is false, the result
  /// does not exceed the reported budget: a new leader does not know all grants of its predecessor yet.
  int grant(TimePoint now, const std::string& tenant, int limit, const std::string& node, const DemandReport& report,
            TimePoint expires, bool may_increase);
  void remove_node(const std::string& node);
  void clear() { tenants_.clear(); }

 private:
  struct NodeShare {
    int granted = 0;
    int demand = 0;
    TimePoint expires{};
  };

  /// Shares of one tenant. Sums and expiry order are maintained incrementally, so that a grant takes time logarithmic,
  /// not linear, in the number of entries.
  struct TenantShares {
    std::map<std::string, NodeShare> by_node;
    std::set<std::pair<TimePoint, std::string>> by_expiry;
    int granted = 0;
    int demand = 0;

    void set_share(const std::string& node, const NodeShare& share);
    void remove_share(const std::string& node);
    void remove_expired(TimePoint now);
  };

  std::map<std::string, TenantShares> tenants_;
};

}  // namespace larchlever::admission
