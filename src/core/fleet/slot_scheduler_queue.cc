// The part of SlotScheduler that orders waiting requests and charges them to the shares of their tenants.

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>
#include <utility>

#include "core/engine/cost_model.h"
#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

namespace {

/// Interval between reviews of waiting requests; an engine pass takes many times as long.
constexpr Duration kReviewInterval = milliseconds(5);
/// Interval at which accounts of silent tenants are removed.
constexpr Duration kLedgerCleanupInterval = seconds(1);
/// Cost of a request to a plain server.
constexpr double kPlainRequestCost = 1;

}  // namespace

void SlotScheduler::sort_by_priority(TimePoint now) {
  const auto order = [now](const WaitingRequest& item) {
    return std::tuple(item.request.priority, has_missed_objective(now, item), item.first_arrived_at);
  };
  std::stable_sort(waiting_requests_.begin(), waiting_requests_.end(),
                   [&order](const auto& left, const auto& right) { return order(left) < order(right); });
}

SlotScheduler::ModelKey SlotScheduler::pool_key(const WaitingRequest& waiting) {
  return asks_for_plain_server(waiting) ? ModelKey{waiting.request.service_name, ""} : model_key(waiting);
}

double SlotScheduler::request_cost(const RequestedService& requested, const WaitingRequest& waiting) {
  if (requested.model == nullptr) {
    return kPlainRequestCost;
  }
  const auto& request = waiting.request;
  const auto& engine = *requested.service.engine;
  const bool is_answer_known = request.__isset.answer_tokens && request.answer_tokens > 0;
  const double answer_tokens = is_answer_known ? request.answer_tokens : engine.typical_answer_tokens;
  // Callers declare sizes themselves, but the engine accepts only what fits into its cache.
  const double max_tokens =
      engine.kv_capacity > 0 ? static_cast<double>(engine.kv_capacity) : std::numeric_limits<double>::infinity();
  const double prompt_tokens = std::clamp<double>(request.prompt_tokens, 0, max_tokens);
  const engine::RequestTokenCounts sizes{prompt_tokens, std::min(answer_tokens, max_tokens)};
  // Shares matter when the slots are in use.
  const Duration occupation = engine::expected_occupation(engine, *requested.model, sizes, engine.slots);
  return std::chrono::duration<double, std::milli>(occupation).count();
}

fair_share::PendingRequest SlotScheduler::pending_request(TimePoint now, const WaitingRequest& waiting) {
  fair_share::PendingRequest result;
  result.tenant = waiting.request.tenant;
  result.urgency = waiting.request.priority;
  result.has_missed_objective = has_missed_objective(now, waiting);
  result.arrived_at = waiting.first_arrived_at;
  result.cost = waiting.cost;
  return result;
}

void SlotScheduler::note_arrivals(TimePoint now, const document::ConfigurationDocument& document) {
  if (!options_.fair_shares) {
    return;
  }
  for (auto& arrival : new_requests_) {
    const auto requested = find_requested_service(document, arrival);
    if (!requested) {
      continue;
    }
    arrival.cost = request_cost(*requested, arrival);
    // A request that other servers take is no demand that goes without.
    if (!has_other_servers(arrival)) {
      ledgers_[pool_key(arrival)].note_arrival(now, pending_request(now, arrival));
    }
  }
}

void SlotScheduler::charge_grant(TimePoint now, const WaitingRequest& waiting) {
  if (!options_.fair_shares) {
    return;
  }
  auto& ledger = ledgers_[pool_key(waiting)];
  if (has_other_servers(waiting)) {
    ledger.note_arrival(now, pending_request(now, waiting));  // Its demand counts only if it is admitted.
  }
  ledger.note_admission(now, pending_request(now, waiting));
}

void SlotScheduler::forget_silent_tenants(TimePoint now) {
  if (now < next_ledger_cleanup_) {
    return;
  }
  next_ledger_cleanup_ = now + kLedgerCleanupInterval;
  for (auto& [pool, ledger] : ledgers_) {
    ledger.forget_silent_tenants(now);
  }
  std::erase_if(ledgers_, [](const auto& item) { return item.second.tenant_count() == 0; });
}

void SlotScheduler::sort_by_shares(TimePoint now) {
  std::map<ModelKey, std::vector<size_t>> pools;
  for (size_t index = 0; index < waiting_requests_.size(); ++index) {
    pools[pool_key(waiting_requests_[index])].push_back(index);
  }
  std::vector<WaitingRequest> sorted;
  sorted.reserve(waiting_requests_.size());
  for (const auto& [pool, members] : pools) {
    std::vector<fair_share::PendingRequest> pending;
    pending.reserve(members.size());
    for (const size_t index : members) {
      pending.push_back(pending_request(now, waiting_requests_[index]));
    }
    // Moving a request invalidates `pending`, so the order is complete before.
    const auto order = ledgers_[pool].admission_order(now, pending);
    for (const size_t position : order) {
      sorted.push_back(std::move(waiting_requests_[members[position]]));
    }
  }
  waiting_requests_ = std::move(sorted);
}

void SlotScheduler::decide_waiting_requests(TimePoint now, const document::ConfigurationDocument& document,
                                            std::vector<SlotDecision>& decisions) {
  next_review_ = now + kReviewInterval;
  blocked_queues_.clear();
  forget_silent_tenants(now);
  std::erase_if(retry_after_until_, [now](const auto& item) { return item.second <= now; });
  options_.fair_shares ? sort_by_shares(now) : sort_by_priority(now);
  // First decide all requests that can be in time, so that late requests do not use capacity that these need.
  std::erase_if(waiting_requests_,
                [&](auto& waiting) { return decide_request(now, document, waiting, LateAnswers::kNotYet, decisions); });
  refuse_beyond_queue_deadline(now, document, decisions);
  std::erase_if(waiting_requests_, [&](auto& waiting) {
    return now >= waiting.queue_deadline && decide_request(now, document, waiting, LateAnswers::kAllowed, decisions);
  });
}

}  // namespace larchlever::fleet
