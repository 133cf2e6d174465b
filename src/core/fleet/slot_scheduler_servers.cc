// The part of SlotScheduler that grants slots of plain servers, and permits of rate-limited ones.

#include <algorithm>
#include <utility>

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

SlotScheduler::SlotCandidate SlotScheduler::best_server(TimePoint now, const document::ServiceSpec& service,
                                                        const WaitingRequest& waiting) {
  return asks_for_server_slot(waiting) ? best_server_with_slot(now, service, waiting)
                                       : first_permitted_server(now, service, waiting);
}

SlotScheduler::SlotCandidate SlotScheduler::first_permitted_server(TimePoint now, const document::ServiceSpec& service,
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

SlotScheduler::SlotCandidate SlotScheduler::best_server_with_slot(TimePoint now, const document::ServiceSpec& service,
                                                                  const WaitingRequest& waiting) {
  PlainServerRequest request;
  request.entry = waiting.node;
  request.objective = milliseconds(waiting.request.first_event_ms);
  request.remaining_time = waiting.arrived_at + request.objective - now;
  for (const auto& server : waiting.request.plain_servers) {
    const bool may_send = rate_limiter_.next_allowed_at(now, service, server) <= now;
    request.candidates.push_back({server, in_flight(server), may_send});
  }
  SlotCandidate best;
  best.server_choice = plain_servers_.choose(now, request);
  best.name = best.server_choice.incarnation;
  best.first_event = best.server_choice.expected;
  if (!best.name.empty()) {
    best.feasibility = best.server_choice.is_late ? Feasibility::kLate : Feasibility::kInTime;
  }
  return best;
}

bool SlotScheduler::knows_requested_server(const WaitingRequest& waiting) const {
  const auto& servers = waiting.request.plain_servers;
  return options_.plain_server_slots && std::any_of(servers.begin(), servers.end(), [this](const auto& server) {
           return plain_servers_.knows(server);
         });
}

void SlotScheduler::note_response_times(TimePoint now, const std::string& node,
                                        const std::vector<wire::GroupLoad>& loads) {
  for (const auto& load : loads) {
    if (load.__isset.interval_count && load.__isset.interval_ms) {
      const ResponseTimeSample sample{node, load.interval_count, load.interval_ms};
      plain_servers_.note_response_times(now, load.group, sample, in_flight(load.group));
    }
  }
}

void SlotScheduler::grant_server_slot(TimePoint now, const document::ServiceSpec& service,
                                      const WaitingRequest& waiting, const SlotCandidate& candidate,
                                      std::vector<SlotDecision>& decisions) {
  rate_limiter_.note_request(now, service, candidate.name);
  add_decision(waiting, wire::SlotVerdict::GRANTED, decisions);
  auto& grant = decisions.back().grant;
  grant.__set_server(candidate.name);
  if (!asks_for_server_slot(waiting)) {
    return;
  }
  plain_servers_.note_grant(now, candidate.server_choice);
  ++groups_[candidate.name].in_flight;
  NodeLoads& node = nodes_[waiting.node];
  grant.sequence = node.next_sequence++;
  grant.expected_ms = static_cast<int32_t>(candidate.first_event / milliseconds(1));
  node.unreported_grants.emplace_back(grant.sequence, candidate.name);
}

}  // namespace larchlever::fleet
