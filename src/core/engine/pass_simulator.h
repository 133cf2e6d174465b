#pragma once

#include <optional>

#include "core/base/time.h"
#include "core/base/trimmed_mean.h"
#include "core/document/configuration_document.h"

namespace larchlever::engine {

/// Predicted effect of sending a request to a group now.
struct RequestForecast {
  /// Time from now to the request's first event.
  Duration time_to_first_event{};
  /// Longest pass after the current one until that event: the longest pause between two events of the group's other
  /// streams.
  Duration longest_pass{};
};

/// Simulates the passes of one engine group with the cost model.
///
/// Each pass of a group decodes a few tokens for all running requests and processes the prompts that arrived during the
/// previous pass. From the requests sent to the group, the simulator derives when the current pass ends and how many
/// prompt tokens wait for the next one. It does not observe the group; for one that is slower than the cost model, the
/// caller sets by which factor.
///
/// Callers declare prompt sizes themselves, so a size counts at most as the engine's cache capacity, which every
/// accepted prompt fits into. No prompt tokens wait in a group without running requests. No I/O; single-threaded.
class PassSimulator {
 public:
  /// From now on, passes take this many times as long as the cost model says.
  void set_time_factor(double factor) { time_factor_ = factor; }
  /// Records that a request with `prompt_tokens` was sent; `running` does not include it.
  void add(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running,
           double prompt_tokens);
  /// Predicts the effect of sending a request with `prompt_tokens`; `running` does not include it.
  RequestForecast forecast(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                           int running, double prompt_tokens);
  /// Longest pass of the last half second, including the current one, as of the last call; zero without running
  /// requests. The real passes lag behind the simulated ones by the delays that the cost model omits.
  Duration longest_recent_pass() const { return longest_recent_pass_; }

  /// What the cost model says of the recent passes, without the time factor: their mean, without the longest. Empty if
  /// there were none since the group last had no running requests. Does not change later forecasts.
  std::optional<Duration> usual_pass(TimePoint now, const document::EngineSpec& engine,
                                     const document::ModelSpec& model, int running) const;

 private:
  /// Simulates the passes up to `now`.
  void advance(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running);

  TimePoint current_pass_ends_at_ = TimePoint::min();
  double waiting_tokens_ = 0;
  double time_factor_ = 1;
  TrimmedMean recent_passes_;
  Duration longest_recent_pass_{};
  TimePoint longest_recent_pass_ended_at_ = TimePoint::min();
};

}  // namespace larchlever::engine
