#pragma once

#include <set>
#include <string>

#include "core/requests/retry_state.h"
#include "node/idempotency_guard.h"
#include "node/node_runtime.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// Relays requests to plain services. Method, path, query, headers, body and status are unchanged except for hop-by-hop
/// headers. A request that is unsafe to repeat is sent by this node at most once, and with an idempotency key at most
/// once in the fleet. Runs on one executor; requests interleave.
class ServiceRequestHandler {
 public:
  ServiceRequestHandler(NodeRuntime& runtime, requests::RetryBudget& retry_budget, IdempotencyGuard& idempotency_guard,
                        RequestStats& stats)
      : runtime_(runtime), retry_budget_(retry_budget), idempotency_guard_(idempotency_guard), stats_(stats) {}

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange);

 private:
  struct RequestContext;

  boost::asio::awaitable<void> run_attempts(RequestContext& context);
  boost::asio::awaitable<requests::AttemptResult> send_attempt(RequestContext& context, const std::string& endpoint);
  boost::asio::awaitable<bool> relay_response(RequestContext& context, net::ClientStream& stream);

  NodeRuntime& runtime_;
  requests::RetryBudget& retry_budget_;
  IdempotencyGuard& idempotency_guard_;
  RequestStats& stats_;
};

}  // namespace larchlever::node
