#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/routing/routing_table.h"
#include "net/http_types.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// A caller's model request, taken apart and checked.
struct ModelRequest {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string prompt;
  bool is_chat = true;
  bool is_streaming = false;
  bool is_repeatable = false;
  std::string idempotency_key;
  int64_t issued_at_ms = 0;
  int priority = 5;
  int64_t body_digest = 0;
  /// The body for the engine: the caller's, with streaming switched on.
  std::string engine_body;
};

/// Reads a call of /v1/chat/completions or /v1/completions. Returns nothing and fills `problem` for malformed JSON,
/// missing fields or an unknown tenant.
std::optional<ModelRequest> parse_model_request(const net::HttpRequest& request, const routing::RoutingTable& table,
                                                ProblemDetails& problem);

/// `Larchlever-Repeat` of the request: safe, unsafe, or nothing when absent or unreadable.
std::optional<bool> parse_repeat_header(const net::HttpRequest& request);

/// Hash of a request body as claims store it.
int64_t hash_body(std::string_view body);

}  // namespace larchlever::node
