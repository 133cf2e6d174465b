#pragma once

#include <string>

#include "net/http_server.h"
#include "node/caller_api.h"
#include "node/node_runtime.h"

namespace larchlever::node {

/// Renders the node's counters and gauges in the Prometheus text format.
std::string render_metrics(NodeRuntime& runtime, const CallerApi& caller_api, const net::HttpServerStats& server_stats);

}  // namespace larchlever::node
