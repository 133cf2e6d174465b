#pragma once

#include <string>

#include "core/requests/shutdown_admission.h"
#include "node/idempotency_guard.h"
#include "node/model_request_handler.h"
#include "node/problem_responses.h"
#include "node/service_request_handler.h"

namespace larchlever::node {

/// HTTP interface for callers: dispatches each request to the handler for its path, and answers the load balancer's
/// health checks. Runs on one executor; requests interleave.
class CallerApi : public net::HttpHandler {
 public:
  explicit CallerApi(NodeRuntime& runtime);

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// A stopping node reports itself as not ready but keeps serving.
  void set_ready(bool is_ready) { ready_ = is_ready; }
  bool is_ready() const;
  /// Rejects requests that might not be complete at `end`, when this node stops. No new connections are accepted any
  /// more.
  void begin_shutdown(TimePoint end) { shutdown_admission_.begin(NodeRuntime::now(), end); }
  const RequestStats& stats() const { return stats_; }
  size_t active_requests() const { return active_requests_; }

 private:
  bool ends_before_shutdown(std::string_view path) const;
  boost::asio::awaitable<void> list_models(net::HttpExchange& exchange);

  NodeRuntime& runtime_;
  RequestStats stats_;
  requests::RetryBudget retry_budget_;
  IdempotencyGuard idempotency_guard_;
  ModelRequestHandler model_handler_;
  ServiceRequestHandler service_handler_;
  requests::ShutdownAdmission shutdown_admission_;
  bool ready_ = true;
  size_t active_requests_ = 0;
};

}  // namespace larchlever::node
