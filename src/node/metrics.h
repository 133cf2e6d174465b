#pragma once

#include <string>

#include "net/http_server.h"
#include "node/node_runtime.h"
#include "node/request_front.h"

namespace larchlever::node {

/// The node's counters and gauges in Prometheus' text format.
std::string render_metrics(NodeRuntime& runtime, const RequestFront& front, const net::HttpServerStats& server);

}  // namespace larchlever::node
