#include "net/listener_probe.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include "net/http_types.h"

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<ListenerState> probe_listener(const std::string& endpoint, std::chrono::milliseconds timeout) {
  const auto [host, port] = split_endpoint(endpoint);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error) {
    co_return ListenerState::kUnknown;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  const asio::ip::tcp::endpoint remote(address, static_cast<uint16_t>(std::stoi(port)));
  std::tie(error) = co_await stream.async_connect(remote, asio::as_tuple(asio::use_awaitable));
  if (error == asio::error::connection_refused) {
    co_return ListenerState::kRefused;
  }
  co_return error ? ListenerState::kUnknown : ListenerState::kListening;
}

}  // namespace larchlever::net
