#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "larchlever_types.h"

namespace larchlever::net {

struct PeerStats {
  uint64_t frames_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  uint64_t bad_frames = 0;
  uint64_t messages_dropped = 0;
  uint64_t connections_opened = 0;
  uint64_t connect_failures = 0;
  uint64_t silent_links = 0;
};

/// Sends messages between larchlever processes over TCP, as length-prefixed, checksummed frames with one Thrift
/// Envelope each. Best effort: messages may be lost but are never altered or misattributed. Replies use the connection
/// on which the request arrived, so a node needs only the addresses of the nodes to which it sends requests. Runs on
/// one executor; not thread-safe.
class PeerTransport {
 public:
  using Receiver = std::function<void(larchlever::wire::Envelope)>;

  PeerTransport(boost::asio::any_io_executor executor, Receiver receiver);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Binds and starts accepting peers. Arguments and result are those of HttpServer::listen.
  std::optional<uint16_t> listen(const std::string& address, uint16_t port, std::string& error);
  /// Sets the address, IP:PORT, at which `node` is reached.
  void set_address(const std::string& node, const std::string& endpoint);
  void send(const larchlever::wire::Envelope& envelope);
  void close_all();
  const PeerStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::net
