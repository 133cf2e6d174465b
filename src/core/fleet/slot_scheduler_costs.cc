// The part of SlotScheduler that places requests by the work that groups still have to do.

#include <algorithm>
#include <utility>

#include "core/fleet/slot_scheduler.h"

namespace larchlever::fleet {

namespace {

/// From the first event to the end of an answer, in a group with `running` requests.
Duration answer_time(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                     double answer_tokens, double time_factor) {
  const double passes_after_first = std::max(0.0, answer_tokens / engine.steps_per_pass - 1);
  const Duration pass = engine::pass_duration(engine, model, running, 0);
  return Duration(static_cast<int64_t>(static_cast<double>(pass.count()) * passes_after_first * time_factor));
}

}  // namespace

double SlotScheduler::expected_answer_tokens(const document::EngineSpec& engine, const WaitingRequest& waiting) const {
  if (waiting.request.__isset.answer_tokens && waiting.request.answer_tokens > 0) {
    return waiting.request.answer_tokens;
  }
  const auto granted = granted_sizes_.find(model_key(waiting));
  return granted == granted_sizes_.end() ? engine.typical_answer_tokens : granted->second.sizes({}).answer;
}

void SlotScheduler::reconcile_work(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                                   TrackedGroup& group) const {
  if (std::cmp_equal(group.work.size(), group.in_flight)) {
    return;
  }
  const auto granted = granted_sizes_.find({group.service, group.model});
  const double mean_tokens =
      granted == granted_sizes_.end() ? engine.typical_answer_tokens : granted->second.sizes({}).answer;
  group.work.reconcile(now, group.in_flight, engine.slots,
                       answer_time(engine, model, group.in_flight, mean_tokens, group.time_factor));
}

engine::PlacementScore SlotScheduler::score_group(TimePoint now, const document::EngineSpec& engine,
                                                  const document::ModelSpec& model, const WaitingRequest& waiting,
                                                  TrackedGroup& group, const engine::PlacementForecast& forecast,
                                                  Duration time_left) const {
  if (!options_.learned_costs) {
    return engine::score_placement(forecast, Duration::zero());
  }
  auto score = engine::score_placement(forecast, time_left);
  if (score.timing != engine::PlacementScore::Timing::kSurely) {
    return score;
  }
  reconcile_work(now, engine, model, group);
  const double tokens = expected_answer_tokens(engine, waiting);
  const Duration period =
      forecast.first_event + answer_time(engine, model, group.in_flight + 1, tokens, group.time_factor);
  score.mean_running = group.work.mean_running(now, period);
  return score;
}

void SlotScheduler::note_granted_work(TimePoint now, const document::EngineSpec& engine,
                                      const document::ModelSpec& model, const WaitingRequest& waiting,
                                      TrackedGroup& group, Duration first_event) {
  if (!options_.learned_costs) {
    return;
  }
  const double tokens = expected_answer_tokens(engine, waiting);
  if (waiting.request.__isset.answer_tokens) {
    granted_sizes_[model_key(waiting)].add_sample(waiting.request.prompt_tokens, tokens);
  }
  // The request itself is not counted in flight yet.
  reconcile_work(now, engine, model, group);
  group.work.add(now, {first_event, answer_time(engine, model, group.in_flight + 1, tokens, group.time_factor)});
}

}  // namespace larchlever::fleet
