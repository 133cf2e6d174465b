#include "node/fleet_change_logger.h"

#include <algorithm>

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// How often the leader logs a summary of the fleet.
constexpr Duration kSummaryInterval = seconds(1);
/// Minimum time between two log lines about refused reports.
constexpr Duration kMalformedReportLogInterval = milliseconds(200);

const char* event_name(fleet::SuspicionStep step) {
  switch (step) {
    case fleet::SuspicionStep::kSuspected:
      return "group_suspected";
    case fleet::SuspicionStep::kCleared:
      return "group_suspicion_ended";
    case fleet::SuspicionStep::kGivenUp:
      return "group_given_up";
  }
  return "";
}

}  // namespace

void FleetChangeLogger::log_malformed_report(TimePoint now, const std::string& instance,
                                             const fleet::MalformedReport& report_error) {
  ++malformed_report_count_;
  if (now < next_malformed_report_log_) {
    // Included in the count of the next line. A faulty sender may send as many reports as all servers together.
    return;
  }
  next_malformed_report_log_ = now + kMalformedReportLogInterval;
  log_warning(node_name_, "malformed_report",
              {{"instance", instance},
               {"field", report_error.field},
               {"reason", report_error.message},
               {"refused_so_far", std::to_string(malformed_report_count_)}});
}

void FleetChangeLogger::log_group_change(const fleet::GroupDecision& decision) const {
  log_event(node_name_, "group_changed",
            {{"group", decision.group.name},
             {"epoch", std::to_string(decision.group.epoch)},
             {"model", decision.group.model},
             {"phase", decision.reason == fleet::GroupChangeReason::kReleased ? "RELEASED"
                                                                              : wire::to_string(decision.group.phase)},
             {"reason", fleet::to_string(decision.reason)},
             {"members", join_items(decision.group.members)}});
}

void FleetChangeLogger::log_zone_call(const fleet::ZoneCallDecision& decision) const {
  log_event(node_name_, decision.is_superseded ? "zone_change_superseded" : "zone_change_proposed",
            {{"call", decision.call_key},
             {"zone", decision.change.zone},
             {"operation", decision.change.begins ? "evacuate" : "restore"},
             {"revision", std::to_string(decision.revision)}});
}

void FleetChangeLogger::log_suspicion(const fleet::SuspicionEvent& event) const {
  log_event(node_name_, event_name(event.step),
            {{"group", event.group},
             {"cause", fleet::to_string(event.cause)},
             {"silent_ms", std::to_string(event.silent_for / milliseconds(1))},
             {"entries", join_items(event.entries)}});
}

void FleetChangeLogger::log_speed_change(const fleet::PlainServerSpeedChange& change) const {
  log_event(node_name_, change.is_slow ? "plain_server_slow" : "plain_server_no_longer_slow",
            {{"instance", change.incarnation},
             {"service", change.service},
             {"typical_ms", std::to_string(static_cast<int64_t>(change.typical_ms))},
             {"service_ms", std::to_string(static_cast<int64_t>(change.service_ms))}});
}

void FleetChangeLogger::log_instance_changes(const fleet::FleetLeader& leader) {
  const auto& rows = leader.instances().rows();
  std::erase_if(logged_instances_, [&rows](const auto& item) { return !rows.contains(item.first); });
  for (const auto& [id, row] : rows) {
    const LoggedInstance state{row.instance.state,         row.instance.silent,  row.instance.model,
                               row.instance.staged_models, row.instance.born_ms, fleet::rate_limit_of(row.instance)};
    const auto [logged, is_new] = logged_instances_.try_emplace(id, state);
    if (!is_new && logged->second == state) {
      continue;
    }
    logged->second = state;
    log_event(node_name_, "instance_changed",
              {{"instance", id},
               {"born", std::to_string(state.born_ms)},
               {"service", row.instance.service_name},
               {"zone", row.instance.zone},
               {"domain", row.instance.domain},
               {"address", row.instance.address},
               {"state", wire::to_string(state.state)},
               {"silent", state.silent ? "yes" : "no"},
               {"model", state.model},
               {"staged", join_items(state.staged_models)},
               {"limit_per_second", state.limit_per_second ? std::to_string(*state.limit_per_second) : ""}});
  }
}

