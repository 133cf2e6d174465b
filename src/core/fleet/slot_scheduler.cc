#include "core/fleet/slot_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/engine/cost_model.h"

namespace larchlever::fleet {

namespace {

/// Fraction of the objective for pauses that a forecast engine pass may take; the rest is for the network and for
/// effects that the cost model omits.
constexpr double kMaxPassShareOfGap = 0.85;

/// Maximum retry delay given to callers that are refused because of rate limits, even if more callers are waiting: a
/// limit seldom lasts longer.
constexpr Duration kMaxRetryAfter = seconds(30);

Duration time_for_requests(double requests, double requests_per_second) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requests / requests_per_second));
}

Duration scale_duration(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

void SlotScheduler::start(int64_t term) {
  term_ = term;
  groups_.clear();
  silence_watch_ = GroupStallDetector();
  open_groups_.clear();
  nodes_.clear();
  new_requests_.clear();
  waiting_requests_.clear();
  blocked_queues_.clear();
  retry_after_until_.clear();
  rate_limiter_.clear();
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
    group.is_open = row.phase == wire::GroupPhase::OPEN && !group.has_failed;
    const auto head = heads.find(row.name);
    group.rate_limited_head = head == heads.end() ? "" : head->second;
    group.zones = row.zones;
  }
  std::erase_if(groups_,
                [&known](const auto& item) { return !known.contains(item.first) && item.second.in_flight == 0; });
  for (auto& [name, group] : groups_) {
    group.is_open = group.is_open && known.contains(name);
  }
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
    --groups_[node.unreported_grants.front().second].in_flight;
    node.unreported_grants.pop_front();
  }
}

std::vector<std::string> SlotScheduler::find_failed_groups(TimePoint now,
                                                           const document::ConfigurationDocument& document) {
  std::vector<std::string> result;
  for (const auto& name : silence_watch_.quiet_groups()) {
    const auto found = groups_.find(name);
    if (found == groups_.end() || !found->second.is_open) {
      continue;
    }
    TrackedGroup& group = found->second;
    const auto service = document.services.find(group.service);
    const bool known = service != document.services.end() && service->second.engine;
    const auto* model = known ? service->second.engine->find_model(group.model) : nullptr;
    if (model == nullptr) {
      continue;
    }
    const auto next = group.pass_clock.forecast(now, *service->second.engine, *model, group.in_flight, 0);
    const Duration longest_pass = std::max(next.longest_pass, group.pass_clock.longest_recent_pass());
    if (silence_watch_.is_stalled(now, name, longest_pass)) {
      group.has_failed = true;
      group.is_open = false;
      result.push_back(name);
    }
  }
  if (!result.empty()) {
    index_open_groups();
  }
  return result;
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
  waiting.arrived_at = now;
  waiting.queue_deadline = now + milliseconds(request.patience_ms);
  if (request.gap_ms > 0) {
    const Duration gap = milliseconds(request.gap_ms);
    const auto [smallest, is_first] = min_gap_objectives_.try_emplace(model_key(waiting), gap);
    smallest->second = std::min(smallest->second, gap);
  }
  new_requests_.push_back(std::move(waiting));
}

bool SlotScheduler::has_missed_objective(TimePoint now, const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  return request.first_event_ms > 0 && now >= waiting.arrived_at + milliseconds(request.first_event_ms);
}

bool SlotScheduler::is_in_allowed_zones(const WaitingRequest& waiting, const TrackedGroup& group) {
  const auto& request = waiting.request;
  const auto& homes = request.allowed_zones;
  return !request.__isset.allowed_zones ||
         (!group.zones.empty() && std::includes(homes.begin(), homes.end(), group.zones.begin(), group.zones.end()));
}

SlotScheduler::QueueKey SlotScheduler::queue_key(const WaitingRequest& waiting) {
  QueueKey key{model_key(waiting), waiting.request.allowed_zones, waiting.request.rated_servers};
  std::sort(key.rated_servers.begin(), key.rated_servers.end());  // Entries list them in different orders.
  return key;
}

bool SlotScheduler::may_use_group(const WaitingRequest& waiting, const std::string& name, const TrackedGroup& group) {
  const auto& excluded = waiting.request.excluded_groups;
  return is_in_allowed_zones(waiting, group) && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
}

