// The part of SlotScheduler that explains to operators where a request would be sent now.

#include <algorithm>

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

SlotScheduler::WaitingRequest SlotScheduler::make_waiting_request(TimePoint now, const PlacementQuery& query) {
  WaitingRequest waiting;
  auto& request = waiting.request;
  request.service_name = query.service->name;
  request.model = query.model;
  request.prompt_tokens = query.prompt_tokens;
  request.__set_answer_tokens(query.answer_tokens);
  request.first_event_ms = static_cast<int32_t>(query.route->target_latency / milliseconds(1));
  request.gap_ms = static_cast<int32_t>(query.route->target_event_gap / milliseconds(1));
  request.priority = query.priority;
  request.__set_tenant(query.tenant);
  if (query.allowed_zones) {
    request.__set_allowed_zones({query.allowed_zones->begin(), query.allowed_zones->end()});
  }
  waiting.arrived_at = now;
  waiting.first_arrived_at = now;
  waiting.queue_deadline = now;
  set_queue(waiting);
  return waiting;
}

std::string SlotScheduler::chosen_now(const SlotCandidate& candidate, const WaitingRequest& waiting) const {
  // A late candidate is used only at the end of the request's patience, one of a blocked queue after those that wait.
  const bool is_granted =
      candidate.feasibility == Feasibility::kInTime && !blocked_queues_.contains(queue_key(waiting));
  return is_granted ? candidate.name : "";
}

void SlotScheduler::explain_groups(TimePoint now, const WaitingRequest& waiting, PlacementExplanation& explanation) {
  const auto& service = *explanation.query.service;
  const auto* model = service.engine->find_model(waiting.request.model);
  for (auto& item : groups_) {
    auto& [name, group] = item;
    if (ModelKey(group.service, group.model) != model_key(waiting)) {
      continue;
    }
    const auto assessment = assess_group(now, service, *model, waiting, item);
    PlacementCandidate candidate;
    candidate.name = name;
    candidate.zones = group.zones;
    candidate.ruled_out = assessment.is_late ? RuledOut::kFirstEvent : assessment.ruled_out;
    candidate.is_quiet = silence_watch_.is_quiet(now, name);
    candidate.in_flight = group.in_flight;
    candidate.slots = service.engine->slots;
    candidate.time_factor = group.time_factor;
    candidate.first_event = assessment.forecast.time_to_first_event;
    candidate.longest_pass = assessment.forecast.longest_pass;
    if (options_.learned_costs) {
      reconcile_work(now, *service.engine, *model, group);
    }
    candidate.remaining_work = group.work.remaining(now);
    explanation.candidates.push_back(std::move(candidate));
  }
  explanation.chosen = chosen_now(best_group(now, service, *model, waiting), waiting);
}

void SlotScheduler::explain_servers(TimePoint now, const WaitingRequest& waiting, PlacementExplanation& explanation) {
  for (const auto& server : waiting.request.plain_servers) {
    PlacementCandidate candidate;
    candidate.name = server;
    candidate.in_flight = in_flight(server);
    candidate.slots = plain_servers_.slots_of(server);
    candidate.first_event = plain_servers_.expected_response(now, server, waiting.node, candidate.in_flight);
    if (candidate.slots > 0 && candidate.in_flight >= candidate.slots) {
      candidate.ruled_out = RuledOut::kNoFreeSlot;
    } else if (rate_limiter_.next_allowed_at(now, *explanation.query.service, server) > now) {
      candidate.ruled_out = RuledOut::kRateLimit;
    } else if (waiting.request.first_event_ms > 0 &&
               candidate.first_event > milliseconds(waiting.request.first_event_ms)) {
      candidate.ruled_out = RuledOut::kFirstEvent;
    }
    explanation.candidates.push_back(std::move(candidate));
  }
  explanation.chosen = chosen_now(best_server(now, *explanation.query.service, waiting), waiting);
}

void SlotScheduler::explain_queue(TimePoint now, const document::ConfigurationDocument& document,
                                  const WaitingRequest& waiting, PlacementExplanation& explanation) {
  const auto pool = pool_key(waiting);
  const auto ledger = ledgers_.find(pool);
  if (ledger != ledgers_.end()) {
    const auto usage = ledger->second.usage_of(now, explanation.query.tenant);
    explanation.tenant_usage = usage.used;
    explanation.tenant_share = usage.share;
  }
  waiting_requests_.insert(waiting_requests_.end(), new_requests_.begin(), new_requests_.end());
  waiting_requests_.push_back(waiting);
  options_.fair_shares ? sort_by_shares(now) : sort_by_priority(now);
  bool is_ahead = true;
  for (const auto& other : waiting_requests_) {
    const bool is_queried = other.node.empty();  // Requests of entries name the entry.
    is_ahead = is_ahead && !is_queried;
    const bool is_in_pool = !is_queried && pool_key(other) == pool;
    explanation.waiting += is_in_pool ? 1 : 0;
    explanation.waiting_ahead += is_in_pool && is_ahead ? 1 : 0;
  }
  if (!explanation.chosen.empty()) {
    return;
  }
  update_paces(now, document);
  const auto turns = queue_turns_.find(queue_key(waiting));
  if (turns != queue_turns_.end() && turns->second.pace) {
    explanation.expected_wait =
        std::max<Duration>(turns->second.pace->turn_at(explanation.waiting_ahead) - now, Duration::zero());
  }
}

PlacementExplanation SlotScheduler::explain(TimePoint now, const document::ConfigurationDocument& document,
                                            const PlacementQuery& query) const {
  // The indices of the copied groups and of expected returns point into the original; the latter are not used here.
  SlotScheduler copy = *this;
  copy.index_open_groups();
  PlacementExplanation explanation;
  explanation.query = query;
  auto waiting = make_waiting_request(now, query);
  if (query.service->engine) {
    copy.explain_groups(now, waiting, explanation);
  } else {
    waiting.request.__set_plain_servers(copy.plain_servers_.servers_of(query.service->name));
    set_queue(waiting);
    copy.explain_servers(now, waiting, explanation);
  }
  copy.explain_queue(now, document, waiting, explanation);
  return explanation;
}

}  // namespace larchlever::fleet
