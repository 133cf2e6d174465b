#pragma once

#include "net/http_types.h"
#include "node/dialect.h"
#include "node/entry_state.h"

namespace larchlever::node {

/// With this header, a server that refuses a request asks for a pause, in seconds.
constexpr const char* kRetryAfterHeader = "retry-after";

/// The head of a response, the server it came from and when the request was sent.
struct ServerResponse {
  const fleet::DispatchTarget& target;
  TimePoint sent_at;
  const net::HttpResponse& head;
};

/// Records what a server requests in its response headers (`fleet::ServerNotices`, `fleet::ServerLimits`): a pause
/// (`Retry-After` in a 503 or 429), no new requests because it is shutting down, or a rate limit. Logs changes of
/// these, and values that cannot be parsed.
void record_server_notices(EntryState& state, const Dialect& dialect, const ServerResponse& response);

}  // namespace larchlever::node
