#pragma once

#include "net/http_types.h"
#include "node/dialect.h"
#include "node/entry_state.h"

namespace larchlever::node {

/// Present where a server that turns a request away asks for rest, in seconds.
constexpr const char* kRetryAfterHeader = "retry-after";

/// An answer's head, the server that it was asked of and when the request was sent.
struct ServerResponse {
  const fleet::Target& target;
  TimePoint sent_at;
  const net::HttpResponse& head;
};

/// Notes what a server asks for in the head of an answer (`fleet::ServerNotices`, `fleet::ServerLimits`): rest, by
/// `Retry-After` in a 503 or 429; to be left because it leaves; or no more than so many requests a second. Each is
/// logged when it is news, as is a value that cannot be read.
void record_server_notices(EntryState& state, const Dialect& dialect, const ServerResponse& response);

}  // namespace larchlever::node
