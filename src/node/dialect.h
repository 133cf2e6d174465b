#pragma once

#include <string>

namespace larchlever::node {

/// The names under which callers and engines exchange what the product needs of a request. The defaults are the
/// product's own; an adapter may supply others.
struct Dialect {
  std::string request_id_header = "Larchlever-Request-Id";
  std::string deadline_ms_header = "Larchlever-Deadline-Ms";
  std::string api_key_header = "Larchlever-Key";
  std::string tenant_header = "Larchlever-Tenant";
  std::string expect_instance_header = "Larchlever-Expect-Instance";
  std::string instance_header = "Larchlever-Instance";
  /// Present when the server did not run the request.
  std::string not_run_header = "Larchlever-Not-Run";
  /// The server's signature over an answer; a success without it is none.
  std::string signature_header = "Larchlever-Signature";
  std::string model_header = "Larchlever-Model";
  std::string token_counts_header = "Larchlever-Tokens";
  std::string length_hint_header = "Larchlever-Length-Hint";
  std::string priority_class_header = "Larchlever-Priority";
  std::string last_event_id_header = "Last-Event-Id";
  /// The server at fault when a head turns a request away.
  std::string faulty_server_header = "At-Server";
  /// Says "1" in all answers of a server that leaves.
  std::string leaving_header = "Larchlever-Leaving";
  /// Requests a second that a server takes from all entries together; in all answers for as long as it holds.
  std::string limit_header = "Larchlever-Limit";
  /// Where engines take orders.
  std::string engine_order_path = "/engine/orders";
  /// What the order to load a model onto the host, without joining a group, is called.
  std::string stage_operation = "stage";
};

/// The dialect named in the settings; null when there is none of that name.
const Dialect* find_dialect(const std::string& name);

}  // namespace larchlever::node
