// The part of GroupSupervisor that executes the planner's decisions: groups to form and to preempt, weights to stage.

#include <algorithm>

#include "core/fleet/group_supervisor.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// Groups needed by a model without demand.
constexpr double kIdleModelGroups = 0.25;
/// How long the servers of preempted groups stay reserved for the receiving model after the last of them became free.
constexpr Duration kReservationTimeout = milliseconds(400);
/// Loads that no group waits for may use this fraction (1/divisor) of the concurrent loads of the weight store. The
/// rest is reserved for repairs, which concurrent loads would slow down.
constexpr int kStandbyLoadDivisor = 2;
constexpr int kPrecautionLoadDivisor = 3;
/// Groups formed by one plan. The rest follows at the next tick, so that a plan for many free servers does not hold up
/// the leader's other work.
constexpr int kMaxGroupsPerPlan = 16;
/// A staging that is not reported within this multiple of the model's load time is ordered again.
constexpr int kStagingTimeoutInLoadTimes = 2;

bool has_staged(const wire::Instance& instance, const std::string& model) {
  const auto& staged = instance.staged_models;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool is_in_spare_group(const wire::GroupMembership& membership) {
  return is_spare_group(membership.group) &&
         (membership.state == wire::MembershipState::JOINING || membership.state == wire::MembershipState::READY);
}

bool counts_as_capacity(wire::GroupPhase::type phase) {
  return phase != wire::GroupPhase::DISSOLVING && phase != wire::GroupPhase::DRAINING;
}

}  // namespace

size_t GroupSupervisor::count_loads_in_progress(const InstanceDirectory& directory) const {
  size_t weight_loads = pending_stagings_.size();
  for (const auto& [name, record] : records_) {
    if (record.group.phase != wire::GroupPhase::JOINING) {
      continue;
    }
    for (const auto& id : record.group.members) {
      const auto* member = directory.find(id);
      const bool ready = reports_ready(member, record.group);
      weight_loads += member != nullptr && !ready && !has_staged(*member, record.group.model) ? 1 : 0;
    }
  }
  return weight_loads;
}

GroupSupervisor::WeightLoadCounts GroupSupervisor::count_loads(const InstanceDirectory& directory) const {
  const auto& rows = directory.rows();
  const auto finished = static_cast<size_t>(std::count_if(
      rows.begin(), rows.end(), [](const auto& item) { return !item.second.instance.staged_models.empty(); }));
  return {count_loads_in_progress(directory), finished};
}

std::vector<ModelNeed> GroupSupervisor::model_needs(TimePoint now, const std::string& service,
                                                    const document::EngineSpec& engine, size_t servers) {
  std::vector<ModelNeed> needs;
  const bool known = demand_.has_enough_data(now, service);
  const engine::RequestTokenCounts usual{engine.typical_prompt_tokens, engine.typical_answer_tokens};
  for (const auto& model : engine.models) {
    ModelNeed need;
    need.model = &model;
    if (known) {
      const auto rate = demand_.rate(now, service, model.name);
      const auto& sizes = rate.requests_per_second > 0 ? rate.sizes : usual;
      const double capacity = engine::sustainable_requests_per_second(engine, model, sizes, rate.target_latency);
      need.groups_needed = std::max(kIdleModelGroups, rate.requests_per_second / capacity);
    } else {
      need.groups_needed = model.initial_server_share * static_cast<double>(servers) / model.size;
    }
    needs.push_back(need);
  }
  return needs;
}

