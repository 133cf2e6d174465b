#include "core/routing/router.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace larchlever::routing {

namespace {

/// A group with this multiple of the mean load is skipped in favor of the next one in the prefix's ranking.
constexpr double kMaxLoadToMeanRatio = 1.25;
constexpr size_t kMaxPrefixBytes = 512;

}  // namespace

std::optional<RoutingPolicy> parse_routing_policy(std::string_view name) {
  static const std::map<std::string_view, RoutingPolicy> policies = {
      {"round_robin", RoutingPolicy::kRoundRobin},
      {"least_load", RoutingPolicy::kLeastLoad},
      {"power_of_two", RoutingPolicy::kPowerOfTwo},
      {"prefix_affinity", RoutingPolicy::kPrefixAffinity},
  };
  const auto found = policies.find(name);
  return found == policies.end() ? std::nullopt : std::optional(found->second);
}

uint64_t hash_prefix(std::string_view tenant, std::string_view prompt) {
  const uint64_t salt = XXH3_64bits(tenant.data(), tenant.size());
  const std::string_view head = prompt.substr(0, kMaxPrefixBytes);
  return XXH3_64bits_withSeed(head.data(), head.size(), salt) | 1U;
}

void Router::set_leases(const std::vector<wire::GroupLease>& leases, TimePoint until) {
  std::unordered_map<int64_t, Lease> renewed;
  for (const auto& granted : leases) {
    Lease lease;
    lease.epoch = granted.epoch;
    lease.until = until;
    lease.reported_load = granted.load;
    const auto own_in_flight = in_flight_by_group_.find(granted.group_id);
    lease.own_in_flight_at_report = own_in_flight == in_flight_by_group_.end() ? 0 : own_in_flight->second;
    renewed[granted.group_id] = lease;
  }
  leases_ = std::move(renewed);
}

void Router::record_completion(int64_t group_id) {
  const auto found = in_flight_by_group_.find(group_id);
  if (found != in_flight_by_group_.end() && --found->second <= 0) {
    in_flight_by_group_.erase(found);
  }
}

bool Router::may_dispatch(TimePoint now, int64_t group_id, int32_t epoch) const {
  const auto lease = leases_.find(group_id);
  return now < configuration_lease_until_ && lease != leases_.end() && lease->second.epoch == epoch &&
         now < lease->second.until;
}

size_t Router::count_leased_groups(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(leases_.begin(), leases_.end(), [now](const auto& item) { return now < item.second.until; }));
}

int Router::estimated_load(int64_t group_id, const Lease& lease) const {
  const auto own_in_flight = in_flight_by_group_.find(group_id);
  const int own_in_flight_now = own_in_flight == in_flight_by_group_.end() ? 0 : own_in_flight->second;
  // The reported load is outdated. It includes this entry's in-flight requests at the time of the report, or soon will;
  // replace them by the current number.
  return std::max(lease.reported_load - lease.own_in_flight_at_report, 0) + own_in_flight_now;
}

RouteDecision Router::route(TimePoint now, const RouteQuery& query) {
  if (now >= configuration_lease_until_) {
    return {RouteVerdict::kNoConfigurationLease, nullptr};
  }
  const TenantWithTemplate* tenant = table_.find_tenant(query.tenant);
  if (tenant == nullptr) {
    return {RouteVerdict::kUnknownTenant, nullptr};
  }
  if (!tenant->has_template || tenant->tenant_template.model != query.model) {
    return {RouteVerdict::kUnknownModel, nullptr};
  }
  if (!tenant->permits_adapter(query.adapter)) {
    return {RouteVerdict::kAdapterNotPermitted, nullptr};
  }
  candidates_.clear();
  for (const auto& group : table_.serving_groups(tenant->tenant.template_name)) {
    const auto lease = leases_.find(group.id);
    const bool has_valid_lease =
        lease != leases_.end() && lease->second.epoch == group.epoch && now < lease->second.until;
    const bool has_adapter = query.adapter.empty() || std::find(group.adapters.begin(), group.adapters.end(),
                                                                query.adapter) != group.adapters.end();
    if (has_valid_lease && has_adapter && tenant->permits_zone(group.zone) &&
        !query.excluded_group_ids.contains(group.id)) {
      candidates_.push_back({&group, estimated_load(group.id, lease->second)});
    }
  }
  if (candidates_.empty()) {
    return {RouteVerdict::kNoGroupAvailable, nullptr};
  }
  return {RouteVerdict::kDispatch, choose(candidates_, query.prefix_hash)};
}

const wire::Group* Router::choose(const std::vector<Candidate>& candidates, uint64_t prefix_hash) {
  switch (policy_) {
    case RoutingPolicy::kRoundRobin:
      return candidates[next_round_robin_index_++ % candidates.size()].group;
    case RoutingPolicy::kLeastLoad:
      return std::min_element(candidates.begin(), candidates.end(),
                              [](const auto& left, const auto& right) { return left.load < right.load; })
          ->group;
    case RoutingPolicy::kPowerOfTwo:
      return choose_less_loaded_of_two(candidates);
    case RoutingPolicy::kPrefixAffinity:
      return prefix_hash == 0 ? choose_less_loaded_of_two(candidates)
                              : choose_by_prefix_affinity(candidates, prefix_hash);
  }
  return candidates.front().group;
}

const wire::Group* Router::choose_less_loaded_of_two(const std::vector<Candidate>& candidates) {
  std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
  const auto& first = candidates[pick(random_)];
  const auto& second = candidates[pick(random_)];
  return second.load < first.load ? second.group : first.group;
}

const wire::Group* Router::choose_by_prefix_affinity(const std::vector<Candidate>& candidates, uint64_t prefix_hash) {
  // Rendezvous hashing: all entries rank the groups for a prefix in the same way without shared state. Groups at the
  // load limit are skipped in favor of the next one in the ranking.
  int total = 0;
  for (const auto& candidate : candidates) {
    total += candidate.load;
  }
  const int max_load =
      static_cast<int>(std::ceil(kMaxLoadToMeanRatio * (total + 1) / static_cast<double>(candidates.size())));
  const wire::Group* best = candidates.front().group;
  uint64_t best_rank = 0;
  for (const auto& candidate : candidates) {
    if (candidate.load >= max_load) {
      continue;
    }
    const uint64_t rank = XXH3_64bits_withSeed(&candidate.group->id, sizeof(candidate.group->id), prefix_hash);
    if (rank >= best_rank) {
      best = candidate.group;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace larchlever::routing
