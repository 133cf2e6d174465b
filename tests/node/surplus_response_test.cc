#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kCallTimeout = std::chrono::seconds(5);
constexpr auto kShortTimeout = milliseconds(200);
constexpr auto kMaxDelay = milliseconds(1000);
constexpr auto kTestTimeout = std::chrono::seconds(30);
/// Pause of the server between two pieces.
constexpr auto kPiecePause = milliseconds(20);
constexpr const char* kIdHeader = "Id";

std::string response(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kOwnResponse = response("own", "own body");

/// What a server writes for each request of a connection: pieces with pauses in between, the last one without end if
/// `is_endless`.
struct ServerBytes {
  std::string name;
  std::vector<std::string> pieces;
  bool is_endless = false;
};

std::ostream& operator<<(std::ostream& out, const ServerBytes& bytes) { return out << bytes.name; }

class ScriptedServer {
 public:
  ScriptedServer(asio::io_context& context, ServerBytes bytes)
      : bytes_(std::move(bytes)), acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}) {
    asio::co_spawn(context, accept(), asio::detached);
  }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  int connections() const { return connections_; }

 private:
  asio::awaitable<void> accept() {
    while (true) {
      asio::ip::tcp::socket socket(acceptor_.get_executor());
      co_await acceptor_.async_accept(socket, kAwaitWithError);
      ++connections_;
      asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
    }
  }
  asio::awaitable<void> serve(asio::ip::tcp::socket socket) {
    socket.set_option(asio::ip::tcp::no_delay(true));
    std::array<char, 4096> request{};
    asio::steady_timer timer(socket.get_executor());
    while (true) {
      auto [read_error, count] = co_await socket.async_read_some(asio::buffer(request), kAwaitWithError);
      boost::system::error_code error = read_error;
      for (size_t index = 0; !error && index < bytes_.pieces.size(); ++index) {
        std::tie(error, count) =
            co_await asio::async_write(socket, asio::buffer(bytes_.pieces[index]), kAwaitWithError);
        timer.expires_after(kPiecePause);
        co_await timer.async_wait(kAwaitWithError);
      }
      while (!error && bytes_.is_endless) {
        std::tie(error, count) =
            co_await asio::async_write(socket, asio::buffer(bytes_.pieces.back()), kAwaitWithError);
      }
      if (error) {
        co_return;
      }
    }
  }

  const ServerBytes bytes_;
  asio::ip::tcp::acceptor acceptor_;
  int connections_ = 0;
};

class SurplusResponses : public testing::TestWithParam<ServerBytes> {
 protected:
  static OpenOptions options_for_own_id(milliseconds timeout) {
    OpenOptions options;
    options.timeout = timeout;
    options.is_response_to_request = [](const HttpResponse& head, bool) {
      return head.headers.find(kIdHeader) == "own";
    };
    return options;
  }
  /// Runs `call` with a client and the server's endpoint.
  void run(const std::function<asio::awaitable<void>(HttpClient&)>& call) {
    server_ = std::make_unique<ScriptedServer>(context_, GetParam());
    HttpClient client(context_.get_executor());
    bool is_done = false;
    asio::co_spawn(context_, call(client), [&](const std::exception_ptr& failure) {
      is_done = failure == nullptr;
      context_.stop();
    });
    context_.run_for(kTestTimeout);
    EXPECT_TRUE(is_done);
  }
  asio::awaitable<void> expect_own_response(HttpClient& client) {
    const HttpRequest request;
    const auto options = options_for_own_id(kCallTimeout);
    const auto opened = co_await client.open(server_->endpoint(), request, options);
    EXPECT_NE(opened.stream, nullptr) << opened.error;
    if (opened.stream == nullptr) {
      co_return;
    }
    EXPECT_EQ(opened.stream->head().headers.find(kIdHeader), "own");
    const std::string body = co_await opened.stream->read_some(kCallTimeout);
    EXPECT_EQ(body, "own body");
    EXPECT_TRUE(opened.stream->complete());
  }

  asio::io_context context_{1};
  std::unique_ptr<ScriptedServer> server_;
};

using OwnResponseFollows = SurplusResponses;
using NoResponseFollows = SurplusResponses;

