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

#include "net/http_types.h"

namespace larchlever::net {

/// One request on a caller's connection, and the means to answer it. Exactly one of `respond` and `begin_stream` is
/// called, once.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// Sends a whole answer.
  virtual boost::asio::awaitable<void> respond(HttpResponse response) = 0;
  /// Starts an answer that comes in pieces: with the length that the head's Content-Length gives, else chunked (and
  /// gathered into a whole for HTTP/1.0, which has no chunks). False when the caller is gone.
  virtual boost::asio::awaitable<bool> begin_stream(const HttpResponse& head) = 0;
  /// Sends a piece; returns when the caller's socket took it, so a slow reader holds back the source. False when the
  /// caller is gone.
  virtual boost::asio::awaitable<bool> write_piece(std::string_view piece) = 0;
  /// Ends the stream properly. Without this call the connection is cut, so the caller sees that the answer broke off.
  virtual boost::asio::awaitable<void> end_stream() = 0;
  /// Calls `on_disconnect` once if the caller closes its connection while the request is being served.
  virtual void notify_on_disconnect(std::function<void()> on_disconnect) = 0;
  virtual bool caller_disconnected() const = 0;
};

/// Serves requests. Called on the server's executor; several requests interleave.
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
  size_t max_connections = 20'000;
};

struct HttpServerStats {
  uint64_t connections = 0;
  uint64_t requests = 0;
  uint64_t malformed_requests = 0;
  uint64_t oversized_requests = 0;
  uint64_t timed_out_requests = 0;
  uint64_t refused_connections = 0;
  int64_t open_connections = 0;
  int64_t active_requests = 0;
};

/// A head that must not be forwarded, because servers may read it differently; the text names the fault.
/// Refused: folded header lines, transfer codings other than chunked, HTTP/1.1 without exactly one Host, a
/// Content-Length beside a transfer coding.
std::optional<std::string> find_head_error(std::string_view head);

/// Minimal HTTP/1.1 server on Asio and Beast: keep-alive, limits on heads, bodies and times, one request at a time per
/// connection (pipelined ones wait their turn). Malformed input gets a typed 4xx answer and the connection is closed.
/// One executor; not thread-safe.
class HttpServer {
 public:
  HttpServer(boost::asio::any_io_executor executor, HttpServerOptions options, HttpHandler& handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Binds and starts accepting. Port 0 takes a free one. Returns the port, or nothing with `error` set.
  std::optional<uint16_t> listen(const std::string& address, uint16_t port, std::string& error);
  /// Limits for connections and requests that come from now on.
  void set_options(const HttpServerOptions& options);
  /// Every answer whose head is written from now on says `Connection: close`, and its connection is closed after it;
  /// new connections are still served.
  void begin_draining();
  /// Closes connections on which no request has been read or served for this long.
  void close_idle_connections(std::chrono::milliseconds min_idle_time = {});
  /// The same as draining, and new connections are refused.
  void stop_accepting();
  /// Drops everything at once, as when the process dies.
  void close_all();
  const HttpServerStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::net
