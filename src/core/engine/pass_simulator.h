#pragma once

#include "core/base/time.h"
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
/// prompt tokens wait for the next one. It does not observe the group, so it cannot predict one that is slower than the
/// cost model.
///
/// Callers declare prompt sizes themselves, so a size counts at most as the engine's cache capacity, which every
/// accepted prompt fits into. No prompt tokens wait in a group without running requests. No I/O; single-threaded.
class PassSimulator {
 public:
  /// Records that a request with `prompt_tokens` was sent; `running` does not include it.
  void add(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running,
           double prompt_tokens);
  /// Predicts the effect of sending a request with `prompt_tokens`; `running` does not include it.
  RequestForecast forecast(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model,
                           int running, double prompt_tokens);
  /// Longest pass of the last half second, including the current one, as of the last call; zero without running
  /// requests. The real passes lag behind the simulated ones by the delays that the cost model omits.
  Duration longest_recent_pass() const { return longest_recent_pass_; }

 private:
  /// Simulates the passes up to `now`.
  void advance(TimePoint now, const document::EngineSpec& engine, const document::ModelSpec& model, int running);

  TimePoint current_pass_ends_at_ = TimePoint::min();
  double waiting_tokens_ = 0;
  Duration longest_recent_pass_{};
  TimePoint longest_recent_pass_ended_at_ = TimePoint::min();
};

}  // namespace larchlever::engine
