#pragma once

#include <string>

namespace larchlever::node {

/// Header names, paths and operation names used with callers and engines. The defaults are the product's own; a
/// platform adapter may supply others.
struct Dialect {
  std::string request_id_header = "Larchlever-Request-Id";
  std::string deadline_ms_header = "Larchlever-Deadline-Ms";
  std::string api_key_header = "Larchlever-Key";
  std::string tenant_header = "Larchlever-Tenant";
  std::string expect_instance_header = "Larchlever-Expect-Instance";
  std::string instance_header = "Larchlever-Instance";
  /// Present in a response if the server did not run the request.
  std::string not_run_header = "Larchlever-Not-Run";
  /// The server's signature over the response. A success response without it is not accepted as the server's.
  std::string signature_header = "Larchlever-Signature";
  std::string model_header = "Larchlever-Model";
  std::string token_counts_header = "Larchlever-Tokens";
  /// Lists the parts of the prompt; see requests/prompt_parts.h.
  std::string prompt_parts_header = "Larchlever-Prompt-Parts";
  std::string length_hint_header = "Larchlever-Length-Hint";
  std::string priority_class_header = "Larchlever-Priority";
  std::string last_event_id_header = "Last-Event-Id";
  /// Names the faulty server when the head of a group refuses a request.
  std::string faulty_server_header = "At-Server";
  /// Has the value "1" in all responses of a server that is shutting down.
  std::string leaving_header = "Larchlever-Leaving";
  /// Rate limit of the server in requests per second, shared by all entries. Present in all responses while the limit
  /// applies.
  std::string limit_header = "Larchlever-Limit";
  /// Path at which engines describe their state, without using a slot.
  std::string engine_report_path = "/engine/report";
  /// Path at which engines accept orders.
  std::string engine_order_path = "/engine/orders";
  /// Name of the order that loads a model onto a host without joining a group.
  std::string stage_operation = "stage";
};

/// Returns the dialect with this name from the settings, or null if there is none.
const Dialect* find_dialect(const std::string& name);

}  // namespace larchlever::node
