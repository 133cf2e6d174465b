#pragma once

#include "core/base/time.h"
#include "core/document/configuration_document.h"

/// Predictions of what an engine group does under load, from the cost model in the configuration document.
namespace larchlever::engine {

/// Mean sizes of the requests that a model gets, in tokens.
struct RequestTokenCounts {
  double prompt = 0;
  double answer = 0;
};

/// Steady state of a group that always has `running` requests.
struct GroupForecast {
  /// One pass over all running requests; the pause between two events of a stream.
  Duration pass{};
  /// From the arrival of a request to its first event.
  Duration first_event{};
  /// Prompt tokens that arrive in a pass, as a share of what a pass reads; at 1 and above the queue grows.
  double prefill_load = 0;
};

GroupForecast forecast_steady_state(const document::EngineSpec& engine, const document::ModelSpec& model,
                                    const RequestTokenCounts& sizes, int running);

/// The most requests that a group may hold so that the next one's first event is expected within `target`; between 1
/// and the engine's slots.
int max_running_requests(const document::EngineSpec& engine, const document::ModelSpec& model,
                         const RequestTokenCounts& sizes, Duration target);

/// The longest that a group with all its slots taken lets its streams pause: a pass that reads a whole chunk each step.
Duration max_pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model);

/// A pass of a group that writes for `running` requests and reads `prefill_tokens` of prompts beside.
Duration pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                       double prefill_tokens);

/// The most prompt tokens that one pass reads beside its writing.
double max_prefill_tokens_per_pass(const document::EngineSpec& engine);

/// Time to the first event of a request of `prompt_tokens` that arrives at a group that has `running` requests, of
/// whose prompts `waiting_tokens` are still to be read.
Duration expected_time_to_first_event(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                                      double waiting_tokens, double prompt_tokens);

/// Requests a second that a group serves when it holds `max_running_requests` of them all the time.
double sustainable_requests_per_second(const document::EngineSpec& engine, const document::ModelSpec& model,
                                       const RequestTokenCounts& sizes, Duration target);

/// Running means of the sizes, as the requests' own statements give them.
class RequestSizeEstimator {
 public:
  void add_sample(double prompt_tokens, double answer_tokens);
  /// `usual` counts for what was not seen yet.
  RequestTokenCounts sizes(const RequestTokenCounts& typical) const;

 private:
  RequestTokenCounts mean_;
  double sample_count_ = 0;
};

}  // namespace larchlever::engine
