#include "core/fleet/entry_view.h"

#include <set>
#include <string>

namespace larchlever::fleet {

namespace {

bool may_have_requests(const wire::EngineGroup& group) {
  return group.phase != wire::GroupPhase::JOINING && group.phase != wire::GroupPhase::OPENING && !group.members.empty();
}

/// Only instances that can be members of engine groups have a fabric domain.
bool is_plain_service_instance(const wire::Instance& instance) { return instance.domain.empty(); }

/// A copy without the fields that only group formation uses, so that their changes cause no updates to entries.
wire::Instance without_formation_fields(const wire::Instance& instance) {
  wire::Instance result;
  result.id = instance.id;
  result.service_name = instance.service_name;
  result.address = instance.address;
  result.zone = instance.zone;
  result.state = instance.state;
  result.slots = instance.slots;
  result.silent = instance.silent;
  result.born_ms = instance.born_ms;
  result.cold = instance.cold;
  result.limit_per_second = instance.limit_per_second;
  result.__isset.limit_per_second = instance.__isset.limit_per_second;
  return result;
}

}  // namespace

wire::FleetState make_entry_view(const wire::FleetState& state) {
  wire::FleetState view;
  view.term = state.term;
  view.version = state.version;
  view.blocked_requests = state.blocked_requests;
  std::set<std::string> heads;
  for (const auto& group : state.groups) {
    if (!may_have_requests(group)) {
      continue;
    }
    heads.insert(group.members.front());
    view.groups.push_back(group);
    view.groups.back().members.resize(1);
    view.groups.back().member_born_ms.clear();
  }
  for (const auto& instance : state.instances) {
    const bool is_gone = instance.state == wire::InstanceState::GONE;
    if (heads.contains(instance.id) || (is_plain_service_instance(instance) && !is_gone)) {
      view.instances.push_back(without_formation_fields(instance));
    }
  }
  return view;
}

}  // namespace larchlever::fleet
