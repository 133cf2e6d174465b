#include "simulation/invariant_monitor.h"

#include <algorithm>

namespace larchlever::simulation {

void InvariantMonitor::violation(TimePoint now, const std::string& what) {
  violations_.push_back("at " + std::to_string(to_microseconds(now) / 1000) + " ms: " + what);
}

void InvariantMonitor::applied(TimePoint now, const std::string& node, int64_t index, uint64_t digest) {
  ++checks_;
  const auto [entry, added] = history_.try_emplace(index, digest);
  if (!added && entry->second != digest) {
    violation(now, "replicas diverge: " + node + " applied another history up to index " + std::to_string(index));
  }
}

void InvariantMonitor::lease_holders(TimePoint now, const std::vector<std::string>& leaders) {
  ++checks_;
  if (leaders.size() > 1) {
    violation(now, "two leaders hold the lease: " + leaders[0] + " and " + leaders[1]);
  }
}

void InvariantMonitor::groups(TimePoint now, const std::string& node, const control::ControlState& state) {
  ++checks_;
  // A machine names at most one group as its holder, so this also means that no two live groups share one.
  for (const auto& [id, group] : state.groups()) {
    for (const auto& machine : group.machines) {
      const auto held = state.machines().find(machine);
      const bool holds = held != state.machines().end() && held->second.group_id == id;
      if (!holds && group.state < wire::GroupState::RELEASING) {
        violation(now, node + ": group " + std::to_string(id) + " counts on " + machine + " without holding it");
      }
    }
  }
}

void InvariantMonitor::in_force(TimePoint now, int64_t revision) {
  (void)now;
  in_force_ = std::max(in_force_, revision);
}

void InvariantMonitor::load_accepted(const std::string& machine, int32_t epoch) {
  auto& newest = loaded_epochs_[machine];
  newest = std::max(newest, epoch);
}

void InvariantMonitor::dispatched(TimePoint now, const DispatchFact& fact,
                                  const std::map<std::string, SimulatedMachine>& machines) {
  ++checks_;
  const std::string group = "group " + std::to_string(fact.group.id) + " from " + fact.node;
  if (fact.revision < in_force_) {
    violation(now, "dispatch to " + group + " under revision " + std::to_string(fact.revision) + " after revision " +
                       std::to_string(in_force_) + " was in force");
  }
  if (std::find(fact.permitted_zones.begin(), fact.permitted_zones.end(), fact.group.zone) ==
      fact.permitted_zones.end()) {
    violation(now, "dispatch for " + fact.tenant + " to " + group + " outside its zones: " + fact.group.zone);
  }
  for (size_t rank = 0; rank < fact.group.machines.size(); ++rank) {
    const auto& id = fact.group.machines[rank];
    const auto& machine = machines.at(id);
    if (!machine.available() && now > machine.unavailable_since + loss_bound_) {
      violation(now, "dispatch to " + group + " long after " + id + " was lost");
    }
    const auto loaded = loaded_epochs_.find(id);
    if (loaded != loaded_epochs_.end() && loaded->second > fact.group.epoch) {
      violation(now, "dispatch to " + group + " while " + id + " already serves a newer epoch");
    }
    if (machine.leaving && now > machine.leaving_since + leaving_bound_) {
      violation(now, "dispatch to " + group + " long after " + id + " began to leave");
    }
  }
}

void InvariantMonitor::executed(TimePoint now, const std::string& request_id, const std::string& key) {
  ++checks_;
  ++executions_[request_id];
  if (not_run_.contains(request_id)) {
    violation(now, "request " + request_id + " ran after its caller was told that it did not");
  }
  if (key.empty()) {
    return;
  }
  auto& runs = executions_by_key_[key];
  runs.insert(request_id);
  if (runs.size() > 1 || executions_[request_id] > 1) {
    violation(now, "unsafe request with key " + key + " ran twice");
  }
}

void InvariantMonitor::told_not_run(TimePoint now, const std::string& request_id) {
  ++checks_;
  not_run_.insert(request_id);
  if (executions_.contains(request_id)) {
    violation(now, "caller told that " + request_id + " did not run, but it did");
  }
}

void InvariantMonitor::told_answer(TimePoint now, const std::string& key, const std::string& answer) {
  ++checks_;
  const auto [entry, added] = answers_.try_emplace(key, answer);
  if (!added && entry->second != answer) {
    violation(now, "key " + key + " was answered with the work of two requests");
  }
}

void InvariantMonitor::told_verdict(TimePoint now, const std::string& command_id, const wire::ChangeAnswer& answer) {
  ++checks_;
  const auto [entry, added] = verdicts_.try_emplace(command_id, answer);
  if (!added && (entry->second.verdict != answer.verdict || entry->second.revision != answer.revision)) {
    violation(now, "command " + command_id + " got two different answers: " + std::to_string(entry->second.verdict) +
                       "@" + std::to_string(entry->second.revision) + " and " + std::to_string(answer.verdict) + "@" +
                       std::to_string(answer.revision));
  }
}

void InvariantMonitor::read_started(const std::string& key, int64_t read_id) {
  read_floor_[read_id] = newest_read_[key];
}

void InvariantMonitor::read_finished(TimePoint now, const std::string& key, int64_t read_id, int64_t revision) {
  ++checks_;
  const int64_t floor = read_floor_[read_id];
  read_floor_.erase(read_id);
  if (revision < floor) {
    violation(now, "read of " + key + " went back from revision " + std::to_string(floor) + " to " +
                       std::to_string(revision));
  }
  newest_read_[key] = std::max(newest_read_[key], revision);
}

}  // namespace larchlever::simulation
