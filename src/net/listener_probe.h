#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace larchlever::net {

/// What a connection attempt tells of a server.
enum class ListenerState {
  kListening,
  /// The machine answers, but no process listens there.
  kRefused,
  /// Nothing came back in time, or the address cannot be reached: the way there may be cut.
  kUnknown
};

/// Opens a connection to `endpoint`, IP:PORT, and closes it at once. Returns within `timeout`. `endpoint` must live
/// until then.
boost::asio::awaitable<ListenerState> probe_listener(const std::string& endpoint, std::chrono::milliseconds timeout);

}  // namespace larchlever::net
