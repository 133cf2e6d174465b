#include "net/peer_transport.h"

#include <netinet/tcp.h>

#include <boost/asio.hpp>
#include <deque>
#include <set>

#include "net/clock.h"
#include "net/frame.h"
#include "net/http_types.h"
#include "net/listener.h"
#include "wire/codec.h"

namespace larchlever::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxQueuedBytes = 96U << 20U;
constexpr size_t kReadBufferBytes = 64 * 1024;
constexpr auto kReconnectDelay = std::chrono::milliseconds(60);
/// Connection attempts are abandoned and repeated after this time. The SYN may be lost, for instance while the peer's
/// machine starts, and the kernel retransmits it only after a second.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
/// A link on which nothing is received for this long after a message was sent is closed and reopened, since peers
/// answer within milliseconds. A middlebox can silently drop packets in one direction, which TCP does not detect.
constexpr auto kReplyTimeout = std::chrono::milliseconds(2000);

struct Link {
  explicit Link(const asio::any_io_executor& executor) : socket(executor) {}
  tcp::socket socket;
  std::string node;
  std::deque<std::string> queue;
  size_t queued_bytes = 0;
  bool connected = false;
  bool writing = false;
  bool closed = false;
  /// Send time of the first message since data was last received on this link; empty if the peer has answered.
  std::optional<TimePoint> unanswered_since;
};

using LinkPointer = std::shared_ptr<Link>;

/// Disables Nagle's algorithm for small messages, and sets a timeout for unacknowledged data that detects a peer that
/// vanished without closing the connection.
void set_socket_options(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const unsigned int timeout_ms = 5000;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

}  // namespace

struct PeerTransport::Implementation : std::enable_shared_from_this<PeerTransport::Implementation> {
  Implementation(asio::any_io_executor given_executor, Receiver given_receiver)
      : executor(std::move(given_executor)), receiver(std::move(given_receiver)), acceptor(executor) {}

  // Coroutines start only when the executor runs them, and the transport may be destroyed before that. `self` and the
  // other shared pointers keep what a coroutine uses alive from the call on.
  using ImplementationPointer = std::shared_ptr<Implementation>;
  asio::awaitable<void> accept_loop(ImplementationPointer self);
  asio::awaitable<void> read_loop(ImplementationPointer self, LinkPointer link);
  asio::awaitable<void> write_loop(ImplementationPointer self, LinkPointer link);
  asio::awaitable<void> connect_to_peer(ImplementationPointer self, LinkPointer link, std::string endpoint);
  /// Passes complete frames of `buffer` to the receiver. Returns false if the link sent an invalid frame.
  bool process_frames(const LinkPointer& link, std::string& buffer);
  void close(const LinkPointer& link);
  void enqueue(const LinkPointer& link, std::string frame);

  asio::any_io_executor executor;
  Receiver receiver;
  tcp::acceptor acceptor;
  std::map<std::string, std::string> addresses;
  std::map<std::string, LinkPointer> links_by_node;
  std::map<std::string, TimePoint> reconnect_not_before;
  std::set<LinkPointer> links;
  bool stopped = false;
  PeerStats stats;
};

asio::awaitable<void> PeerTransport::Implementation::accept_loop(ImplementationPointer self) {
  while (acceptor.is_open()) {
    auto link = std::make_shared<Link>(executor);
    auto [error] = co_await acceptor.async_accept(link->socket, kAwaitWithError);
    if (error == asio::error::operation_aborted || stopped) {
      co_return;
    }
    if (error) {
      asio::steady_timer retry_timer(executor, std::chrono::milliseconds(50));
      co_await retry_timer.async_wait(kAwaitWithError);
      continue;
    }
    set_socket_options(link->socket);
    link->connected = true;
    links.insert(link);
    asio::co_spawn(executor, read_loop(self, link), asio::detached);
  }
}

bool PeerTransport::Implementation::process_frames(const LinkPointer& link, std::string& buffer) {
  size_t consumed = 0;
  while (true) {
    std::string_view payload;
    size_t size = 0;
    const auto status = decode_frame(std::string_view(buffer).substr(consumed), payload, size);
    if (status == FrameStatus::kIncomplete) {
      break;
    }
    auto envelope = status == FrameStatus::kComplete ? wire::decode<wire::Envelope>(payload) : std::nullopt;
    if (!envelope || envelope->from_node.empty()) {
      ++stats.bad_frames;
      return false;
    }
    ++stats.frames_received;
    consumed += size;
    if (link->node != envelope->from_node) {
      link->node = envelope->from_node;
      links_by_node[link->node] = link;
    }
    receiver(std::move(*envelope));
  }
  buffer.erase(0, consumed);
  return true;
}

asio::awaitable<void> PeerTransport::Implementation::read_loop(ImplementationPointer self, LinkPointer link) {
  std::string buffer;
  std::string read_buffer(kReadBufferBytes, '\0');
  while (!link->closed) {
    auto [error, count] = co_await link->socket.async_read_some(asio::buffer(read_buffer), kAwaitWithError);
    if (error) {
      break;
    }
    self->stats.bytes_received += count;
    link->unanswered_since.reset();
    buffer.append(read_buffer.data(), count);
    if (!process_frames(link, buffer)) {
      break;
    }
  }
  close(link);
}

