#pragma once

#include <string>

#include "node/claim_gate.h"
#include "node/front_answers.h"
#include "node/model_front.h"
#include "node/service_front.h"

namespace larchlever::node {

/// The callers' side of a node: sends each request to the part that serves its path, and answers the balancer's checks.
/// One executor; requests interleave.
class RequestFront : public net::HttpHandler {
 public:
  explicit RequestFront(NodeRuntime& runtime);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// A stopping node reports itself as not ready, and goes on serving.
  void set_ready(bool ready) { ready_ = ready; }
  bool ready() const;
  const FrontStats& stats() const { return stats_; }
  size_t active() const { return active_; }

 private:
  boost::asio::awaitable<void> list_models(net::HttpExchange& exchange);

  NodeRuntime& runtime_;
  FrontStats stats_;
  requests::RetryBudget retry_budget_;
  ClaimGate claims_;
  ModelFront models_;
  ServiceFront services_;
  bool ready_ = true;
  size_t active_ = 0;
};

}  // namespace larchlever::node
