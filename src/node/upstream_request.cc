#include "node/upstream_request.h"

#include <algorithm>
#include <chrono>

namespace larchlever::node {

namespace {

/// The parts that a server and a peer get alike.
net::HttpRequest copy_for_forwarding(const Dialect& dialect, const RelayedRequest& request, TimePoint now) {
  const auto& incoming = request.exchange->request();
  net::HttpRequest outgoing;
  outgoing.method = incoming.method;
  outgoing.target = incoming.target;
  outgoing.body = incoming.body;
  for (const auto& [name, value] : incoming.headers.all()) {
    if (!net::is_hop_by_hop(name, incoming.headers) && !net::equals_ignoring_case(name, "content-length")) {
      outgoing.headers.add(name, value);
    }
  }
  remove_relay_headers(outgoing.headers);
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
  outgoing.headers.set(dialect.deadline_ms_header, std::to_string(std::max<int64_t>(1, remaining.count())));
  if (request.event_stream.last_id()) {
    outgoing.headers.set(dialect.last_event_id_header, std::to_string(*request.event_stream.last_id()));
  }
  return outgoing;
}

}  // namespace

net::HttpRequest make_request_for_server(const Dialect& dialect, const RelayedRequest& request,
                                         const fleet::DispatchTarget& target, TimePoint now) {
  net::HttpRequest outgoing = copy_for_forwarding(dialect, request, now);
  outgoing.headers.remove(dialect.api_key_header);
  outgoing.headers.remove(dialect.tenant_header);
  outgoing.headers.remove(dialect.priority_class_header);
  outgoing.headers.set(dialect.expect_instance_header, target.instance_id);
  if (request.tenant != nullptr) {
    outgoing.headers.set(dialect.tenant_header, request.tenant->name);
  }
  return outgoing;
}

net::HttpRequest make_request_for_peer(const Dialect& dialect, const RelayedRequest& request,
                                       const RelayInstructions& instructions, TimePoint now) {
  net::HttpRequest outgoing = copy_for_forwarding(dialect, request, now);
  add_relay_instructions(outgoing.headers, instructions);
  return outgoing;
}

}  // namespace larchlever::node
