#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace larchlever::net {

/// Opens and binds `acceptor` and starts listening. Port 0 selects a free port. Returns the port, or nothing with
/// `error` set to a message that includes a remedy.
std::optional<uint16_t> start_listening(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address,
                                        uint16_t port, std::string& error);

class HttpServer;

/// Makes `server` listen on `address`, which is IP:PORT. Returns the bound address, or nothing with `error` set.
std::optional<std::string> listen_on(HttpServer& server, const std::string& address, std::string& error);

}  // namespace larchlever::net
