#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <ostream>
#include <string>

#include "net/http_client.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kCallTimeout = std::chrono::seconds(5);
constexpr auto kTestTimeout = std::chrono::seconds(60);

const std::string kCompleteResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

enum class ConnectionEnd { kClose, kReset };

/// A head that a server sends only in part before it ends the connection.
struct CutHead {
  std::string name;
  std::string head;
};

std::ostream& operator<<(std::ostream& out, const CutHead& cut) { return out << cut.name; }

/// Answers the first request of each connection with a complete response if `answers_first` is set. Sends `bytes` for
/// the next request and ends the connection.
class CuttingServer {
 public:
  CuttingServer(asio::io_context& context, ConnectionEnd end, bool answers_first)
      : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0}), end_(end), answers_first_(answers_first) {
    asio::co_spawn(context, serve(), asio::detached);
  }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  void set_bytes(std::string bytes) { bytes_ = std::move(bytes); }

 private:
  asio::awaitable<void> serve() {
    while (true) {
      asio::ip::tcp::socket socket(acceptor_.get_executor());
      co_await acceptor_.async_accept(socket, kAwaitWithError);
      std::array<char, 4096> request{};
      if (answers_first_) {
        co_await socket.async_read_some(asio::buffer(request), kAwaitWithError);
        co_await asio::async_write(socket, asio::buffer(kCompleteResponse), kAwaitWithError);
      }
      co_await socket.async_read_some(asio::buffer(request), kAwaitWithError);
      co_await asio::async_write(socket, asio::buffer(bytes_), kAwaitWithError);
      if (end_ == ConnectionEnd::kReset) {
        socket.set_option(asio::socket_base::linger(true, 0));
      }
    }
  }

  asio::ip::tcp::acceptor acceptor_;
  const ConnectionEnd end_;
  const bool answers_first_;
  std::string bytes_;
};

class CutHeads : public testing::TestWithParam<CutHead> {
 protected:
  /// Cuts the head after each of its bytes in turn.
  static void expect_no_response(ConnectionEnd end, bool is_reused) {
    asio::io_context context(1);
    CuttingServer server(context, end, is_reused);
    HttpClient client(context.get_executor());
    bool is_done = false;
    asio::co_spawn(context, call_repeatedly(client, server, is_reused), [&](const std::exception_ptr& failure) {
      is_done = failure == nullptr;
      context.stop();
    });
    context.run_for(kTestTimeout);
    EXPECT_TRUE(is_done);
  }

 private:
  static asio::awaitable<void> call_repeatedly(HttpClient& client, CuttingServer& server, bool is_reused) {
    const std::string endpoint = server.endpoint();
    const std::string head = GetParam().head;
    const HttpRequest request;
    for (size_t length = 0; length < head.size(); ++length) {
      server.set_bytes(head.substr(0, length));
      if (is_reused) {
        const auto first = co_await client.fetch(endpoint, request, kCallTimeout);
        EXPECT_TRUE(first.response) << first.error;
      }
      const auto result = co_await client.fetch(endpoint, request, kCallTimeout);
      EXPECT_FALSE(result.response) << "cut after " << length << " bytes: " << result.response->status;
      EXPECT_EQ(result.state, SendState::kMaybeSent) << "cut after " << length << " bytes";
    }
  }
};

// A server stopped in the middle of a head and closed; elsewhere callers got an empty or short 200 that looked whole.
TEST_P(CutHeads, AreNoResponse) { expect_no_response(ConnectionEnd::kClose, false); }
TEST_P(CutHeads, AreNoResponseAfterReset) { expect_no_response(ConnectionEnd::kReset, false); }
TEST_P(CutHeads, AreNoResponseOnReusedConnections) { expect_no_response(ConnectionEnd::kClose, true); }
TEST_P(CutHeads, AreNoResponseAfterResetOfReusedConnections) { expect_no_response(ConnectionEnd::kReset, true); }

INSTANTIATE_TEST_SUITE_P(
    HttpClient, CutHeads,
    testing::Values(CutHead{"WithLength", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n"},
                    CutHead{"WithoutBody", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server: a\r\n\r\n"},
                    CutHead{"Chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
                    CutHead{"Events",
                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"},
                    CutHead{"WithoutFraming", "HTTP/1.1 200 OK\r\nX-Server: a\r\n\r\n"},
                    CutHead{"Http10", "HTTP/1.0 200 OK\r\nX-Server: a\r\n\r\n"},
                    CutHead{"AfterInterimResponse", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace larchlever::net
