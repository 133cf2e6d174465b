#pragma once

#include "net/http_types.h"
#include "node/dialect.h"
#include "node/entry_state.h"

namespace larchlever::node {

/// Present where a server that turns a request away asks for rest, in seconds.
constexpr const char* kRetryAfter = "retry-after";

/// Notes what a server asks of this entry in the head of an answer (`fleet::ServerNotices`): rest, by `Retry-After` in
/// a 503 or 429, or to be left because it leaves. Each is logged, as is a value that cannot be read.
void note_server_notices(EntryState& state, const Dialect& dialect, const fleet::Target& target,
                         const net::HttpResponse& head);

}  // namespace larchlever::node
