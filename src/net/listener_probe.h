#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace larchlever::net {

/// Result of a connection attempt.
enum class ListenerState {
  /// The connection was accepted and stayed open.
  kListening,
  /// The connection was accepted and closed immediately.
  kAcceptedThenClosed,
  /// The machine is reachable, but no process listens on the port.
  kRefused,
  /// The attempt timed out or the address is unreachable. The server may be running behind a network partition.
  kUnknown
};

/// Connects to `endpoint`, which is IP:PORT, sends nothing and checks for a short time whether the connection stays
/// open. Takes at most `timeout` plus that time. If `local_address` is not empty, the connection originates from this
/// IP address. `endpoint` and `local_address` must outlive the call.
boost::asio::awaitable<ListenerState> probe_listener(const std::string& endpoint, std::chrono::milliseconds timeout,
                                                     const std::string& local_address);

}  // namespace larchlever::net
