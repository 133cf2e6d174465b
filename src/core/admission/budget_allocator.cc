#include "core/admission/budget_allocator.h"

#include <algorithm>

namespace larchlever::admission {

int BudgetAllocator::grant(TimePoint now, const std::string& tenant, int limit, const std::string& node,
                           const Report& report, TimePoint expires, bool may_raise) {
  auto& shares = tenants_[tenant];
  std::erase_if(shares, [now](const auto& item) { return item.second.expires <= now; });
  const int demand = report.running + report.waiting;
  int others_granted = 0;
  int total_demand = demand;
  int entries = 1;
  for (const auto& [name, share] : shares) {
    if (name != node) {
      others_granted += share.granted;
      total_demand += share.demand;
      ++entries;
    }
  }
  // Demand first, in proportion when it exceeds the limit; what is left over is spread evenly, so that an entry
  // without recent traffic can admit a first request without waiting for a heartbeat.
  int target = demand;
  if (total_demand > limit) {
    target = limit * demand / std::max(total_demand, 1);
    target = std::max(target, demand > 0 ? 1 : 0);
  } else {
    target += (limit - total_demand) / entries;
  }
  if (!may_raise) {
    target = std::min(target, report.held);
  }
  const int available = std::max(limit - others_granted, 0);
  const int granted = std::min(target, available);
  Share& share = shares[node];
  share.granted = std::max(granted, report.running);
  share.demand = demand;
  share.expires = expires;
  return granted;
}

void BudgetAllocator::forget_node(const std::string& node) {
  for (auto& [tenant, shares] : tenants_) {
    shares.erase(node);
  }
}

}  // namespace larchlever::admission
