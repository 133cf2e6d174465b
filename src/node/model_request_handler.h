#pragma once

#include <cstdint>
#include <string>

#include "core/requests/retry_state.h"
#include "node/idempotency_guard.h"
#include "node/model_request.h"
#include "node/node_runtime.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// Serves model requests: admission, idempotency claim, routing, attempts at groups, and relaying of their event
/// streams.
///
/// Guarantees: the outcome "not-run" is reported only if no byte reached an engine or the engine said that it did not
/// start; a request that is unsafe to repeat is sent by this node at most once; a truncated response is never
/// terminated as if it were complete. Runs on one executor; requests interleave.
class ModelRequestHandler {
 public:
  ModelRequestHandler(NodeRuntime& runtime, requests::RetryBudget& retry_budget, IdempotencyGuard& idempotency_guard,
                      RequestStats& stats)
      : runtime_(runtime), retry_budget_(retry_budget), idempotency_guard_(idempotency_guard), stats_(stats) {}

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange);

 private:
  struct RequestContext;
  /// Result of one attempt at a group.
  struct AttemptStatus {
    requests::AttemptResult result = requests::AttemptResult::kNotSent;
    /// The caller has its complete response or has disconnected; there is nothing to retry.
    bool is_finished = false;
    std::string reason;
  };

  boost::asio::awaitable<void> serve_admitted(RequestContext& context);
  boost::asio::awaitable<void> run_attempts(RequestContext& context);
  boost::asio::awaitable<AttemptStatus> send_attempt(RequestContext& context, const wire::Group& group);
  boost::asio::awaitable<AttemptStatus> relay_stream(RequestContext& context, net::ClientStream& stream);
  boost::asio::awaitable<bool> forward_events(RequestContext& context, const std::string& events);
  boost::asio::awaitable<void> finish_response(RequestContext& context);
  boost::asio::awaitable<void> send_failure(RequestContext& context, const AttemptStatus& last_attempt);

  NodeRuntime& runtime_;
  requests::RetryBudget& retry_budget_;
  IdempotencyGuard& idempotency_guard_;
  RequestStats& stats_;
  uint64_t next_request_number_ = 1;
};

}  // namespace larchlever::node