SlotScheduler::SlotCandidate SlotScheduler::best_server(TimePoint now, const document::ServiceSpec& service,
                                                        const WaitingRequest& waiting) {
  SlotCandidate best;
  for (const auto& server : waiting.request.rated_servers) {
    if (rate_limiter_.next_allowed_at(now, service, server) <= now) {
      best.name = server;
      best.feasibility = Feasibility::kInTime;
      break;
    }
  }
  return best;
}

std::optional<SlotScheduler::LimitedServers> SlotScheduler::limited_servers(TimePoint now,
                                                                            const document::ServiceSpec& service,
                                                                            const WaitingRequest& waiting) {
  std::vector<std::string> servers = waiting.request.rated_servers;
  if (!asks_for_plain_server(waiting)) {
    for (const auto* item : open_groups_.at(model_key(waiting))) {
      if (may_use_group(waiting, item->first, item->second)) {
        servers.push_back(item->second.rate_limited_head);
      }
    }
  }
  LimitedServers result{TimePoint::max(), 0};
  for (const auto& server : servers) {
    const auto limit = rate_limiter_.limit_of(server);
    if (!limit) {
      return std::nullopt;
    }
    result.next_allowed_at = std::min(result.next_allowed_at, rate_limiter_.next_allowed_at(now, service, server));
    result.requests_per_second += *limit;
  }
  return servers.empty() ? std::nullopt : std::optional(result);
}

SlotScheduler::SlotCandidate SlotScheduler::best_group(TimePoint now, const document::ServiceSpec& service,
                                                       const document::ModelSpec& model,
                                                       const WaitingRequest& waiting) {
  const auto& engine = *service.engine;
  const auto& request = waiting.request;
  const auto gap = min_gap_objectives_.find(model_key(waiting));
  const Duration longest_pass =
      gap == min_gap_objectives_.end() ? Duration::max() : scale_duration(gap->second, kMaxPassShareOfGap);
  const bool has_objective = request.first_event_ms > 0;
  const Duration remaining_time = waiting.arrived_at + milliseconds(request.first_event_ms) - now;
  const auto open = open_groups_.find(model_key(waiting));
  SlotCandidate best;
  if (open == open_groups_.end()) {
    return best;
  }
  for (auto* item : open->second) {
    auto& [name, group] = *item;
    const bool is_eligible = group.in_flight < engine.slots && may_use_group(waiting, name, group);
    if (!is_eligible || rate_limiter_.next_allowed_at(now, service, group.rate_limited_head) > now) {
      continue;
    }
    const auto forecast = group.pass_clock.forecast(now, engine, model, group.in_flight, request.prompt_tokens);
    if (group.in_flight > 0 && forecast.longest_pass > longest_pass) {
      continue;
    }
    const bool is_quiet_group = silence_watch_.is_quiet(now, name);
    const bool is_better =
        std::pair(is_quiet_group, forecast.time_to_first_event) < std::pair(best.is_quiet, best.first_event);
    if (best.feasibility == Feasibility::kNone || is_better) {
      best.name = name;
      best.first_event = forecast.time_to_first_event;
      best.is_quiet = is_quiet_group;
      best.feasibility =
          has_objective && forecast.time_to_first_event > remaining_time ? Feasibility::kLate : Feasibility::kInTime;
    }
  }
  return best;
}

bool SlotScheduler::is_objective_unreachable(const document::EngineSpec& engine, const document::ModelSpec& model,
                                             const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  const Duration idle_first_event =
      engine::PassSimulator().forecast(waiting.arrived_at, engine, model, 0, request.prompt_tokens).time_to_first_event;
  return request.first_event_ms > 0 && idle_first_event > milliseconds(request.first_event_ms);
}

void SlotScheduler::add_decision(const WaitingRequest& waiting, wire::SlotVerdict::type verdict,
                                 std::vector<SlotDecision>& decisions) {
  SlotDecision decision;
  decision.node = waiting.node;
  decision.grant.id = waiting.request.id;
  decision.grant.verdict = verdict;
  decisions.push_back(std::move(decision));
}

