#include "core/placement/planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace larchlever::placement {

namespace {

/// Free machines that a domain should keep after a placement, to replace a lost machine at once.
constexpr size_t kMinSpareMachines = 1;

bool is_usable(const PlanningInput& input, const wire::Machine& machine) {
  return machine.state == wire::MachineState::FREE && !machine.leaving && input.present_machines.contains(machine.id);
}

bool is_active(const wire::Group& group) { return group.state <= wire::GroupState::SERVING; }

bool matches_template(const wire::Group& group, const std::map<std::string, const wire::Template*>& templates) {
  const auto found = templates.find(group.template_name);
  if (found == templates.end()) {
    return false;
  }
  const wire::Template& group_template = *found->second;
  return group.model == group_template.model && group.version == group_template.version &&
         group.adapters == group_template.adapters &&
         group.machines.size() == static_cast<size_t>(group_template.machines_per_group);
}

std::map<std::string, DomainCapacity> domain_capacities(const PlanningInput& input) {
  std::map<std::string, DomainCapacity> domains;
  for (const auto& [id, machine] : input.machines) {
    DomainCapacity& capacity = domains[machine.domain];
    capacity.domain = machine.domain;
    capacity.zone = machine.zone;
    ++capacity.total_machines;
    if (is_usable(input, machine)) {
      capacity.free_machines.push_back(&machine);
    }
  }
  for (const auto& [id, group] : input.groups) {
    domains[group.domain].groups += is_active(group) ? 1 : 0;
  }
  return domains;
}

/// Picks `size` free machines, preferring those that already hold the weights and need no download.
std::vector<std::string> pick_machines(const DomainCapacity& domain, size_t size, const std::string& weights) {
  std::vector<const wire::Machine*> candidates = domain.free_machines;
  std::stable_sort(candidates.begin(), candidates.end(), [&weights](const auto* left, const auto* right) {
    return (left->weights == weights) > (right->weights == weights);
  });
  std::vector<std::string> result;
  for (size_t position = 0; position < size; ++position) {
    result.push_back(candidates[position]->id);
  }
  return result;
}

class FirstFit : public PlacementPolicy {
 public:
  std::string_view name() const override { return "first_fit"; }
  size_t choose_domain(const std::vector<const DomainCapacity*>&, size_t, const wire::FleetParameters&) const override {
    return 0;
  }
};

/// Chooses the domain with the fewest free machines, which keeps large free areas for large groups.
class BestFit : public PlacementPolicy {
 public:
  std::string_view name() const override { return "best_fit"; }
  size_t choose_domain(const std::vector<const DomainCapacity*>& domains, size_t,
                       const wire::FleetParameters&) const override {
    const auto best = std::min_element(domains.begin(), domains.end(), [](const auto* left, const auto* right) {
      return left->free_machines.size() < right->free_machines.size();
    });
    return static_cast<size_t>(best - domains.begin());
  }
};

/// Trades off a spare machine left in the domain (fast recovery after a loss) against remaining machines that cannot
/// form another group of this size (idle machines).
class SpareAware : public PlacementPolicy {
 public:
  std::string_view name() const override { return "spare_aware"; }
  size_t choose_domain(const std::vector<const DomainCapacity*>& domains, size_t size,
                       const wire::FleetParameters& parameters) const override {
    const auto cost = [&](const DomainCapacity& domain) {
      const size_t remainder = domain.free_machines.size() - size;
      const size_t unusable = remainder % size;
      const bool keeps_spare = remainder >= kMinSpareMachines;
      const double downtime = keeps_spare ? 0.0 : 1.0;
      const double idle = static_cast<double>(unusable) / static_cast<double>(size);
      const double weight = parameters.downtime_weight / 100.0;
      return std::tuple(weight * downtime + (1.0 - weight) * idle, domain.free_machines.size());
    };
    const auto best = std::min_element(domains.begin(), domains.end(), [&cost](const auto* left, const auto* right) {
      return cost(*left) < cost(*right);
    });
    return static_cast<size_t>(best - domains.begin());
  }
};

/// Computes one plan: creates groups where demand exceeds the existing groups, and drains surplus ones.
class PlanningPass {
 public:
  PlanningPass(const PlanningInput& input, const PlacementPolicy& policy)
      : input_(input), policy_(policy), domains_(domain_capacities(input)) {
    for (const auto& item : input.templates) {
      templates_[item.name] = &item;
    }
  }

