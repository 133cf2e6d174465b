#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <string>

#include "net/http_server.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;

constexpr size_t kHeadLimitBytes = 2048;
/// More than a server may read of a request before it rejects it, whatever the sockets hold.
constexpr size_t kEndlessBytes = 64'000'000;

/// Answers with the body of the request.
class EchoHandler : public HttpHandler {
 public:
  asio::awaitable<void> handle(HttpExchange& exchange) override {
    HttpResponse response;
    response.body = exchange.request().body;
    co_await exchange.respond(std::move(response));
  }
};

/// One connection to a server with a small limit on heads.
class RequestFraming : public testing::Test {
 protected:
  RequestFraming() {
    options_.head_limit_bytes = kHeadLimitBytes;
    server_.set_options(options_);
    std::string error;
    const auto port = server_.listen("127.0.0.1", 0, error);
    socket_.connect({asio::ip::make_address("127.0.0.1"), *port});
  }
  /// Sends the bytes and returns the first bytes of the answer.
  std::string exchange(const std::string& bytes) {
    std::string answer(4096, '\0');
    asio::async_write(socket_, asio::buffer(bytes), [](boost::system::error_code, size_t) {});
    socket_.async_read_some(asio::buffer(answer), [&](boost::system::error_code, size_t size) {
      answer.resize(size);
      context_.stop();
    });
    context_.restart();
    context_.run_for(std::chrono::seconds(20));
    return answer;
  }

  const std::string chunked_head_ = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  asio::io_context context_{1};
  EchoHandler handler_;
  HttpServerOptions options_;
  HttpServer server_{context_.get_executor(), options_, handler_};
  asio::ip::tcp::socket socket_{context_};
};

// Trailers, their lines and chunk extensions were buffered until their end, without a limit.
TEST_F(RequestFraming, EndlessTrailersAreRejected) {
  std::string trailers;
  while (trailers.size() < kEndlessBytes) {
    trailers += "X-Field: value\r\n";
  }
  EXPECT_TRUE(exchange(chunked_head_ + "4\r\nform\r\n0\r\n" + trailers).starts_with("HTTP/1.1 413"));
}

TEST_F(RequestFraming, EndlessTrailerLineIsRejected) {
  const std::string line = "X: " + std::string(kEndlessBytes, 'x');
  EXPECT_TRUE(exchange(chunked_head_ + "4\r\nform\r\n0\r\n" + line).starts_with("HTTP/1.1 413"));
}

TEST_F(RequestFraming, EndlessChunkExtensionIsRejected) {
  const std::string extension = "4;" + std::string(kEndlessBytes, 'x');
  EXPECT_TRUE(exchange(chunked_head_ + extension).starts_with("HTTP/1.1 413"));
}

TEST_F(RequestFraming, TrailersAndExtensionsAsLongAsHeadsAreAccepted) {
  const std::string filler(kHeadLimitBytes - 100, 'x');
  for (int request = 0; request < 2; ++request) {
    const auto answer =
        exchange(chunked_head_ + "4;" + filler + "\r\nform\r\n2\r\n17\r\n0\r\nX: " + filler + "\r\n\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nform17")) << answer;
  }
}

TEST_F(RequestFraming, SmallHeadWithPipelinedRequestsIsAccepted) {
  std::string requests;
  for (int request = 0; request < 100; ++request) {
    requests += chunked_head_ + "4\r\nform\r\n0\r\n\r\n";
  }
  EXPECT_TRUE(exchange(requests).starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace larchlever::net
