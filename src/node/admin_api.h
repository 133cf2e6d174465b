#pragma once

#include "net/http_server.h"
#include "node/caller_api.h"
#include "node/metrics.h"
#include "node/node_runtime.h"

namespace larchlever::node {

/// HTTP interface for operators and monitoring. POST /admin/operate takes a Thrift OperatorRequest and returns an
/// OperatorReply; /metrics, /healthz and /readyz serve monitoring. Runs on one executor.
class AdminApi : public net::HttpHandler {
 public:
  AdminApi(NodeRuntime& runtime, CallerApi& caller_api, const net::HttpServer& caller_server);
  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;

 private:
  boost::asio::awaitable<void> operate(net::HttpExchange& exchange);

  NodeRuntime& runtime_;
  CallerApi& caller_api_;
  const net::HttpServer& caller_server_;
};

}  // namespace larchlever::node