  Plan run() {
    drain_groups_on_leaving_machines();
    auto demands = desired_groups(input_);
    // Larger groups are placed first, because the fewest domains have room for them.
    std::stable_sort(demands.begin(), demands.end(), [this](const GroupDemand& left, const GroupDemand& right) {
      return templates_[left.template_name]->machines_per_group > templates_[right.template_name]->machines_per_group;
    });
    std::set<std::pair<std::string, std::string>> wanted;
    for (const auto& demand : demands) {
      wanted.insert({demand.template_name, demand.zone});
      meet_demand(demand);
    }
    drain_groups_without_demand(wanted);
    plan_.stranded_accelerators = count_stranded_accelerators();
    return std::move(plan_);
  }

 private:
  bool is_planned_to_drain(int64_t id) const {
    return std::find(plan_.groups_to_drain.begin(), plan_.groups_to_drain.end(), id) != plan_.groups_to_drain.end();
  }

  void drain_groups_on_leaving_machines() {
    for (const auto& [id, group] : input_.groups) {
      const bool leaving = std::any_of(group.machines.begin(), group.machines.end(), [this](const auto& machine) {
        const auto found = input_.machines.find(machine);
        return found != input_.machines.end() && found->second.leaving;
      });
      if (leaving && is_active(group)) {
        plan_.groups_to_drain.push_back(id);
      }
    }
  }

  void meet_demand(const GroupDemand& demand) {
    std::vector<const wire::Group*> current;
    std::vector<const wire::Group*> outdated;
    for (const auto& [id, group] : input_.groups) {
      const bool matches_demand = group.template_name == demand.template_name && group.zone == demand.zone;
      if (matches_demand && is_active(group) && !is_planned_to_drain(id)) {
        (matches_template(group, templates_) ? current : outdated).push_back(&group);
      }
    }
    int missing = demand.groups - static_cast<int>(current.size());
    while (missing > 0 && place_group(demand)) {
      --missing;
    }
    for (int surplus = -missing; surplus > 0; --surplus) {
      plan_.groups_to_drain.push_back(current.back()->id);
      current.pop_back();
    }
    replace_outdated(outdated, current, missing);
    if (missing > 0) {
      plan_.unmet_groups[demand.zone] += missing;
      unmet_group_sizes_[demand.zone].push_back(
          static_cast<size_t>(templates_[demand.template_name]->machines_per_group));
    }
  }

  /// Drains outdated groups once all current ones are serving. If no machines are free for the missing groups, drains
  /// one outdated group at a time to free some.
  void replace_outdated(const std::vector<const wire::Group*>& outdated, const std::vector<const wire::Group*>& current,
                        int missing) {
    const bool all_serving = std::all_of(current.begin(), current.end(),
                                         [](const auto* group) { return group->state == wire::GroupState::SERVING; });
    if (outdated.empty() || !all_serving) {
      return;
    }
    if (missing <= 0) {
      for (const auto* group : outdated) {
        plan_.groups_to_drain.push_back(group->id);
      }
    } else {
      plan_.groups_to_drain.push_back(outdated.front()->id);
    }
  }

  bool place_group(const GroupDemand& demand) {
    const wire::Template& group_template = *templates_[demand.template_name];
    const auto size = static_cast<size_t>(group_template.machines_per_group);
    std::vector<const DomainCapacity*> fitting_domains;
    for (const auto& [name, domain] : domains_) {
      if (domain.zone == demand.zone && domain.free_machines.size() >= size) {
        fitting_domains.push_back(&domain);
      }
    }
    if (fitting_domains.empty()) {
      return false;
    }
    DomainCapacity& domain =
        domains_[fitting_domains[policy_.choose_domain(fitting_domains, size, input_.parameters)]->domain];
    PlannedGroup group;
    group.template_name = demand.template_name;
    group.zone = demand.zone;
    group.domain = domain.domain;
    group.machines = pick_machines(domain, size, group_template.model + "@" + group_template.version);
    std::erase_if(domain.free_machines, [&group](const auto* machine) {
      return std::find(group.machines.begin(), group.machines.end(), machine->id) != group.machines.end();
    });
    ++domain.groups;
    plan_.groups_to_create.push_back(std::move(group));
    return true;
  }

