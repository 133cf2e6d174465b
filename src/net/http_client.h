#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.h"

namespace larchlever::net {

/// How far a request got. Only `kNotSent` guarantees that the server received no part of it.
enum class SendState { kNotSent, kMaybeSent, kResponseStarted };

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

/// One request whose response body is read in pieces. Closing or destroying the stream before the end closes the
/// connection, which the server treats as a cancellation.
class ClientStream {
 public:
  virtual ~ClientStream() = default;
  /// Status and headers of the response.
  virtual const HttpResponse& head() const = 0;
  /// Returns the next piece of the body, which must arrive within `timeout`. Empty at the end of the body or on
  /// failure; `complete` and `error` tell which. Framing that grows without limit is a failure.
  virtual boost::asio::awaitable<std::string> read_some(std::chrono::milliseconds timeout) = 0;
  /// True once the whole body was received, as determined by its declared length or the final chunk.
  virtual bool complete() const = 0;
  /// True if the body has neither a length nor chunks. It ends when the connection closes, so a truncated body cannot
  /// be detected.
  virtual bool delimited_by_close() const = 0;
  virtual const std::string& error() const = 0;
  /// Cancels pending operations and closes the connection. Not thread-safe.
  virtual void close() = 0;
};

/// Longest body that `HttpClient::fetch` reads if its caller states no other limit. Fits many times into the memory of
/// an entry.
constexpr size_t kDefaultMaxFetchedBodyBytes = 4U << 20U;

struct OpenResult {
  std::unique_ptr<ClientStream> stream;
  SendState state = SendState::kNotSent;
  std::string error;
  /// The failure is that something did not happen in time.
  bool timed_out = false;
};

/// Cancels a request while it is connecting, waiting for the response head or reading the body.
class Cancellation {
 public:
  /// `cause` is for the log. The first one counts.
  void cancel(std::string_view cause = "cancelled") {
    cause_ = cancelled_ ? cause_ : std::string(cause);
    cancelled_ = true;
    if (on_cancel_) {
      on_cancel_();
    }
  }
  bool cancelled() const { return cancelled_; }
  /// Why the request was cancelled; empty if it was not.
  const std::string& cause() const { return cause_; }
  /// Sets the function that `cancel` calls. The code that currently owns the connection sets it.
  void set_cancel_callback(std::function<void()> on_cancel) { on_cancel_ = std::move(on_cancel); }

 private:
  bool cancelled_ = false;
  std::string cause_;
  std::function<void()> on_cancel_;
};

struct OpenOptions {
  /// Timeout for the response head, including interim responses.
  std::chrono::milliseconds timeout{10'000};
  /// Timeout for opening a new connection.
  std::chrono::milliseconds connect_timeout{10'000};
  std::shared_ptr<Cancellation> cancellation;
  /// Does not reuse an idle connection, which the server may close just as the request is sent. With a new connection,
  /// a failure to connect guarantees that nothing was sent.
  bool require_new_connection = false;
  /// The connection is not reused for later requests.
  bool close_after_response = false;
  /// If set, called when the connection is open, right before the first byte is sent. If it returns false, nothing is
  /// sent.
  std::function<bool()> may_send;
  /// If set, decides by its head whether a response answers the request. Others, which a server sent late or without a
  /// request, are discarded with their bodies; the next response on the connection is awaited within `timeout`.
  std::function<bool(const HttpResponse& head, bool on_reused_connection)> is_response_to_request;
};

/// HTTP/1.1 client on Asio that reuses idle connections. Runs on one executor; not thread-safe. Arguments passed by
/// reference must outlive the call. Pass named objects: GCC 12 destroys some temporaries in co_await expressions twice.
class HttpClient {
 public:
  /// If `local_address` is not empty, connections originate from this IP address.
  explicit HttpClient(boost::asio::any_io_executor executor, const std::string& local_address = "");
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request and reads the whole response. It fails if the response is not complete within `timeout` or its
  /// body is longer than `max_body_bytes`. Network failures are returned, never thrown.
  boost::asio::awaitable<FetchResult> fetch(const std::string& endpoint, const HttpRequest& request,
                                            std::chrono::milliseconds timeout,
                                            size_t max_body_bytes = kDefaultMaxFetchedBodyBytes);
  /// Sends a request and returns once the response head is received. Interim responses are skipped.
  boost::asio::awaitable<OpenResult> open(const std::string& endpoint, const HttpRequest& request,
                                          const OpenOptions& options);
  /// Closes the idle connections to the endpoint.
  void close_idle_connections(const std::string& endpoint);
  const HttpClientStats& stats() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace larchlever::net