void FleetChangeLogger::log_blocked_request_changes(const fleet::FleetLeader& leader) {
  auto rows = leader.blocked_requests();
  const auto is_listed = [](const auto& list, const wire::BlockedRequest& row) {
    return std::find(list.begin(), list.end(), row) != list.end();
  };
  for (const auto& row : rows) {
    if (!is_listed(logged_blocked_requests_, row)) {
      log_event(node_name_, row.is_suspect ? "prompt_part_suspected" : "request_blocked",
                {{"fingerprint", to_string(requests::RequestFingerprint(row.fingerprint))},
                 {"kind", row.is_prompt_part ? "prompt_part" : "request"},
                 {"server_ends", std::to_string(row.server_ends)},
                 {"trials", std::to_string(row.trials)},
                 {"trial_due", row.trial_due ? "yes" : "no"},
                 {"wait_ms", std::to_string(row.wait_ms)}});
    }
  }
  for (const auto& row : logged_blocked_requests_) {
    const bool is_still_blocked = std::any_of(
        rows.begin(), rows.end(), [&row](const auto& known) { return known.fingerprint == row.fingerprint; });
    if (!is_still_blocked) {
      log_event(node_name_, "request_freed",
                {{"fingerprint", to_string(requests::RequestFingerprint(row.fingerprint))}});
    }
  }
  logged_blocked_requests_ = std::move(rows);
}

void FleetChangeLogger::log_pace_changes(TimePoint now, const fleet::FleetLeader& leader) {
  const auto slow_groups = leader.slow_groups(now);
  for (const auto& [group, factor] : slow_groups) {
    if (logged_slow_groups_.insert(group).second) {
      log_event(node_name_, "group_pace_changed",
                {{"group", group}, {"pace", "slow"}, {"time_factor", std::to_string(factor)}});
    }
  }
  std::erase_if(logged_slow_groups_, [&](const auto& group) {
    const bool is_over = !slow_groups.contains(group);
    if (is_over) {
      log_event(node_name_, "group_pace_changed", {{"group", group}, {"pace", "normal"}});
    }
    return is_over;
  });
}

void FleetChangeLogger::log_fleet_summary(TimePoint now, const fleet::FleetLeader& leader_view) {
  if (now < next_summary_) {
    return;
  }
  next_summary_ = now + kSummaryInterval;
  size_t instances_in_groups = 0;
  size_t serving_instances = 0;
  std::map<std::string, int> group_counts;
  std::map<std::string, int> in_flight_by_model;
  for (const auto& group : leader_view.groups()) {
    instances_in_groups += group.members.size();
    const bool is_open = group.phase == wire::GroupPhase::OPEN;
    serving_instances += is_open ? group.members.size() : 0;
    ++group_counts[group.model + (is_open ? "" : "/" + wire::to_string(group.phase))];
    const auto load = leader_view.loads().find(group.name);
    in_flight_by_model[group.model] += load == leader_view.loads().end() ? 0 : load->second.in_flight;
  }
  size_t ready = 0;
  size_t silent = 0;
  for (const auto& [id, row] : leader_view.instances().rows()) {
    ready += row.instance.state == wire::InstanceState::READY && !row.instance.silent ? 1 : 0;
    silent += row.instance.silent && row.instance.state != wire::InstanceState::GONE ? 1 : 0;
  }
  std::string free_instances_text;
  for (const auto& [id, row] : leader_view.instances().rows()) {
    const auto& instance = row.instance;
    const bool is_free = !instance.domain.empty() && instance.state == wire::InstanceState::READY && !instance.silent &&
                         leader_view.group_of(id) == nullptr;
    if (is_free) {
      free_instances_text += (free_instances_text.empty() ? "" : ",") + instance.domain + "/" +
                             (instance.model.empty() ? "none" : instance.model) + "/" +
                             (instance.staged_models.empty() ? "none" : instance.staged_models.back());
    }
  }
  std::string group_text;
  for (const auto& [model, count] : group_counts) {
    group_text += (group_text.empty() ? "" : ",") + model + ":" + std::to_string(count);
  }
  std::string load_text;
  for (const auto& [model, count] : in_flight_by_model) {
    load_text += (load_text.empty() ? "" : ",") + model + ":" + std::to_string(count);
  }
  log_event(node_name_, "fleet_summary",
            {{"ready", std::to_string(ready)},
             {"silent", std::to_string(silent)},
             {"in_groups", std::to_string(instances_in_groups)},
             {"serving", std::to_string(serving_instances)},
             {"groups", group_text},
             {"free", free_instances_text},
             {"in_flight", load_text}});
}

}  // namespace larchlever::node