PlannerInput GroupSupervisor::planner_input(TimePoint now, const std::string& service,
                                            const document::EngineSpec& engine, const InstanceDirectory& directory) {
  PlannerInput input;
  for (const auto& [id, row] : directory.rows()) {
    const auto& instance = row.instance;
    const bool usable = row.is_confirmed() && instance.service_name == service && !instance.silent &&
                        instance.state == wire::InstanceState::READY && !suspected_members_.contains(id) &&
                        !is_evacuated(evacuations_, instance.zone);
    if (!usable) {
      continue;
    }
    const auto owner = owning_group_names_.find(id);
    const auto& membership = instance.membership;
    const bool is_unassigned = membership.group.empty() || membership.state == wire::MembershipState::NONE ||
                               is_spare_group(membership.group) || released_group_names_.contains(membership.group);
    if (owner == owning_group_names_.end() && !is_unassigned) {
      continue;
    }
    PlannedServer server;
    server.id = id;
    server.domain = instance.domain;
    server.loaded_model = instance.model;
    server.staged_models = instance.staged_models;
    server.group = owner == owning_group_names_.end() ? "" : owner->second;
    server.in_spare_group = is_in_spare_group(membership);
    input.servers.push_back(std::move(server));
  }
  for (const auto& [name, record] : records_) {
    if (record.group.service_name == service) {
      const auto phase = record.group.phase;
      const bool is_in_evacuated_zone = is_evacuated(evacuations_, record.group);
      input.groups.push_back({name, record.group.model, phase == wire::GroupPhase::OPEN && !is_in_evacuated_zone,
                              counts_as_capacity(phase) && !is_in_evacuated_zone, record.is_preempted});
    }
  }
  input.needs = model_needs(now, service, engine, input.servers.size());
  const bool any_preempted =
      std::any_of(records_.begin(), records_.end(), [](const auto& item) { return item.second.is_preempted; });
  for (auto& [domain, reservation] : reservations_) {
    reservation.until = any_preempted ? now + kReservationTimeout : reservation.until;
  }
  std::erase_if(reservations_, [now](const auto& item) { return now > item.second.until; });
  for (const auto& [domain, reservation] : reservations_) {
    input.reserved_domains[domain] = reservation.model;
  }
  input.cold_groups_allowed = !limiter_.traffic_seen() || engine.max_staged_models_per_host == 0;
  return input;
}

std::string GroupSupervisor::form_group(TimePoint now, const std::string& service, const GroupPlan& plan,
                                        const InstanceDirectory& directory) {
  limiter_.note_loads_begun(now, plan.weight_loads);
  GroupRecord record;
  record.group.epoch = next_epoch();
  record.group.name = "g" + std::to_string(term_) + "-" + std::to_string(record.group.epoch & kEpochSequenceMask);
  record.group.service_name = service;
  record.group.model = plan.model->name;
  record.group.phase = wire::GroupPhase::JOINING;
  record.group.members = plan.members;
  fill_member_details(record.group, directory);
  record.since = now;
  std::string name = record.group.name;
  decisions_.push_back({record.group, GroupChangeReason::kPlanned});
  add_record(std::move(record));
  if (const auto* head = directory.find(plan.members.front())) {
    reservations_.erase(head->domain);
  }
  for (const auto& id : plan.members) {
    send(now, group_order(OrderKind::kJoin, records_.at(name), id), directory);
  }
  return name;
}

void GroupSupervisor::remove_finished_stagings(TimePoint now, const document::EngineSpec& engine,
                                               const InstanceDirectory& directory) {
  std::erase_if(pending_stagings_, [&](const auto& item) {
    const auto* instance = directory.find(item.first);
    const auto* model = engine.find_model(item.second.model);
    const bool is_restarted = instance != nullptr && instance->born_ms != item.second.born_ms;
    const bool gone = instance == nullptr || instance->state == wire::InstanceState::GONE || model == nullptr ||
                      is_restarted;  // The new incarnation never received the order.
    // Weights that were already on the host do not show that the load into the accelerators is finished.
    const bool is_done = !gone && (instance->model == item.second.model ||
                                   (!item.second.into_accelerators && has_staged(*instance, item.second.model)));
    return gone || is_done || now - item.second.since > kStagingTimeoutInLoadTimes * model->load_time;
  });
}

bool GroupSupervisor::may_start_load(const StagingPlan& plan, const document::EngineSpec& engine,
                                     const WeightLoadCounts& counts) const {
  if (plan.priority == LoadPriority::kRepair || !limiter_.traffic_seen()) {
    return true;
  }
  const int divisor = plan.priority == LoadPriority::kStandby ? kStandbyLoadDivisor : kPrecautionLoadDivisor;
  return counts.in_progress < static_cast<size_t>(engine.max_concurrent_weight_loads / divisor);
}

