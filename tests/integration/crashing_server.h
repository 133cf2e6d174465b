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
class CrashingServer : public net::HttpHandler {
 public:
  enum class PortAfterCrash {
    /// Connections are refused some milliseconds later: a process's listening socket outlives its connections.
    kClosesAfterDelay,
    /// Something in front of the server holds the port: connections are taken and closed.
    kAcceptsAndCloses,
    /// A proxy in front of the server holds the port: connections are taken and kept until a request was read, then
    /// closed without an answer.
    kReadsRequestAndCloses,
  };
  using Timestamp = std::chrono::steady_clock::time_point;

  /// When servers ended, and when harmful requests reached them, over all of a test.
  class CrashLog {
   public:
    void add_crash() { append_now(crash_times_); }
    void add_crash_request() { append_now(crash_request_times_); }
    std::vector<Timestamp> crash_times() const { return copy_list(crash_times_); }
    std::vector<Timestamp> crash_request_times() const { return copy_list(crash_request_times_); }

   private:
    void append_now(std::vector<Timestamp>& list) {
      const std::lock_guard lock(mutex_);
      list.push_back(std::chrono::steady_clock::now());
    }
    std::vector<Timestamp> copy_list(const std::vector<Timestamp>& list) const {
      const std::lock_guard lock(mutex_);
      return list;
    }

    mutable std::mutex mutex_;
    std::vector<Timestamp> crash_times_;
    std::vector<Timestamp> crash_request_times_;
  };

  /// `client` lends its thread.
  CrashingServer(BlockingClient& client, std::string id, std::string address, PortAfterCrash port, CrashLog& crash_log);
  ~CrashingServer() override;
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// The next report of this server; nothing while it is down.
  std::optional<std::string> report();
  const std::string& id() const { return id_; }

  /// The body that ends who runs it.
  static constexpr const char* kCrashBody = "ends who runs it";

 private:
  void listen();
  void crash();
  /// Takes connections and closes them, those of a proxy once they have brought something.
  boost::asio::awaitable<void> accept_and_close_connections();

  BlockingClient& client_;
  const std::string id_;
  const std::string address_;
  const PortAfterCrash port_;
  CrashLog& crash_log_;
  std::mutex mutex_;
  std::optional<Timestamp> down_until_;
  int64_t start_time_ms_;
  int64_t call_number_ = 0;
  std::unique_ptr<net::HttpServer> server_;
  boost::asio::ip::tcp::acceptor port_acceptor_;
};

}  // namespace larchlever::integration
