#include "simulation/invariant_monitor.h"

#include <algorithm>

namespace larchlever::simulation {

void InvariantMonitor::add_violation(TimePoint now, const std::string& description) {
  violations_.push_back("at " + std::to_string(to_microseconds(now) / 1000) + " ms: " + description);
}

void InvariantMonitor::check_applied_history(TimePoint now, const std::string& node, int64_t index, uint64_t digest) {
  ++check_count_;
  const auto [known, is_new] = history_digests_.try_emplace(index, digest);
  if (!is_new && known->second != digest) {
    add_violation(now,
                  "replicas diverge: " + node + " applied a different history up to index " + std::to_string(index));
  }
}

void InvariantMonitor::check_lease_holders(TimePoint now, const std::vector<std::string>& leaders) {
  ++check_count_;
  if (leaders.size() > 1) {
    add_violation(now, "two leaders hold the lease: " + leaders[0] + " and " + leaders[1]);
  }
}

void InvariantMonitor::check_group_ownership(TimePoint now, const std::string& node,
                                             const control::ControlState& state) {
  ++check_count_;
  // A machine record names at most one group, so this also ensures that no two active groups share a machine.
  for (const auto& [id, group] : state.groups()) {
    for (const auto& machine : group.machines) {
      const auto machine_record = state.machines().find(machine);
      const bool is_owned_by_group = machine_record != state.machines().end() && machine_record->second.group_id == id;
      if (!is_owned_by_group && group.state < wire::GroupState::RELEASING) {
        add_violation(now, node + ": group " + std::to_string(id) + " lists " + machine + " but does not own it");
      }
    }
  }
}

void InvariantMonitor::record_revision_in_force(TimePoint now, int64_t revision) {
  (void)now;
  newest_revision_in_force_ = std::max(newest_revision_in_force_, revision);
}

void InvariantMonitor::record_accepted_load(const std::string& machine, int32_t epoch) {
  auto& newest_epoch = newest_loaded_epochs_[machine];
  newest_epoch = std::max(newest_epoch, epoch);
}

void InvariantMonitor::check_dispatch(TimePoint now, const DispatchRecord& dispatch,
                                      const std::map<std::string, SimulatedMachine>& machines) {
  ++check_count_;
  const std::string group = "group " + std::to_string(dispatch.group.id) + " from " + dispatch.node;
  if (dispatch.revision < newest_revision_in_force_) {
    add_violation(now, "dispatch to " + group + " under revision " + std::to_string(dispatch.revision) +
                           " after revision " + std::to_string(newest_revision_in_force_) + " was in force");
  }
  if (std::find(dispatch.permitted_zones.begin(), dispatch.permitted_zones.end(), dispatch.group.zone) ==
      dispatch.permitted_zones.end()) {
    add_violation(now,
                  "dispatch for " + dispatch.tenant + " to " + group + " outside its zones: " + dispatch.group.zone);
  }
  for (size_t rank = 0; rank < dispatch.group.machines.size(); ++rank) {
    const auto& id = dispatch.group.machines[rank];
    const auto& machine = machines.at(id);
    if (!machine.available() && now > machine.unavailable_since + dispatch_after_loss_limit_) {
      add_violation(now, "dispatch to " + group + " long after " + id + " was lost");
    }
    const auto loaded_epoch = newest_loaded_epochs_.find(id);
    if (loaded_epoch != newest_loaded_epochs_.end() && loaded_epoch->second > dispatch.group.epoch) {
      add_violation(now, "dispatch to " + group + " while " + id + " already serves a newer epoch");
    }
    if (machine.leaving && now > machine.leaving_since + dispatch_after_leave_limit_) {
      add_violation(now, "dispatch to " + group + " long after " + id + " began to leave");
    }
  }
}

void InvariantMonitor::record_execution(TimePoint now, const std::string& request_id, const std::string& key) {
  ++check_count_;
  ++execution_counts_[request_id];
  if (reported_not_run_.contains(request_id)) {
    add_violation(now, "request " + request_id + " ran after its caller was told that it did not");
  }
  if (key.empty()) {
    return;
  }
  auto& executed_requests = executed_requests_by_key_[key];
  executed_requests.insert(request_id);
  if (executed_requests.size() > 1 || execution_counts_[request_id] > 1) {
    add_violation(now, "unsafe request with key " + key + " ran twice");
  }
}

void InvariantMonitor::record_not_run_reply(TimePoint now, const std::string& request_id) {
  ++check_count_;
  reported_not_run_.insert(request_id);
  if (execution_counts_.contains(request_id)) {
    add_violation(now, "caller told that " + request_id + " did not run, but it did");
  }
}

void InvariantMonitor::record_answer(TimePoint now, const std::string& key, const std::string& answer) {
  ++check_count_;
  const auto [known, is_new] = answers_by_key_.try_emplace(key, answer);
  if (!is_new && known->second != answer) {
    add_violation(now, "key " + key + " was answered with the results of two requests");
  }
}

void InvariantMonitor::record_verdict(TimePoint now, const std::string& command_id, const wire::ChangeAnswer& answer) {
  ++check_count_;
  const auto [known, is_new] = verdicts_by_command_.try_emplace(command_id, answer);
  if (!is_new && (known->second.verdict != answer.verdict || known->second.revision != answer.revision)) {
    add_violation(now, "command " + command_id + " got two different answers: " +
                           std::to_string(known->second.verdict) + "@" + std::to_string(known->second.revision) +
                           " and " + std::to_string(answer.verdict) + "@" + std::to_string(answer.revision));
  }
}

void InvariantMonitor::record_read_start(const std::string& key, int64_t read_id) {
  minimum_read_revisions_[read_id] = newest_read_revisions_[key];
}

void InvariantMonitor::record_read_result(TimePoint now, const std::string& key, int64_t read_id, int64_t revision) {
  ++check_count_;
  const int64_t minimum_revision = minimum_read_revisions_[read_id];
  minimum_read_revisions_.erase(read_id);
  if (revision < minimum_revision) {
    add_violation(now, "read of " + key + " went back from revision " + std::to_string(minimum_revision) + " to " +
                           std::to_string(revision));
  }
  newest_read_revisions_[key] = std::max(newest_read_revisions_[key], revision);
}

}  // namespace larchlever::simulation
