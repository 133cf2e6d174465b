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

/// A plain server (not an engine) of the service `forms` that crashes when it runs a request with the body
/// `kCrashBody`: the response to it and all other in-flight requests are cut. It restarts after three seconds under the
/// same id, with a later start time. `PortAfterCrash` says what happens to its port in between.
class CrashingServer : public net::HttpHandler {
 public:
  enum class PortAfterCrash {
    /// New connections are refused after some milliseconds, since the listening socket of a process outlives its
    /// connections.
    kClosesAfterDelay,
    /// Something in front of the server keeps the port open: connections are accepted and closed at once.
    kAcceptsAndCloses,
    /// A proxy in front of the server keeps the port open: connections are accepted, and closed without a response once
    /// a request was read.
    kReadsRequestAndCloses,
  };
  using Timestamp = std::chrono::steady_clock::time_point;

  /// Times of all crashes in a test, and of the arrivals of requests that cause one. Thread-safe.
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

  /// The server runs on the thread of `client`.
  CrashingServer(BlockingClient& client, std::string id, std::string address, PortAfterCrash port, CrashLog& crash_log);
  ~CrashingServer() override;
  CrashingServer(const CrashingServer&) = delete;
  CrashingServer& operator=(const CrashingServer&) = delete;

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override;
  /// Body of the next registration report; nothing while the server is down. Restarts the server when its downtime is
  /// over.
  std::optional<std::string> report();
  const std::string& id() const { return id_; }

  /// A request with this body crashes the server that runs it.
  static constexpr const char* kCrashBody = "crash the server";

 private:
  void listen();
  void crash();
  /// Accepts connections on the port of the crashed server and closes them as `PortAfterCrash` says.
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
