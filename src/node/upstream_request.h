#pragma once

#include "core/fleet/dispatcher.h"
#include "net/http_types.h"
#include "node/dialect.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// Returns the caller's request as the server gets it: with the tenant instead of the key, and the time that is left.
net::HttpRequest make_request_for_server(const Dialect& dialect, const RelayedRequest& request,
                                         const fleet::DispatchTarget& target, TimePoint now);

/// Returns the caller's request as a peer gets it, which checks it like a caller's and sends it to a server.
net::HttpRequest make_request_for_peer(const Dialect& dialect, const RelayedRequest& request,
                                       const RelayInstructions& instructions, TimePoint now);

}  // namespace larchlever::node
