#include "core/engine/cost_model.h"

#include <algorithm>

namespace larchlever::engine {

namespace {

/// Fraction of the latency objective that the engine may use; the rest is for the network and for outdated load
/// reports.
constexpr double kEngineShareOfTarget = 0.75;
/// Mean time to the first event without queueing, in passes: half of the current pass, then the request's own pass.
constexpr double kPassesWithoutQueueing = 1.5;
/// Mean remaining fraction of the current pass when a request arrives.
constexpr double kMeanRemainingPassShare = 0.5;
/// Prefill loads are capped here, because the queueing formula has no solution for loads of 1 and above.
constexpr double kMaxPrefillLoad = 0.97;
/// Minimum weight of a new sample in the running means, so that they follow changes.
constexpr double kMinSampleWeight = 0.02;

Duration from_milliseconds(double value) { return Duration(static_cast<int64_t>(value * 1000.0)); }

double count_answer_passes(const document::EngineSpec& engine, const RequestTokenCounts& sizes) {
  return std::max(1.0, sizes.answer / engine.steps_per_pass);
}

}  // namespace

double max_prefill_tokens_per_pass(const document::EngineSpec& engine) {
  return static_cast<double>(engine.prefill_chunk_tokens) * engine.steps_per_pass;
}

GroupForecast forecast_steady_state(const document::EngineSpec& engine, const document::ModelSpec& model,
                                    const RequestTokenCounts& sizes, int running) {
  const double count = running;
  const double context = count * (sizes.prompt + sizes.answer / 2);
  const double step_ms =
      engine.step_ms + engine.per_sequence_ms * count + engine.per_thousand_context_tokens_ms * context / 1000.0;
  const double passes_per_answer = count_answer_passes(engine, sizes);
  const double arrivals_per_pass = count / passes_per_answer;
  const double prefill_ms = arrivals_per_pass * sizes.prompt * 1000.0 / engine.prefill_tokens_per_second;
  const double pass_ms = model.time_factor * (engine.steps_per_pass * step_ms + prefill_ms);
  GroupForecast result;
  result.pass = from_milliseconds(pass_ms);
  result.prefill_load = arrivals_per_pass * sizes.prompt / max_prefill_tokens_per_pass(engine);
  const double load = std::min(result.prefill_load, kMaxPrefillLoad);
  // Prompt sizes vary widely, hence the mean waiting time of a queue with random service times.
  result.time_to_first_event = from_milliseconds(pass_ms * (kPassesWithoutQueueing + load / (1.0 - load)));
  return result;
}

int max_running_requests(const document::EngineSpec& engine, const document::ModelSpec& model,
                         const RequestTokenCounts& sizes, Duration target) {
  const auto max_time_to_first_event =
      Duration(static_cast<int64_t>(static_cast<double>(target.count()) * kEngineShareOfTarget));
  int max_running = 1;
  while (max_running < engine.slots &&
         forecast_steady_state(engine, model, sizes, max_running + 1).time_to_first_event <= max_time_to_first_event) {
    ++max_running;
  }
  return max_running;
}

Duration max_pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model) {
  return pass_duration(engine, model, engine.slots, max_prefill_tokens_per_pass(engine));
}

Duration pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                       double prefill_tokens) {
  const double step_ms = engine.step_ms + engine.per_sequence_ms * running;
  const double prefill_ms = prefill_tokens * 1000.0 / engine.prefill_tokens_per_second;
  return from_milliseconds(model.time_factor * (engine.steps_per_pass * step_ms + prefill_ms));
}

Duration expected_time_to_first_event(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                                      double waiting_tokens, double prompt_tokens) {
  const double step_ms = engine.step_ms + engine.per_sequence_ms * running;
  const double decode_ms = engine.steps_per_pass * step_ms;
  const double tokens = waiting_tokens + prompt_tokens;
  const double prefill_ms = tokens * 1000.0 / engine.prefill_tokens_per_second;
  // Every pass that processes prompts also decodes; one more pass then produces the first event.
  const double passes = 1.0 + tokens / (static_cast<double>(engine.prefill_chunk_tokens) * engine.steps_per_pass);
  return from_milliseconds(model.time_factor * (decode_ms * (kMeanRemainingPassShare + passes) + prefill_ms));
}

Duration expected_occupation(const document::EngineSpec& engine, const document::ModelSpec& model,
                             const RequestTokenCounts& sizes, int running) {
  const double prompt_passes = sizes.prompt / max_prefill_tokens_per_pass(engine);
  const double passes = prompt_passes + count_answer_passes(engine, sizes);
  const double decode_ms = engine.steps_per_pass * (engine.step_ms + engine.per_sequence_ms * running);
  const double prefill_ms = sizes.prompt * 1000.0 / engine.prefill_tokens_per_second;
  return from_milliseconds(model.time_factor * (passes * decode_ms + prefill_ms));
}

double sustainable_requests_per_second(const document::EngineSpec& engine, const document::ModelSpec& model,
                                       const RequestTokenCounts& sizes, Duration target) {
  const int running = target > Duration::zero() ? max_running_requests(engine, model, sizes, target) : engine.slots;
  const double pass_seconds =
      std::chrono::duration<double>(forecast_steady_state(engine, model, sizes, running).pass).count();
  return running / std::max(1e-6, count_answer_passes(engine, sizes) * pass_seconds);
}

void RequestSizeEstimator::add_sample(double prompt_tokens, double answer_tokens) {
  const double sample_weight = std::max(kMinSampleWeight, 1.0 / (sample_count_ + 1.0));
  mean_.prompt += sample_weight * (prompt_tokens - mean_.prompt);
  mean_.answer += sample_weight * (answer_tokens - mean_.answer);
  sample_count_ += 1.0;
}

RequestTokenCounts RequestSizeEstimator::sizes(const RequestTokenCounts& typical) const {
  return sample_count_ > 0 ? mean_ : typical;
}

}  // namespace larchlever::engine