// A response to another request, or to none, was taken for the response to the request, whose own was lost.
TEST_P(OwnResponseFollows, IsFoundAndTheConnectionIsNotReused) {
  run([this](HttpClient& client) -> asio::awaitable<void> {
    co_await expect_own_response(client);
    co_await expect_own_response(client);
  });
  EXPECT_EQ(server_->connections(), 2) << "more surplus responses may follow on the first connection";
}

// The search for the request's own response ends in time and counts as sent.
TEST_P(NoResponseFollows, IsLostInTime) {
  run([this](HttpClient& client) -> asio::awaitable<void> {
    const HttpRequest request;
    const auto options = options_for_own_id(kShortTimeout);
    const auto begin = Clock::now();
    const auto opened = co_await client.open(server_->endpoint(), request, options);
    EXPECT_EQ(opened.stream, nullptr);
    EXPECT_EQ(opened.state, SendState::kMaybeSent);
    EXPECT_LT(Clock::now() - begin, kShortTimeout + kMaxDelay);
  });
}

// A cancellation found no pending operation while discarded bytes kept coming, and had no effect.
TEST_P(NoResponseFollows, CanBeCancelled) {
  run([this](HttpClient& client) -> asio::awaitable<void> {
    const HttpRequest request;
    auto options = options_for_own_id(kCallTimeout);
    options.cancellation = std::make_shared<Cancellation>();
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, kPiecePause);
    timer.async_wait([cancellation = options.cancellation](boost::system::error_code) { cancellation->cancel(); });
    const auto begin = Clock::now();
    const auto opened = co_await client.open(server_->endpoint(), request, options);
    EXPECT_EQ(opened.stream, nullptr);
    EXPECT_LT(Clock::now() - begin, kPiecePause + kMaxDelay);
  });
}

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kLeftover = response("another", "another body");

INSTANTIATE_TEST_SUITE_P(
    HttpClient, OwnResponseFollows,
    testing::Values(
        ServerBytes{"Later", {kLeftover, kOwnResponse}}, ServerBytes{"AtOnce", {kLeftover + kOwnResponse}},
        ServerBytes{"CutInTwo", {kLeftover.substr(0, 20), kLeftover.substr(20) + kOwnResponse}},
        ServerBytes{"CutInBody",
                    {kLeftover.substr(0, kLeftover.size() - 3),
                     kLeftover.substr(kLeftover.size() - 3) + kOwnResponse.substr(0, 9), kOwnResponse.substr(9)}},
        ServerBytes{"Several", {kLeftover + kLeftover, kLeftover, kOwnResponse}},
        ServerBytes{"WithoutBody", {"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n", kOwnResponse}},
        ServerBytes{"NotModified", {"HTTP/1.1 304 Not Modified\r\n\r\n", kOwnResponse}},
        ServerBytes{"Chunked", {kChunkedHead + "3\r\nabc\r\n", "0\r\n\r\n", kOwnResponse}},
        ServerBytes{"ChunkedWithTrailer", {kChunkedHead + "3\r\nabc\r\n0\r\nId: own\r\n\r\n" + kOwnResponse}},
        ServerBytes{"BetweenInterimResponses",
                    {"HTTP/1.1 102 Processing\r\nId: own\r\n\r\n" + kLeftover,
                     "HTTP/1.1 103 Early Hints\r\n\r\n" + kOwnResponse}},
        ServerBytes{"LongBody", {response("another", std::string(100'000, 'x')), kOwnResponse}}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    HttpClient, NoResponseFollows,
    testing::Values(ServerBytes{"Silence", {kLeftover}},
                    ServerBytes{
                        "ClosingResponse",
                        {"HTTP/1.1 408 Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", kOwnResponse}},
                    ServerBytes{"BodyUntilClose", {"HTTP/1.1 200 OK\r\n\r\nbody", kOwnResponse}},
                    ServerBytes{"EndlessResponses", {kLeftover}, true},
                    ServerBytes{"EndlessChunks", {kChunkedHead, "1\r\nx\r\n"}, true},
                    ServerBytes{"EndlessInterimResponses", {"HTTP/1.1 102 Processing\r\n\r\n"}, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace larchlever::net
