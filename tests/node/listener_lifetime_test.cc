#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <memory>

#include "net/http_server.h"
#include "net/peer_transport.h"

namespace larchlever::net {
namespace {

class NoOpHandler : public HttpHandler {
 public:
  boost::asio::awaitable<void> handle(HttpExchange& /*exchange*/) override { co_return; }
};

// When a node cannot listen on its second address, it destroys the listener of its first one before that listener's
// accept coroutine has started. The coroutine must not run on freed memory (AddressSanitizer: heap-use-after-free in
// PeerTransport::Implementation::accept_loop).
TEST(ListenerLifetime, TransportDestroyedBeforeAcceptLoopStarts) {
  boost::asio::io_context context;
  std::string error;
  auto transport = std::make_unique<PeerTransport>(context.get_executor(), [](const wire::Envelope&) {});
  ASSERT_TRUE(transport->listen("127.0.0.1", 0, error)) << error;
  transport.reset();
  context.run();
}

TEST(ListenerLifetime, ServerDestroyedBeforeAcceptLoopStarts) {
  boost::asio::io_context context;
  NoOpHandler handler;
  std::string error;
  auto server = std::make_unique<HttpServer>(context.get_executor(), HttpServerOptions(), handler);
  ASSERT_TRUE(server->listen("127.0.0.1", 0, error)) << error;
  server.reset();
  context.run();
}

// Sending to a peer starts a coroutine that connects; the transport may be destroyed before it runs.
TEST(ListenerLifetime, TransportDestroyedBeforeConnectStarts) {
  boost::asio::io_context context;
  auto transport = std::make_unique<PeerTransport>(context.get_executor(), [](const wire::Envelope&) {});
  wire::Envelope envelope;
  envelope.from_node = "127.0.0.1:1";
  envelope.to_node = "127.0.0.1:2";
  transport->send(envelope);
  transport.reset();
  context.run();
}

}  // namespace
}  // namespace larchlever::net
