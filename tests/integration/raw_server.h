#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <string>
#include <thread>

#include "net/http_types.h"

namespace larchlever::integration {

/// What a plain server sends for a request to `/forms/NAME`: `begin`, and then `repeated` without end unless it is
/// empty.
struct RawAnswer {
  std::string begin;
  std::string repeated = "";
  /// The head, if there is one, carries the id of the request.
  bool has_id = true;
};

/// The head of a response that carries the server's signature.
inline std::string signed_head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nLarchlever-Signature: signed\r\n" + fields + "\r\n";
}

using RawAnswers = std::map<std::string, RawAnswer>;

/// A plain server of the service `forms` that sends given bytes for some requests, and ordinary answers for others.
class RawServer {
 public:
  RawServer(const std::string& address, RawAnswers answers) : answers_(std::move(answers)), acceptor_(context_) {
    const auto [host, port] = net::split_endpoint(address);
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(host),
                                                  static_cast<uint16_t>(std::stoi(port)));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    boost::asio::co_spawn(context_, accept(), boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RawServer() {
    context_.stop();
    thread_.join();
  }

 private:
  static constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> accept() {
    while (true) {
      boost::asio::ip::tcp::socket socket(context_);
      auto [error] = co_await acceptor_.async_accept(socket, kAwait);
      if (!error) {
        boost::asio::co_spawn(context_, serve(std::move(socket)), boost::asio::detached);
      }
    }
  }

  /// The part of the path after `/forms/`; empty for other paths.
  static std::string requested_name(const std::string& head) {
    const std::string begin = " /forms/";
    const size_t at = head.find(begin);
    if (at == std::string::npos || at > head.find("\r\n")) {
      return "";
    }
    const size_t name_begin = at + begin.size();
    return head.substr(name_begin, head.find(' ', name_begin) - name_begin);
  }

  /// The header line with the id of the request; empty if it has none.
  static std::string id_line(const std::string& head) {
    const std::string name = "Larchlever-Request-Id: ";
    const size_t at = head.find(name);
    return at == std::string::npos ? "" : head.substr(at, head.find("\r\n", at) + 2 - at);
  }

  static std::string ordinary_answer(const std::string& head) {
    return signed_head("200 OK", id_line(head) + "Content-Length: 4\r\n") + "form";
  }

  /// Inserts the id behind the status line of the answer.
  static std::string begin_with_id(const RawAnswer& answer, const std::string& head) {
    const size_t line_end = answer.begin.find("\r\n");
    std::string begin = answer.begin;
    return line_end == std::string::npos ? begin : begin.insert(line_end + 2, id_line(head));
  }

  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket) {
    std::string received;
    while (true) {
      auto [error, size] =
          co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", kAwait);
      if (error) {
        co_return;
      }
      const std::string head = received.substr(0, size);
      received.erase(0, size);
      const auto answer = answers_.find(requested_name(head));
      if (answer != answers_.end()) {
        const std::string begin = answer->second.has_id ? begin_with_id(answer->second, head) : answer->second.begin;
        co_await boost::asio::async_write(socket, boost::asio::buffer(begin), kAwait);
        if (!answer->second.repeated.empty()) {
          co_await send_without_end(socket, answer->second.repeated);
          co_return;
        }
        continue;
      }
      const std::string ordinary = ordinary_answer(head);
      co_await boost::asio::async_write(socket, boost::asio::buffer(ordinary), kAwait);
    }
  }

  static boost::asio::awaitable<void> send_without_end(boost::asio::ip::tcp::socket& socket,
                                                       const std::string& repeated) {
    std::string block;
    while (block.size() < kBlockBytes) {
      block += repeated;
    }
    for (size_t sent_bytes = 0; sent_bytes < kMaxSentBytes; sent_bytes += block.size()) {
      auto [error, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(block), kAwait);
      if (error) {
        co_return;
      }
    }
    boost::asio::steady_timer timer(socket.get_executor(), kHoldTime);
    co_await timer.async_wait(kAwait);
  }

  static constexpr size_t kBlockBytes = 64 * 1024;
  /// Sends no more than this on one connection, to spare the memory of an entry without a limit.
  static constexpr size_t kMaxSentBytes = 64'000'000;
  /// How long a connection stays open after that.
  static constexpr auto kHoldTime = std::chrono::seconds(15);

  const RawAnswers answers_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace larchlever::integration
