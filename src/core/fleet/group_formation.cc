// The part of GroupSupervisor that carries out the planner's decisions: groups to form and to give up, weights to
// stage.

#include <algorithm>

#include "core/fleet/group_supervisor.h"
#include "core/fleet/zone_evacuations.h"

namespace larchlever::fleet {

namespace {

/// What a model needs while nobody asks for it, in groups.
constexpr double kIdleNeed = 0.25;
/// How long servers that were given up are kept for the model that wants them, once the last of them is free.
constexpr Duration kReservationTime = milliseconds(400);
/// Parts of the loads that the store bears at once that may be taken by what no group waits for; the rest is kept for
/// repairs, which a load under way would slow down.
constexpr int kStandbyPart = 2;
constexpr int kPrecautionPart = 3;
/// A staging that was not reported within this many load times is ordered again.
constexpr int kStagingPatience = 2;

bool has_staged(const wire::Instance& instance, const std::string& model) {
  const auto& staged = instance.staged_models;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

bool is_held(const wire::GroupMembership& membership) {
  return is_holding_group(membership.group) &&
         (membership.state == wire::MembershipState::JOINING || membership.state == wire::MembershipState::READY);
}

bool counts(wire::GroupPhase::type phase) {
  return phase != wire::GroupPhase::DISSOLVING && phase != wire::GroupPhase::DRAINING;
}

}  // namespace

size_t GroupSupervisor::loads_under_way(const InstanceDirectory& directory) const {
  size_t loads = staging_.size();
  for (const auto& [name, record] : records_) {
    if (record.group.phase != wire::GroupPhase::JOINING) {
      continue;
    }
    for (const auto& id : record.group.members) {
      const auto* member = directory.find(id);
      const bool ready = reports_ready(member, record.group);
      loads += member != nullptr && !ready && !has_staged(*member, record.group.model) ? 1 : 0;
    }
  }
  return loads;
}

GroupSupervisor::LoadCounts GroupSupervisor::count_loads(const InstanceDirectory& directory) const {
  const auto& rows = directory.rows();
  const auto finished = static_cast<size_t>(std::count_if(
      rows.begin(), rows.end(), [](const auto& item) { return !item.second.instance.staged_models.empty(); }));
  return {loads_under_way(directory), finished};
}

std::vector<ModelNeed> GroupSupervisor::needs_of(TimePoint now, const std::string& service,
                                                 const document::EngineSpec& engine, size_t servers) {
  std::vector<ModelNeed> needs;
  const bool known = demand_.is_known(now, service);
  const engine::RequestSizes usual{engine.usual_prompt, engine.usual_answer};
  for (const auto& model : engine.models) {
    ModelNeed need;
    need.model = &model;
    if (known) {
      const auto rate = demand_.rate(now, service, model.name);
      const auto& sizes = rate.requests_per_second > 0 ? rate.sizes : usual;
      const double capacity = engine::sustainable_rate(engine, model, sizes, rate.target_latency);
      need.groups_needed = std::max(kIdleNeed, rate.requests_per_second / capacity);
    } else {
      need.groups_needed = model.fraction * static_cast<double>(servers) / model.size;
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
    const bool usable = row.is_settled() && instance.service_name == service && !instance.silent &&
                        instance.state == wire::InstanceState::READY && !suspects_.contains(id) &&
                        !is_evacuated(evacuations_, instance.zone);
    if (!usable) {
      continue;
    }
    const auto owner = owners_.find(id);
    const auto& membership = instance.membership;
    const bool unattached = membership.group.empty() || membership.state == wire::MembershipState::NONE ||
                            is_holding_group(membership.group) || dissolved_.contains(membership.group);
    if (owner == owners_.end() && !unattached) {
      continue;
    }
    PlannedServer server;
    server.id = id;
    server.domain = instance.domain;
    server.loaded_model = instance.model;
    server.staged_models = instance.staged_models;
    server.group = owner == owners_.end() ? "" : owner->second;
    server.is_held = is_held(membership);
    input.servers.push_back(std::move(server));
  }
  for (const auto& [name, record] : records_) {
    if (record.group.service_name == service) {
      const auto phase = record.group.phase;
      const bool is_kept_aside = is_evacuated(evacuations_, record.group);
      input.groups.push_back({name, record.group.model, phase == wire::GroupPhase::OPEN && !is_kept_aside,
                              counts(phase) && !is_kept_aside, record.is_given_up});
    }
  }
  input.needs = needs_of(now, service, engine, input.servers.size());
  const bool any_given_up =
      std::any_of(records_.begin(), records_.end(), [](const auto& item) { return item.second.is_given_up; });
  for (auto& [domain, reservation] : reservations_) {
    reservation.until = any_given_up ? now + kReservationTime : reservation.until;
  }
  std::erase_if(reservations_, [now](const auto& item) { return now > item.second.until; });
  for (const auto& [domain, reservation] : reservations_) {
    input.reserved_domains[domain] = reservation.model;
  }
  input.cold_groups_allowed = !limiter_.traffic_seen() || engine.staged_per_host == 0;
  return input;
}

std::string GroupSupervisor::form_group(TimePoint now, const std::string& service, const GroupPlan& plan,
                                        const InstanceDirectory& directory) {
  limiter_.note_loads_begun(now, plan.loads);
  Record record;
  record.group.epoch = next_epoch();
  record.group.name = "g" + std::to_string(term_) + "-" + std::to_string(record.group.epoch & kEpochNumberMask);
  record.group.service_name = service;
  record.group.model = plan.model->name;
  record.group.phase = wire::GroupPhase::JOINING;
  record.group.members = plan.members;
  note_members(record.group, directory);
  record.since = now;
  std::string name = record.group.name;
  decisions_.push_back({record.group, GroupReason::kPlanned});
  add_record(std::move(record));
  if (const auto* head = directory.find(plan.members.front())) {
    reservations_.erase(head->domain);
  }
  for (const auto& id : plan.members) {
    send(now, order_for(OrderKind::kJoin, records_.at(name), id), directory);
  }
  return name;
}

void GroupSupervisor::forget_finished_stagings(TimePoint now, const document::EngineSpec& engine,
                                               const InstanceDirectory& directory) {
  std::erase_if(staging_, [&](const auto& item) {
    const auto* instance = directory.find(item.first);
    const auto* model = engine.find_model(item.second.model);
    const bool is_other_start = instance != nullptr && instance->born_ms != item.second.born_ms;
    const bool gone = instance == nullptr || instance->state == wire::InstanceState::GONE || model == nullptr ||
                      is_other_start;  // That one knows nothing of the order.
    // Weights that lay on the host before say nothing about those that go into the accelerators.
    const bool is_done = !gone && (instance->model == item.second.model ||
                                   (!item.second.into_accelerators && has_staged(*instance, item.second.model)));
    return gone || is_done || now - item.second.since > kStagingPatience * model->load_time;
  });
}

bool GroupSupervisor::is_worth_a_load(const StagingPlan& plan, const document::EngineSpec& engine,
                                      const LoadCounts& counts) const {
  if (plan.priority == LoadPriority::kRepair || !limiter_.traffic_seen()) {
    return true;
  }
  const int part = plan.priority == LoadPriority::kStandby ? kStandbyPart : kPrecautionPart;
  return counts.under_way < static_cast<size_t>(engine.loads_at_once / part);
}

void GroupSupervisor::stage_weights(TimePoint now, const document::EngineSpec& engine,
                                    const std::vector<StagingPlan>& plans, const InstanceDirectory& directory) {
  forget_finished_stagings(now, engine, directory);
  LoadCounts counts = count_loads(directory);
  for (const auto& plan : plans) {
    const auto* instance = directory.find(plan.server);
    if (instance == nullptr || staging_.contains(plan.server) || !is_worth_a_load(plan, engine, counts)) {
      continue;
    }
    const size_t loads = plan.into_accelerators && has_staged(*instance, plan.model) ? 0 : 1;
    if (!limiter_.may_begin_loads(now, engine, loads, counts.under_way, counts.finished)) {
      return;
    }
    limiter_.note_loads_begun(now, loads);
    ++counts.under_way;
    staging_[plan.server] = {plan.model, now, plan.into_accelerators, instance->born_ms};
    order_staging(now, plan, directory);
  }
}

void GroupSupervisor::order_staging(TimePoint now, const StagingPlan& plan, const InstanceDirectory& directory) {
  if (plan.into_accelerators) {
    send(now, holding_order(plan.server, plan.model, next_epoch()), directory);
    return;
  }
  InstanceOrder order;
  order.kind = OrderKind::kStage;
  order.instance_id = plan.server;
  order.fence = term_;
  order.model = plan.model;
  send(now, order, directory);
}

void GroupSupervisor::hold_spares(TimePoint now, const std::vector<const PlannedServer*>& spares,
                                  const InstanceDirectory& directory) {
  std::erase_if(holding_epochs_, [&](const auto& item) {
    const auto* instance = directory.find(item.first);
    return instance == nullptr || is_held(instance->membership) || owners_.contains(item.first);
  });
  for (const auto* spare : spares) {
    const auto [held, is_first] = holding_epochs_.try_emplace(spare->id, 0);
    if (is_first) {
      held->second = next_epoch();
    }
    send(now, holding_order(spare->id, spare->loaded_model, held->second), directory);
  }
}

bool GroupSupervisor::give_up_groups(TimePoint now, const GroupPlanner& planner) {
  const auto plan = planner.groups_to_give_up();
  if (!plan) {
    return false;
  }
  for (const auto& name : plan->groups) {
    Record& record = records_.at(name);
    record.is_given_up = true;
    set_phase(now, record, wire::GroupPhase::DRAINING, GroupReason::kGivenUp);
  }
  reservations_[plan->domain] = {plan->model, now + kReservationTime};
  return true;
}

bool GroupSupervisor::plan_service(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                                   const InstanceDirectory& directory) {
  GroupPlanner planner(planner_input(now, service, engine, directory));
  bool changed = false;
  // Counted once: for each group anew, a leader of 3,000 servers stood still for 0.3 to 0.45 s while it formed them,
  // lost its leadership four times before the first requests, and its successors began the groups anew.
  LoadCounts counts = count_loads(directory);
  while (const auto plan = planner.next_group()) {
    if (!limiter_.may_begin_loads(now, engine, plan->loads, counts.under_way, counts.finished)) {
      break;
    }
    planner.note_formed(*plan, form_group(now, service, *plan, directory));
    counts.under_way += plan->loads;
    changed = true;
  }
  if (demand_.is_known(now, service)) {
    changed = give_up_groups(now, planner) || changed;
  }
  hold_spares(now, planner.spares_to_hold(), directory);
  const bool still_loading = std::any_of(records_.begin(), records_.end(), [](const auto& item) {
    return item.second.group.phase == wire::GroupPhase::JOINING;
  });
  // First all groups, then the weights that they may need later.
  if (engine.staged_per_host > 0 && (limiter_.traffic_seen() || !still_loading)) {
    stage_weights(now, engine, planner.stagings(), directory);
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
