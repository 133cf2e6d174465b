#pragma once

#include <cstdint>
#include <string>

#include "core/requests/retry_state.h"
#include "node/claim_gate.h"
#include "node/front_answers.h"
#include "node/model_call.h"
#include "node/node_runtime.h"

namespace larchlever::node {

/// Serves model requests: admission, claim, routing, attempts at groups, and the relay of their event streams.
///
/// Guarantees: "not-run" is told only when no byte reached an engine or the engine said that it did not start; a
/// request that is unsafe to repeat leaves this node at most once; an answer that is not whole is never ended as if it
/// were. One executor; requests interleave.
class ModelFront {
 public:
  ModelFront(NodeRuntime& runtime, requests::RetryBudget& retry_budget, ClaimGate& claims, FrontStats& stats)
      : runtime_(runtime), retry_budget_(retry_budget), claims_(claims), stats_(stats) {}

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange);

 private:
  struct Call;
  struct Attempt {
    requests::AttemptResult result = requests::AttemptResult::kNotSent;
    bool answered = false;
    std::string reason;
  };

  boost::asio::awaitable<void> serve_model(Call& call);
  boost::asio::awaitable<void> run_attempts(Call& call);
  boost::asio::awaitable<Attempt> attempt(Call& call, const wire::Group& group);
  boost::asio::awaitable<Attempt> relay(Call& call, net::ClientStream& stream);
  boost::asio::awaitable<bool> pass_on(Call& call, const std::string& events);
  boost::asio::awaitable<void> finish_stream(Call& call);
  boost::asio::awaitable<void> give_up(Call& call, const Attempt& last);

  NodeRuntime& runtime_;
  requests::RetryBudget& retry_budget_;
  ClaimGate& claims_;
  FrontStats& stats_;
  uint64_t next_request_ = 1;
};

}  // namespace larchlever::node
