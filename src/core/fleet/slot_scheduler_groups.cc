// The part of SlotScheduler that chooses the group of each request.

#include <algorithm>

#include "core/base/scale_duration.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

namespace {

/// Fraction of the objective for pauses that a forecast engine pass may take; the rest is for the network and for
/// effects that the cost model omits.
constexpr double kMaxPassShareOfGap = 0.85;

}  // namespace

bool SlotScheduler::is_in_allowed_zones(const WaitingRequest& waiting, const TrackedGroup& group) {
  const auto& request = waiting.request;
  const auto& homes = request.allowed_zones;
  return !request.__isset.allowed_zones ||
         (!group.zones.empty() && std::includes(homes.begin(), homes.end(), group.zones.begin(), group.zones.end()));
}

bool SlotScheduler::may_use_group(const WaitingRequest& waiting, const std::string& name, const TrackedGroup& group) {
  const auto& excluded = waiting.request.excluded_groups;
  return is_in_allowed_zones(waiting, group) && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
}

bool SlotScheduler::is_objective_unreachable(const document::EngineSpec& engine, const document::ModelSpec& model,
                                             const WaitingRequest& waiting) {
  const auto& request = waiting.request;
  const Duration idle_first_event =
      engine::PassSimulator().forecast(waiting.arrived_at, engine, model, 0, request.prompt_tokens).time_to_first_event;
  return request.first_event_ms > 0 && idle_first_event > milliseconds(request.first_event_ms);
}

Duration SlotScheduler::max_pass(const WaitingRequest& waiting) const {
  const auto gap = min_gap_objectives_.find(model_key(waiting));
  return gap == min_gap_objectives_.end() ? Duration::max() : scale_duration(gap->second, kMaxPassShareOfGap);
}

SlotScheduler::GroupAssessment SlotScheduler::assess_group(TimePoint now, const document::ServiceSpec& service,
                                                           const document::ModelSpec& model,
                                                           const WaitingRequest& waiting, GroupItem& item) {
  auto& [name, group] = item;
  const auto& engine = *service.engine;
  GroupAssessment result;
  group.time_factor = apply_pace_or_trial(now, name, group);
  result.forecast = group.pass_clock.forecast(now, engine, model, group.in_flight, waiting.request.prompt_tokens);
  const Duration longest_pass = max_pass(waiting);
  const bool is_slow = group.time_factor > 1;
  // Room is what the cost model says, so that groups that are all slow still get all requests.
  const Duration modelled_pass =
      is_slow ? scale_duration(result.forecast.longest_pass, 1 / group.time_factor) : result.forecast.longest_pass;
  if (!group.is_open) {
    result.ruled_out = RuledOut::kNotOpen;
  } else if (!may_use_group(waiting, name, group)) {
    result.ruled_out = RuledOut::kZone;
  } else if (group.in_flight >= engine.slots) {
    result.ruled_out = RuledOut::kNoFreeSlot;
  } else if (rate_limiter_.next_allowed_at(now, service, group.rate_limited_head) > now) {
    result.ruled_out = RuledOut::kRateLimit;
  } else if (group.in_flight > 0 && modelled_pass > longest_pass) {
    result.ruled_out = RuledOut::kLongPass;
  }
  if (result.ruled_out != RuledOut::kNo) {
    return result;
  }
  const Duration time_left = waiting.arrived_at + milliseconds(waiting.request.first_event_ms) - now;
  result.is_late = waiting.request.first_event_ms > 0 && result.forecast.time_to_first_event > time_left;
  engine::PlacementForecast forecast;
  forecast.is_quiet = silence_watch_.is_quiet(now, name);
  forecast.is_too_slow = is_slow && (result.is_late || result.forecast.longest_pass > longest_pass);
  forecast.first_event = result.forecast.time_to_first_event;
  result.score = score_group(now, engine, model, waiting, group, forecast, time_left);
  return result;
}

SlotScheduler::SlotCandidate SlotScheduler::best_group(TimePoint now, const document::ServiceSpec& service,
                                                       const document::ModelSpec& model,
                                                       const WaitingRequest& waiting) {
  SlotCandidate best;
  const auto open = open_groups_.find(model_key(waiting));
  if (open == open_groups_.end()) {
    return best;
  }
  engine::PlacementScore best_score;
  for (auto* item : open->second) {
    // Only groups that may get the request need a forecast; under load most are full.
    const TrackedGroup& group = item->second;
    const bool is_eligible = group.in_flight < service.engine->slots && may_use_group(waiting, item->first, group);
    if (!is_eligible || rate_limiter_.next_allowed_at(now, service, group.rate_limited_head) > now) {
      continue;
    }
    const auto assessment = assess_group(now, service, model, waiting, *item);
    const bool is_better = best.feasibility == Feasibility::kNone || assessment.score < best_score;
    if (assessment.ruled_out == RuledOut::kNo && is_better) {
      best_score = assessment.score;
      best.name = item->first;
      best.first_event = assessment.forecast.time_to_first_event;
      best.feasibility = assessment.is_late ? Feasibility::kLate : Feasibility::kInTime;
    }
  }
  return best;
}

void SlotScheduler::grant_group_slot(TimePoint now, const document::ServiceSpec& service,
                                     const document::ModelSpec& model, const WaitingRequest& waiting,
                                     const SlotCandidate& candidate, std::vector<SlotDecision>& decisions) {
  TrackedGroup& group = groups_.at(candidate.name);
  group.pass_clock.add(now, *service.engine, model, group.in_flight, waiting.request.prompt_tokens);
  if (group.in_flight == 0) {
    speeds_.note_trial(now, candidate.name);
  }
  note_granted_work(now, *service.engine, model, waiting, group, candidate.first_event);
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

}  // namespace larchlever::fleet
