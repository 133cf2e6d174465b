#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/requests/body_budget.h"
#include "net/http_types.h"

namespace larchlever::net {

/// One request received from a client, and the functions that send its response. The handler calls exactly one of
/// `respond` and `begin_stream`, once.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// Sends a complete response.
  virtual boost::asio::awaitable<void> respond(HttpResponse response) = 0;
  /// Starts a streamed response. The body has the length given by the Content-Length header of `head`; without one it
  /// is chunked, or, for HTTP/1.0, buffered and sent as a whole. Returns false if the client has disconnected.
  virtual boost::asio::awaitable<bool> begin_stream(const HttpResponse& head) = 0;
  /// Sends a piece of the body. Returns when the client's socket has accepted it, so that a slow reader applies
  /// backpressure to the source. Returns false if the client has disconnected.
  virtual boost::asio::awaitable<bool> write_piece(std::string_view piece) = 0;
  /// Completes the streamed response. If this is not called, the connection is closed, so the client can tell that the
  /// response is incomplete.
  virtual boost::asio::awaitable<void> end_stream() = 0;
  /// Calls `on_disconnect` once if the client closes its connection while the request is being served.
  virtual void notify_on_disconnect(std::function<void()> on_disconnect) = 0;
  /// Whether the client has closed its connection, as far as this has arrived here.
  virtual bool caller_disconnected() const = 0;
  /// Time since the last bytes of the request arrived in the socket. If this is long although the request has just been
  /// read, this process was suspended meanwhile. Zero if the system does not tell.
  virtual std::chrono::milliseconds time_since_arrival() const = 0;
};

/// Handles requests on the server's executor. Requests of different connections are interleaved.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual boost::asio::awaitable<void> handle(HttpExchange& exchange) = 0;
};

struct HttpServerOptions {
  size_t head_limit_bytes = 16 * 1024;
  size_t body_limit_bytes = 8 * 1024 * 1024;
  std::chrono::milliseconds head_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};
  std::chrono::milliseconds write_timeout{60'000};
  /// A connection beyond this number takes the place of the one that has waited longest for its next request, whole
  /// or in part. If requests of all connections are being served, it is refused.
  size_t max_connections = 20'000;
};

struct HttpServerStats {
  uint64_t connections = 0;
  uint64_t requests = 0;
  uint64_t malformed_requests = 0;
  uint64_t oversized_requests = 0;
  uint64_t timed_out_requests = 0;
  /// Requests rejected because the memory for bodies was used up.
  uint64_t overload_rejections = 0;
  uint64_t refused_connections = 0;
  /// Connections closed in favour of new ones.
  uint64_t displaced_connections = 0;
  int64_t open_connections = 0;
  int64_t active_requests = 0;
};

/// Minimal HTTP/1.1 server on Asio and Beast. Supports keep-alive, limits the sizes of heads and bodies and the time
/// for each step, and handles one request at a time per connection; pipelined requests are queued. Malformed input gets
/// a 4xx response and the connection is closed; so does a request for whose body there is no memory, with a 503. Runs
/// on one executor; not thread-safe.
class HttpServer {
 public:
  /// Servers of one process share `body_budget`; without one, the bodies have no common limit.
  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options, HttpHandler& handler,
             std::shared_ptr<requests::BodyBudget> body_budget = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts accepting. Port 0 selects a free port. Returns the port, or nothing with `error` set.
  std::optional<uint16_t> listen(const std::string& address, uint16_t port, std::string& error);
  /// Sets the limits for connections and requests that arrive from now on.
  void set_options(const HttpServerOptions& options);
  /// Adds `Connection: close` to every response head written from now on and closes the connection after that response.
  /// New connections are still accepted.
  void begin_draining();
  /// Closes connections that have been idle, with no request being read or served, for at least `min_idle_time`.
  void close_idle_connections(std::chrono::milliseconds min_idle_time = {});
  /// Starts draining and stops accepting connections.
  void stop_accepting();
  /// Closes the listener and all connections immediately, as if the process had crashed.
  void close_all();
  const HttpServerStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::net
