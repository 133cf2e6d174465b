#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <string>

#include "net/http_server.h"
#include "net/timed_stream.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kShortTimeout = milliseconds(300);
/// Only ends a test whose server never disconnects the client.
constexpr auto kHangTimeout = std::chrono::seconds(20);
/// More than can arrive in single bytes until the body takes too long.
constexpr size_t kBodyLimitBytes = 1'000'000'000;
constexpr size_t kBlockBytes = 64 * 1024;

class OkHandler : public HttpHandler {
 public:
  asio::awaitable<void> handle(HttpExchange& exchange) override { co_await exchange.respond(HttpResponse()); }
};

/// Sends `begin` and then `repeated` to a server until it disconnects the client. Returns false if it never does.
bool is_disconnected_while_sending(const std::string& begin, const std::string& repeated) {
  asio::io_context context(1);
  OkHandler handler;
  HttpServerOptions options;
  options.body_limit_bytes = kBodyLimitBytes;
  options.body_timeout = kShortTimeout;
  HttpServer server(context.get_executor(), options, handler);
  std::string error;
  const auto port = server.listen("127.0.0.1", 0, error);
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), *port});
  std::string block;
  while (block.size() < kBlockBytes) {
    block += repeated;
  }
  bool is_disconnected = false;
  const auto send = [&]() -> asio::awaitable<void> {
    auto [write_error, count] = co_await asio::async_write(socket, asio::buffer(begin), kAwaitWithError);
    while (!write_error) {
      std::tie(write_error, count) = co_await asio::async_write(socket, asio::buffer(block), kAwaitWithError);
    }
    is_disconnected = true;
    context.stop();
  };
  asio::co_spawn(context, send, asio::detached);
  context.run_for(kHangTimeout);
  return is_disconnected;
}

const std::string kHead = "POST / HTTP/1.1\r\nHost: a\r\n";

// An operation that completed at once ended the timer of its deadline before it fired.
TEST(UnpausedSender, IsDisconnectedWhenItsChunksTakeTooLong) {
  EXPECT_TRUE(is_disconnected_while_sending(kHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"));
}

TEST(UnpausedSender, IsDisconnectedAfterItsRequestWasRejected) {
  EXPECT_TRUE(is_disconnected_while_sending("NONSENSE\r\n\r\n", "x"));
}

// A stream whose deadline has passed still takes what arrived in time, for a moment.
TEST(TimedStream, ReadsWhatIsThereAfterItsDeadline) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket writer(context);
  writer.connect(acceptor.local_endpoint());
  TimedStream stream(acceptor.accept());
  asio::write(writer, asio::buffer(std::string("arrived")));
  stream.expires_after(milliseconds(-1));
  std::string received(3, '\0');
  boost::system::error_code error;
  const auto read = [&]() -> asio::awaitable<void> {
    size_t count = 0;
    std::tie(error, count) = co_await stream.async_read_some(asio::buffer(received), kAwaitWithError);
  };
  asio::co_spawn(context, read, asio::detached);
  context.run_for(kHangTimeout);
  EXPECT_FALSE(error) << error.message();
  EXPECT_EQ(received, "arr");
}

}  // namespace
}  // namespace larchlever::net
