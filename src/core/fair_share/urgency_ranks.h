#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace larchlever::fair_share {

/// Number of urgencies that are told apart; all less urgent ones count as the last.
constexpr size_t kUrgencies = 8;

/// Recent cost of one tenant's requests by urgency, in milliseconds of a slot.
struct TenantDemand {
  std::array<double, kUrgencies> wanted{};
  std::array<double, kUrgencies> admitted{};

  double total_wanted() const;
};

/// The order of the urgencies while they compete.
struct UrgencyRanks {
  /// Requests of a lower rank go first.
  std::array<int, kUrgencies> rank{};
  /// The urgency is not served clearly better than a less urgent one.
  std::array<bool, kUrgencies> is_behind{};
};

/// The part of a tenant's demand that counts as demand of an urgency, of `tenant_count` tenants with `total_wanted`
/// among them. What one tenant wants far beyond the others is its own excess and must not displace other urgencies.
double max_counted_demand(double own_wanted, double total_wanted, size_t tenant_count);

/// Ratios of admitted to wanted cost by urgency, at most 1. None for an urgency with next to no demand.
using ServedRatios = std::array<std::optional<double>, kUrgencies>;

/// Counts only `max_counted_demand` of each tenant.
ServedRatios served_ratios(const std::vector<TenantDemand>& tenants);

/// Ranks urgencies by their served ratios. A more urgent one goes first, unless the ratio of a less urgent one is below
/// a fixed part of its own: an overload by urgent requests starves nobody.
UrgencyRanks rank_urgencies(const ServedRatios& ratios);

}  // namespace larchlever::fair_share
