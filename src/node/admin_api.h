#pragma once

#include "net/http_server.h"
#include "node/metrics.h"
#include "node/node_runtime.h"
#include "node/request_front.h"

namespace larchlever::node {

/// The operators' side of a node: POST /admin/operate takes a Thrift OperatorRequest and answers with an
/// OperatorReply; /metrics, /healthz and /readyz serve monitoring. One executor.
class AdminApi : public net::HttpHandler {
 public:
  AdminApi(NodeRuntime& runtime, RequestFront& front, const net::HttpServer& callers);
  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;

 private:
  boost::asio::awaitable<void> operate(net::HttpExchange& exchange);

  NodeRuntime& runtime_;
  RequestFront& front_;
  const net::HttpServer& callers_;
};

}  // namespace larchlever::node
