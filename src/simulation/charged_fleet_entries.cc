// The part of ChargedFleet that plays the hollow entries: subscriptions, requests, slots and reports to the leader.

#include <algorithm>
#include <utility>

#include "simulation/charged_fleet_nodes.h"

namespace larchlever::simulation {

namespace {

constexpr Duration kEntryTickInterval = milliseconds(25);
constexpr Duration kReportDelay = milliseconds(5);
constexpr Duration kCompleteReportInterval = seconds(1);
constexpr Duration kRequestTime = milliseconds(1800);
constexpr int kPopularParts = 60;

}  // namespace

void ChargedFleet::deliver_to_entry(Entry& entry, const wire::Envelope& envelope) {
  if (!entry.is_running || entry.subscription == nullptr) {
    return;
  }
  const TimePoint now = queue_.now();
  if (envelope.__isset.fleet_update) {
    const bool changed = entry.subscription->receive(now, envelope);
    if (changed) {
      entry.tracker.update(now, entry.subscription->state().blocked_requests);
      note_leavings(entry);
      send_heartbeat_if_due(entry);
      if (entry.tracker.has_unreported()) {
        report_load_soon(entry);
      }
    }
    return;
  }
  if (!envelope.__isset.slot_answer || envelope.slot_answer.term < entry.grants_term) {
    return;
  }
  if (envelope.slot_answer.term > entry.grants_term) {
    entry.grants_term = envelope.slot_answer.term;
    entry.grants_seen = 0;
  }
  for (const auto& grant : envelope.slot_answer.grants) {
    entry.grants_seen = std::max(entry.grants_seen, grant.sequence);
    if (const auto permission = entry.permissions.find(grant.id); permission != entry.permissions.end()) {
      auto request = std::move(permission->second);
      entry.permissions.erase(permission);
      if (grant.verdict == wire::SlotVerdict::GRANTED) {
        ask_for_slot(entry, std::move(request));
      } else {
        ++result_.withheld_requests;
      }
      continue;
    }
    const auto waiting = entry.waiting.find(grant.id);
    if (waiting == entry.waiting.end() || grant.verdict == wire::SlotVerdict::QUEUED) {
      continue;
    }
    if (grant.verdict == wire::SlotVerdict::GRANTED) {
      auto request = std::move(waiting->second);
      request.group = grant.group;
      request.started_at = now;
      const int64_t id = grant.id;
      entry.running.emplace(id, std::move(request));
      queue_.schedule_after(kRequestTime, [this, &entry, id] { finish_request(entry, id); });
      report_load_soon(entry);
    }
    entry.waiting.erase(waiting);
  }
}

void ChargedFleet::start_request(Entry& entry) {
  const double mean_seconds = options_.entries / options_.requests_per_second;
  const double wait_seconds = std::exponential_distribution<double>(1 / mean_seconds)(random_);
  queue_.schedule_after(microseconds(static_cast<int64_t>(wait_seconds * 1e6)),
                        [this, &entry] { start_request(entry); });
  if (!entry.is_running || !entry.subscription->has_lease(queue_.now()) || entry.subscription->leader().empty()) {
    return;
  }
  ++result_.requests;
  InFlightRequest request;
  request.fingerprint = requests::RequestFingerprint(next_fingerprint_++);
  request.model = kModelNames[static_cast<size_t>(draw_integer(0, 1))];
  ++entry.started_by_model[request.model];
  request.parts.emplace_back(draw_integer(1, kPopularParts));
  request.parts.emplace_back(next_fingerprint_++);
  const TimePoint now = queue_.now();
  for (const auto part : request.parts) {
    const auto verdict = entry.tracker.verdict_for(now, part);
    if (verdict == fleet::BlockedRequests::Verdict::kBlocked) {
      ++result_.withheld_requests;
      return;
    }
    if (verdict == fleet::BlockedRequests::Verdict::kSuspected && !entry.tracker.is_sound_part(now, part)) {
      wire::SlotRequest permission;
      permission.id = entry.next_id++;
      permission.__set_repeat_of(part.value());
      entry.permissions.emplace(permission.id, std::move(request));
      send_report(entry, {permission}, false);
      return;
    }
  }
  ask_for_slot(entry, std::move(request));
}

void ChargedFleet::ask_for_slot(Entry& entry, InFlightRequest request) {
  wire::SlotRequest slot;
  slot.id = entry.next_id++;
  slot.service_name = kServiceName;
  slot.model = request.model;
  slot.prompt_tokens = 900;
  slot.first_event_ms = 400;
  slot.gap_ms = 250;
  slot.patience_ms = 200;
  entry.waiting.emplace(slot.id, std::move(request));
  send_report(entry, {slot}, false);
}

void ChargedFleet::finish_request(Entry& entry, int64_t id) {
  const auto found = entry.running.find(id);
  if (found == entry.running.end()) {
    return;  // Its server crashed.
  }
  entry.tracker.note_answered(queue_.now(), found->second.fingerprint);
  for (const auto part : found->second.parts) {
    entry.tracker.note_answered(queue_.now(), part, fleet::CauseKind::kPromptPart);
  }
  entry.running.erase(found);
  report_load_soon(entry);
}

void ChargedFleet::report_load_soon(Entry& entry) {
  if (std::exchange(entry.is_report_scheduled, true)) {
    return;
  }
  queue_.schedule_after(kReportDelay, [this, &entry] {
    if (std::exchange(entry.is_report_scheduled, false) && entry.is_running) {
      send_report(entry, {}, false);
    }
  });
}

void ChargedFleet::send_report(Entry& entry, std::vector<wire::SlotRequest> requests, bool is_complete) {
  entry.is_report_scheduled = false;
  wire::Envelope envelope;
  envelope.to_node = entry.subscription->leader();
  envelope.__isset.slot_report = true;
  auto& report = envelope.slot_report;
  report.requests = std::move(requests);
  report.grants_term = entry.grants_term;
  report.grants_seen = entry.grants_seen;
  report.traffic_seen = true;
  report.is_complete = is_complete;
  std::map<std::string, int> loads;
  for (const auto& [id, request] : entry.running) {
    ++loads[request.group];
  }
  auto reported = std::exchange(entry.reported_loads, loads);
  for (const auto& [group, in_flight] : loads) {
    const auto before = reported.find(group);
    if (is_complete || before == reported.end() || before->second != in_flight) {
      wire::GroupLoad load;
      load.group = group;
      load.in_flight = in_flight;
      load.streaming = in_flight;
      report.loads.push_back(load);
    }
    reported.erase(group);
  }
  for (const auto& [group, in_flight] : reported) {
    wire::GroupLoad load;
    load.group = group;
    report.loads.push_back(load);
  }
  report.server_ends = entry.tracker.take_unreported_ends(queue_.now());
  report.answered_requests = entry.tracker.take_answered_requests();
  if (is_complete) {
    for (const auto& [model, started] : entry.started_by_model) {
      wire::ModelDemand demand;
      demand.service_name = kServiceName;
      demand.model = model;
      demand.received = started;
      demand.prompt_tokens = started * 900;
      demand.answer_tokens = started * 140;
      demand.target_latency_ms = 400;
      report.demand.push_back(demand);
    }
    for (const auto& group : entry.failed_groups) {
      wire::GroupFailure failure;
      failure.group = group;
      report.failures.push_back(failure);
    }
    entry.failed_groups.clear();
  }
  send_from(entry, std::move(envelope));
}

void ChargedFleet::send_heartbeat_if_due(Entry& entry) {
  wire::FleetHeartbeat content;
  content.__set_relay_address(entry.relay_address);
  if (auto heartbeat = entry.subscription->tick(queue_.now(), content)) {
    send_from(entry, std::move(*heartbeat));
  }
}

void ChargedFleet::tick_entry(Entry& entry) {
  queue_.schedule_after(kEntryTickInterval, [this, &entry] { tick_entry(entry); });
  if (!entry.is_running) {
    return;
  }
  const TimePoint now = queue_.now();
  send_heartbeat_if_due(entry);
  if (entry.subscription->leader().empty()) {
    return;
  }
  if (now >= entry.next_complete_report || !entry.failed_groups.empty()) {
    entry.next_complete_report = now + kCompleteReportInterval;
    send_report(entry, {}, true);
  }
}

void ChargedFleet::note_leavings(Entry& entry) {
  for (const auto& leaving : leavings_) {
    if (leaving.acknowledged_at == TimePoint::max()) {
      continue;
    }
    const auto& state = entry.subscription->state();
    const bool is_known = std::none_of(state.instances.begin(), state.instances.end(), [&](const auto& instance) {
      return instance.id == leaving.instance && instance.state == wire::InstanceState::READY;
    });
    if (!is_known) {
      result_.longest_leaving_delay = std::max(result_.longest_leaving_delay, queue_.now() - leaving.acknowledged_at);
    }
  }
}

}  // namespace larchlever::simulation