asio::awaitable<void> PeerTransport::Implementation::write_loop(ImplementationPointer self, LinkPointer link) {
  while (!link->queue.empty() && !link->closed) {
    // Write all queued messages at once, which needs fewer system calls when messages come in bursts.
    std::vector<std::string> batch(std::make_move_iterator(link->queue.begin()),
                                   std::make_move_iterator(link->queue.end()));
    link->queue.clear();
    link->queued_bytes = 0;
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(batch.size());
    for (const auto& frame : batch) {
      buffers.push_back(asio::buffer(frame));
    }
    auto [error, count] = co_await asio::async_write(link->socket, buffers, kAwaitWithError);
    if (error) {
      close(link);
      break;
    }
    self->stats.bytes_sent += count;
    self->stats.frames_sent += batch.size();
  }
  link->writing = false;
}

void PeerTransport::Implementation::close(const LinkPointer& link) {
  if (link->closed) {
    return;
  }
  link->closed = true;
  stats.messages_dropped += link->queue.size();
  boost::system::error_code ignored;
  link->socket.close(ignored);
  const auto found = links_by_node.find(link->node);
  if (found != links_by_node.end() && found->second == link) {
    links_by_node.erase(found);
  }
  links.erase(link);
}

void PeerTransport::Implementation::enqueue(const LinkPointer& link, std::string frame) {
  if (link->queued_bytes + frame.size() > kMaxQueuedBytes) {
    ++stats.messages_dropped;
    return;
  }
  link->queued_bytes += frame.size();
  link->queue.push_back(std::move(frame));
  if (link->connected && !link->writing) {
    link->writing = true;
    asio::co_spawn(executor, write_loop(shared_from_this(), link), asio::detached);
  }
}

asio::awaitable<void> PeerTransport::Implementation::connect_to_peer(ImplementationPointer self, LinkPointer link,
                                                                     std::string endpoint) {
  const auto [host, port] = split_endpoint(endpoint);
  boost::system::error_code address_error;
  const auto address = asio::ip::make_address(host, address_error);
  if (address_error) {
    close(link);
    co_return;
  }
  asio::steady_timer timer(executor, kConnectTimeout);
  timer.async_wait([link](boost::system::error_code error) {
    if (!error && !link->connected) {
      boost::system::error_code ignored;
      link->socket.close(ignored);
    }
  });
  const tcp::endpoint target(address, static_cast<uint16_t>(std::stoi(port)));
  auto [error] = co_await link->socket.async_connect(target, kAwaitWithError);
  timer.cancel();
  if (error || link->closed) {
    ++stats.connect_failures;
    reconnect_not_before[link->node] = monotonic_now() + kReconnectDelay;
    close(link);
    co_return;
  }
  ++stats.connections_opened;
  set_socket_options(link->socket);
  link->connected = true;
  if (!link->queue.empty() && !link->writing) {
    link->writing = true;
    asio::co_spawn(executor, write_loop(self, link), asio::detached);
  }
  co_await read_loop(self, link);
}

PeerTransport::PeerTransport(asio::any_io_executor executor, Receiver receiver)
    : implementation_(std::make_shared<Implementation>(std::move(executor), std::move(receiver))) {}

PeerTransport::~PeerTransport() { close_all(); }

std::optional<uint16_t> PeerTransport::listen(const std::string& address, uint16_t port, std::string& error) {
  auto& self = *implementation_;
  const auto bound = start_listening(self.acceptor, address, port, error);
  if (!bound) {
    return std::nullopt;
  }
  asio::co_spawn(self.executor, self.accept_loop(implementation_), asio::detached);
  return bound;
}

void PeerTransport::set_address(const std::string& node, const std::string& endpoint) {
  implementation_->addresses[node] = endpoint;
}

void PeerTransport::send(const larchlever::wire::Envelope& envelope) {
  auto& self = *implementation_;
  if (self.stopped) {
    return;
  }
  const std::string& node = envelope.to_node;
  const auto now = monotonic_now();
  auto found = self.links_by_node.find(node);
  if (found != self.links_by_node.end() && found->second->unanswered_since &&
      now - *found->second->unanswered_since > kReplyTimeout) {
    ++self.stats.silent_links;
    self.close(LinkPointer(found->second));
    found = self.links_by_node.end();
  }
  if (found == self.links_by_node.end()) {
    const auto known_address = self.addresses.find(node);
    // If no address was set, the node name itself may be an endpoint.
    const std::string endpoint = known_address != self.addresses.end() ? known_address->second
                                 : split_endpoint(node).first.empty()  ? std::string()
                                                                       : node;
    const auto next_reconnect = self.reconnect_not_before.find(node);
    const bool reconnect_delayed = next_reconnect != self.reconnect_not_before.end() && now < next_reconnect->second;
    if (endpoint.empty() || reconnect_delayed) {
      ++self.stats.messages_dropped;
      return;
    }
    auto link = std::make_shared<Link>(self.executor);
    link->node = node;
    self.links.insert(link);
    found = self.links_by_node.emplace(node, link).first;
    asio::co_spawn(self.executor, self.connect_to_peer(implementation_, link, endpoint), asio::detached);
  }
  if (!found->second->unanswered_since) {
    found->second->unanswered_since = now;
  }
  self.enqueue(found->second, encode_frame(wire::encode(envelope)));
}

void PeerTransport::close_all() {
  auto& self = *implementation_;
  self.stopped = true;
  boost::system::error_code ignored;
  self.acceptor.close(ignored);
  const auto links = self.links;
  for (const auto& link : links) {
    self.close(link);
  }
}

const PeerStats& PeerTransport::stats() const { return implementation_->stats; }

}  // namespace larchlever::net
