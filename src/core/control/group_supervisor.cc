#include "core/control/group_supervisor.h"

#include <algorithm>

namespace larchlever::control {

namespace {

/// Maximum age of a cached list of leases.
constexpr Duration kMaxLeaseListAge = milliseconds(20);

}  // namespace

placement::PlanningInput make_planning_input(const ControlState& state) {
  return {state.machines(),
          state.groups(),
          config::read_all<wire::Template>(state.records(), config::kTemplatePrefix),
          config::read_all<wire::Tenant>(state.records(), config::kTenantPrefix),
          state.fleet_parameters(),
          {}};
}

void GroupSupervisor::start(TimePoint now, TimePoint old_leases_until) {
  term_started_at_ = now;
  old_leases_until_ = old_leases_until;
  next_plan_at_ = old_leases_until;
  granted_until_.clear();
  draining_since_.clear();
  load_orders_.clear();
  release_orders_.clear();
  leases_.clear();
  leases_valid_until_ = TimePoint::min();
  leases_applied_index_ = -1;
  last_plan_ = placement::Plan();
}

GroupSupervisor::Actions GroupSupervisor::tick(TimePoint now, int64_t term, const ControlState& state,
                                               const PresenceTable& presence) {
  Actions actions;
  if (now < old_leases_until_) {
    return actions;
  }
  term_ = term;
  loads_in_progress_ = 0;
  for (const auto& [id, group] : state.groups()) {
    loads_in_progress_ += group.state == wire::GroupState::LOADING ? 1 : 0;
  }
  for (const auto& [id, group] : state.groups()) {
    advance_group(now, group, state, presence, actions);
  }
  // Plans only when no transition is proposed; otherwise the plan would count machines twice.
  if (actions.proposals.empty() && now >= next_plan_at_) {
    next_plan_at_ = now + options_.planning_interval;
    run_planner(state, presence, now, actions);
  }
  const auto group_was_removed = [&state](const auto& item) { return !state.groups().contains(item.first.second); };
  std::erase_if(load_orders_, group_was_removed);
  std::erase_if(release_orders_, group_was_removed);
  return actions;
}

void GroupSupervisor::advance_group(TimePoint now, const wire::Group& group, const ControlState& state,
                                    const PresenceTable& presence, Actions& actions) {
  if (group.state == wire::GroupState::RELEASING) {
    release_group(now, group, state, presence, actions);
    return;
  }
  if (has_lost_member(now, group, state, presence)) {
    ++stats_.groups_lost;
    propose_transition(group, wire::GroupState::RELEASING, actions);
    return;
  }
  switch (group.state) {
    case wire::GroupState::PLANNED:
      load_group(now, group, state, actions);
      break;
    case wire::GroupState::LOADING:
      if (all_loaded(group, presence)) {
        propose_transition(group, wire::GroupState::READY, actions);
      }
      break;
    case wire::GroupState::READY:
      propose_transition(group, wire::GroupState::SERVING, actions);
      break;
    case wire::GroupState::DRAINING:
      if (is_drained(now, group, presence)) {
        ++stats_.groups_drained;
        propose_transition(group, wire::GroupState::RELEASING, actions);
      }
      break;
    default:
      break;
  }
}

bool GroupSupervisor::has_lost_member(TimePoint now, const wire::Group& group, const ControlState& state,
                                      const PresenceTable& presence) const {
  // A new leader has no sightings yet, so machines get one presence bound to be seen before they count as lost.
  const bool had_time_to_be_seen = now >= old_leases_until_ + options_.presence_bound;
  for (size_t rank = 0; rank < group.machines.size(); ++rank) {
    const std::string& id = group.machines[rank];
    const auto machine = state.machines().find(id);
    if (machine == state.machines().end() || machine->second.incarnation != group.incarnations[rank]) {
      return true;
    }
    const auto* sighting = presence.find(id);
    if (sighting != nullptr && sighting->incarnation != group.incarnations[rank] &&
        sighting->seen_at > term_started_at_) {
      return true;
    }
    if (had_time_to_be_seen && !presence.is_present(id, group.incarnations[rank], now, options_.presence_bound)) {
      return true;
    }
  }
  return false;
}

bool GroupSupervisor::all_loaded(const wire::Group& group, const PresenceTable& presence) const {
  return std::all_of(group.machines.begin(), group.machines.end(), [&](const auto& id) {
    const auto* sighting = presence.find(id);
    return sighting != nullptr && sighting->loaded && sighting->group_id == group.id && sighting->epoch == group.epoch;
  });
}

bool GroupSupervisor::is_drained(TimePoint now, const wire::Group& group, const PresenceTable& presence) {
  if (!have_leases_expired(now, group.id)) {
    return false;
  }
  const TimePoint leases_expired_at = draining_since_.try_emplace(group.id, now).first->second;
  if (now - leases_expired_at >= options_.drain_timeout) {
    return true;
  }
  // The group must be seen idle after the last lease expired, since entries may dispatch until then. The additional
  // presence bound covers a dispatch that was in transit when the lease expired.
  const auto* sighting = presence.find(group.machines.front());
  return sighting != nullptr && sighting->seen_at > leases_expired_at + options_.presence_bound && sighting->load == 0;
}

bool GroupSupervisor::have_leases_expired(TimePoint now, int64_t group_id) const {
  const auto found = granted_until_.find(group_id);
  return now >= old_leases_until_ && (found == granted_until_.end() || now >= found->second);
}

void GroupSupervisor::load_group(TimePoint now, const wire::Group& group, const ControlState& state, Actions& actions) {
  const bool load_started = load_orders_.contains(OrderKey(group.machines.front(), group.epoch));
  if (!load_started && loads_in_progress_ >= state.fleet_parameters().max_concurrent_loads) {
    return;  // The weight store is rate-limited: limiting concurrent loads avoids slowing down all of them.
  }
  ++loads_in_progress_;
  bool all_done = true;
  for (size_t rank = 0; rank < group.machines.size(); ++rank) {
    all_done = send_order(now, OrderKind::kLoad, group, rank, state, actions) && all_done;
  }
  if (all_done) {
    propose_transition(group, wire::GroupState::LOADING, actions);
  }
}

void GroupSupervisor::release_group(TimePoint now, const wire::Group& group, const ControlState& state,
                                    const PresenceTable& presence, Actions& actions) {
  if (!have_leases_expired(now, group.id)) {
    return;
  }
  for (size_t rank = 0; rank < group.machines.size(); ++rank) {
    const auto found = state.machines().find(group.machines[rank]);
    if (found == state.machines().end() || found->second.group_id != group.id) {
      continue;
    }
    const wire::Machine& machine = found->second;
    const bool incarnation_dead = machine.incarnation != group.incarnations[rank];
    const bool reachable = presence.is_present(machine.id, machine.incarnation, now, options_.presence_bound);
    const bool confirmed =
        incarnation_dead || (reachable && send_order(now, OrderKind::kRelease, group, rank, state, actions));
    if (confirmed) {
      wire::Command command;
      wire::MachineRelease released;
      released.machine = machine.id;
      released.group_id = group.id;
      released.epoch = group.epoch;
      command.__set_machine_release(released);
      actions.proposals.push_back(std::move(command));
    }
  }
}

bool GroupSupervisor::send_order(TimePoint now, OrderKind kind, const wire::Group& group, size_t rank,
                                 const ControlState& state, Actions& actions) {
  auto& order_progress = kind == OrderKind::kLoad ? load_orders_ : release_orders_;
  OrderProgress& progress = order_progress[OrderKey(group.machines[rank], group.epoch)];
  if (progress.done) {
    return true;
  }
  if (progress.sent_at != TimePoint::min() && now - progress.sent_at < options_.order_retry_interval) {
    return false;
  }
  progress.sent_at = now;
  ++stats_.orders_sent;
  EngineOrder order;
  order.kind = kind;
  order.machine = group.machines[rank];
  order.endpoint = state.machines().at(order.machine).endpoint;
  order.incarnation = group.incarnations[rank];
  order.group_id = group.id;
  order.epoch = group.epoch;
  order.term = term_;
  order.model = group.model;
  order.version = group.version;
  order.adapters = group.adapters;
  order.members = group.machines;
  order.rank = static_cast<int>(rank);
  actions.orders.push_back(std::move(order));
  return false;
}

void GroupSupervisor::on_order_result(const OrderResult& result) {
  auto& order_progress = result.kind == OrderKind::kLoad ? load_orders_ : release_orders_;
  const auto found = order_progress.find(OrderKey(result.machine, result.epoch));
  if (found == order_progress.end()) {
    return;
  }
  stats_.orders_fenced += result.verdict == OrderVerdict::kFenced ? 1 : 0;
  // A machine that has accepted a newer epoch or has restarted no longer serves this epoch, so it counts as released.
  const bool already_released =
      result.kind == OrderKind::kRelease &&
      (result.verdict == OrderVerdict::kFenced || result.verdict == OrderVerdict::kWrongIncarnation);
  found->second.done = found->second.done || result.verdict == OrderVerdict::kDone || already_released;
}

void GroupSupervisor::propose_transition(const wire::Group& group, wire::GroupState::type to, Actions& actions) {
  wire::Command command;
  wire::GroupTransition transition;
  transition.group_id = group.id;
  transition.epoch = group.epoch;
  transition.to = to;
  command.__set_group_transition(transition);
  actions.proposals.push_back(std::move(command));
}

void GroupSupervisor::run_planner(const ControlState& state, const PresenceTable& presence, TimePoint now,
                                  Actions& actions) {
  placement::PlanningInput input = make_planning_input(state);
  for (const auto& [id, machine] : state.machines()) {
    if (presence.is_present(id, machine.incarnation, now, options_.presence_bound)) {
      input.present_machines.insert(id);
    }
  }
  auto policy = placement::make_placement_policy(input.parameters.placement_policy);
  if (policy == nullptr) {
    policy = placement::make_placement_policy("spare_aware");
  }
  ++stats_.planning_passes;
  last_plan_ = placement::make_plan(input, *policy);
  for (const auto& planned : last_plan_.groups_to_create) {
    ++stats_.groups_created;
    wire::Command command;
    wire::GroupCreation creation;
    creation.template_name = planned.template_name;
    creation.zone = planned.zone;
    creation.domain = planned.domain;
    creation.machines = planned.machines;
    command.__set_group_creation(creation);
    actions.proposals.push_back(std::move(command));
  }
  for (const int64_t id : last_plan_.groups_to_drain) {
    const wire::Group& group = state.groups().at(id);
    propose_transition(
        group, group.state == wire::GroupState::SERVING ? wire::GroupState::DRAINING : wire::GroupState::RELEASING,
        actions);
  }
}

const std::vector<wire::GroupLease>& GroupSupervisor::grant_leases(TimePoint now, const ControlState& state,
                                                                   const PresenceTable& presence) {
  if (now < leases_valid_until_ && leases_applied_index_ == state.applied_index()) {
    return leases_;
  }
  leases_.clear();
  leases_applied_index_ = state.applied_index();
  leases_valid_until_ = now + kMaxLeaseListAge;
  // The cached list is returned until it is renewed, so the leader counts its leases from the end of that period.
  const TimePoint lease_until = leases_valid_until_ + with_drift_margin(options_.serve_lease);
  for (const auto& [id, group] : state.groups()) {
    if (group.state != wire::GroupState::SERVING || !are_all_members_present(leases_valid_until_, group, presence)) {
      continue;
    }
    TimePoint& lease = granted_until_[id];
    lease = std::max(lease, lease_until);
    wire::GroupLease granted;
    granted.group_id = id;
    granted.epoch = group.epoch;
    granted.load = presence.find(group.machines.front())->load;
    leases_.push_back(granted);
  }
  std::erase_if(granted_until_,
                [&](const auto& item) { return item.second < now && !state.groups().contains(item.first); });
  return leases_;
}

bool GroupSupervisor::are_all_members_present(TimePoint at, const wire::Group& group,
                                              const PresenceTable& presence) const {
  for (size_t rank = 0; rank < group.machines.size(); ++rank) {
    const std::string& machine = group.machines[rank];
    const auto* sighting = presence.find(machine);
    const bool present = sighting != nullptr && sighting->incarnation == group.incarnations[rank] &&
                         sighting->seen_at + options_.presence_bound > at && sighting->group_id == group.id &&
                         sighting->epoch == group.epoch;
    if (!present || leaving_machines_.contains(machine)) {
      return false;
    }
  }
  return true;
}

}  // namespace larchlever::control
