#pragma once

#include "core/base/time.h"
#include "core/document/configuration_document.h"

/// Predicts latency and throughput of an engine group from the cost model in the configuration document.
///
/// An engine works in passes: each runs decode steps for all running requests and the prefill of pending prompts.
namespace larchlever::engine {

/// Mean size of a model's requests in tokens.
struct RequestTokenCounts {
  double prompt = 0;
  double answer = 0;
};

/// Steady state of a group with a constant number of running requests.
struct GroupForecast {
  /// Duration of one pass, which is also the pause between two events of a stream.
  Duration pass{};
  /// Time from the arrival of a request to its first event.
  Duration time_to_first_event{};
  /// Ratio of prompt tokens that arrive during a pass to those that a pass can process; at 1 and above the queue grows.
  double prefill_load = 0;
};

GroupForecast forecast_steady_state(const document::EngineSpec& engine, const document::ModelSpec& model,
                                    const RequestTokenCounts& sizes, int running);

/// Maximum number of concurrent requests of a group for which the first event is expected within `target`; between 1
/// and the engine's slots.
int max_running_requests(const document::EngineSpec& engine, const document::ModelSpec& model,
                         const RequestTokenCounts& sizes, Duration target);

/// Duration of the longest possible pass: all slots are in use and each step processes a full prefill chunk.
Duration max_pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model);

/// Duration of a pass that decodes for `running` requests and also processes `prefill_tokens` prompt tokens.
Duration pass_duration(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                       double prefill_tokens);

/// Maximum number of prompt tokens that one pass processes.
double max_prefill_tokens_per_pass(const document::EngineSpec& engine);

/// Time to the first event of a new request with `prompt_tokens`, in a group with `running` requests that still has to
/// process `waiting_tokens` of their prompts.
Duration expected_time_to_first_event(const document::EngineSpec& engine, const document::ModelSpec& model, int running,
                                      double waiting_tokens, double prompt_tokens);

/// Time for which one request occupies a slot of a group with `running` requests: the passes that process its prompt
/// and those that decode its answer. Prompts of other requests are not included.
Duration expected_occupation(const document::EngineSpec& engine, const document::ModelSpec& model,
                             const RequestTokenCounts& sizes, int running);

/// Requests per second that a group serves with `max_running_requests` at all times. All slots are used if `target` is
/// zero.
double sustainable_requests_per_second(const document::EngineSpec& engine, const document::ModelSpec& model,
                                       const RequestTokenCounts& sizes, Duration target);

/// Running means of the request sizes that callers declare.
class RequestSizeEstimator {
 public:
  void add_sample(double prompt_tokens, double answer_tokens);
  /// The means, or `typical` as long as there are no samples.
  RequestTokenCounts sizes(const RequestTokenCounts& typical) const;

 private:
  RequestTokenCounts mean_;
  double sample_count_ = 0;
};

}  // namespace larchlever::engine
