#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <string>

namespace larchlever::net {

/// What a connection attempt tells of a server.
enum class ListenerState {
  /// The connection was taken and stayed open.
  kListening,
  /// It was taken and closed at once.
  kClosed,
  /// The machine answers, but no process listens there.
  kRefused,
  /// Nothing came back in time, or the address cannot be reached: the way there may be cut.
  kUnknown
};

/// Opens a connection to `endpoint`, IP:PORT, sends nothing and watches for a moment whether it is kept. Returns within
/// `timeout` and that moment. `endpoint` must live until then.
boost::asio::awaitable<ListenerState> probe_listener(const std::string& endpoint, std::chrono::milliseconds timeout);

}  // namespace larchlever::net
