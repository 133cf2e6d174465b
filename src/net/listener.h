#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace larchlever::net {

/// Opens, binds and starts `acceptor`; port 0 takes a free one. Returns the port, or nothing with `error` set, remedy
/// included.
std::optional<uint16_t> start_listening(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address,
                                        uint16_t port, std::string& error);

class HttpServer;

/// Listens on `address`, IP:PORT. Returns the address bound, or nothing with `error` set.
std::optional<std::string> listen_on(HttpServer& server, const std::string& address, std::string& error);

}  // namespace larchlever::net
