#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/routing/routing_table.h"
#include "net/http_types.h"
#include "node/problem_responses.h"

namespace larchlever::node {

/// A parsed and validated model request.
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
  /// The body sent to the engine: the caller's body with streaming enabled.
  std::string engine_body;
};

/// Parses a request to /v1/chat/completions or /v1/completions. Returns nothing and fills `problem` for malformed JSON,
/// missing fields or an unknown tenant.
std::optional<ModelRequest> parse_model_request(const net::HttpRequest& request, const routing::RoutingTable& table,
                                                ProblemDetails& problem);

/// Reads the `Larchlever-Repeat` header: true for safe, false for unsafe, nothing if it is absent or invalid.
std::optional<bool> parse_repeat_header(const net::HttpRequest& request);

/// Hash of a request body, as stored with claims.
int64_t hash_body(std::string_view body);

}  // namespace larchlever::node
