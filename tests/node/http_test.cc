#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;

class Echo : public HttpHandler {
 public:
  asio::awaitable<void> handle(HttpExchange& exchange) override {
    ++requests;
    HttpResponse response;
    response.body = "ok";
    co_await exchange.respond(std::move(response));
  }
  int requests = 0;
};

/// Sends raw bytes to a server and returns everything it answers until it closes.
std::string raw_exchange(const std::string& bytes) {
  asio::io_context context(1);
  Echo echo;
  HttpServer server(context.get_executor(), HttpServerOptions(), echo);
  std::string error;
  const auto port = server.listen("127.0.0.1", 0, error);
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), *port});
  asio::write(socket, asio::buffer(bytes));
  std::string answer;
  asio::async_read(socket, asio::dynamic_buffer(answer), [&](boost::system::error_code, size_t) { context.stop(); });
  context.run_for(std::chrono::seconds(5));
  return answer;
}

TEST(HttpServer, RefusesHeadsThatServersMayReadDifferently) {
  EXPECT_TRUE(raw_exchange("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  EXPECT_NE(raw_exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n").find(" 400 "),
            std::string::npos);
  EXPECT_NE(raw_exchange("GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(raw_exchange("GET / HTTP/1.1\r\nX: 1\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(raw_exchange("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(
      raw_exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          .find(" 400 "),
      std::string::npos);
  EXPECT_NE(raw_exchange("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n").find(" 413 "),
            std::string::npos);
}

TEST(HttpServer, ClosesRestingConnectionsWhenAsked) {
  asio::io_context context(1);
  Echo echo;
  HttpServer server(context.get_executor(), HttpServerOptions(), echo);
  std::string error;
  const auto port = server.listen("127.0.0.1", 0, error);
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), *port});
  bool closed = false;
  std::string answer;
  asio::async_read(socket, asio::dynamic_buffer(answer), [&](boost::system::error_code, size_t) {
    closed = true;
    context.stop();
  });
  context.run_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(closed);
  server.close_idle();
  context.restart();
  context.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(closed);
}

/// A cancellation outlives the attempt to connect: it must not touch the connection that was given up.
TEST(HttpClient, ACancellationAfterAFailedConnectTouchesNothing) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor unused(context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
  unused.close();
  HttpClient client(context.get_executor());
  OpenOptions options;
  options.cancellation = std::make_shared<Cancellation>();
  bool done = false;
  const HttpRequest request;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const auto opened = co_await client.open(endpoint, request, options);
        EXPECT_EQ(opened.state, SendState::kNotSent);
        options.cancellation->cancel();
        done = true;
      },
      asio::detached);
  context.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(done);
}

TEST(HttpClient, ACancelledRequestEndsAtOnce) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  HttpClient client(context.get_executor());
  OpenOptions options;
  options.cancellation = std::make_shared<Cancellation>();
  bool done = false;
  const HttpRequest request;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        const auto opened = co_await client.open(endpoint, request, options);
        EXPECT_EQ(opened.stream, nullptr);
        EXPECT_EQ(opened.state, SendState::kMaybeSent);
        done = true;
      },
      asio::detached);
  context.run_for(std::chrono::milliseconds(100));
  EXPECT_FALSE(done);
  options.cancellation->cancel();
  context.restart();
  context.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(done);
}

}  // namespace
}  // namespace larchlever::net
