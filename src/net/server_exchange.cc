#include "net/server_exchange.h"

#include <netinet/tcp.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);

/// Returns true if the peer has closed or reset the connection and everything it sent before was read.
bool is_closed_by_peer(int socket) {
  char byte = 0;
  const ssize_t count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Time since data last arrived at the socket; zero if the system does not tell.
std::chrono::milliseconds time_since_last_arrival(int socket) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool is_known = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
  return std::chrono::milliseconds(is_known ? info.tcpi_last_data_recv : 0);
}

}  // namespace

ServerExchange::ServerExchange(std::shared_ptr<TimedStream> stream, const HttpServerOptions& options,
                               const bool& draining, http::request<http::string_body> message)
    : stream_(std::move(stream)),
      options_(options),
      draining_(draining),
      keep_alive_(message.keep_alive()),
      version_(message.version()) {
  request_.method = std::string(message.method_string());
  request_.target = std::string(message.target());
  for (const auto& field : message) {
    request_.headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  request_.body = std::move(message.body());
}

template <typename Message>
void ServerExchange::fill_head(const HttpResponse& response, Message& message) {
  message.result(static_cast<unsigned>(response.status));
  if (!response.reason.empty()) {
    message.reason(response.reason);
  }
  message.version(version_);
  for (const auto& [name, value] : response.headers.all()) {
    if (!is_hop_by_hop(name, response.headers) && !equals_ignoring_case(name, "content-length")) {
      message.insert(name, value);
    }
  }
  // Decided when the head is written, not when the request is read: a connection may only be closed after a response
  // that announced it, because the client's next request may already be on its way.
  keep_alive_ = keep_alive_ && !draining_;
  message.keep_alive(keep_alive_);
}

asio::awaitable<void> ServerExchange::respond(HttpResponse response) {
  http::response<http::string_body> message;
  fill_head(response, message);
  message.body() = std::move(response.body);
  const bool no_body = response.status == 204 || response.status == 304;
  if (!no_body) {
    message.content_length(request_.method == "HEAD" && response.headers.contains("content-length")
                               ? std::stoull(std::string(response.headers.find("content-length")))
                               : message.body().size());
  }
  http::response_serializer<http::string_body> serializer(message);
  stream_->expires_after(options_.write_timeout);
  beast::error_code error;
  if (request_.method == "HEAD") {
    std::tie(error, std::ignore) = co_await http::async_write_header(*stream_, serializer, kAwaitWithError);
  } else {
    std::tie(error, std::ignore) = co_await http::async_write(*stream_, serializer, kAwaitWithError);
  }
  response_sent_ = !error;
  disconnected_ = disconnected_ || static_cast<bool>(error);
}

asio::awaitable<bool> ServerExchange::begin_stream(const HttpResponse& head) {
  const bool has_length = head.headers.contains("content-length");
  if (version_ < 11 && !has_length) {
    buffered_response_ = head;
    co_return !disconnected_;
  }
  http::response<http::empty_body> message;
  fill_head(head, message);
  chunked_ = !has_length;
  if (has_length) {
    message.set(http::field::content_length, std::string(head.headers.find("content-length")));
  } else {
    message.chunked(true);
  }
  http::response_serializer<http::empty_body> serializer(message);
  stream_->expires_after(options_.write_timeout);
  auto [error, count] = co_await http::async_write_header(*stream_, serializer, kAwaitWithError);
  disconnected_ = disconnected_ || static_cast<bool>(error);
  co_return !disconnected_;
}

asio::awaitable<bool> ServerExchange::write_piece(std::string_view piece) {
  if (buffered_response_) {
    buffered_response_->body.append(piece);
    co_return !disconnected_;
  }
  if (!disconnected_ && !piece.empty()) {
    stream_->expires_after(options_.write_timeout);
    const asio::const_buffer data(piece.data(), piece.size());
    beast::error_code error;
    if (chunked_) {
      std::tie(error, std::ignore) = co_await asio::async_write(*stream_, http::make_chunk(data), kAwaitWithError);
    } else {
      std::tie(error, std::ignore) = co_await asio::async_write(*stream_, data, kAwaitWithError);
    }
    disconnected_ = disconnected_ || static_cast<bool>(error);
  }
  co_return !disconnected_;
}

asio::awaitable<void> ServerExchange::end_stream() {
  if (buffered_response_) {
    HttpResponse complete_response = std::move(*buffered_response_);
    buffered_response_.reset();
    co_await respond(std::move(complete_response));
    co_return;
  }
  if (disconnected_) {
    co_return;
  }
  response_sent_ = true;
  if (chunked_) {
    stream_->expires_after(options_.write_timeout);
    auto [error, count] = co_await asio::async_write(*stream_, http::make_chunk_last(), kAwaitWithError);
    response_sent_ = !error;
  }
}

void ServerExchange::notify_on_disconnect(std::function<void()> on_disconnect) {
  asio::co_spawn(stream_->get_executor(), watch_for_disconnect(shared_from_this(), std::move(on_disconnect)),
                 asio::detached);
}

bool ServerExchange::caller_disconnected() const {
  return disconnected_ || is_closed_by_peer(stream_->socket().native_handle());
}

std::chrono::milliseconds ServerExchange::time_since_arrival() const {
  return time_since_last_arrival(stream_->socket().native_handle());
}

void ServerExchange::stop_disconnect_watch() {
  disconnect_watch_stopped_ = true;
  beast::error_code ignored;
  if (disconnect_watch_pending_) {
    disconnect_watch_descriptor_->cancel(ignored);
  }
}

asio::awaitable<void> ServerExchange::watch_for_disconnect(std::shared_ptr<ServerExchange> self,
                                                           std::function<void()> on_disconnect) {
  // A second descriptor for the same socket, so that this wait does not interfere with the stream's operations.
  const int duplicate_descriptor = ::dup(self->stream_->socket().native_handle());
  if (duplicate_descriptor < 0) {
    co_return;
  }
  self->disconnect_watch_descriptor_ =
      std::make_unique<asio::posix::stream_descriptor>(self->stream_->get_executor(), duplicate_descriptor);
  self->disconnect_watch_pending_ = true;
  auto [error] = co_await self->disconnect_watch_descriptor_->async_wait(asio::posix::stream_descriptor::wait_read,
                                                                         kAwaitWithError);
  self->disconnect_watch_pending_ = false;
  if (error || self->disconnect_watch_stopped_) {
    co_return;
  }
  if (is_closed_by_peer(duplicate_descriptor)) {
    self->disconnected_ = true;
    on_disconnect();
  }
}

}  // namespace larchlever::net