  void drain_groups_without_demand(const std::set<std::pair<std::string, std::string>>& wanted) {
    for (const auto& [id, group] : input_.groups) {
      if (is_active(group) && !wanted.contains({group.template_name, group.zone}) && !is_planned_to_drain(id)) {
        plan_.groups_to_drain.push_back(id);
      }
    }
  }

  int64_t count_stranded_accelerators() const {
    int64_t stranded = 0;
    for (const auto& [name, domain] : domains_) {
      if (!unmet_group_sizes_.contains(domain.zone)) {
        continue;
      }
      for (const auto* machine : domain.free_machines) {
        stranded += machine->accelerators;
      }
    }
    return stranded;
  }

  const PlanningInput& input_;
  const PlacementPolicy& policy_;
  std::map<std::string, DomainCapacity> domains_;
  std::map<std::string, const wire::Template*> templates_;
  std::map<std::string, std::vector<size_t>> unmet_group_sizes_;
  Plan plan_;
};

/// Machines per zone, free or not; tenants' shares are computed from these.
std::map<std::string, int> machines_per_zone(const PlanningInput& input) {
  std::map<std::string, int> result;
  for (const auto& [id, machine] : input.machines) {
    ++result[machine.zone];
  }
  return result;
}

}  // namespace

std::vector<GroupDemand> desired_groups(const PlanningInput& input) {
  const auto zone_sizes = machines_per_zone(input);
  std::map<std::string, const wire::Template*> templates;
  for (const auto& item : input.templates) {
    templates[item.name] = &item;
  }
  std::map<std::pair<std::string, std::string>, double> wanted;
  for (const auto& tenant : input.tenants) {
    int permitted_machines = 0;
    for (const auto& zone : tenant.zones) {
      const auto size = zone_sizes.find(zone);
      permitted_machines += size == zone_sizes.end() ? 0 : size->second;
    }
    const auto group_template = templates.find(tenant.template_name);
    if (permitted_machines == 0 || group_template == templates.end()) {
      continue;
    }
    const double machines = static_cast<double>(input.machines.size()) * tenant.share_percent / 100.0;
    const double groups = std::min<double>(machines, permitted_machines) / group_template->second->machines_per_group;
    for (const auto& zone : tenant.zones) {
      if (const auto size = zone_sizes.find(zone); size != zone_sizes.end()) {
        wanted[{tenant.template_name, zone}] += groups * size->second / permitted_machines;
      }
    }
  }
  std::map<std::pair<std::string, std::string>, int> group_counts;
  for (const auto& [key, groups] : wanted) {
    constexpr double kRoundingTolerance = 1e-9;
    group_counts[key] = static_cast<int>(std::floor(groups + 0.5 + kRoundingTolerance));
  }
  for (const auto& tenant : input.tenants) {
    std::pair<std::string, std::string> best_target;
    double best = -1;
    bool has_group = false;
    for (const auto& zone : tenant.zones) {
      const auto found = wanted.find({tenant.template_name, zone});
      has_group = has_group || (found != wanted.end() && group_counts[found->first] > 0);
      if (found != wanted.end() && found->second > best) {
        best = found->second;
        best_target = found->first;
      }
    }
    if (!has_group && best >= 0) {
      group_counts[best_target] = 1;
    }
  }
  std::vector<GroupDemand> result;
  for (const auto& [key, groups] : group_counts) {
    if (groups > 0) {
      result.push_back(GroupDemand{key.first, key.second, groups});
    }
  }
  return result;
}

std::unique_ptr<PlacementPolicy> make_placement_policy(std::string_view name) {
  if (name == "first_fit") {
    return std::make_unique<FirstFit>();
  }
  if (name == "best_fit") {
    return std::make_unique<BestFit>();
  }
  if (name == "spare_aware") {
    return std::make_unique<SpareAware>();
  }
  return nullptr;
}

Plan make_plan(const PlanningInput& input, const PlacementPolicy& policy) { return PlanningPass(input, policy).run(); }

}  // namespace larchlever::placement
