#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "larchlever_types.h"

namespace larchlever::placement {

/// Everything a planning pass looks at; borrowed for the call.
struct PlanningInput {
  const std::map<std::string, wire::Machine>& machines;
  const std::map<int64_t, wire::Group>& groups;
  std::vector<wire::Template> templates;
  std::vector<wire::Tenant> tenants;
  wire::FleetParameters parameters;
  /// Machines seen alive within the presence bound under their known incarnation.
  std::set<std::string> present;
};

struct PlannedGroup {
  std::string template_name;
  std::string zone;
  std::string domain;
  std::vector<std::string> machines;
};

struct Plan {
  std::vector<PlannedGroup> create;
  /// Groups to drain: surplus, outdated by their template, or holding a leaving machine.
  std::vector<int64_t> drain;
  /// Groups wanted and not formed for want of machines, by zone.
  std::map<std::string, int> unmet;
  /// Accelerators that sit idle although their zone wants a group that cannot form.
  int64_t stranded_accelerators = 0;
};

/// Wanted number of groups of one template in one zone.
struct GroupDemand {
  std::string template_name;
  std::string zone;
  int groups = 0;
};

/// Groups wanted per template and zone, from the tenants' shares of the fleet and their permitted zones. Every tenant
/// gets at least one group in a zone that it permits, whatever its share.
std::vector<GroupDemand> desired_groups(const PlanningInput& input);

/// One fabric domain with machines that are free to use.
struct DomainCapacity {
  std::string domain;
  std::string zone;
  std::vector<const wire::Machine*> free_machines;
  size_t total_machines = 0;
  /// Groups in the domain that would need a spare machine to recover from a loss.
  size_t groups = 0;
};

/// Chooses the domain for a group. Implementations are stateless.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  virtual std::string_view name() const = 0;
  /// Index of the domain to use among `domains`, each with at least `size` free machines; they come in a fixed order.
  virtual size_t choose_domain(const std::vector<const DomainCapacity*>& domains, size_t size,
                               const wire::FleetParameters& parameters) const = 0;
};

/// The policy called `name`: first_fit, best_fit or spare_aware; null for another name.
std::unique_ptr<PlacementPolicy> make_placement_policy(std::string_view name);

/// One planning pass. Pure and deterministic: the same input gives the same plan.
Plan make_plan(const PlanningInput& input, const PlacementPolicy& policy);

}  // namespace larchlever::placement
