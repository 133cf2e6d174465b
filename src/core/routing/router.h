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

/// The policy called `name`: round_robin, least_load, power_of_two or prefix_affinity.
std::optional<RoutingPolicy> parse_routing_policy(std::string_view name);

enum class RouteVerdict {
  kDispatch,
  kNoConfigurationLease,  ///< This entry may not act on the configuration it holds: nothing may be dispatched.
  kUnknownTenant,
  kUnknownModel,
  kAdapterNotPermitted,
  kNoGroupAvailable,  ///< Permitted, but no group in a permitted zone is open now: wait, never go elsewhere.
};

struct RouteQuery {
  std::string tenant;
  std::string model;
  std::string adapter;
  /// Hash of the prompt's leading part; zero for none. Equal prefixes go to the same group while load permits.
  uint64_t prefix_hash = 0;
  /// Groups already tried for this request.
  std::set<int64_t> excluded;
};

struct RouteDecision {
  RouteVerdict verdict = RouteVerdict::kNoConfigurationLease;
  const wire::Group* group = nullptr;  ///< Set for kDispatch; valid until the configuration changes.
};

/// Chooses the group for each request of one entry.
///
/// Guarantees: a group is chosen only when its zone is among the tenant's, its template is the tenant's, and this entry
/// holds an unexpired serve lease for its present epoch. Order of checks: permission, then availability, then load.
/// Deterministic for a seed; single-threaded.
class Router {
 public:
  Router(RoutingPolicy policy, uint64_t seed) : policy_(policy), random_(seed) {}

  void set_table(RoutingTable table) { table_ = std::move(table); }
  const RoutingTable& table() const { return table_; }
  /// Replaces all serve leases; they hold until `until`.
  void set_leases(const std::vector<wire::GroupLease>& leases, TimePoint until);
  /// Nothing may be dispatched at or after `until`.
  void set_configuration_lease(TimePoint until) { configuration_lease_until_ = until; }
  TimePoint configuration_lease_until() const { return configuration_lease_until_; }

  RouteDecision route(TimePoint now, const RouteQuery& query);
  /// Whether the lease for this epoch still holds; asked again right before bytes leave.
  bool may_dispatch(TimePoint now, int64_t group_id, int32_t epoch) const;
  /// A request went to the group, or came back from it: feeds the load estimate.
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
  std::vector<Candidate> candidates_;  ///< Kept between calls for its memory only.
};

/// Hash of the leading part of a prompt, salted by tenant so that tenants never share a cached prefix by accident.
uint64_t hash_prefix(std::string_view tenant, std::string_view prompt);

}  // namespace larchlever::routing
