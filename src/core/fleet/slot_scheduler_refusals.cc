// The part of SlotScheduler that refuses requests and tells their callers when to return.

#include <algorithm>
#include <cmath>

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

namespace {

/// Maximum retry delay given to callers that are refused because of rate limits, even if more callers are waiting: a
/// limit seldom lasts longer.
constexpr Duration kMaxRetryAfter = seconds(30);

/// A request waits for a fifth of its objective (TargetFinder), so this multiple of its patience is its objective.
constexpr int kObjectiveInPatience = 5;
/// A caller heeds a delay of at most a third of the time that it has left.
constexpr int kHeededDivisor = 3;
/// A caller that has less than this part of its assumed time left is assumed to try for twice that time: either it
/// gives up now, or it tries for longer than was assumed.
constexpr int kMinTimeLeftDivisor = 12;
/// Limits the memory for queues; entries may name plain servers in any combination.
constexpr size_t kMaxQueues = 256;
/// A queue that was not blocked for this long is forgotten with its measurements.
constexpr Duration kQueueMemory = seconds(30);

/// Maximum delay given to a caller. The leader does not know how long the caller tries, but hardly any tries for less
/// than its latency objective, counted from its first arrival.
Duration longest_return_delay(Duration patience, Duration objective, Duration age) {
  Duration time_to_try = objective > Duration::zero() ? objective : patience * kObjectiveInPatience;
  time_to_try = std::max<Duration>(time_to_try, milliseconds(1));
  while (time_to_try - age < time_to_try / kMinTimeLeftDivisor) {
    time_to_try *= 2;
  }
  return (time_to_try - age) / kHeededDivisor;
}

int32_t to_retry_after_ms(Duration wait) {
  return static_cast<int32_t>(std::chrono::ceil<milliseconds>(std::max<Duration>(wait, milliseconds(1))).count());
}

}  // namespace

std::optional<TurnPace> SlotScheduler::rate_limited_pace(TimePoint now, const document::ServiceSpec& service,
                                                         const WaitingRequest& waiting) {
  std::vector<std::string> servers = requested_servers(waiting);
  if (!asks_for_plain_server(waiting)) {
    for (const auto* item : open_groups_.at(model_key(waiting))) {
      if (may_use_group(waiting, item->first, item->second)) {
        servers.push_back(item->second.rate_limited_head);
      }
    }
  }
  TurnPace result{TimePoint::max(), 0};
  for (const auto& server : servers) {
    const auto limit = rate_limiter_.limit_of(server);
    if (!limit) {
      return std::nullopt;
    }
    result.next_turn_at = std::min(result.next_turn_at, rate_limiter_.next_allowed_at(now, service, server));
    result.turns_per_second += *limit;
  }
  // Some limit admits a request now, so slots are what is missing.
  const bool lacks_slots = result.next_turn_at <= now && (options_.turn_forecasts || asks_for_server_slot(waiting));
  return servers.empty() || lacks_slots ? std::nullopt : std::optional(result);
}

SlotScheduler::PoolSlots SlotScheduler::plain_pool_slots(const QueueKey& queue) const {
  PoolSlots result;
  for (const auto& server : queue.plain_servers) {
    const auto found = groups_.find(server);
    const int busy = found == groups_.end() ? 0 : found->second.in_flight;
    result.busy += busy;
    result.free += std::max(plain_servers_.slots_of(server) - busy, 0);
    result.released += found == groups_.end() ? 0 : found->second.released;
  }
  return result;
}

SlotScheduler::PoolSlots SlotScheduler::pool_slots(const document::ConfigurationDocument& document,
                                                   const QueueKey& queue) const {
  if (!queue.plain_servers.empty()) {
    return plain_pool_slots(queue);
  }
  PoolSlots result;
  const auto service = document.services.find(queue.model.first);
  const auto open = open_groups_.find(queue.model);
  const bool is_known = service != document.services.end() && service->second.engine && open != open_groups_.end();
  if (!is_known) {
    return result;
  }
  const auto& zones = queue.allowed_zones;
  for (const auto* item : open->second) {
    const TrackedGroup& group = item->second;
    const bool is_allowed =
        zones.empty() ||
        (!group.zones.empty() && std::includes(zones.begin(), zones.end(), group.zones.begin(), group.zones.end()));
    if (is_allowed) {
      result.busy += group.in_flight;
      result.free += std::max(service->second.engine->slots - group.in_flight, 0);
      result.released += group.released;
    }
  }
  return result;
}

void SlotScheduler::update_paces(TimePoint now, const document::ConfigurationDocument& document) {
  for (auto& [queue, turns] : queue_turns_) {
    const PoolSlots slots = pool_slots(document, queue);
    turns.pace = turns.forecast.pace(now, slots.busy);
    turns.free_slots = slots.free;
  }
}

std::optional<TurnPace> SlotScheduler::queue_pace(const QueueKey& queue) const {
  const auto blocked = blocked_queues_.find(queue);
  if (blocked == blocked_queues_.end()) {
    return std::nullopt;
  }
  const auto turns = queue_turns_.find(queue);
  return blocked->second || turns == queue_turns_.end() ? blocked->second : turns->second.pace;
}

bool SlotScheduler::has_room(TimePoint now, const document::ConfigurationDocument& document,
                             const WaitingRequest& waiting) {
  const auto requested = find_requested_service(document, waiting);
  if (!requested) {
    return false;
  }
  const SlotCandidate candidate = requested->model == nullptr
                                      ? best_server(now, requested->service, waiting)
                                      : best_group(now, requested->service, *requested->model, waiting);
  return candidate.feasibility != Feasibility::kNone;
}

