#include "core/engine/pass_clock.h"

#include <algorithm>

#include "core/engine/cost_model.h"

namespace larchlever::engine {

namespace {

/// Passes further back than this are not played: a group with nothing to do has none, whatever the clock missed.
constexpr Duration kLongestCatchUp = seconds(2);

/// Passes that ended within this time are recent: longer than what first events take beyond the cost model's forecast.
constexpr Duration kRecentPasses = milliseconds(500);

/// A stated size, as far as an engine can take it.
double readable_tokens(const document::EngineSpec& engine, double prompt_tokens) {
  const auto memory = static_cast<double>(engine.kv_capacity);
  return std::clamp(prompt_tokens, 0.0, memory > 0 ? memory : prompt_tokens > 0 ? prompt_tokens : 0.0);
}

}  // namespace

void PassClock::advance(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                        int running) {
  if (running == 0) {
    waiting_tokens_ = 0;
    pass_ends_ = std::max(pass_ends_, now);
    longest_pass_ = Duration::zero();
    return;
  }
  if (pass_ends_ == TimePoint::min() || now - pass_ends_ > kLongestCatchUp) {
    pass_ends_ = now;
  }
  while (pass_ends_ <= now) {
    const double read = std::min(waiting_tokens_, tokens_per_pass(engine));
    waiting_tokens_ -= read;
    const Duration pass = std::max<Duration>(milliseconds(1), pass_length(engine, model, running, read));
    const bool is_old = longest_pass_ended_ == TimePoint::min() || pass_ends_ - longest_pass_ended_ > kRecentPasses;
    pass_ends_ += pass;
    if (is_old || pass >= longest_pass_) {
      longest_pass_ = pass;
      longest_pass_ended_ = pass_ends_;
    }
  }
}

void PassClock::add(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                    double prompt_tokens) {
  advance(now, engine, model, running);
  waiting_tokens_ += readable_tokens(engine, prompt_tokens);
}

PassForecast PassClock::forecast(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                                 int running, double prompt_tokens) {
  advance(now, engine, model, running);
  PassForecast result;
  result.first_event = std::max(Duration::zero(), pass_ends_ - now);
  double left = waiting_tokens_ + readable_tokens(engine, prompt_tokens);
  do {
    const double read = std::min(left, tokens_per_pass(engine));
    left -= read;
    const Duration pass = pass_length(engine, model, running + 1, read);
    result.longest_pass = std::max(result.longest_pass, pass);
    result.first_event += pass;
  } while (left > 0);
  return result;
}

}  // namespace larchlever::engine
