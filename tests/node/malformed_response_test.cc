#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace larchlever::net {
namespace {

namespace asio = boost::asio;

constexpr auto kTimeout = std::chrono::seconds(5);
constexpr auto kPiecePause = std::chrono::milliseconds(5);

struct ResponseBytes {
  const char* name;
  std::string bytes;
};

std::ostream& operator<<(std::ostream& out, const ResponseBytes& response) { return out << response.name; }

std::string name_of(const testing::TestParamInfo<ResponseBytes>& test) { return test.param.name; }

asio::awaitable<void> send_pieces(asio::ip::tcp::socket& socket, const std::vector<std::string>& pieces) {
  asio::steady_timer timer(socket.get_executor());
  socket.set_option(asio::ip::tcp::no_delay(true));
  for (const auto& piece : pieces) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(piece), ignored);
    timer.expires_after(kPiecePause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  socket.shutdown(asio::socket_base::shutdown_send);
}

/// Sends one request to a server that answers with these pieces, with a pause between them, and closes its side of the
/// connection.
FetchResult fetch_from_server_that_sends(const std::vector<std::string>& pieces) {
  asio::io_context context(1);
  asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  asio::ip::tcp::socket socket(context);
  std::string request_bytes(4096, '\0');
  acceptor.async_accept(socket, [&](boost::system::error_code) {
    socket.async_read_some(asio::buffer(request_bytes), [&](boost::system::error_code, size_t) {
      asio::co_spawn(context, send_pieces(socket, pieces), asio::detached);
    });
  });
  HttpClient client(context.get_executor());
  const std::string endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const HttpRequest request;
  FetchResult result;
  const auto fetch = [&]() -> asio::awaitable<void> {
    result = co_await client.fetch(endpoint, request, kTimeout);
    context.stop();
  };
  asio::co_spawn(context, fetch, asio::detached);
  context.run_for(kTimeout);
  return result;
}

std::string with_status(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nform";
}

std::string with_fields(const std::string& fields) { return "HTTP/1.1 200 OK\r\n" + fields + "\r\nform"; }

class MalformedResponses : public testing::TestWithParam<ResponseBytes> {};

// Such responses were passed on to callers as answers of their servers.
TEST_P(MalformedResponses, AreNoAnswers) {
  const auto result = fetch_from_server_that_sends({GetParam().bytes});
  EXPECT_FALSE(result.response) << result.response->status << " " << result.response->body;
  EXPECT_NE(result.state, SendState::kNotSent);
}

// The parser consumes a head line by line as it arrives.
TEST_P(MalformedResponses, AreNoAnswersWhereverTheyAreCut) {
  const std::string& bytes = GetParam().bytes;
  for (size_t size = 1; size < bytes.size(); ++size) {
    const auto result = fetch_from_server_that_sends({bytes.substr(0, size), bytes.substr(size)});
    EXPECT_FALSE(result.response) << "cut behind " << size << " bytes";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Heads, MalformedResponses,
    testing::Values(
        ResponseBytes{"Status000", with_status("000")}, ResponseBytes{"Status001", with_status("001")},
        ResponseBytes{"Status099", with_status("099")}, ResponseBytes{"Status600", with_status("600")},
        ResponseBytes{"Status999", with_status("999")}, ResponseBytes{"ShortStatus", with_status("20")},
        ResponseBytes{"LongStatus", with_status("2000")},
        ResponseBytes{"InterimBeforeStatus000", "HTTP/1.1 102 X\r\n\r\n" + with_status("000")},
        ResponseBytes{"BlankFirstLine", with_fields(" X: 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"TabFirstLine", with_fields("\tX: 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"FoldedLine", with_fields("X: 1\r\n 2\r\nContent-Length: 4\r\n")},
        ResponseBytes{"FoldedCoding", with_fields("Transfer-Encoding: chunked\r\n , gzip\r\n")},
        ResponseBytes{"BlankInName", with_fields("X Y: 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"BlankAfterName", with_fields("X : 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"ControlByteInName", with_fields("X\x01Y: 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"EmptyName", with_fields(": 1\r\nContent-Length: 4\r\n")},
        ResponseBytes{"NoColon", with_fields("X\r\nContent-Length: 4\r\n")},
        ResponseBytes{"CodingGzip", with_fields("Transfer-Encoding: gzip\r\n")},
        ResponseBytes{"CodingChunkedGzip", with_fields("Transfer-Encoding: chunked, gzip\r\n")},
        ResponseBytes{"CodingGzipChunked", with_fields("Transfer-Encoding: gzip, chunked\r\n")},
        ResponseBytes{"CodingXchunked", with_fields("Transfer-Encoding: xchunked\r\n")},
        ResponseBytes{"CodingTwice", with_fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")},
        ResponseBytes{"BlankInNameOfTrailer",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nform\r\n0\r\nX Y: 1\r\n\r\n"},
        ResponseBytes{"ControlByteInNameOfTrailer",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4"
                      "\r\nform\r\n0\r\nX\x01: 1\r\n\r\n"}),
    name_of);

class SoundResponses : public testing::TestWithParam<ResponseBytes> {};

TEST_P(SoundResponses, AreAnswers) {
  const auto result = fetch_from_server_that_sends({GetParam().bytes});
  ASSERT_TRUE(result.response) << result.error;
  EXPECT_EQ(result.response->body, "form");
}

TEST_P(SoundResponses, AreAnswersWhereverTheyAreCut) {
  const std::string& bytes = GetParam().bytes;
  for (size_t size = 1; size < bytes.size(); ++size) {
    const auto result = fetch_from_server_that_sends({bytes.substr(0, size), bytes.substr(size)});
    EXPECT_TRUE(result.response && result.response->body == "form") << "cut behind " << size << " bytes";
  }
}

INSTANTIATE_TEST_SUITE_P(
    Heads, SoundResponses,
    testing::Values(ResponseBytes{"Status200", with_status("200")}, ResponseBytes{"Status599", with_status("599")},
                    ResponseBytes{"AfterInterim", "HTTP/1.1 102 X\r\n\r\n" + with_status("200")},
                    ResponseBytes{"WithoutReason", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nform"},
                    ResponseBytes{"OldVersion", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nform"},
                    ResponseBytes{"WithoutFields", "HTTP/1.1 200 OK\r\n\r\nform"},
                    ResponseBytes{"CodingInCapitals",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding:  CHUNKED \r\n\r\n4\r\nform\r\n0\r\n\r\n"},
                    ResponseBytes{
                        "WithTrailer",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nform\r\n0\r\nX: 1\r\n\r\n"}),
    name_of);

}  // namespace
}  // namespace larchlever::net