bool SlotScheduler::is_turn_too_late(TimePoint now, const document::ConfigurationDocument& document,
                                     WaitingRequest& waiting, int requests_ahead) {
  const auto queue = queue_key(waiting);
  const auto pace = queue_pace(queue);
  if (!pace) {
    return false;
  }
  double turns_before = requests_ahead;
  const auto turns = queue_turns_.find(queue);
  if (turns != queue_turns_.end() && !waiting.is_turn_checked) {
    // Callers that return later than this check are among the waiting requests by then.
    turns_before += turns->second.returns.expected_before(refused_caller(waiting), waiting.queue_deadline);
    waiting.is_turn_checked = true;
  }
  if (blocked_queues_.at(queue)) {
    return pace->turn_at(turns_before) > waiting.queue_deadline;
  }
  // Releases vary about as independent events do. A request that may get its turn if they come one standard deviation
  // early waits for it: a wrong refusal costs an answer, a wrong wait only the time until the queue deadline.
  const double certain_turns_before = turns_before - std::sqrt(turns_before) - turns->second.free_slots;
  return pace->turn_at(certain_turns_before) > waiting.queue_deadline && !has_room(now, document, waiting);
}

void SlotScheduler::refuse_beyond_queue_deadline(TimePoint now, const document::ConfigurationDocument& document,
                                                 std::vector<SlotDecision>& decisions) {
  update_paces(now, document);
  std::map<QueueKey, int> requests_ahead;
  std::erase_if(waiting_requests_, [&](auto& waiting) {
    const auto queue = queue_key(waiting);
    if (!blocked_queues_.contains(queue)) {
      return false;
    }
    int& requests_before = requests_ahead[queue];
    if (!is_turn_too_late(now, document, waiting, requests_before)) {
      ++requests_before;
      return false;
    }
    refuse(now, waiting, requests_before, decisions);
    const auto turns = queue_turns_.find(queue);
    if (turns != queue_turns_.end()) {
      turns->second.forecast.note_early_refusal();
    }
    return true;
  });
}

TimePoint SlotScheduler::next_retry_at(TimePoint now, const QueueKey& queue, const TurnPace& pace, int requests_ahead) {
  TimePoint& retry_at = retry_after_until_[queue];
  const TurnPace pace_after_last{retry_at, pace.turns_per_second};
  retry_at = std::min(std::max(pace.turn_at(requests_ahead), pace_after_last.turn_at(1)), now + kMaxRetryAfter);
  return retry_at;
}

void SlotScheduler::refuse(TimePoint now, const WaitingRequest& waiting, int requests_ahead,
                           std::vector<SlotDecision>& decisions) {
  add_decision(waiting, wire::SlotVerdict::BUSY, decisions);
  const auto queue = queue_key(waiting);
  const auto pace = queue_pace(queue);
  if (!pace) {
    return;
  }
  auto& grant = decisions.back().grant;
  const auto turns = queue_turns_.find(queue);
  if (turns == queue_turns_.end()) {
    grant.__set_retry_after_ms(to_retry_after_ms(next_retry_at(now, queue, *pace, requests_ahead) - now));
    return;
  }
  const auto& request = waiting.request;
  const auto caller = refused_caller(waiting);
  ReturnSchedule::DelayLimits limits;
  limits.patience = milliseconds(request.patience_ms);
  limits.longest_delay =
      longest_return_delay(limits.patience, milliseconds(request.first_event_ms), now - waiting.first_arrived_at);
  grant.__set_retry_after_ms(
      to_retry_after_ms(turns->second.returns.assign(now, caller, *pace, requests_ahead, limits)));
}

ReturnSchedule::RefusedCaller SlotScheduler::refused_caller(const WaitingRequest& waiting) const {
  const auto& request = waiting.request;
  ReturnSchedule::RefusedCaller caller;
  caller.fingerprint = request.__isset.fingerprint ? std::optional(request.fingerprint) : std::nullopt;
  caller.place = {request.priority, waiting.first_arrived_at};
  caller.tenant = options_.fair_shares ? request.tenant : "";
  return caller;
}

void SlotScheduler::restore_place(TimePoint now, WaitingRequest& waiting) {
  const auto turns = waiting.request.__isset.fingerprint ? queue_turns_.find(queue_key(waiting)) : queue_turns_.end();
  if (turns == queue_turns_.end()) {
    return;
  }
  const auto returned = turns->second.returns.note_return(now, waiting.request.fingerprint);
  if (!returned) {
    return;
  }
  waiting.awaited_at = returned->awaited_at;
  if (returned->awaited_at) {
    return;
  }
  waiting.first_arrived_at = returned->first_arrived_at;
}

void SlotScheduler::forget_place(const WaitingRequest& waiting) {
  if (!waiting.awaited_at) {
    return;  // It took its place when it returned, or had none.
  }
  const auto turns = queue_turns_.find(queue_key(waiting));
  if (turns != queue_turns_.end()) {
    turns->second.returns.forget(waiting.request.fingerprint);
  }
}

void SlotScheduler::note_pool_loads(TimePoint now, const document::ConfigurationDocument& document) {
  if (!options_.turn_forecasts) {
    return;
  }
  for (const auto& [queue, limited_pace] : blocked_queues_) {
    if (queue_turns_.size() < kMaxQueues || queue_turns_.contains(queue)) {
      queue_turns_[queue].blocked_at = now;
    }
  }
  for (auto& [queue, turns] : queue_turns_) {
    const PoolSlots slots = pool_slots(document, queue);
    turns.forecast.note_load(now, {slots.released, slots.busy, slots.free, blocked_queues_.contains(queue)});
    turns.returns.drop_lapsed(now);
  }
  std::erase_if(queue_turns_, [now](const auto& item) { return item.second.blocked_at + kQueueMemory < now; });
  for (auto& [name, group] : groups_) {
    group.released = 0;
  }
}

}  // namespace larchlever::fleet
