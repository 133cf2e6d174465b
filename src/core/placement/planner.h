#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::placement {

/// Input of a planning pass. The references must outlive the call.
struct PlanningInput {
  const std::map<std::string, wire::Machine>& machines;
  const std::map<int64_t, wire::Group>& groups;
  std::vector<wire::Template> templates;
  std::vector<wire::Tenant> tenants;
  wire::FleetParameters parameters;
  /// Machines seen alive within the presence bound with their known incarnation.
  std::set<std::string> present_machines;
};

struct PlannedGroup {
  std::string template_name;
  std::string zone;
  std::string domain;
  std::vector<std::string> machines;
};

struct Plan {
  std::vector<PlannedGroup> groups_to_create;
  /// Groups to drain: surplus groups, groups outdated by a change of their template, and groups with a leaving machine.
  std::vector<int64_t> groups_to_drain;
  /// Number of wanted groups that could not be placed for lack of machines, by zone.
  std::map<std::string, int> unmet_groups;
  /// Idle accelerators in zones where a wanted group cannot be placed.
  int64_t stranded_accelerators = 0;
};

/// Wanted number of groups of one template in one zone.
struct GroupDemand {
  std::string template_name;
  std::string zone;
  int groups = 0;
};

/// Computes the wanted groups per template and zone from the tenants' shares of the fleet and their permitted zones.
/// Every tenant gets at least one group in a permitted zone, however small its share.
std::vector<GroupDemand> desired_groups(const PlanningInput& input);

/// Free machines and groups of one fabric domain.
struct DomainCapacity {
  std::string domain;
  std::string zone;
  std::vector<const wire::Machine*> free_machines;
  size_t total_machines = 0;
  /// Active groups in the domain, each of which would need a spare machine to recover from a loss.
  size_t groups = 0;
};

/// Strategy that chooses the domain for a group. Implementations are stateless.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  virtual std::string_view name() const = 0;
  /// Returns the index in `domains` of the domain to use. Each has at least `size` free machines; their order is fixed.
  virtual size_t choose_domain(const std::vector<const DomainCapacity*>& domains, size_t size,
                               const wire::FleetParameters& parameters) const = 0;
};

/// Returns the policy first_fit, best_fit or spare_aware by name; null for any other name.
std::unique_ptr<PlacementPolicy> make_placement_policy(std::string_view name);

/// Runs one planning pass. Pure and deterministic: the same input gives the same plan.
Plan make_plan(const PlanningInput& input, const PlacementPolicy& policy);

}  // namespace larchlever::placement
