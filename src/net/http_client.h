#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/http_types.h"

namespace larchlever::net {

/// How far a request got. Only `kNotSent` proves that the other side saw nothing of it.
enum class SendState { kNotSent, kMaybeSent, kAnswered };

struct FetchResult {
  std::optional<HttpResponse> response;
  SendState state = SendState::kNotSent;
  std::string error;
};

struct HttpClientStats {
  uint64_t connections = 0;
  uint64_t connections_reused = 0;
  uint64_t failed_requests = 0;
};

/// One request whose answer is read piece by piece. Closing it (or destroying it) before the end drops the connection,
/// which the back end takes as a cancel.
class ClientStream {
 public:
  virtual ~ClientStream() = default;
  /// Status and headers; valid after a successful open.
  virtual const HttpResponse& head() const = 0;
  /// Next piece of the body; empty at its end or on failure, see `complete` and `error`.
  virtual boost::asio::awaitable<std::string> read_some(std::chrono::milliseconds timeout) = 0;
  /// The body arrived whole: its declared length, or the final chunk.
  virtual bool complete() const = 0;
  /// The body has neither length nor chunks: its end is the end of the connection, which proves nothing.
  virtual bool delimited_by_close() const = 0;
  virtual const std::string& error() const = 0;
  /// Thread-unsafe like everything here: cancels what is pending and drops the connection.
  virtual void close() = 0;
};

struct OpenResult {
  std::unique_ptr<ClientStream> stream;
  SendState state = SendState::kNotSent;
  std::string error;
};

/// Ends a request from outside, whether it is still connecting, waiting for the answer's head or reading the body.
class Cancellation {
 public:
  void cancel() {
    cancelled_ = true;
    if (on_cancel_) {
      on_cancel_();
    }
  }
  bool cancelled() const { return cancelled_; }
  /// What drops the connection at hand; set by the client.
  void set_cancel_callback(std::function<void()> on_cancel) { on_cancel_ = std::move(on_cancel); }

 private:
  bool cancelled_ = false;
  std::function<void()> on_cancel_;
};

struct OpenOptions {
  /// Longest wait for the answer's head.
  std::chrono::milliseconds timeout{10'000};
  /// Longest wait for a new connection.
  std::chrono::milliseconds connect_timeout{10'000};
  std::shared_ptr<Cancellation> cancellation;
  /// Avoid kept connections, whose peer may close them just as the request leaves: then a failure to connect proves
  /// that nothing was sent.
  bool require_new_connection = false;
  /// If set, asked once the connection stands, right before the first byte leaves; when it says no, nothing is sent.
  std::function<bool()> may_send;
};

/// HTTP/1.1 client over Asio with kept connections. One executor; not thread-safe. Arguments passed by reference must
/// live until the call returns; pass named objects (GCC 12 destroys some temporaries in co_await expressions twice).
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole answer. Never throws on network failures.
  boost::asio::awaitable<FetchResult> fetch(const std::string& endpoint, const HttpRequest& request,
                                            std::chrono::milliseconds timeout);
  /// Sends a request and returns once the answer's head arrived.
  boost::asio::awaitable<OpenResult> open(const std::string& endpoint, const HttpRequest& request,
                                          const OpenOptions& options);
  const HttpClientStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::net
