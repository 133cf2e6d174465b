#include "core/fleet/group_planner.h"

#include <algorithm>
#include <tuple>

namespace larchlever::fleet {

namespace {

/// Divisor for models without groups: keeps their pressure finite and ordered by need.
constexpr double kMinPressureDivisor = 1e-3;
/// A preemption must reduce the highest pressure at least to this fraction of it: the servers are unavailable for a
/// drain and a warm join, some seconds, and the demand is only known to within some percent.
constexpr double kMaxPressureRatioAfterPreemption = 0.9;
/// A model under lower pressure than this needs no more servers.
constexpr double kMinPressureForPreemption = 0.85;
/// Makes a model whose weights are staged on the host preferable to any model that needs a load.
constexpr double kStagedWeightsBonus = 1e9;
/// A new group may exceed its model's target number of servers by this fraction of the group size.
constexpr double kMaxOvershootInGroups = 0.5;

}  // namespace

bool PlannedServer::has_staged(const std::string& model) const {
  return std::find(staged_models.begin(), staged_models.end(), model) != staged_models.end();
}

GroupPlanner::GroupPlanner(PlannerInput input) : input_(std::move(input)) {
  for (size_t index = 0; index < input_.servers.size(); ++index) {
    servers_by_domain_[input_.servers[index].domain].push_back(index);
    domain_by_server_[input_.servers[index].id] = input_.servers[index].domain;
  }
  for (auto& group : input_.groups) {
    groups_[group.name] = group;
  }
}

double GroupPlanner::count_groups(const std::string& model) const {
  return static_cast<double>(std::count_if(groups_.begin(), groups_.end(), [&](const auto& item) {
    return item.second.counts_as_capacity && item.second.model == model;
  }));
}

double GroupPlanner::pressure(const ModelNeed& need, double groups) const {
  return need.groups_needed / std::max(groups, kMinPressureDivisor);
}

std::vector<const ModelNeed*> GroupPlanner::needs_by_pressure() const {
  std::vector<const ModelNeed*> result;
  for (const auto& need : input_.needs) {
    result.push_back(&need);
  }
  std::stable_sort(result.begin(), result.end(), [this](const auto* left, const auto* right) {
    return pressure(*left, count_groups(left->model->name)) > pressure(*right, count_groups(right->model->name));
  });
  return result;
}

double GroupPlanner::target_server_count(const ModelNeed& need) const {
  double total_servers_needed = 0;
  for (const auto& other : input_.needs) {
    total_servers_needed += other.groups_needed * other.model->size;
  }
  const double share = total_servers_needed > 0 ? need.groups_needed * need.model->size / total_servers_needed : 0;
  return share * static_cast<double>(input_.servers.size());
}

bool GroupPlanner::may_add_group(const ModelNeed& need) const {
  const double held = count_groups(need.model->name);
  const double size = need.model->size;
  return held == 0 || (held + 1) * size <= target_server_count(need) + kMaxOvershootInGroups * size;
}

size_t GroupPlanner::count_largest_model_groups(size_t free_servers) const {
  int largest = 1;
  for (const auto& need : input_.needs) {
    largest = std::max(largest, need.model->size);
  }
  return free_servers / static_cast<size_t>(largest);
}

std::optional<GroupPlan> GroupPlanner::cheapest_plan(const document::ModelSpec& model) const {
  const auto size = static_cast<size_t>(model.size);
  std::optional<GroupPlan> best;
  // Prefers the fewest loads; then the fewest possible groups of the largest model lost; then the domain with the
  // fewest servers of this model, so that the loss of a domain affects each model little; then the domain with the
  // fewest servers in use.
  std::tuple<size_t, size_t, size_t, size_t> best_cost;
  for (const auto& [domain, indexes] : servers_by_domain_) {
    const auto reserved = input_.reserved_domains.find(domain);
    if (reserved != input_.reserved_domains.end() && reserved->second != model.name) {
      continue;
    }
    std::vector<const PlannedServer*> free;
    size_t same_model_servers = 0;
    for (const size_t index : indexes) {
      const auto& server = input_.servers[index];
      if (server.group.empty()) {
        free.push_back(&server);
        continue;
      }
      const auto group = groups_.find(server.group);
      same_model_servers +=
          group != groups_.end() && group->second.counts_as_capacity && group->second.model == model.name ? 1 : 0;
    }
    if (free.size() < size) {
      continue;
    }
    const auto rank = [&model](const PlannedServer* server) {
      return server->loaded_model == model.name ? 0 : server->has_staged(model.name) ? 1 : 2;
    };
    std::stable_sort(free.begin(), free.end(),
                     [&rank](const auto* left, const auto* right) { return rank(left) < rank(right); });
    const size_t large_groups_before = count_largest_model_groups(free.size());
    const size_t servers_left = free.size() - size;
    free.resize(size);
    const auto weight_loads = static_cast<size_t>(std::count_if(
        free.begin(), free.end(), [&model](const auto* server) { return !server->is_warm_for(model.name); }));
    const size_t large_groups_lost = large_groups_before - count_largest_model_groups(servers_left);
    const std::tuple cost(weight_loads, large_groups_lost, same_model_servers, indexes.size() - servers_left);
    if (best && cost >= best_cost) {
      continue;
    }
    best_cost = cost;
    best.emplace();
    best->model = &model;
    best->weight_loads = weight_loads;
    for (const auto* server : free) {
      best->members.push_back(server->id);
    }
  }
  return best;
}

bool GroupPlanner::discards_needed_weights(const GroupPlan& plan) const {
  if (input_.cold_groups_allowed) {
    return false;
  }
  std::map<std::string, double> pressures;
  for (const auto& need : input_.needs) {
    pressures[need.model->name] = pressure(need, count_groups(need.model->name));
  }
  return std::any_of(input_.servers.begin(), input_.servers.end(), [&](const auto& server) {
    const bool is_member = std::find(plan.members.begin(), plan.members.end(), server.id) != plan.members.end();
    const bool keeps = server.loaded_model == plan.model->name || server.has_staged(server.loaded_model);
    const auto lost = pressures.find(server.loaded_model);
    return is_member && !keeps && lost != pressures.end() && lost->second > pressures[plan.model->name];
  });
}

size_t GroupPlanner::count_warm_free_servers(const std::string& domain, const std::string& model) const {
  const auto& indexes = servers_by_domain_.at(domain);
  return static_cast<size_t>(std::count_if(indexes.begin(), indexes.end(), [&](size_t index) {
    const auto& server = input_.servers[index];
    return server.group.empty() && server.is_warm_for(model);
  }));
}

std::optional<GroupPlan> GroupPlanner::next_group() const {
  for (const auto* need : needs_by_pressure()) {
    if (!may_add_group(*need)) {
      continue;
    }
    auto plan = cheapest_plan(*need->model);
    if (!plan || (plan->weight_loads > 0 && !input_.cold_groups_allowed) || discards_needed_weights(*plan)) {
      continue;
    }
    return plan;
  }
  return std::nullopt;
}

void GroupPlanner::add_formed_group(const GroupPlan& plan, const std::string& group) {
  groups_[group] = {group, plan.model->name, false, true, false};
  for (auto& server : input_.servers) {
    if (std::find(plan.members.begin(), plan.members.end(), server.id) != plan.members.end()) {
      server.group = group;
    }
  }
}

std::vector<std::string> GroupPlanner::donor_groups_in_domain(const std::string& domain,
                                                              const document::ModelSpec& model,
                                                              const std::string& donor) const {
  size_t warm = 0;
  std::map<std::string, size_t> warm_by_group;
  for (const size_t index : servers_by_domain_.at(domain)) {
    const auto& server = input_.servers[index];
    if (!server.is_warm_for(model.name)) {
      continue;
    }
    const auto group = groups_.find(server.group);
    if (server.group.empty()) {
      ++warm;
    } else if (group != groups_.end() && group->second.is_open && group->second.model == donor) {
      ++warm_by_group[server.group];
    }
  }
  std::vector<std::pair<size_t, std::string>> candidates;
  for (const auto& [name, count] : warm_by_group) {
    candidates.emplace_back(count, name);
  }
  std::sort(candidates.rbegin(), candidates.rend());
  std::vector<std::string> result;
  for (const auto& [count, name] : candidates) {
    if (warm >= static_cast<size_t>(model.size)) {
      break;
    }
    warm += count;
    result.push_back(name);
  }
  return warm >= static_cast<size_t>(model.size) ? result : std::vector<std::string>();
}

std::optional<PreemptionPlan> GroupPlanner::groups_to_preempt() const {
  const bool preemption_in_progress =
      std::any_of(groups_.begin(), groups_.end(), [](const auto& item) { return item.second.is_preempted; });
  if (preemption_in_progress || !input_.reserved_domains.empty() || input_.needs.size() < 2) {
    return std::nullopt;
  }
  const auto* neediest = needs_by_pressure().front();
  const double held = count_groups(neediest->model->name);
  if (pressure(*neediest, held) < kMinPressureForPreemption) {
    return std::nullopt;
  }
  std::optional<PreemptionPlan> result;
  double best = pressure(*neediest, held) * kMaxPressureRatioAfterPreemption;
  for (const auto& donor : input_.needs) {
    if (donor.model == neediest->model) {
      continue;
    }
    for (const auto& [domain, indexes] : servers_by_domain_) {
      auto preempted = donor_groups_in_domain(domain, *neediest->model, donor.model->name);
      const double left = count_groups(donor.model->name) - static_cast<double>(preempted.size());
      const double after = std::max(pressure(*neediest, held + 1), pressure(donor, left));
      if (!preempted.empty() && left >= 1 && after < best) {
        best = after;
        result = PreemptionPlan{std::move(preempted), domain, neediest->model->name};
      }
    }
  }
  return result;
}

std::vector<const PlannedServer*> GroupPlanner::spares_without_group() const {
  std::vector<const PlannedServer*> spares;
  for (const auto& server : input_.servers) {
    const bool is_model_in_use = std::any_of(input_.needs.begin(), input_.needs.end(), [&server](const auto& need) {
      return need.model->name == server.loaded_model;
    });
    const bool is_useful_spare = server.group.empty() && is_model_in_use;
    if (is_useful_spare && !server.in_spare_group && !input_.reserved_domains.contains(server.domain)) {
      spares.push_back(&server);
    }
  }
  return spares;
}

GroupPlanner::SpareCounts GroupPlanner::count_spares() const {
  SpareCounts spares;
  for (const auto& server : input_.servers) {
    if (server.group.empty() && !server.loaded_model.empty()) {
      ++spares[{server.domain, server.loaded_model}];
    }
  }
  return spares;
}

const document::ModelSpec* GroupPlanner::model_for_spare(const PlannedServer& server, const SpareCounts& spares) const {
  const document::ModelSpec* best = nullptr;
  double highest_need = -1;
  for (const auto& need : input_.needs) {
    const auto held = spares.find({server.domain, need.model->name});
    const int count = held == spares.end() ? 0 : held->second;
    // Weights that are staged on the host need no load.
    const double need_per_spare = need.groups_needed * need.model->size / (1 + count) +
                                  (server.has_staged(need.model->name) ? kStagedWeightsBonus : 0);
    if (need_per_spare > highest_need) {
      highest_need = need_per_spare;
      best = need.model;
    }
  }
  return best;
}

const document::ModelSpec* GroupPlanner::model_to_stage_on_host(const PlannedServer& server) const {
  const document::ModelSpec* best = nullptr;
  double highest_need = -1;
  for (const auto& need : input_.needs) {
    const double servers = need.groups_needed * need.model->size;
    if (need.model->name != server.loaded_model && servers > highest_need) {
      highest_need = servers;
      best = need.model;
    }
  }
  return best;
}

std::vector<StagingPlan> GroupPlanner::staging_plans() const {
  std::map<LoadPriority, std::vector<StagingPlan>> plans;
  SpareCounts spares = count_spares();
  for (const auto& server : input_.servers) {
    const auto group = groups_.find(server.group);
    const bool is_free = server.group.empty();
    const bool is_free_or_open = is_free || (group != groups_.end() && group->second.is_open);
    if (!is_free_or_open || input_.needs.empty()) {
      continue;
    }
    if (is_free && server.loaded_model.empty()) {
      const std::string& model = model_for_spare(server, spares)->name;
      ++spares[{server.domain, model}];
      plans[LoadPriority::kRepair].push_back({server.id, model, LoadPriority::kRepair, true});
      continue;
    }
    const auto* standby = model_to_stage_on_host(server);
    if (server.loaded_model.empty() || standby == nullptr || server.has_staged(standby->name)) {
      continue;
    }
    const auto loaded = std::find_if(input_.needs.begin(), input_.needs.end(),
                                     [&](const auto& need) { return need.model->name == server.loaded_model; });
    const bool is_larger = loaded == input_.needs.end() || standby->size > loaded->model->size;
    const auto priority = is_larger || is_free ? LoadPriority::kStandby : LoadPriority::kPrecaution;
    plans[priority].push_back({server.id, standby->name, priority, false});
  }
  // Begin in the domains where the fewest servers are missing for a group.
  auto& repairs = plans[LoadPriority::kRepair];
  std::stable_sort(repairs.begin(), repairs.end(), [this](const auto& left, const auto& right) {
    return count_warm_free_servers(domain_by_server_.at(left.server), left.model) >
           count_warm_free_servers(domain_by_server_.at(right.server), right.model);
  });
  std::vector<StagingPlan> result;
  for (const auto& [priority, list] : plans) {
    result.insert(result.end(), list.begin(), list.end());
  }
  return result;
}

}  // namespace larchlever::fleet
