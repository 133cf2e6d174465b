#include "core/control/control_state.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

#include "core/placement/group_lifecycle.h"
#include "wire/codec.h"

namespace larchlever::control {

namespace {

constexpr int kDefaultDowntimeWeight = 50;
constexpr int kDefaultConcurrentLoads = 4;
constexpr int kDefaultClaimWindowSeconds = 24 * 3600;

wire::ChangeAnswer make_answer(wire::Verdict::type verdict, Revision revision, std::string message) {
  wire::ChangeAnswer answer;
  answer.verdict = verdict;
  answer.revision = revision.value();
  answer.message = std::move(message);
  return answer;
}

}  // namespace

ApplyResult ControlState::apply(int64_t index, const wire::Command& command) {
  ApplyResult result;
  applied_index_ = index;
  clock_ms_ = std::max(clock_ms_, command.at_ms);
  const Revision revision(index);
  if (command.__isset.change) {
    result.change_answer = apply_change(revision, command.change);
  }
  if (command.__isset.drain) {
    result.change_answer = apply_drain(revision, command.drain);
  }
  if (command.__isset.machine_observation) {
    apply_observation(revision, command.machine_observation.machine);
  }
  if (command.__isset.group_creation) {
    result.created_group = apply_creation(revision, command.group_creation);
  }
  if (command.__isset.group_transition) {
    apply_transition(revision, command.group_transition);
  }
  if (command.__isset.machine_release) {
    apply_release(revision, command.machine_release);
  }
  for (const auto& resolution : command.resolutions) {
    claims_.resolve(resolution, clock_ms_);
  }
  if (command.__isset.claims) {
    for (const auto& claim : command.claims.claims) {
      result.claim_decisions.push_back(claims_.claim(claim, clock_ms_));
    }
  }
  if (command.__isset.entry_loss) {
    claims_.mark_outcomes_unknown(command.entry_loss.entry, Incarnation(command.entry_loss.incarnation));
  }
  claims_.expire(clock_ms_);
  records_.trim_tombstones(kMaxTombstones);
  return result;
}

void ControlState::extend_history_digest(int64_t index, std::string_view payload) {
  const uint64_t seed = history_digest_ ^ static_cast<uint64_t>(index);
  history_digest_ = XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

// ------------------------------------------------------------ configuration

const wire::ChangeAnswer* ControlState::find_answer(const std::string& command_id) const {
  const auto found = answers_.find(command_id);
  return found == answers_.end() ? nullptr : &found->second;
}

wire::ChangeAnswer ControlState::check_change(const wire::ConfigurationChange& change) const {
  const auto certification = config::certify_change(records_, change);
  if (!certification.accepted) {
    return make_answer(wire::Verdict::CONFLICT, certification.current_revision,
                       certification.key + " was changed at revision " +
                           std::to_string(certification.current_revision.value()) +
                           " since you read it; read it again, redo the change and apply it with a new command id");
  }
  const auto errors = config::validate_change(records_, change, fleet_topology());
  if (!errors.empty()) {
    std::string message;
    for (const auto& error : errors) {
      message += (message.empty() ? "" : "\n") + error;
    }
    return make_answer(wire::Verdict::INVALID, records_.revision(), std::move(message));
  }
  return make_answer(wire::Verdict::ACCEPTED, records_.revision(), "");
}

wire::ChangeAnswer ControlState::apply_change(Revision revision, const wire::ConfigurationChange& change) {
  if (const auto* earlier_answer = find_answer(change.command_id)) {
    return *earlier_answer;
  }
  wire::ChangeAnswer answer = check_change(change);
  std::vector<wire::KeyRevision> changed_from;
  if (answer.verdict == wire::Verdict::ACCEPTED) {
    answer.revision = revision.value();
    changed_from = config::make_read_set(records_, change.writes);
    for (const auto& write : change.writes) {
      if (write.remove) {
        records_.remove(write.key, revision);
      } else {
        records_.put(write.key, write.value, revision);
      }
    }
    claims_.set_window_ms(1000LL * fleet_parameters().claim_window_seconds);
  }
  store_answer(change.operator_name, change.command_id, answer, std::move(changed_from));
  return answer;
}

wire::ChangeAnswer ControlState::apply_drain(Revision revision, const wire::MachineDrain& drain) {
  if (const auto* earlier_answer = find_answer(drain.command_id)) {
    return *earlier_answer;
  }
  const auto machine = machines_.find(drain.machine);
  wire::ChangeAnswer answer;
  if (machine == machines_.end()) {
    answer = make_answer(wire::Verdict::INVALID, revision,
                         "unknown machine '" + drain.machine + "'; 'larchlever machines' lists them");
  } else {
    machine->second.leaving = drain.leaving;
    answer = make_answer(wire::Verdict::ACCEPTED, revision, drain.leaving ? "draining" : "returned to service");
  }
  store_answer(drain.operator_name, drain.command_id, answer, {});
  return answer;
}

void ControlState::store_answer(const std::string& operator_name, const std::string& command_id,
                                const wire::ChangeAnswer& answer, std::vector<wire::KeyRevision> changed_from) {
  answers_[command_id] = answer;
  answer_ids_by_age_.push_back(command_id);
  if (answer_ids_by_age_.size() > kMaxStoredAnswers) {
    answers_.erase(answer_ids_by_age_.front());
    answer_ids_by_age_.pop_front();
  }
  wire::AuditRecord record;
  record.operator_name = operator_name;
  record.command_id = command_id;
  record.revision = answer.revision;
  record.verdict = answer.verdict;
  record.changed_from = std::move(changed_from);
  record.at_ms = clock_ms_;
  record.message = answer.message;
  audit_.push_back(std::move(record));
  if (audit_.size() > kMaxAuditRecords) {
    audit_.pop_front();
  }
}

wire::FleetParameters ControlState::fleet_parameters() const {
  if (auto parameters = config::read_value<wire::FleetParameters>(records_, std::string(config::kFleetParametersKey))) {
    return *parameters;
  }
  wire::FleetParameters parameters;
  parameters.placement_policy = "spare_aware";
  parameters.downtime_weight = kDefaultDowntimeWeight;
  parameters.max_concurrent_loads = kDefaultConcurrentLoads;
  parameters.claim_window_seconds = kDefaultClaimWindowSeconds;
  return parameters;
}

config::FleetTopology ControlState::fleet_topology() const {
  config::FleetTopology topology;
  std::map<std::string, size_t> domains;
  for (const auto& [id, machine] : machines_) {
    topology.zones.insert(machine.zone);
    topology.largest_domain_machines = std::max(topology.largest_domain_machines, ++domains[machine.domain]);
  }
  return topology;
}

// ------------------------------------------------------- machines and groups

void ControlState::apply_observation(Revision revision, const wire::Machine& observed) {
  const auto found = machines_.find(observed.id);
  if (found == machines_.end()) {
    wire::Machine machine = observed;
    machine.state = wire::MachineState::FREE;
    machine.group_id = 0;
    machine.epoch = 0;
    machine.weights.clear();
    machines_[machine.id] = std::move(machine);
    return;
  }
  wire::Machine& machine = found->second;
  machine.leaving = observed.leaving;
  machine.endpoint = observed.endpoint;
  if (machine.incarnation == observed.incarnation) {
    return;
  }
  machine.incarnation = observed.incarnation;
  machine.weights.clear();
  // The group includes the previous incarnation of this machine, which is dead, so the group is released. The machine
  // stays assigned to the group until its release is confirmed, because other members or entries may still use the old
  // epoch.
  const auto group = groups_.find(machine.group_id);
  if (machine.state == wire::MachineState::OWNED && group != groups_.end()) {
    start_release(revision, group->second);
  }
}

std::optional<int64_t> ControlState::apply_creation(Revision revision, const wire::GroupCreation& creation) {
  const auto group_template =
      config::read_value<wire::Template>(records_, config::template_key(creation.template_name));
  if (!group_template || creation.machines.size() != static_cast<size_t>(group_template->machines_per_group)) {
    return std::nullopt;
  }
  const std::set<std::string> unique_machines(creation.machines.begin(), creation.machines.end());
  if (unique_machines.size() != creation.machines.size()) {
    return std::nullopt;
  }
  wire::Group group;
  for (const auto& id : creation.machines) {
    const auto found = machines_.find(id);
    // Exclusive ownership is enforced here, in log order: only a free machine can join a group.
    if (found == machines_.end() || found->second.state != wire::MachineState::FREE || found->second.leaving ||
        found->second.domain != creation.domain || found->second.zone != creation.zone) {
      return std::nullopt;
    }
    group.machines.push_back(id);
    group.incarnations.push_back(found->second.incarnation);
  }
  group.id = next_group_id_++;
  // Epochs increase across the whole fleet, so that a machine can refuse any order with an older epoch than it has
  // seen.
  group.epoch = static_cast<int32_t>(group.id);
  group.state = wire::GroupState::PLANNED;
  group.template_name = group_template->name;
  group.model = group_template->model;
  group.version = group_template->version;
  group.adapters = group_template->adapters;
  group.zone = creation.zone;
  group.domain = creation.domain;
  group.endpoint = machines_[group.machines.front()].endpoint;
  group.changed_at_ms = clock_ms_;
  for (const auto& id : group.machines) {
    wire::Machine& machine = machines_[id];
    machine.state = wire::MachineState::OWNED;
    machine.group_id = group.id;
    machine.epoch = group.epoch;
  }
  store_group(revision, group);
  return group.id;
}

void ControlState::apply_transition(Revision revision, const wire::GroupTransition& transition) {
  const auto found = groups_.find(transition.group_id);
  if (found == groups_.end() || found->second.epoch != transition.epoch) {
    return;
  }
  wire::Group group = found->second;
  if (!placement::find_event(group.state, transition.to)) {
    return;
  }
  if (transition.to == wire::GroupState::RELEASING) {
    start_release(revision, found->second);
    return;
  }
  if (transition.to == wire::GroupState::GONE) {
    return;  // A group becomes GONE only through the release of its machines.
  }
  group.state = transition.to;
  group.changed_at_ms = clock_ms_;
  if (transition.to == wire::GroupState::READY) {
    for (const auto& id : group.machines) {
      machines_[id].weights = group.model + "@" + group.version;
    }
  }
  store_group(revision, group);
}

void ControlState::start_release(Revision revision, wire::Group& stored_group) {
  wire::Group group = stored_group;
  if (group.state == wire::GroupState::RELEASING) {
    return;
  }
  group.state = wire::GroupState::RELEASING;
  group.changed_at_ms = clock_ms_;
  for (const auto& id : group.machines) {
    wire::Machine& machine = machines_[id];
    if (machine.group_id == group.id) {
      machine.state = wire::MachineState::RELEASING;
    }
  }
  store_group(revision, group);
}

void ControlState::apply_release(Revision revision, const wire::MachineRelease& release) {
  const auto found = machines_.find(release.machine);
  if (found == machines_.end() || found->second.state != wire::MachineState::RELEASING ||
      found->second.group_id != release.group_id || found->second.epoch != release.epoch) {
    return;
  }
  found->second.state = wire::MachineState::FREE;
  found->second.group_id = 0;
  finish_release(revision, release.group_id);
}

void ControlState::finish_release(Revision revision, int64_t group_id) {
  const auto group = groups_.find(group_id);
  if (group == groups_.end() || group->second.state != wire::GroupState::RELEASING) {
    return;
  }
  const auto& members = group->second.machines;
  const bool has_unreleased_machine =
      std::any_of(members.begin(), members.end(), [&](const auto& id) { return machines_[id].group_id == group_id; });
  if (!has_unreleased_machine) {
    records_.remove(config::group_key(group_id), revision);
    groups_.erase(group);
  }
}

void ControlState::store_group(Revision revision, const wire::Group& group) {
  groups_[group.id] = group;
  records_.put(config::group_key(group.id), wire::encode(group), revision);
}

// ---------------------------------------------------------------- snapshots

std::string ControlState::snapshot() const {
  wire::ControlSnapshot snapshot;
  snapshot.applied_index = applied_index_;
  snapshot.records = records_.all_records();
  for (const auto& [id, machine] : machines_) {
    snapshot.machines.push_back(machine);
  }
  snapshot.claims = claims_.all_claims();
  snapshot.audit.assign(audit_.begin(), audit_.end());
  for (const auto& command_id : answer_ids_by_age_) {
    wire::CommandAnswer answer;
    answer.command_id = command_id;
    answer.answer = answers_.at(command_id);
    snapshot.answers.push_back(std::move(answer));
  }
  snapshot.next_group_id = next_group_id_;
  snapshot.clock_ms = clock_ms_;
  snapshot.history_digest = static_cast<int64_t>(history_digest_);
  snapshot.oldest_delta_revision = records_.oldest_served_revision().value();
  return wire::encode(snapshot);
}

bool ControlState::restore(const std::string& bytes) {
  const auto snapshot = wire::decode<wire::ControlSnapshot>(bytes);
  if (!snapshot) {
    return false;
  }
  *this = ControlState();
  applied_index_ = snapshot->applied_index;
  clock_ms_ = snapshot->clock_ms;
  next_group_id_ = snapshot->next_group_id;
  history_digest_ = static_cast<uint64_t>(snapshot->history_digest);
  records_.restore(snapshot->records, Revision(snapshot->oldest_delta_revision),
                   Revision(snapshot->oldest_delta_revision));
  for (const auto& machine : snapshot->machines) {
    machines_[machine.id] = machine;
  }
  for (auto& group : config::read_all<wire::Group>(records_, config::kGroupPrefix)) {
    groups_[group.id] = group;
  }
  claims_.restore(snapshot->claims);
  claims_.set_window_ms(1000LL * fleet_parameters().claim_window_seconds);
  audit_.assign(snapshot->audit.begin(), snapshot->audit.end());
  for (const auto& answer : snapshot->answers) {
    answers_[answer.command_id] = answer.answer;
    answer_ids_by_age_.push_back(answer.command_id);
  }
  return true;
}

}  // namespace larchlever::control
