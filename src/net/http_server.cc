#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <map>
#include <set>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "net/clock.h"
#include "net/http_head_check.h"
#include "net/listener.h"
#include "net/server_exchange.h"
#include "net/timed_stream.h"

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
using RequestParser = http::request_parser<http::string_body>;

std::string make_problem_body(int status, std::string_view title, std::string_view remedy) {
  return "{\"type\":\"about:blank\",\"status\":" + std::to_string(status) + ",\"title\":\"" + std::string(title) +
         "\",\"remedy\":\"" + std::string(remedy) + "\",\"outcome\":\"not-run\"}";
}

constexpr size_t kHeadReadBytes = 4096;
constexpr std::string_view kRequestRemedy = "send a valid HTTP/1.1 request within the limits";
/// How long the rest of a rejected request is read and discarded. Closing with unread data would reset the connection,
/// and the client could lose the response.
constexpr auto kDiscardTimeout = std::chrono::milliseconds(300);
/// Retry-After, in seconds, of requests for whose bodies there is no memory. Bodies in flight take less to arrive.
constexpr const char* kOverloadRetryAfter = "1";
/// The body of a request does not fit into the memory for bodies.
constexpr auto kOverloadError = asio::error::no_buffer_space;

std::string_view buffered_bytes(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// Returns the position of the empty line that ends the head, or npos while the head is incomplete.
size_t find_head_end(const beast::flat_buffer& buffer) { return buffered_bytes(buffer).find("\r\n\r\n"); }

std::string_view buffered_head(const beast::flat_buffer& buffer) {
  return buffered_bytes(buffer).substr(0, find_head_end(buffer));
}

HttpResponse make_problem_response(int status, std::string_view title, std::string_view remedy) {
  HttpResponse response;
  response.status = status;
  response.headers.add("Content-Type", "application/problem+json");
  response.headers.add("Larchlever-Outcome", "not-run");
  response.body = make_problem_body(status, title, remedy);
  return response;
}

}  // namespace

struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation> {
  Implementation(asio::any_io_executor given_executor, HttpServerOptions given_options, HttpHandler& given_handler,
                 std::shared_ptr<requests::BodyBudget> given_body_budget)
      : executor(std::move(given_executor)),
        options(given_options),
        handler(&given_handler),
        acceptor(executor),
        body_budget(std::move(given_body_budget)) {
    if (body_budget == nullptr) {
      body_budget = std::make_shared<requests::BodyBudget>(std::numeric_limits<size_t>::max());
    }
  }

  /// `self` keeps the server alive from the call on, because the coroutine starts only when the executor runs it.
  asio::awaitable<void> accept_loop(std::shared_ptr<Implementation> self);
  asio::awaitable<void> serve(std::shared_ptr<TimedStream> stream);
  asio::awaitable<beast::error_code> read_head_bytes(TimedStream& stream, beast::flat_buffer& buffer, bool is_first);
  /// Reads the request whose head is in the buffer.
  asio::awaitable<beast::error_code> read_request(TimedStream& stream, beast::flat_buffer& buffer,
                                                  RequestParser& parser, requests::BodyReservation& reservation);
  /// Counts a request that could not be read. Returns the response to it, or nothing if the connection is just closed.
  std::optional<HttpResponse> make_rejection(beast::error_code error);
  asio::awaitable<void> reject_request(std::shared_ptr<TimedStream> stream, HttpResponse rejection);
  /// Closes the connection that has waited longest for a request. Returns false if there is none.
  bool displace_waiting_connection();

  asio::any_io_executor executor;
  HttpServerOptions options;
  HttpHandler* handler;
  asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<requests::BodyBudget> body_budget;
  bool draining = false;
  bool closed = false;
  std::set<std::shared_ptr<TimedStream>> streams;
  /// Connections on which no request is being read or served, with the time at which they became idle.
  std::map<std::shared_ptr<TimedStream>, std::chrono::steady_clock::time_point> idle_since;
  /// Connections whose next request is awaited or being read, with the time since when.
  std::map<std::shared_ptr<TimedStream>, std::chrono::steady_clock::time_point> waiting_since;
  HttpServerStats stats;
};