void SlotScheduler::refuse(TimePoint now, const WaitingRequest& waiting, int requests_ahead,
                           std::vector<SlotDecision>& decisions) {
  add_decision(waiting, wire::SlotVerdict::BUSY, decisions);
  const auto queue = queue_key(waiting);
  const auto blocked = blocked_queues_.find(queue);
  if (blocked == blocked_queues_.end() || !blocked->second) {
    return;
  }
  const auto& limited = *blocked->second;
  TimePoint& retry_at = retry_after_until_[queue];
  const TimePoint turn =
      std::max(limited.next_allowed_at + time_for_requests(requests_ahead, limited.requests_per_second),
               retry_at + time_for_requests(1, limited.requests_per_second));
  retry_at = std::min(turn, now + kMaxRetryAfter);
  const auto wait = std::chrono::ceil<milliseconds>(std::max<Duration>(retry_at - now, milliseconds(1)));
  decisions.back().grant.__set_retry_after_ms(static_cast<int32_t>(wait.count()));
}

void SlotScheduler::grant_group_slot(TimePoint now, const document::ServiceSpec& service,
                                     const document::ModelSpec& model, const WaitingRequest& waiting,
                                     const SlotCandidate& candidate, std::vector<SlotDecision>& decisions) {
  TrackedGroup& group = groups_.at(candidate.name);
  group.pass_clock.add(now, *service.engine, model, group.in_flight, waiting.request.prompt_tokens);
  ++group.in_flight;
  rate_limiter_.note_request(now, service, group.rate_limited_head);
  NodeLoads& node = nodes_[waiting.node];
  add_decision(waiting, wire::SlotVerdict::GRANTED, decisions);
  auto& grant = decisions.back().grant;
  grant.sequence = node.next_sequence++;
  grant.group = candidate.name;
  grant.expected_ms = static_cast<int32_t>(candidate.first_event / milliseconds(1));
  node.unreported_grants.emplace_back(grant.sequence, candidate.name);
}

void SlotScheduler::grant_server_slot(TimePoint now, const document::ServiceSpec& service,
                                      const WaitingRequest& waiting, const SlotCandidate& candidate,
                                      std::vector<SlotDecision>& decisions) {
  rate_limiter_.note_request(now, service, candidate.name);
  add_decision(waiting, wire::SlotVerdict::GRANTED, decisions);
  decisions.back().grant.__set_server(candidate.name);
}

std::optional<SlotScheduler::RequestedService> SlotScheduler::find_requested_service(
    const document::ConfigurationDocument& document, const WaitingRequest& waiting) const {
  const ModelKey key = model_key(waiting);
  const auto service = document.services.find(key.first);
  if (service == document.services.end()) {
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
    return true;
  }
  if (candidate.feasibility == Feasibility::kNone) {
    blocked_queues_.insert_or_assign(queue_key(waiting), limited_servers(now, service, waiting));
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

void SlotScheduler::refuse_beyond_queue_deadline(TimePoint now, std::vector<SlotDecision>& decisions) {
  std::map<QueueKey, int> requests_ahead;
  std::erase_if(waiting_requests_, [&](const auto& waiting) {
    const auto queue = queue_key(waiting);
    const auto blocked = blocked_queues_.find(queue);
    if (blocked == blocked_queues_.end() || !blocked->second) {
      return false;
    }
    const auto& limited = *blocked->second;
    int& requests_before = requests_ahead[queue];
    if (limited.next_allowed_at + time_for_requests(requests_before, limited.requests_per_second) <=
        waiting.queue_deadline) {
      ++requests_before;
      return false;
    }
    refuse(now, waiting, requests_before, decisions);
    return true;
  });
}

std::vector<SlotDecision> SlotScheduler::decide(TimePoint now, const document::ConfigurationDocument& document) {
  std::vector<SlotDecision> decisions;
  note_arrivals(now, document);
  if (now >= next_review_) {
    waiting_requests_.insert(waiting_requests_.end(), std::make_move_iterator(new_requests_.begin()),
                             std::make_move_iterator(new_requests_.end()));
    new_requests_.clear();
    decide_waiting_requests(now, document, decisions);
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
