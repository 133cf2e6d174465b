#include "core/engine/cost_model.h"

#include <algorithm>

namespace larchlever::engine {

namespace {

/// Part of the latency objective that the engine may use; the rest is for the network and for late knowledge of loads.
constexpr double kObjectiveShare = 0.75;
/// A request waits for half of the pass under way, on average, and then for its own.
constexpr double kPassesAlone = 1.5;
/// What is left, on average, of the pass that a request meets.
constexpr double kPassUnderWay = 0.5;
/// Reading loads from here on count as this, where the formula for queues has no meaning.
constexpr double kSaturated = 0.97;
/// How fast the means follow: the share of one request.
constexpr double kNewShare = 0.02;

Duration from_milliseconds(double value) { return Duration(static_cast<int64_t>(value * 1000.0)); }

double passes_of(const document::EngineSpec& engine, const RequestSizes& sizes) {
  return std::max(1.0, sizes.answer / engine.steps_per_pass);
}

}  // namespace

double tokens_per_pass(const document::EngineSpec& engine) {
  return static_cast<double>(engine.chunk_tokens) * engine.steps_per_pass;
}

GroupForecast forecast(const document::EngineSpec& engine, const document::ModelSpec& model, const RequestSizes& sizes,
                       int running) {
  const double count = running;
  const double context = count * (sizes.prompt + sizes.answer / 2);
  const double step_ms =
      engine.step_ms + engine.per_sequence_ms * count + engine.context_per_thousand_ms * context / 1000.0;
  const double passes_per_answer = passes_of(engine, sizes);
  const double arrivals_per_pass = count / passes_per_answer;
  const double reading_ms = arrivals_per_pass * sizes.prompt * 1000.0 / engine.read_tokens_per_second;
  const double pass_ms = model.pace * (engine.steps_per_pass * step_ms + reading_ms);
  GroupForecast result;
  result.pass = from_milliseconds(pass_ms);
  result.reading_load = arrivals_per_pass * sizes.prompt / tokens_per_pass(engine);
  const double load = std::min(result.reading_load, kSaturated);
  // Prompts differ much in size, so the wait of a queue with random service times is taken.
  result.first_event = from_milliseconds(pass_ms * (kPassesAlone + load / (1.0 - load)));
  return result;
}

int most_running(const document::EngineSpec& engine, const document::ModelSpec& model, const RequestSizes& sizes,
                 Duration target) {
  const auto bound = Duration(static_cast<int64_t>(static_cast<double>(target.count()) * kObjectiveShare));
  int most = 1;
  while (most < engine.slots && forecast(engine, model, sizes, most + 1).first_event <= bound) {
    ++most;
  }
  return most;
}

Duration longest_pass(const document::EngineSpec& engine, const document::ModelSpec& model) {
  return pass_length(engine, model, engine.slots, tokens_per_pass(engine));
}

Duration pass_length(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                     double read_tokens) {
  const double step_ms = engine.step_ms + engine.per_sequence_ms * running;
  const double reading_ms = read_tokens * 1000.0 / engine.read_tokens_per_second;
  return from_milliseconds(model.pace * (engine.steps_per_pass * step_ms + reading_ms));
}

Duration expected_first_event(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                              double waiting_tokens, double prompt_tokens) {
  const double step_ms = engine.step_ms + engine.per_sequence_ms * running;
  const double writing_ms = engine.steps_per_pass * step_ms;
  const double tokens = waiting_tokens + prompt_tokens;
  const double reading_ms = tokens * 1000.0 / engine.read_tokens_per_second;
  // While prompts are read, every pass also writes; then comes the pass that writes the first event.
  const double passes = 1.0 + tokens / (static_cast<double>(engine.chunk_tokens) * engine.steps_per_pass);
  return from_milliseconds(model.pace * (writing_ms * (kPassUnderWay + passes) + reading_ms));
}

double sustainable_rate(const document::EngineSpec& engine, const document::ModelSpec& model, const RequestSizes& sizes,
                        Duration target) {
  const int running = target > Duration::zero() ? most_running(engine, model, sizes, target) : engine.slots;
  const double pass_seconds = std::chrono::duration<double>(forecast(engine, model, sizes, running).pass).count();
  return running / std::max(1e-6, passes_of(engine, sizes) * pass_seconds);
}

void SizeEstimate::note(double prompt_tokens, double answer_tokens) {
  const double share = std::max(kNewShare, 1.0 / (weight_ + 1.0));
  mean_.prompt += share * (prompt_tokens - mean_.prompt);
  mean_.answer += share * (answer_tokens - mean_.answer);
  weight_ += 1.0;
}

RequestSizes SizeEstimate::sizes(const RequestSizes& usual) const { return weight_ > 0 ? mean_ : usual; }

}  // namespace larchlever::engine
