#pragma once

#include <boost/asio.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "net/http_server.h"
#include "net/timed_stream.h"

namespace larchlever::net {

/// One request on a connection of an `HttpServer`, and the response to it, which is written with Beast.
class ServerExchange : public HttpExchange, public std::enable_shared_from_this<ServerExchange> {
 public:
  /// `draining` refers to the server's flag, which may change while the request is served.
  ServerExchange(std::shared_ptr<TimedStream> stream, const HttpServerOptions& options, const bool& draining,
                 boost::beast::http::request<boost::beast::http::string_body> message);

  const HttpRequest& request() const override { return request_; }
  boost::asio::awaitable<void> respond(HttpResponse response) override;
  boost::asio::awaitable<bool> begin_stream(const HttpResponse& head) override;
  boost::asio::awaitable<bool> write_piece(std::string_view piece) override;
  boost::asio::awaitable<void> end_stream() override;
  void notify_on_disconnect(std::function<void()> on_disconnect) override;
  bool caller_disconnected() const override;
  std::chrono::milliseconds time_since_arrival() const override;

  /// True if a complete response was sent, so that the connection can be reused.
  bool response_sent() const { return response_sent_; }
  bool keep_alive() const { return keep_alive_; }
  void close_after_response() { keep_alive_ = false; }
  void stop_disconnect_watch();

 private:
  static boost::asio::awaitable<void> watch_for_disconnect(std::shared_ptr<ServerExchange> self,
                                                           std::function<void()> on_disconnect);
  template <typename Message>
  void fill_head(const HttpResponse& response, Message& message);

  std::shared_ptr<TimedStream> stream_;
  /// A copy, because the server's options may change while the request is served.
  HttpServerOptions options_;
  const bool& draining_;
  HttpRequest request_;
  bool keep_alive_ = false;
  unsigned version_ = 11;
  bool disconnected_ = false;
  bool chunked_ = true;
  std::optional<HttpResponse> buffered_response_;
  bool response_sent_ = false;
  bool disconnect_watch_stopped_ = false;
  bool disconnect_watch_pending_ = false;
  std::unique_ptr<boost::asio::posix::stream_descriptor> disconnect_watch_descriptor_;
};

}  // namespace larchlever::net
