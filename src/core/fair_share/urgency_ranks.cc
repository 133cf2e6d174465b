#include "core/fair_share/urgency_ranks.h"

#include <algorithm>
#include <numeric>

namespace larchlever::fair_share {

namespace {

/// Minimum served ratio of an urgency, as a part of the ratio of any more urgent one. With half of it, less urgent
/// callers who try again are served after a few attempts, and an urgent one still finds room twice as often.
constexpr double kFloor = 0.5;
/// Served ratio of an urgency that is aimed at, as a multiple of the ratio of any less urgent one. More than 1, as the
/// ratios are known with a delay, and urgent callers must not be served worse meanwhile.
constexpr double kUrgentAdvantage = 1.1;
/// A tenant's demand counts up to this multiple of the mean demand of the other tenants. Demands of callers that grow
/// together stay below it; a single caller's excess exceeds it.
constexpr double kMaxMultipleOfOthers = 2;
/// Minimum part of the whole demand for an urgency to be compared with others. Less is what remains of ended demand.
constexpr double kMinDemandPart = 0.01;

/// Whether `less_served` is served worse than `factor` times the other, if both have demand.
bool is_served_worse(std::optional<double> less_served, double factor, std::optional<double> other) {
  return less_served && other && *less_served < factor * *other;
}

}  // namespace

double TenantDemand::total_wanted() const { return std::accumulate(wanted.begin(), wanted.end(), 0.0); }

double max_counted_demand(double own_wanted, double total_wanted, size_t tenant_count) {
  if (tenant_count <= 1) {
    return own_wanted;
  }
  return kMaxMultipleOfOthers * (total_wanted - own_wanted) / static_cast<double>(tenant_count - 1);
}

ServedRatios served_ratios(const std::vector<TenantDemand>& tenants) {
  double total = 0;
  for (const auto& tenant : tenants) {
    total += tenant.total_wanted();
  }
  std::array<double, kUrgencies> wanted{};
  std::array<double, kUrgencies> admitted{};
  for (const auto& tenant : tenants) {
    const double limit = max_counted_demand(tenant.total_wanted(), total, tenants.size());
    for (size_t urgency = 0; urgency < kUrgencies; ++urgency) {
      const double counted = std::min(tenant.wanted.at(urgency), limit);
      wanted.at(urgency) += counted;
      admitted.at(urgency) += std::min(tenant.admitted.at(urgency), counted);
    }
  }
  ServedRatios result;
  for (size_t urgency = 0; urgency < kUrgencies; ++urgency) {
    if (wanted.at(urgency) > kMinDemandPart * total) {
      result.at(urgency) = admitted.at(urgency) / wanted.at(urgency);
    }
  }
  return result;
}

UrgencyRanks rank_urgencies(const ServedRatios& ratios) {
  UrgencyRanks result;
  std::vector<size_t> order;
  for (size_t urgency = 0; urgency < kUrgencies; ++urgency) {
    const auto ratio = ratios.at(urgency);
    const auto is_favored = [&](size_t more_urgent) { return is_served_worse(ratio, kFloor, ratios.at(more_urgent)); };
    order.insert(std::find_if(order.begin(), order.end(), is_favored), urgency);
    result.is_behind.at(urgency) =
        std::any_of(ratios.begin() + static_cast<std::ptrdiff_t>(urgency) + 1, ratios.end(),
                    [ratio](const auto& less_urgent) { return is_served_worse(ratio, kUrgentAdvantage, less_urgent); });
  }
  for (size_t position = 0; position < order.size(); ++position) {
    result.rank.at(order.at(position)) = static_cast<int>(position);
  }
  return result;
}

}  // namespace larchlever::fair_share