asio::awaitable<void> HttpServer::Implementation::accept_loop(std::shared_ptr<Implementation> self) {
  while (acceptor.is_open()) {
    asio::ip::tcp::socket socket(executor);
    auto [error] = co_await acceptor.async_accept(socket, kAwaitWithError);
    if (error == asio::error::operation_aborted || !acceptor.is_open()) {
      co_return;
    }
    if (error) {
      // Most likely the process is out of file descriptors. Wait before the next attempt instead of retrying in a busy
      // loop.
      asio::steady_timer retry_timer(executor, std::chrono::milliseconds(50));
      co_await retry_timer.async_wait(kAwaitWithError);
      continue;
    }
    const bool is_full = stats.open_connections >= static_cast<int64_t>(options.max_connections);
    if (is_full && !displace_waiting_connection()) {
      ++stats.refused_connections;
      continue;
    }
    beast::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto stream = std::make_shared<TimedStream>(std::move(socket));
    streams.insert(stream);
    ++stats.connections;
    ++stats.open_connections;
    asio::co_spawn(
        executor,
        [self, stream]() -> asio::awaitable<void> {
          co_await self->serve(stream);
          self->streams.erase(stream);
          --self->stats.open_connections;
        },
        asio::detached);
  }
}

asio::awaitable<beast::error_code> HttpServer::Implementation::read_head_bytes(TimedStream& stream,
                                                                               beast::flat_buffer& buffer,
                                                                               bool is_first) {
  stream.expires_after(is_first ? options.head_timeout : options.idle_timeout);
  bool started = buffer.size() > 0;
  while (find_head_end(buffer) == std::string_view::npos) {
    if (buffer.size() > options.head_limit_bytes) {
      co_return http::error::header_limit;
    }
    if (!started && buffer.size() > 0) {
      started = true;
      stream.expires_after(options.head_timeout);
    }
    const auto read_buffer = buffer.prepare(kHeadReadBytes);
    auto [error, count] = co_await stream.async_read_some(read_buffer, kAwaitWithError);
    buffer.commit(count);
    if (error) {
      co_return buffer.size() == 0 && error == asio::error::eof ? beast::error_code(http::error::end_of_stream) : error;
    }
  }
  co_return beast::error_code();
}

asio::awaitable<beast::error_code> HttpServer::Implementation::read_request(TimedStream& stream,
                                                                            beast::flat_buffer& buffer,
                                                                            RequestParser& parser,
                                                                            requests::BodyReservation& reservation) {
  stream.expires_after(options.body_timeout);
  parser.eager(true);
  while (!parser.is_done()) {
    const auto [error, count] = co_await http::async_read_some(stream, buffer, parser, kAwaitWithError);
    if (!error) {
      reservation.grow_to(monotonic_now(), parser.get().body().size());
    }
    if (reservation.is_evicted()) {
      co_return kOverloadError;
    }
    if (error) {
      co_return error;
    }
  }
  co_return reservation.complete(monotonic_now()) ? beast::error_code() : kOverloadError;
}

std::optional<HttpResponse> HttpServer::Implementation::make_rejection(beast::error_code error) {
  if (error == kOverloadError) {
    ++stats.overload_rejections;
    auto response = make_problem_response(http_status::kServiceUnavailable, "the memory for request bodies is used up",
                                          "send the request again after Retry-After");
    response.headers.add("Retry-After", kOverloadRetryAfter);
    return response;
  }
  if (error == http::error::body_limit) {
    ++stats.oversized_requests;
    return make_problem_response(http_status::kPayloadTooLarge, "request body too large", kRequestRemedy);
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    ++stats.oversized_requests;
    return make_problem_response(http_status::kPayloadTooLarge, "request head, trailer or chunk line too large",
                                 kRequestRemedy);
  }
  if (error == beast::error::timeout) {
    ++stats.timed_out_requests;
    return std::nullopt;
  }
  if (error.category() == http::make_error_code(http::error::bad_target).category()) {
    ++stats.malformed_requests;
    return make_problem_response(http_status::kBadRequest, "malformed HTTP request", kRequestRemedy);
  }
  return std::nullopt;
}

bool HttpServer::Implementation::displace_waiting_connection() {
  const auto longest = std::min_element(waiting_since.begin(), waiting_since.end(),
                                        [](const auto& a, const auto& b) { return a.second < b.second; });
  if (longest == waiting_since.end()) {
    return false;
  }
  ++stats.displaced_connections;
  longest->first->close();
  waiting_since.erase(longest);
  return true;
}

