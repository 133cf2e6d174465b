#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/routing/routing_table.h"
#include "net/http_types.h"
#include "node/front_answers.h"

namespace larchlever::node {

/// A caller's model request, taken apart and checked.
struct ModelCall {
  std::string tenant;
  std::string model;
  std::string adapter;
  std::string prompt;
  bool chat = true;
  bool stream = false;
  bool safe = false;
  std::string key;
  int64_t issued_at_ms = 0;
  int priority = 5;
  int64_t body_digest = 0;
  /// The body for the engine: the caller's, with streaming switched on.
  std::string engine_body;
};

/// Reads a call of /v1/chat/completions or /v1/completions. Returns nothing and fills `problem` for malformed JSON,
/// missing fields or an unknown tenant.
std::optional<ModelCall> parse_model_call(const net::HttpRequest& request, const routing::RoutingTable& table,
                                          Problem& problem);

/// `Larchlever-Repeat` of the request: safe, unsafe, or nothing when absent or unreadable.
std::optional<bool> repeat_header(const net::HttpRequest& request);

/// Hash of a request body as claims store it.
int64_t digest_of(std::string_view body);

}  // namespace larchlever::node
