#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <thread>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/listener.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;

class OkHandler : public HttpHandler {
 public:
  asio::awaitable<void> handle(HttpExchange& exchange) override {
    ++requests;
    HttpResponse response;
    response.body = "ok";
    co_await exchange.respond(std::move(response));
  }
  int requests = 0;
};

/// Sends raw bytes to a server and returns everything it sends back until it closes the connection.
std::string send_raw_request(const std::string& bytes) {
  asio::io_context context(1);
  OkHandler ok_handler;
  HttpServer server(context.get_executor(), HttpServerOptions(), ok_handler);
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

TEST(HttpServer, RejectsAmbiguousHeads) {
  EXPECT_TRUE(send_raw_request("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
  EXPECT_NE(
      send_raw_request("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n").find(" 400 "),
      std::string::npos);
  EXPECT_NE(send_raw_request("GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(send_raw_request("GET / HTTP/1.1\r\nX: 1\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(send_raw_request("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").find(" 400 "), std::string::npos);
  EXPECT_NE(
      send_raw_request("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          .find(" 400 "),
      std::string::npos);
  EXPECT_NE(send_raw_request("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n").find(" 413 "),
            std::string::npos);
}

TEST(HttpServer, ClosesIdleConnectionsOnRequest) {
  asio::io_context context(1);
  OkHandler ok_handler;
  HttpServer server(context.get_executor(), HttpServerOptions(), ok_handler);
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
  server.close_idle_connections();
  context.restart();
  context.run_for(std::chrono::seconds(5));
  EXPECT_TRUE(closed);
}

/// Responds after a delay, either with a complete response or with a stream whose head is sent immediately.
class DelayedResponseHandler : public HttpHandler {
 public:
  explicit DelayedResponseHandler(bool use_stream) : use_stream_(use_stream) {}
  asio::awaitable<void> handle(HttpExchange& exchange) override {
    HttpResponse response;
    if (use_stream_) {
      co_await exchange.begin_stream(response);
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, std::chrono::milliseconds(100));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (use_stream_) {
      co_await exchange.write_piece("piece");
      co_await exchange.end_stream();
      co_return;
    }
    response.body = "whole";
    co_await exchange.respond(std::move(response));
  }

 private:
  bool use_stream_;
};

/// Sends a request, starts draining the server while the response is pending and, unless the response announced the
/// close, sends another request on the same connection. Returns everything received until the server closed the
/// connection.
std::string responses_around_drain(bool use_stream) {
  asio::io_context context(1);
  DelayedResponseHandler handler(use_stream);
  HttpServer server(context.get_executor(), HttpServerOptions(), handler);
  std::string error;
  const auto port = server.listen("127.0.0.1", 0, error);
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), *port});
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  asio::steady_timer drain_timer(context, std::chrono::milliseconds(50));
  drain_timer.async_wait([&server](boost::system::error_code) { server.begin_draining(); });
  std::string answers;
  asio::async_read(socket, asio::dynamic_buffer(answers),
                   [&context](boost::system::error_code, size_t) { context.stop(); });
  context.run_for(std::chrono::milliseconds(400));
  const bool close_announced = answers.find("Connection: close") != std::string::npos;
  if (!close_announced && !context.stopped()) {
    boost::system::error_code closed;
    asio::write(socket, asio::buffer(request), closed);
    context.run_for(std::chrono::seconds(5));
  }
  return answers;
}

size_t count_occurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// If a draining server closes a kept-alive connection without announcing it, the caller's next request can cross the
// close and be lost: this hit 9 of 12 kept connections when their entries stopped. A request that must not run twice
// cannot be retried then.
TEST(HttpServer, AnnouncesConnectionCloseWhileDraining) {
  const auto whole = responses_around_drain(false);
  EXPECT_EQ(count_occurrences(whole, "HTTP/1.1 200"), 1U);
  EXPECT_EQ(count_occurrences(whole, "Connection: close"), 1U) << "the head was written after draining started";
  const auto use_stream = responses_around_drain(true);
  EXPECT_EQ(count_occurrences(use_stream, "HTTP/1.1 200"), 2U)
      << "the first head was written before draining started, so one more request is served";
  EXPECT_EQ(count_occurrences(use_stream, "Connection: close"), 1U);
}

/// The Cancellation outlives the failed connection attempt and must not access the destroyed connection.
TEST(HttpClient, CancelAfterFailedConnectIsHarmless) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor unused_port_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = "127.0.0.1:" + std::to_string(unused_port_acceptor.local_endpoint().port());
  unused_port_acceptor.close();
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

TEST(HttpClient, CancelEndsRequestImmediately) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor silent_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const auto endpoint = "127.0.0.1:" + std::to_string(silent_acceptor.local_endpoint().port());
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

/// A server for one connection that writes only when the test tells it to.
class ManualServer {
 public:
  explicit ManualServer(asio::io_context& context)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), socket_(context) {}

  std::string endpoint() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  /// Accepts one connection and writes `bytes` before reading anything.
  void accept_and_write(const std::string& bytes) {
    acceptor_.async_accept(socket_, [this, bytes](boost::system::error_code error) {
      ASSERT_FALSE(error);
      write(bytes);
    });
  }
  /// Accepts one connection, reads a request, answers with `bytes` and ends the connection.
  void accept_answer_and_close(const std::string& bytes) {
    acceptor_.async_accept(socket_, [this, bytes](boost::system::error_code error) {
      ASSERT_FALSE(error);
      socket_.async_read_some(asio::buffer(request_), [this, bytes](boost::system::error_code, size_t) {
        write(bytes);
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
      });
    });
  }
  void write(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }

 private:
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::array<char, 4096> request_{};
};

constexpr auto kShortTimeout = std::chrono::milliseconds(100);

/// Blocks the thread until a timeout that was set just before has passed. `on_resume` then runs before the timeout is
/// handled and before the sockets are polled.
void block_past_timeout(asio::steady_timer& timer, const std::function<void()>& on_resume) {
  timer.expires_after(kShortTimeout / 2);
  timer.async_wait([on_resume](boost::system::error_code) { on_resume(); });
  std::this_thread::sleep_for(kShortTimeout * 3 / 2);
}

/// Runs a coroutine on the context until it ends, for at most five seconds. Returns false if it has not ended.
bool run_coroutine(asio::io_context& context, asio::awaitable<void> task) {
  bool is_done = false;
  asio::co_spawn(context, std::move(task), [&is_done](const std::exception_ptr&) { is_done = true; });
  context.run_for(std::chrono::seconds(5));
  return is_done;
}

// Guards against a client that, after a pause of its process, times out a stream although the next data is already in
// its socket.
TEST(HttpClient, ReadsBodyThatArrivedDuringProcessPause) {
  asio::io_context context(1);
  ManualServer server(context);
  server.accept_and_write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
  HttpClient client(context.get_executor());
  const std::string endpoint = server.endpoint();
  const HttpRequest request;
  const OpenOptions options;
  asio::steady_timer timer(context);
  std::string body;
  std::string error;
  const auto read_across_pause = [&]() -> asio::awaitable<void> {
    auto opened = co_await client.open(endpoint, request, options);
    body = co_await opened.stream->read_some(kShortTimeout);
    asio::post(context, [&] { block_past_timeout(timer, [&] { server.write(" rest"); }); });
    body += co_await opened.stream->read_some(kShortTimeout);
    error = opened.stream->error();
  };
  EXPECT_TRUE(run_coroutine(context, read_across_pause()));
  EXPECT_EQ(body, "first rest") << error;
}

// The same while waiting for the response head on a new connection.
TEST(HttpClient, ReadsHeadThatArrivedDuringProcessPause) {
  asio::io_context context(1);
  ManualServer server(context);
  server.accept_and_write("");
  HttpClient client(context.get_executor());
  const std::string endpoint = server.endpoint();
  const HttpRequest request;
  OpenOptions options;
  options.timeout = kShortTimeout;
  asio::steady_timer timer(context);
  options.may_send = [&] {
    const auto on_resume = [&] { server.write("HTTP/1.1 204 No Content\r\n\r\n"); };
    asio::post(context,
               [&, on_resume] { asio::post(context, [&, on_resume] { block_past_timeout(timer, on_resume); }); });
    return true;
  };
  int status = 0;
  std::string error;
  const auto open_across_pause = [&]() -> asio::awaitable<void> {
    const auto opened = co_await client.open(endpoint, request, options);
    status = opened.stream == nullptr ? 0 : opened.stream->head().status;
    error = opened.error;
  };
  EXPECT_TRUE(run_coroutine(context, open_across_pause()));
  EXPECT_EQ(status, 204) << error;
}

TEST(HttpClient, TimesOutWhenServerSendsNothing) {
  asio::io_context context(1);
  ManualServer server(context);
  server.accept_and_write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
  HttpClient client(context.get_executor());
  const std::string endpoint = server.endpoint();
  const HttpRequest request;
  const OpenOptions options;
  const auto read_until_timeout = [&]() -> asio::awaitable<void> {
    auto opened = co_await client.open(endpoint, request, options);
    EXPECT_EQ(co_await opened.stream->read_some(kShortTimeout), "first");
    EXPECT_EQ(co_await opened.stream->read_some(kShortTimeout), "");
    EXPECT_FALSE(opened.stream->complete());
    EXPECT_FALSE(opened.stream->error().empty());
  };
  EXPECT_TRUE(run_coroutine(context, read_until_timeout()));
}

/// A response whose connection ends after its last byte.
struct EndedResponse {
  std::string name;
  std::string bytes;
  /// What the client reads; no status if the head is not complete.
  int status = 0;
  std::string body;
  bool is_complete = false;
  bool is_delimited_by_close = false;
};

std::ostream& operator<<(std::ostream& out, const EndedResponse& response) { return out << response.name; }

class ResponsesThatEndWithTheirConnection : public testing::TestWithParam<EndedResponse> {};

// A response without a length or chunks is whole when its connection ends; any other one is cut.
TEST_P(ResponsesThatEndWithTheirConnection, AreToldFromResponsesThatWereCut) {
  const EndedResponse& expected = GetParam();
  asio::io_context context(1);
  ManualServer server(context);
  server.accept_answer_and_close(expected.bytes);
  HttpClient client(context.get_executor());
  const std::string endpoint = server.endpoint();
  const HttpRequest request;
  const OpenOptions options;
  const auto read_all = [&]() -> asio::awaitable<void> {
    const auto opened = co_await client.open(endpoint, request, options);
    EXPECT_EQ(opened.stream == nullptr, expected.status == 0);
    if (opened.stream == nullptr) {
      EXPECT_FALSE(opened.error.empty());
      co_return;
    }
    EXPECT_EQ(opened.stream->head().status, expected.status);
    std::string body;
    for (std::string piece = "?"; !piece.empty(); body += piece) {
      piece = co_await opened.stream->read_some(kShortTimeout);
    }
    EXPECT_EQ(body, expected.body);
    EXPECT_EQ(opened.stream->complete(), expected.is_complete) << opened.stream->error();
    EXPECT_EQ(opened.stream->error().empty(), expected.is_complete);
    EXPECT_EQ(opened.stream->delimited_by_close(), expected.is_delimited_by_close);
  };
  EXPECT_TRUE(run_coroutine(context, read_all()));
}

INSTANTIATE_TEST_SUITE_P(
    Http, ResponsesThatEndWithTheirConnection,
    testing::Values(
        EndedResponse{"NeitherLengthNorChunks", "HTTP/1.1 200 OK\r\n\r\nwhole", 200, "whole", true, true},
        EndedResponse{"NoBodyAtAll", "HTTP/1.1 200 OK\r\n\r\n", 200, "", true, true},
        EndedResponse{"OldProtocolVersion", "HTTP/1.0 200 OK\r\n\r\nwhole", 200, "whole", true, true},
        EndedResponse{"InsideTheHead", "HTTP/1.1 200 OK\r\nContent-Ty", 0, "", false, false},
        EndedResponse{"InsideTheLength", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", 200, "cut", false, false},
        EndedResponse{"InsideAChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut", 200, "cut",
                      false, false},
        EndedResponse{"BeforeTheLastChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", 200,
                      "cut", false, false}),
    [](const auto& test) { return test.param.name; });

// Guards against a server that, after a pause of its process, closes a kept-alive connection as idle although the next
// request is already in its socket.
TEST(HttpServer, ServesRequestThatArrivedDuringProcessPause) {
  asio::io_context context(1);
  OkHandler ok_handler;
  HttpServerOptions options;
  options.idle_timeout = kShortTimeout;
  HttpServer server(context.get_executor(), options, ok_handler);
  std::string error;
  const auto port = server.listen("127.0.0.1", 0, error);
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), *port});
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  asio::steady_timer timer(context);
  std::array<char, 4096> answer{};
  socket.async_read_some(asio::buffer(answer), [&](boost::system::error_code, size_t) {
    block_past_timeout(timer, [&] { asio::write(socket, asio::buffer(request)); });
  });
  context.run_for(std::chrono::seconds(1));
  EXPECT_EQ(ok_handler.requests, 2);
}

}  // namespace
}  // namespace larchlever::net