asio::awaitable<void> HttpServer::Implementation::reject_request(std::shared_ptr<TimedStream> stream,
                                                                 HttpResponse rejection) {
  http::request<http::string_body> empty;
  auto exchange = std::make_shared<ServerExchange>(stream, options, draining, std::move(empty));
  exchange->close_after_response();
  co_await exchange->respond(std::move(rejection));
  beast::error_code error;
  stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
  stream->expires_after(kDiscardTimeout);
  std::array<char, kHeadReadBytes> discarded_bytes{};
  while (!error) {
    const asio::mutable_buffer read_buffer(discarded_bytes.data(), discarded_bytes.size());
    std::tie(error, std::ignore) = co_await stream->async_read_some(read_buffer, kAwaitWithError);
  }
}

asio::awaitable<void> HttpServer::Implementation::serve(std::shared_ptr<TimedStream> stream) {
  const auto self = shared_from_this();  // What is destroyed with this coroutine uses the server.
  // The parser needs a head, the line of a chunk's size and the trailer as a whole, so this limits their lengths.
  beast::flat_buffer buffer;
  bool is_first_request = true;
  const ScopeExit end_wait_on_exit([&self, &stream] { self->waiting_since.erase(stream); });
  while (!closed) {
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(options.head_limit_bytes));
    parser.body_limit(options.body_limit_bytes);
    buffer.max_size(std::max(buffer.size(), options.head_limit_bytes + kHeadReadBytes));
    waiting_since.emplace(stream, std::chrono::steady_clock::now());
    idle_since.emplace(stream, std::chrono::steady_clock::now());
    beast::error_code error = co_await read_head_bytes(*stream, buffer, is_first_request);
    idle_since.erase(stream);
    is_first_request = false;
    requests::BodyReservation reservation(*body_budget, monotonic_now(), [stream] { stream->cancel(); });
    if (!error) {
      if (const auto head_error = find_head_error(buffered_head(buffer))) {
        ++stats.malformed_requests;
        auto rejection = make_problem_response(http_status::kBadRequest, *head_error, kRequestRemedy);
        co_await reject_request(stream, std::move(rejection));
        break;
      }
      error = co_await read_request(*stream, buffer, parser, reservation);
    }
    if (error == http::error::end_of_stream || closed) {
      break;
    }
    if (error) {
      std::string().swap(parser.get().body());  // Frees it before the client is sent the rejection.
      if (auto rejection = make_rejection(error)) {
        co_await reject_request(stream, std::move(*rejection));
      }
      break;
    }
    waiting_since.erase(stream);
    ++stats.requests;
    ++stats.active_requests;
    auto exchange = std::make_shared<ServerExchange>(stream, options, draining, parser.release());
    stream->expires_never();
    bool failed = false;
    try {
      co_await handler->handle(*exchange);
    } catch (const std::exception&) {
      failed = true;
    }
    exchange->stop_disconnect_watch();
    --stats.active_requests;
    if (failed || !exchange->response_sent() || !exchange->keep_alive()) {
      break;
    }
  }
  beast::error_code ignored;
  stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream->close();
}

HttpServer::HttpServer(asio::any_io_executor executor, HttpServerOptions options, HttpHandler& handler,
                       std::shared_ptr<requests::BodyBudget> body_budget)
    : implementation_(std::make_shared<Implementation>(std::move(executor), options, handler, std::move(body_budget))) {
}

HttpServer::~HttpServer() { close_all(); }

std::optional<uint16_t> HttpServer::listen(const std::string& address, uint16_t port, std::string& error) {
  auto& self = *implementation_;
  const auto bound = start_listening(self.acceptor, address, port, error);
  if (!bound) {
    return std::nullopt;
  }
  self.closed = false;
  self.draining = false;
  asio::co_spawn(self.executor, self.accept_loop(implementation_), asio::detached);
  return bound;
}

void HttpServer::stop_accepting() {
  beast::error_code ignored;
  implementation_->draining = true;
  implementation_->acceptor.close(ignored);
}

void HttpServer::close_all() {
  beast::error_code ignored;
  implementation_->closed = true;
  implementation_->acceptor.close(ignored);
  for (const auto& stream : implementation_->streams) {
    stream->close();
  }
}

void HttpServer::set_options(const HttpServerOptions& options) { implementation_->options = options; }

void HttpServer::begin_draining() { implementation_->draining = true; }

void HttpServer::close_idle_connections(std::chrono::milliseconds min_idle_time) {
  const auto latest_idle_start = std::chrono::steady_clock::now() - min_idle_time;
  const auto idle_since = implementation_->idle_since;
  for (const auto& [stream, idle_start] : idle_since) {
    if (idle_start <= latest_idle_start) {
      stream->cancel();
    }
  }
}

const HttpServerStats& HttpServer::stats() const { return implementation_->stats; }

}  // namespace larchlever::net
