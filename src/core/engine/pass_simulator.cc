#include "core/engine/pass_simulator.h"

#include <algorithm>

#include "core/base/scale_duration.h"
#include "core/engine/cost_model.h"

namespace larchlever::engine {

namespace {

/// After a longer interval without calls, the simulation restarts at the current time, because an idle group runs no
/// passes.
constexpr Duration kMaxCatchUp = seconds(2);

/// Passes that ended within this time count as recent. Longer than the time by which first events exceed the forecast
/// of the cost model.
constexpr Duration kRecentPassWindow = milliseconds(500);

/// Limits a declared prompt size to the engine's cache capacity, if one is configured.
double clamp_prompt_tokens(const document::EngineSpec& engine, double prompt_tokens) {
  const auto kv_capacity_tokens = static_cast<double>(engine.kv_capacity);
  return std::clamp(prompt_tokens, 0.0,
                    kv_capacity_tokens > 0 ? kv_capacity_tokens
                    : prompt_tokens > 0    ? prompt_tokens
                                           : 0.0);
}

}  // namespace

void PassSimulator::advance(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                            int running) {
  if (running == 0) {
    waiting_tokens_ = 0;
    current_pass_ends_at_ = std::max(current_pass_ends_at_, now);
    longest_recent_pass_ = Duration::zero();
    recent_passes_.clear();
    return;
  }
  if (current_pass_ends_at_ == TimePoint::min() || now - current_pass_ends_at_ > kMaxCatchUp) {
    current_pass_ends_at_ = now;
  }
  while (current_pass_ends_at_ <= now) {
    const double prefill_tokens = std::min(waiting_tokens_, max_prefill_tokens_per_pass(engine));
    waiting_tokens_ -= prefill_tokens;
    const Duration modelled =
        std::max<Duration>(milliseconds(1), pass_duration(engine, model, running, prefill_tokens));
    recent_passes_.add(modelled);
    const Duration pass = scale_duration(modelled, time_factor_);
    const bool has_expired = longest_recent_pass_ended_at_ == TimePoint::min() ||
                             current_pass_ends_at_ - longest_recent_pass_ended_at_ > kRecentPassWindow;
    current_pass_ends_at_ += pass;
    if (has_expired || pass >= longest_recent_pass_) {
      longest_recent_pass_ = pass;
      longest_recent_pass_ended_at_ = current_pass_ends_at_;
    }
  }
}

void PassSimulator::add(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                        int running, double prompt_tokens) {
  advance(now, engine, model, running);
  waiting_tokens_ += clamp_prompt_tokens(engine, prompt_tokens);
}

RequestForecast PassSimulator::forecast(TimePoint now, const document::EngineSpec& engine,
                                        const document::ModelSpec& model, int running, double prompt_tokens) {
  advance(now, engine, model, running);
  RequestForecast result;
  result.time_to_first_event = std::max(Duration::zero(), current_pass_ends_at_ - now);
  double remaining_tokens = waiting_tokens_ + clamp_prompt_tokens(engine, prompt_tokens);
  do {
    const double prefill_tokens = std::min(remaining_tokens, max_prefill_tokens_per_pass(engine));
    remaining_tokens -= prefill_tokens;
    const Duration pass = scale_duration(pass_duration(engine, model, running + 1, prefill_tokens), time_factor_);
    result.longest_pass = std::max(result.longest_pass, pass);
    result.time_to_first_event += pass;
  } while (remaining_tokens > 0);
  return result;
}

std::optional<Duration> PassSimulator::usual_pass(TimePoint now, const document::EngineSpec& engine,
                                                  const document::ModelSpec& model, int running) const {
  PassSimulator current = *this;
  current.advance(now, engine, model, running);
  return current.recent_passes_.is_empty() ? std::nullopt : std::optional(current.recent_passes_.value());
}

}  // namespace larchlever::engine
