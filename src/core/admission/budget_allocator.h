#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/base/time.h"

namespace larchlever::admission {

/// Splits each tenant's fleet-wide concurrency among the entries that admit for it, by recent demand. What entries
/// hold under unexpired grants, together with what they report running, never exceeds the tenant's limit by more than
/// what was already running when the limit was lowered.
///
/// The leader's soft state: after a change of leader it is rebuilt from what entries report they still hold.
/// Single-threaded.
class BudgetAllocator {
 public:
  struct DemandReport {
    int running = 0;
    int waiting = 0;
    int held_budget = 0;  ///< Concurrency that the entry still holds by an earlier grant.
  };

  /// Decides what `node` may hold of `tenant` until `expires`. While `may_increase` is false (a new leader does not
  /// know all grants of its predecessor yet) a node gets no more than it holds already.
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

  /// Shares of one tenant, with their sums and their order of expiry kept up to date, so that a grant costs the
  /// logarithm of the number of entries and not that number.
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
