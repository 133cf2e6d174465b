#include "net/listener_probe.h"

#include <boost/asio.hpp>
#include <boost/beast/core/error.hpp>

#include "net/http_types.h"
#include "net/timed_stream.h"

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// How long to wait for the peer to close the connection. A peer that does not serve closes it within one or two round
/// trips.
constexpr auto kCloseWait = std::chrono::milliseconds(15);

}  // namespace

asio::awaitable<ListenerState> probe_listener(const std::string& endpoint, std::chrono::milliseconds timeout,
                                              const std::string& local_address) {
  const auto [host, port] = split_endpoint(endpoint);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error) {
    co_return ListenerState::kUnknown;
  }
  TimedStream stream(co_await asio::this_coro::executor);
  if (!local_address.empty()) {
    stream.bind_to(asio::ip::make_address(local_address));
  }
  stream.expires_after(timeout);
  const asio::ip::tcp::endpoint remote(address, static_cast<uint16_t>(std::stoi(port)));
  std::tie(error) = co_await stream.async_connect(remote, asio::as_tuple(asio::use_awaitable));
  if (error == asio::error::connection_refused) {
    co_return ListenerState::kRefused;
  }
  if (error) {
    co_return ListenerState::kUnknown;
  }
  // A server that accepts the connection sends nothing before it receives a request.
  stream.expires_after(kCloseWait);
  char byte = 0;
  const auto read_buffer = asio::buffer(&byte, 1);
  std::tie(error, std::ignore) = co_await stream.async_read_some(read_buffer, asio::as_tuple(asio::use_awaitable));
  const bool stayed_open = !error || error == beast::error::timeout;
  co_return stayed_open ? ListenerState::kListening : ListenerState::kAcceptedThenClosed;
}

}  // namespace larchlever::net
