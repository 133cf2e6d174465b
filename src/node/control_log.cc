#include "node/control_log.h"

#include <algorithm>

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// How often the leader logs a summary of the fleet.
constexpr Duration kFleetReportInterval = seconds(1);
/// Shortest time between two lines on reports that were refused.
constexpr Duration kMalformedReportInterval = milliseconds(200);

}  // namespace

void ControlLog::malformed_report(TimePoint now, const std::string& instance, const fleet::MalformedReport& fault) {
  ++malformed_reports_;
  if (now < next_malformed_report_) {
    return;  // Counted in the next line: another writer may report as often as all servers together.
  }
  next_malformed_report_ = now + kMalformedReportInterval;
  log_problem(name_, "malformed_report",
              {{"instance", instance},
               {"field", fault.field},
               {"reason", fault.message},
               {"refused_so_far", std::to_string(malformed_reports_)}});
}

void ControlLog::group_changed(const fleet::GroupDecision& decision) const {
  log_event(
      name_, "group_changed",
      {{"group", decision.group.name},
       {"epoch", std::to_string(decision.group.epoch)},
       {"model", decision.group.model},
       {"phase", decision.reason == fleet::GroupReason::kReleased ? "RELEASED" : wire::to_string(decision.group.phase)},
       {"reason", fleet::to_string(decision.reason)},
       {"members", joined(decision.group.members)}});
}

void ControlLog::report_instances(const fleet::FleetLeader& leader) {
  const auto& rows = leader.instances().rows();
  std::erase_if(reported_instances_, [&rows](const auto& item) { return !rows.contains(item.first); });
  for (const auto& [id, row] : rows) {
    const ReportedInstance state{row.instance.state,         row.instance.silent,  row.instance.model,
                                 row.instance.staged_models, row.instance.born_ms, fleet::limit_of(row.instance)};
    const auto [reported, is_new] = reported_instances_.try_emplace(id, state);
    if (!is_new && reported->second == state) {
      continue;
    }
    reported->second = state;
    log_event(name_, "instance_changed",
              {{"instance", id},
               {"born", std::to_string(state.born_ms)},
               {"service", row.instance.service_name},
               {"zone", row.instance.zone},
               {"domain", row.instance.domain},
               {"address", row.instance.address},
               {"state", wire::to_string(state.state)},
               {"silent", state.silent ? "yes" : "no"},
               {"model", state.model},
               {"staged", joined(state.staged_models)},
               {"limit_per_second", state.limit_per_second ? std::to_string(*state.limit_per_second) : ""}});
  }
}

void ControlLog::report_blocked_requests(const fleet::FleetLeader& leader) {
  auto rows = leader.blocked_requests();
  const auto is_in = [](const auto& list, const wire::BlockedRequest& row) {
    return std::find(list.begin(), list.end(), row) != list.end();
  };
  for (const auto& row : rows) {
    if (!is_in(reported_blocked_, row)) {
      log_event(name_, "request_blocked",
                {{"fingerprint", to_string(requests::RequestFingerprint(row.fingerprint))},
                 {"trials", std::to_string(row.trials)},
                 {"trial_due", row.trial_due ? "yes" : "no"},
                 {"wait_ms", std::to_string(row.wait_ms)}});
    }
  }
  for (const auto& row : reported_blocked_) {
    const bool is_known = std::any_of(rows.begin(), rows.end(),
                                      [&row](const auto& known) { return known.fingerprint == row.fingerprint; });
    if (!is_known) {
      log_event(name_, "request_freed", {{"fingerprint", to_string(requests::RequestFingerprint(row.fingerprint))}});
    }
  }
  reported_blocked_ = std::move(rows);
}

void ControlLog::report_fleet(TimePoint now, const fleet::FleetLeader& view) {
  if (now < next_fleet_report_) {
    return;
  }
  next_fleet_report_ = now + kFleetReportInterval;
  size_t grouped = 0;
  size_t serving = 0;
  std::map<std::string, int> groups;
  std::map<std::string, int> loads;
  for (const auto& group : view.groups()) {
    grouped += group.members.size();
    const bool open = group.phase == wire::GroupPhase::OPEN;
    serving += open ? group.members.size() : 0;
    ++groups[group.model + (open ? "" : "/" + wire::to_string(group.phase))];
    const auto load = view.loads().find(group.name);
    loads[group.model] += load == view.loads().end() ? 0 : load->second.in_flight;
  }
  size_t ready = 0;
  size_t silent = 0;
  for (const auto& [id, row] : view.instances().rows()) {
    ready += row.instance.state == wire::InstanceState::READY && !row.instance.silent ? 1 : 0;
    silent += row.instance.silent && row.instance.state != wire::InstanceState::GONE ? 1 : 0;
  }
  std::string free_text;
  for (const auto& [id, row] : view.instances().rows()) {
    const auto& instance = row.instance;
    const bool idle = !instance.domain.empty() && instance.state == wire::InstanceState::READY && !instance.silent &&
                      view.group_of(id) == nullptr;
    if (idle) {
      free_text += (free_text.empty() ? "" : ",") + instance.domain + "/" +
                   (instance.model.empty() ? "none" : instance.model) + "/" +
                   (instance.staged_models.empty() ? "none" : instance.staged_models.back());
    }
  }
  std::string group_text;
  for (const auto& [model, count] : groups) {
    group_text += (group_text.empty() ? "" : ",") + model + ":" + std::to_string(count);
  }
  std::string load_text;
  for (const auto& [model, count] : loads) {
    load_text += (load_text.empty() ? "" : ",") + model + ":" + std::to_string(count);
  }
  log_event(name_, "fleet_summary",
            {{"ready", std::to_string(ready)},
             {"silent", std::to_string(silent)},
             {"in_groups", std::to_string(grouped)},
             {"serving", std::to_string(serving)},
             {"groups", group_text},
             {"free", free_text},
             {"in_flight", load_text}});
}

}  // namespace larchlever::node
