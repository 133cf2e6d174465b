// The part of SlotScheduler that learns the speeds of groups from the pauses that entries report.

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

SlotScheduler::GroupEngine SlotScheduler::engine_of(const document::ConfigurationDocument& document,
                                                    const TrackedGroup& group) {
  const auto service = document.services.find(group.service);
  if (service == document.services.end() || !service->second.engine) {
    return {};
  }
  const auto& engine = *service->second.engine;
  return {&engine, engine.find_model(group.model)};
}

double SlotScheduler::apply_pace(TimePoint now, const std::string& name, TrackedGroup& group) const {
  const double factor = options_.observed_speeds ? speeds_.time_factor(now, name) : 1;
  group.pass_clock.set_time_factor(factor);
  return factor;
}

double SlotScheduler::apply_pace_or_trial(TimePoint now, const std::string& name, TrackedGroup& group) const {
  const bool is_trial = options_.observed_speeds && group.in_flight == 0 && speeds_.is_trial_due(now, name);
  if (!is_trial) {
    return apply_pace(now, name, group);
  }
  group.pass_clock.set_time_factor(1);
  return 1;
}

void SlotScheduler::note_pauses(TimePoint now, const document::ConfigurationDocument& document, const std::string& node,
                                const std::vector<wire::GroupLoad>& loads) {
  if (!options_.observed_speeds) {
    return;
  }
  for (const auto& load : loads) {
    const auto found = groups_.find(load.group);
    if (found == groups_.end() || !load.__isset.interval_count || !load.__isset.interval_ms) {
      continue;
    }
    TrackedGroup& group = found->second;
    const auto [engine, model] = engine_of(document, group);
    if (model == nullptr) {
      continue;
    }
    apply_pace(now, load.group, group);
    if (const auto expected = group.pass_clock.usual_pass(now, *engine, *model, group.in_flight)) {
      const double expected_ms = std::chrono::duration<double, std::milli>(*expected).count();
      speeds_.note_sample(now, {node, load.group, load.interval_count, load.interval_ms, expected_ms});
    }
  }
}

void SlotScheduler::retain_speeds_of_known_groups() {
  if (!options_.observed_speeds) {
    return;
  }
  std::vector<std::string> names;
  names.reserve(groups_.size());
  for (const auto& [name, group] : groups_) {
    names.push_back(name);
  }
  speeds_.retain_targets(names);
}

}  // namespace larchlever::fleet
