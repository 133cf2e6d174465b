#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "net/http_server.h"

namespace larchlever::integration {

/// A plain server of the service `forms` that ends under one request: its answer breaks off, and with it all that runs
/// there. It starts again after three seconds, under its id, born later. What becomes of its port meanwhile is `Port`.
class EndingServer : public net::HttpHandler {
 public:
  enum class Port {
    /// Connections are refused some milliseconds later: a process's listening socket outlives its connections.
    kClosesLater,
    /// Something in front of the server holds the port: connections are taken and closed.
    kHeld,
    /// A proxy in front of the server holds the port: connections are taken and kept until a request was read, then
    /// closed without an answer.
    kProxied,
  };
  using Moment = std::chrono::steady_clock::time_point;

  /// When servers ended, and when harmful requests reached them, over all of a test.
  class Ends {
   public:
    void add() { add_to(moments_); }
    void add_arrival() { add_to(arrivals_); }
    std::vector<Moment> all() const { return copy_of(moments_); }
    std::vector<Moment> arrivals() const { return copy_of(arrivals_); }

   private:
    void add_to(std::vector<Moment>& list) {
      const std::lock_guard lock(mutex_);
      list.push_back(std::chrono::steady_clock::now());
    }
    std::vector<Moment> copy_of(const std::vector<Moment>& list) const {
      const std::lock_guard lock(mutex_);
      return list;
    }

    mutable std::mutex mutex_;
    std::vector<Moment> moments_;
    std::vector<Moment> arrivals_;
  };

  /// `client` lends its thread.
  EndingServer(BlockingClient& client, std::string id, std::string address, Port port, Ends& ends);
  ~EndingServer() override;
  EndingServer(const EndingServer&) = delete;
  EndingServer& operator=(const EndingServer&) = delete;

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// The next report of this server; nothing while it is down.
  std::optional<std::string> report();
  const std::string& id() const { return id_; }

  /// The body that ends who runs it.
  static constexpr const char* kEndingBody = "ends who runs it";

 private:
  void listen();
  void end();
  /// Takes connections and closes them, those of a proxy once they have brought something.
  boost::asio::awaitable<void> close_what_comes();

  BlockingClient& client_;
  const std::string id_;
  const std::string address_;
  const Port port_;
  Ends& ends_;
  std::mutex mutex_;
  std::optional<Moment> down_until_;
  int64_t born_ms_;
  int64_t call_number_ = 0;
  std::unique_ptr<net::HttpServer> server_;
  boost::asio::ip::tcp::acceptor held_port_;
};

}  // namespace larchlever::integration