void GroupSupervisor::stage_weights(TimePoint now, const document::EngineSpec& engine,
                                    const std::vector<StagingPlan>& plans, const InstanceDirectory& directory) {
  remove_finished_stagings(now, engine, directory);
  WeightLoadCounts counts = count_loads(directory);
  for (const auto& plan : plans) {
    const auto* instance = directory.find(plan.server);
    if (instance == nullptr || pending_stagings_.contains(plan.server) || !may_start_load(plan, engine, counts)) {
      continue;
    }
    const size_t weight_loads = plan.into_accelerators && has_staged(*instance, plan.model) ? 0 : 1;
    if (!limiter_.may_begin_loads(now, engine, weight_loads, counts.in_progress, counts.finished)) {
      return;
    }
    limiter_.note_loads_begun(now, weight_loads);
    ++counts.in_progress;
    pending_stagings_[plan.server] = {plan.model, now, plan.into_accelerators, instance->born_ms};
    send_staging_order(now, plan, directory);
  }
}

void GroupSupervisor::send_staging_order(TimePoint now, const StagingPlan& plan, const InstanceDirectory& directory) {
  if (plan.into_accelerators) {
    send(now, spare_group_order(plan.server, plan.model, next_epoch()), directory);
    return;
  }
  InstanceOrder order;
  order.kind = OrderKind::kStage;
  order.instance_id = plan.server;
  order.fencing_token = term_;
  order.model = plan.model;
  send(now, order, directory);
}

void GroupSupervisor::assign_spares_to_spare_groups(TimePoint now, const std::vector<const PlannedServer*>& spares,
                                                    const InstanceDirectory& directory) {
  std::erase_if(spare_group_epochs_, [&](const auto& item) {
    const auto* instance = directory.find(item.first);
    return instance == nullptr || is_in_spare_group(instance->membership) || owning_group_names_.contains(item.first);
  });
  for (const auto* spare : spares) {
    const auto [held, is_first] = spare_group_epochs_.try_emplace(spare->id, 0);
    if (is_first) {
      held->second = next_epoch();
    }
    send(now, spare_group_order(spare->id, spare->loaded_model, held->second), directory);
  }
}

bool GroupSupervisor::preempt_groups(TimePoint now, const GroupPlanner& planner) {
  const auto plan = planner.groups_to_preempt();
  if (!plan) {
    return false;
  }
  for (const auto& name : plan->groups) {
    GroupRecord& record = records_.at(name);
    record.is_preempted = true;
    set_phase(now, record, wire::GroupPhase::DRAINING, GroupChangeReason::kPreempted);
  }
  reservations_[plan->domain] = {plan->model, now + kReservationTimeout};
  return true;
}

bool GroupSupervisor::plan_service(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                                   const InstanceDirectory& directory) {
  GroupPlanner planner(planner_input(now, service, engine, directory));
  bool changed = false;
  // Counted once per plan. Counting again for each group blocked the leader of 3,000 servers for 0.3 to 0.45 s while it
  // formed the groups; leadership was lost four times before the first requests, and each new leader started over.
  WeightLoadCounts counts = count_loads(directory);
  int formed_groups = 0;
  while (const auto plan = planner.next_group()) {
    if (formed_groups == kMaxGroupsPerPlan) {
      next_planning_at_ = now;
      return true;  // Spares and staged weights are decided once all groups are planned.
    }
    if (!limiter_.may_begin_loads(now, engine, plan->weight_loads, counts.in_progress, counts.finished)) {
      break;
    }
    planner.add_formed_group(*plan, form_group(now, service, *plan, directory));
    counts.in_progress += plan->weight_loads;
    ++formed_groups;
    changed = true;
  }
  if (demand_.has_enough_data(now, service)) {
    changed = preempt_groups(now, planner) || changed;
  }
  assign_spares_to_spare_groups(now, planner.spares_without_group(), directory);
  const bool is_forming_groups = std::any_of(records_.begin(), records_.end(), [](const auto& item) {
    return item.second.group.phase == wire::GroupPhase::JOINING;
  });
  // Form all groups before staging weights that they may need later.
  if (engine.max_staged_models_per_host > 0 && (limiter_.traffic_seen() || !is_forming_groups)) {
    stage_weights(now, engine, planner.staging_plans(), directory);
  }
  return changed;
}

bool GroupSupervisor::form_groups(TimePoint now, const document::ConfigurationDocument& document,
                                  const InstanceDirectory& directory) {
  bool changed = false;
  for (const auto& [name, service] : document.services) {
    if (service.engine) {
      changed = plan_service(now, name, *service.engine, directory) || changed;
    }
  }
  return changed;
}

}  // namespace larchlever::fleet
