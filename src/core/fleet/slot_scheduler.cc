#include "core/fleet/slot_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/engine/cost_model.h"

namespace larchlever::fleet {

void SlotScheduler::start(int64_t term) {
  term_ = term;
  groups_.clear();
  silence_watch_ = GroupStallDetector();
  speeds_ = ServerSpeeds();
  open_groups_.clear();
  nodes_.clear();
  new_requests_.clear();
  waiting_requests_.clear();
  blocked_queues_.clear();
  retry_after_until_.clear();
  queue_turns_.clear();
  granted_sizes_.clear();
  rate_limiter_.clear();
  plain_servers_.clear();
  ledgers_.clear();
}

void SlotScheduler::set_groups(const std::vector<wire::EngineGroup>& groups,
                               const std::map<std::string, std::string>& heads) {
  std::set<std::string> known;
  for (const auto& row : groups) {
    known.insert(row.name);
    TrackedGroup& group = groups_[row.name];
    group.service = row.service_name;
    group.model = row.model;
    group.is_serving = row.phase == wire::GroupPhase::OPEN;
    group.is_open = group.is_serving && !group.is_suspended;
    const auto head = heads.find(row.name);
    group.rate_limited_head = head == heads.end() ? "" : head->second;
    group.zones = row.zones;
  }
  std::erase_if(groups_,
                [&known](const auto& item) { return !known.contains(item.first) && item.second.in_flight == 0; });
  for (auto& [name, group] : groups_) {
    group.is_serving = group.is_serving && known.contains(name);
    group.is_suspended = group.is_suspended && known.contains(name);
    group.is_open = group.is_open && group.is_serving;
  }
  retain_speeds_of_known_groups();
  index_open_groups();
}

void SlotScheduler::index_open_groups() {
  open_groups_.clear();
  for (auto& item : groups_) {
    if (item.second.is_open) {
      open_groups_[{item.second.service, item.second.model}].push_back(&item);
    }
  }
}

int SlotScheduler::in_flight(const std::string& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? 0 : found->second.in_flight;
}

void SlotScheduler::set_load(NodeLoads& node, const std::string& group, int in_flight) {
  int& reported = node.in_flight[group];
  groups_[group].in_flight += in_flight - reported;
  groups_[group].released += options_.turn_forecasts ? reported - in_flight : 0;
  reported = in_flight;
  if (in_flight == 0) {
    node.in_flight.erase(group);
  }
}

void SlotScheduler::note_loads(const std::string& node_name, const std::vector<wire::GroupLoad>& loads,
                               bool is_complete, int64_t grants_term, int64_t grants_seen) {
  NodeLoads& node = nodes_[node_name];
  if (is_complete) {
    std::set<std::string> reported_groups;
    for (const auto& load : loads) {
      reported_groups.insert(load.group);
    }
    const auto previous_loads = node.in_flight;
    for (const auto& [group, in_flight] : previous_loads) {
      if (!reported_groups.contains(group)) {
        set_load(node, group, 0);
        silence_watch_.note_streams(node_name, group, 0);
      }
    }
  }
  for (const auto& load : loads) {
    set_load(node, load.group, load.in_flight);
    silence_watch_.note_streams(node_name, load.group, load.streaming);
  }
  while (grants_term == term_ && !node.unreported_grants.empty() &&
         node.unreported_grants.front().first <= grants_seen) {
    TrackedGroup& group = groups_[node.unreported_grants.front().second];
    --group.in_flight;
    group.released += options_.turn_forecasts ? 1 : 0;
    node.unreported_grants.pop_front();
  }
}

std::vector<StalledGroup> SlotScheduler::find_failed_groups(TimePoint now,
                                                            const document::ConfigurationDocument& document) {
  std::vector<StalledGroup> result;
  for (const auto& name : silence_watch_.quiet_groups()) {
    const auto found = groups_.find(name);
    if (found == groups_.end() || !found->second.is_open) {
      continue;
    }
    TrackedGroup& group = found->second;
    const auto [engine, model] = engine_of(document, group);
    if (model == nullptr) {
      continue;
    }
    apply_pace(now, name, group);
    const auto next = group.pass_clock.forecast(now, *engine, *model, group.in_flight, 0);
    const Duration longest_pass = std::max(next.longest_pass, group.pass_clock.longest_recent_pass());
    if (auto streams = silence_watch_.find_stall(now, name, longest_pass)) {
      group.is_suspended = true;
      group.is_open = false;
      result.push_back({name, std::move(*streams)});
    }
  }
  if (!result.empty()) {
    index_open_groups();
  }
  return result;
}

void SlotScheduler::suspend_group(const std::string& group) {
  const auto found = groups_.find(group);
  if (found != groups_.end() && !std::exchange(found->second.is_suspended, true)) {
    found->second.is_open = false;
    index_open_groups();
  }
}

void SlotScheduler::resume_group(TimePoint now, const std::string& group) {
  silence_watch_.restart_silence(now, group);
  const auto found = groups_.find(group);
  if (found != groups_.end() && std::exchange(found->second.is_suspended, false)) {
    found->second.is_open = found->second.is_serving;
    index_open_groups();
  }
}

std::vector<std::string> SlotScheduler::nodes_using_group(const std::string& group) const {
  std::vector<std::string> result;
  for (const auto& [name, node] : nodes_) {
    const bool has_slot = std::any_of(node.unreported_grants.begin(), node.unreported_grants.end(),
                                      [&](const auto& slot) { return slot.second == group; });
    if (has_slot || node.in_flight.contains(group)) {
      result.push_back(name);
    }
  }
  return result;
}

void SlotScheduler::forget_node(const std::string& node_name) {
  silence_watch_.forget_node(node_name);
  speeds_.forget_entry(node_name);
  plain_servers_.forget_entry(node_name);
  const auto found = nodes_.find(node_name);
  if (found == nodes_.end()) {
    return;
  }
  for (const auto& [group, in_flight] : found->second.in_flight) {
    groups_[group].in_flight -= in_flight;
  }
  for (const auto& [sequence, group] : found->second.unreported_grants) {
    --groups_[group].in_flight;
  }
  nodes_.erase(found);
  const auto is_of_node = [&node_name](const auto& waiting) { return waiting.node == node_name; };
  std::erase_if(new_requests_, is_of_node);
  std::erase_if(waiting_requests_, is_of_node);
}

void SlotScheduler::add_request(TimePoint now, const std::string& node, const wire::SlotRequest& request) {
  WaitingRequest waiting;
  waiting.node = node;
  waiting.request = request;
  set_queue(waiting);
  waiting.arrived_at = now;
  waiting.first_arrived_at = now;
  waiting.queue_deadline = now + milliseconds(request.patience_ms);
  if (request.gap_ms > 0) {
    const Duration gap = milliseconds(request.gap_ms);
    const auto [smallest, is_first] = min_gap_objectives_.try_emplace(model_key(waiting), gap);
    smallest->second = std::min(smallest->second, gap);
  }
  restore_place(now, waiting);
  new_requests_.push_back(std::move(waiting));
}

bool SlotScheduler::has_missed_objective(TimePoint now, const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  return request.first_event_ms > 0 && now >= waiting.arrived_at + milliseconds(request.first_event_ms);
}

void SlotScheduler::set_queue(WaitingRequest& waiting) {
  QueueKey key{model_key(waiting), waiting.request.allowed_zones, requested_servers(waiting)};
  std::sort(key.plain_servers.begin(), key.plain_servers.end());  // Entries list them in different orders.
  waiting.queue = std::make_shared<const QueueKey>(std::move(key));
}

void SlotScheduler::add_decision(const WaitingRequest& waiting, wire::SlotVerdict::type verdict,
                                 std::vector<SlotDecision>& decisions) {
  SlotDecision decision;
  decision.node = waiting.node;
  decision.grant.id = waiting.request.id;
  decision.grant.verdict = verdict;
  decisions.push_back(std::move(decision));
}

std::optional<SlotScheduler::RequestedService> SlotScheduler::find_requested_service(
    const document::ConfigurationDocument& document, const WaitingRequest& waiting) const {
  const ModelKey key = model_key(waiting);
  const auto service = document.services.find(key.first);
  if (service == document.services.end()) {
    return std::nullopt;
  }
  if (asks_for_server_slot(waiting) && !knows_requested_server(waiting)) {
    return std::nullopt;
  }
  if (asks_for_plain_server(waiting)) {
    return RequestedService{service->second, nullptr};
  }
  const auto& engine = service->second.engine;
  const auto* model = engine ? engine->find_model(key.second) : nullptr;
  const bool has_groups = model != nullptr && open_groups_.contains(key);
  return has_groups ? std::optional(RequestedService{service->second, model}) : std::nullopt;
}

bool SlotScheduler::try_grant(TimePoint now, const RequestedService& requested, const WaitingRequest& waiting,
                              LateAnswers late_answers, std::vector<SlotDecision>& decisions) {
  const auto& [service, model] = requested;
  const bool is_plain_service = model == nullptr;
  const SlotCandidate candidate =
      is_plain_service ? best_server(now, service, waiting) : best_group(now, service, *model, waiting);
  // A late answer is allowed at the queue deadline, and for requests that no group could serve in time.
  const bool may_be_late = late_answers == LateAnswers::kAllowed ||
                           (!is_plain_service && is_objective_unreachable(*service.engine, *model, waiting));
  if (candidate.feasibility == Feasibility::kInTime || (candidate.feasibility == Feasibility::kLate && may_be_late)) {
    is_plain_service ? grant_server_slot(now, service, waiting, candidate, decisions)
                     : grant_group_slot(now, service, *model, waiting, candidate, decisions);
    forget_place(waiting);
    return true;
  }
  if (candidate.feasibility == Feasibility::kNone) {
    blocked_queues_.insert_or_assign(queue_key(waiting), rate_limited_pace(now, service, waiting));
  }
  return false;
}

bool SlotScheduler::decide_request(TimePoint now, const document::ConfigurationDocument& document,
                                   WaitingRequest& waiting, LateAnswers late_answers,
                                   std::vector<SlotDecision>& decisions) {
  const auto requested = find_requested_service(document, waiting);
  if (!requested) {
    add_decision(waiting, wire::SlotVerdict::UNDECIDED, decisions);
    return true;
  }
  const bool is_last_chance = late_answers == LateAnswers::kAllowed;
  const bool may_have_room = is_last_chance || !blocked_queues_.contains(queue_key(waiting));
  if (may_have_room && try_grant(now, *requested, waiting, late_answers, decisions)) {
    charge_grant(now, waiting);
    return true;
  }
  if (has_other_servers(waiting)) {
    // The entry uses another server; the request is not queued.
    add_decision(waiting, wire::SlotVerdict::BUSY, decisions);
    return true;
  }
  if (is_last_chance) {
    refuse(now, waiting, 0, decisions);
    return true;
  }
  if (!waiting.is_queued_sent) {
    waiting.is_queued_sent = true;
    add_decision(waiting, wire::SlotVerdict::QUEUED, decisions);
  }
  return false;
}

std::vector<SlotDecision> SlotScheduler::decide(TimePoint now, const document::ConfigurationDocument& document) {
  std::vector<SlotDecision> decisions;
  note_arrivals(now, document);
  if (now >= next_review_) {
    waiting_requests_.insert(waiting_requests_.end(), std::make_move_iterator(new_requests_.begin()),
                             std::make_move_iterator(new_requests_.end()));
    new_requests_.clear();
    decide_waiting_requests(now, document, decisions);
    note_pool_loads(now, document);
    return decisions;
  }
  // A request for whose servers no other request waits is decided immediately; otherwise it waits for the next review.
  for (auto& arrival : std::exchange(new_requests_, {})) {
    if (!decide_request(now, document, arrival, LateAnswers::kNotYet, decisions)) {
      waiting_requests_.push_back(std::move(arrival));
    }
  }
  return decisions;
}

}  // namespace larchlever::fleet
