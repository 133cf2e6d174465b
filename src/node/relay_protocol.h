#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "net/http_types.h"

namespace larchlever::node {

/// What an entry tells the peer that relays a request for it. The request itself is the caller's, with its API key.
struct RelayInstructions {
  /// Peer address of the entry that received the request from its caller.
  std::string sender;
  /// Version of the configuration document that the sender applied. A peer that holds an earlier one must not decide.
  int64_t document_version = 0;
  /// Keys of targets that the request must not be sent to.
  std::set<std::string> excluded_targets;
};

/// How a relayed request ended at the peer.
enum class RelayResult {
  kServed,   ///< The response is that of a server.
  kRefused,  ///< The response is the peer's own and final; the request did not run.
  kNotSent,  ///< The peer cannot reach or choose a server. Nothing was sent to one.
  kNotRun,   ///< A server got the request and did not run it.
  kLost,     ///< A server may have run the request; its response was lost.
};

void add_relay_instructions(net::Headers& headers, const RelayInstructions& instructions);
/// Returns nothing, and sets `error`, if the headers are missing, repeated or malformed.
std::optional<RelayInstructions> parse_relay_instructions(const net::Headers& headers, std::string& error);

/// `target` is the key of the target that the request was last sent to; empty if there was none.
void set_relay_result(net::Headers& headers, RelayResult result, const std::string& target);
/// Returns nothing if the response does not come from a peer that relays requests.
std::optional<RelayResult> find_relay_result(const net::Headers& headers);
/// The target of `set_relay_result`; empty if there is none.
std::string find_relay_target(const net::Headers& headers);

/// Removes all headers of this protocol. Applied to everything that comes from callers and servers or goes to them.
void remove_relay_headers(net::Headers& headers);

}  // namespace larchlever::node
