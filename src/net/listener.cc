#include "net/listener.h"

#include <boost/asio.hpp>

#include "net/http_server.h"
#include "net/http_types.h"

namespace larchlever::net {

namespace asio = boost::asio;

std::optional<uint16_t> start_listening(asio::ip::tcp::acceptor& acceptor, const std::string& address, uint16_t port,
                                        std::string& error) {
  boost::system::error_code code;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address, code), port);
  if (!code) {
    acceptor.open(endpoint.protocol(), code);
  }
  if (!code) {
    acceptor.set_option(asio::socket_base::reuse_address(true), code);
  }
  if (!code) {
    acceptor.bind(endpoint, code);
  }
  if (!code) {
    acceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    error = "cannot listen on " + address + ":" + std::to_string(port) + ": " + code.message() +
            "; free the port or change the address";
    return std::nullopt;
  }
  return acceptor.local_endpoint().port();
}

std::optional<std::string> listen_on(HttpServer& server, const std::string& address, std::string& error) {
  const auto [host, port] = split_endpoint(address);
  const auto bound = server.listen(host, static_cast<uint16_t>(std::stoi(port)), error);
  return bound ? std::optional(host + ":" + std::to_string(*bound)) : std::nullopt;
}

}  // namespace larchlever::net
