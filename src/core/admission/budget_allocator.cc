#include "core/admission/budget_allocator.h"

#include <algorithm>

namespace larchlever::admission {

void BudgetAllocator::TenantShares::remove_share(const std::string& node) {
  const auto found = by_node.find(node);
  if (found == by_node.end()) {
    return;
  }
  granted -= found->second.granted;
  demand -= found->second.demand;
  by_expiry.erase({found->second.expires, node});
  by_node.erase(found);
}

void BudgetAllocator::TenantShares::set_share(const std::string& node, const NodeShare& share) {
  remove_share(node);
  by_node[node] = share;
  by_expiry.insert({share.expires, node});
  granted += share.granted;
  demand += share.demand;
}

void BudgetAllocator::TenantShares::remove_expired(TimePoint now) {
  while (!by_expiry.empty() && by_expiry.begin()->first <= now) {
    const std::string node = by_expiry.begin()->second;
    remove_share(node);
  }
}

int BudgetAllocator::grant(TimePoint now, const std::string& tenant, int limit, const std::string& node,
                           const DemandReport& report, TimePoint expires, bool may_increase) {
  auto& shares = tenants_[tenant];
  shares.remove_expired(now);
  shares.remove_share(node);
  const int demand = report.running + report.waiting;
  const int others_granted = shares.granted;
  const int total_demand = shares.demand + demand;
  const int entry_count = static_cast<int>(shares.by_node.size()) + 1;
  // Demand is met first, in proportion when the total exceeds the limit. The remainder is split evenly, so that an
  // entry without recent traffic can admit a first request without waiting for a heartbeat.
  int target_budget = demand;
  if (total_demand > limit) {
    target_budget = limit * demand / std::max(total_demand, 1);
    target_budget = std::max(target_budget, demand > 0 ? 1 : 0);
  } else {
    target_budget += (limit - total_demand) / entry_count;
  }
  if (!may_increase) {
    target_budget = std::min(target_budget, report.held_budget);
  }
  const int available_budget = std::max(limit - others_granted, 0);
  const int granted = std::min(target_budget, available_budget);
  shares.set_share(node, NodeShare{std::max(granted, report.running), demand, expires});
  return granted;
}

void BudgetAllocator::remove_node(const std::string& node) {
  for (auto& [tenant, shares] : tenants_) {
    shares.remove_share(node);
  }
}

}  // namespace larchlever::admission
