#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <thread>
#include <vector>

namespace larchlever::integration {

/// What a client sends: `begin`, then whole copies of `repeated` until it has sent `repeated_bytes` of them. After that
/// it keeps its connection open.
struct ClientScript {
  static constexpr size_t kWithoutEnd = std::numeric_limits<size_t>::max();

  std::string begin;
  std::string repeated;
  size_t repeated_bytes = 0;
};

/// Clients that each open one connection, send what their script says and read nothing. They run in a thread of their
/// own and disconnect on destruction.
class ClientCrowd {
 public:
  ClientCrowd(const std::string& endpoint, size_t client_count, ClientScript script);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Waits until every client was disconnected, or has sent everything and the server has read it. Returns false if
  /// that takes longer.
  bool wait_until_settled(std::chrono::milliseconds timeout) const;
  /// Number of clients that the server has disconnected while they were sending.
  size_t disconnected_count() const { return disconnected_count_; }
  /// Bytes that all clients have sent.
  size_t sent_bytes() const { return sent_bytes_; }

 private:
  boost::asio::awaitable<void> run_client(boost::asio::ip::tcp::socket& socket);

  const ClientScript script_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  std::string block_;
  boost::asio::io_context context_{1};
  std::vector<boost::asio::ip::tcp::socket> sockets_;
  std::atomic<size_t> finished_count_ = 0;
  std::atomic<size_t> disconnected_count_ = 0;
  std::atomic<size_t> sent_bytes_ = 0;
  std::thread thread_;
};

}  // namespace larchlever::integration
