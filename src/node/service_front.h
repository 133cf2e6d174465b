#pragma once

#include <set>
#include <string>

#include "core/requests/retry_state.h"
#include "node/claim_gate.h"
#include "node/front_answers.h"
#include "node/node_runtime.h"

namespace larchlever::node {

/// Passes requests through to plain services, unchanged but for hop-by-hop headers: method, path, query, headers, body
/// and status. Requests that are unsafe to repeat leave this node at most once; with a key, at most once in the fleet.
/// One executor; requests interleave.
class ServiceFront {
 public:
  ServiceFront(NodeRuntime& runtime, requests::RetryBudget& retry_budget, ClaimGate& claims, FrontStats& stats)
      : runtime_(runtime), retry_budget_(retry_budget), claims_(claims), stats_(stats) {}

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange);

 private:
  struct Call;

  boost::asio::awaitable<void> run_attempts(Call& call);
  boost::asio::awaitable<requests::AttemptResult> attempt(Call& call, const std::string& endpoint);
  boost::asio::awaitable<bool> relay(Call& call, net::ClientStream& stream);

  NodeRuntime& runtime_;
  requests::RetryBudget& retry_budget_;
  ClaimGate& claims_;
  FrontStats& stats_;
};

}  // namespace larchlever::node
