#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/time.h"
#include "core/routing/routing_table.h"
#include "larchlever_types.h"

namespace larchlever::routing {

enum class RoutingPolicy { kRoundRobin, kLeastLoad, kPowerOfTwo, kPrefixAffinity };

/// Parses a policy name: round_robin, least_load, power_of_two or prefix_affinity.
std::optional<RoutingPolicy> parse_routing_policy(std::string_view name);

enum class RouteVerdict {
  kDispatch,
  kNoConfigurationLease,  ///< The entry's configuration may be outdated: no request may be dispatched.
  kUnknownTenant,
  kUnknownModel,
  kAdapterNotPermitted,
  kNoGroupAvailable,  ///< Permitted, but no group in a permitted zone is available: the request must wait.
};

struct RouteQuery {
  std::string tenant;
  std::string model;
  std::string adapter;
  /// Hash of the prompt's prefix; zero if none. Equal prefixes are routed to the same group while its load permits.
  uint64_t prefix_hash = 0;
  /// Ids of groups that must not be chosen, because they were already tried for this request.
  std::set<int64_t> excluded_group_ids;
};

struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kNoConfigurationLease;
  const wire::Group* group = nullptr;  ///< Set for kDispatch; valid until the configuration changes.
};

/// Chooses the group for each request of one entry.
///
/// Guarantees: a group is chosen only if its zone is permitted for the tenant, it has the tenant's template, and this
/// entry holds an unexpired serve lease for its current epoch. Order of checks: permission, then availability, then
/// load. Deterministic for a seed; single-threaded.
class Router {
 public:
  Router(RoutingPolicy policy, uint64_t seed) : policy_(policy), random_(seed) {}

  void set_table(RoutingTable table) { table_ = std::move(table); }
  const RoutingTable& table() const { return table_; }
  /// Replaces all serve leases; they expire at `until`.
  void set_leases(const std::vector<wire::GroupLease>& leases, TimePoint until);
  /// No request may be dispatched at or after `until`.
  void set_configuration_lease(TimePoint until) { configuration_lease_until_ = until; }
  TimePoint configuration_lease_until() const { return configuration_lease_until_; }

  RouteDecision route(TimePoint now, const RouteQuery& query);
  /// Whether the lease for this epoch is still valid. Must be checked again right before sending a request.
  bool may_dispatch(TimePoint now, int64_t group_id, int32_t epoch) const;
  /// Records that a request was sent to the group, or ended there, for the load estimate.
  void record_dispatch(int64_t group_id) { ++in_flight_by_group_[group_id]; }
  void record_completion(int64_t group_id);

  size_t count_leased_groups(TimePoint now) const;

 private:
  struct Lease {
    int32_t epoch = 0;
    TimePoint until{};
    int reported_load = 0;
    int own_in_flight_at_report = 0;
  };

  struct Candidate {
    const wire::Group* group = nullptr;
    int load = 0;
  };

  int estimated_load(int64_t group_id, const Lease& lease) const;
  const wire::Group* choose(const std::vector<Candidate>& candidates, uint64_t prefix_hash);
  static const wire::Group* choose_by_prefix_affinity(const std::vector<Candidate>& candidates, uint64_t prefix_hash);
  const wire::Group* choose_less_loaded_of_two(const std::vector<Candidate>& candidates);

  RoutingPolicy policy_;
  std::mt19937_64 random_;
  RoutingTable table_;
  TimePoint configuration_lease_until_ = TimePoint::min();
  std::unordered_map<int64_t, Lease> leases_;
  std::unordered_map<int64_t, int> in_flight_by_group_;
  size_t next_round_robin_index_ = 0;
  std::vector<Candidate> candidates_;  ///< Member only to reuse its memory between calls.
};

/// Hash of the prefix of a prompt, salted by tenant so that equal prompts of different tenants have different hashes.
uint64_t hash_prefix(std::string_view tenant, std::string_view prompt);

}  // namespace larchlever::routing
