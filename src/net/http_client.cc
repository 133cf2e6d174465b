#include "net/http_client.h"

#include <netinet/tcp.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>

#include "core/base/scope_exit.h"
#include "net/clock.h"
#include "net/http_head_check.h"
#include "net/timed_stream.h"

namespace larchlever::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxIdleConnectionsPerEndpoint = 64;
constexpr size_t kReadBufferBytes = 16 * 1024;
constexpr size_t kHeadReadBytes = 4 * 1024;
constexpr unsigned kSwitchingProtocols = 101;
/// Limit on a response head together with the interim responses before it.
constexpr size_t kMaxResponseHeadBytes = 64 * 1024;
/// Limit on the bytes of a connection that are received but not parsed. The parser needs the line of a chunk's size, or
/// a trailer, as a whole.
constexpr size_t kMaxUnparsedBytes = kMaxResponseHeadBytes + kHeadReadBytes;
/// Limits on the responses that are discarded before the response to a request is given up. In tiny chunks, even this
/// many bytes take noticeable processor time.
constexpr int kMaxDiscardedResponses = 16;
constexpr size_t kMaxDiscardedBytes = 256 * 1024;

using Parser = http::response_parser<http::buffer_body>;

/// Idle connections are discarded this long before the server's announced keep-alive timeout.
constexpr auto kKeepAliveMargin = std::chrono::milliseconds(300);
/// How long an idle connection may be reused if the server announces no keep-alive timeout.
constexpr auto kDefaultKeepAlive = std::chrono::seconds(20);
/// The kernel closes a connection whose peer acknowledges no sent data for this long.
constexpr unsigned int kTcpUserTimeoutMs = 4000;

struct Connection {
  explicit Connection(const asio::any_io_executor& executor) : stream(executor) {}
  TimedStream stream;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  TimePoint usable_until = TimePoint::max();
  /// Other requests were sent on it before.
  bool is_reused = false;
  /// It carried a response to no request, or to an earlier one, and more of them may follow.
  bool carried_surplus_response = false;
};

/// Returns the time until which a connection may be reused, from the response's `Keep-Alive: timeout=N`.
TimePoint usable_until(std::string_view keep_alive) {
  const TimePoint now = monotonic_now();
  const size_t position = keep_alive.find("timeout=");
  if (position == std::string_view::npos) {
    return now + kDefaultKeepAlive;
  }
  const int64_t timeout_seconds = std::strtol(keep_alive.data() + position + 8, nullptr, 10);
  return now + std::chrono::seconds(timeout_seconds) - kKeepAliveMargin;
}

/// Makes a cancellation of the request cancel the pending operation of `connection`.
void drop_connection_on_cancel(const OpenOptions& options, Connection& connection) {
  if (options.cancellation) {
    options.cancellation->set_cancel_callback([&connection] { connection.stream.cancel(); });
  }
}

/// The result refers to the body of `request`.
http::request<http::span_body<const char>> to_beast(const std::string& endpoint, const HttpRequest& request) {
  http::request<http::span_body<const char>> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const auto& [name, value] : request.headers.all()) {
    message.insert(name, value);
  }
  if (!request.headers.contains("host")) {
    message.set(http::field::host, endpoint);
  }
  message.body() = {request.body.data(), request.body.size()};
  const bool has_body_method = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
  if (!request.body.empty() || has_body_method) {
    message.content_length(request.body.size());
  }
  return message;
}

std::unique_ptr<Parser> make_parser(const HttpRequest& request) {
  auto parser = std::make_unique<Parser>();
  parser->body_limit(boost::none);
  parser->header_limit(kMaxResponseHeadBytes);
  parser->skip(request.method == "HEAD");
  return parser;
}

/// Reads one response head of at most `remaining_bytes` and subtracts its length from them. Counts the bytes itself
/// because the parser's limit covers only what it has not parsed yet.
asio::awaitable<beast::error_code> read_head(Connection& connection, Parser& parser, size_t& remaining_bytes) {
  auto& buffer = connection.buffer;
  std::string head;
  while (true) {
    beast::error_code error;
    const size_t parsed_bytes = parser.put(buffer.data(), error);
    head.append(static_cast<const char*>(buffer.data().data()), parsed_bytes);
    buffer.consume(parsed_bytes);
    if (parsed_bytes > remaining_bytes) {
      co_return http::error::header_limit;
    }
    remaining_bytes -= parsed_bytes;
    if (error && error != http::error::need_more) {
      co_return error;
    }
    if (parser.is_header_done()) {
      co_return check_response_head(head);
    }
    if (buffer.size() >= remaining_bytes) {
      co_return http::error::header_limit;
    }
    auto [read_error, count] =
        co_await connection.stream.async_read_some(buffer.prepare(kHeadReadBytes), kAwaitWithError);
    buffer.commit(count);
    if (read_error == asio::error::eof) {
      co_return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (read_error) {
      co_return read_error;
    }
  }
}

/// Reads the head of the final response, after any interim ones.
asio::awaitable<beast::error_code> read_final_head(Connection& connection, const HttpRequest& request,
                                                   std::unique_ptr<Parser>& parser) {
  size_t remaining_bytes = kMaxResponseHeadBytes;
  while (true) {
    parser = make_parser(request);
    const auto error = co_await read_head(connection, *parser, remaining_bytes);
    if (error) {
      co_return error;
    }
    const unsigned status = parser->get().result_int();
    if (status / 100 != 1) {
      co_return error;
    }
    if (status == kSwitchingProtocols) {
      co_return http::error::bad_status;  // No request asks for another protocol.
    }
  }
}

HttpResponse to_response_head(const Parser& parser) {
  const auto& message = parser.get();
  HttpResponse head;
  head.status = static_cast<int>(message.result_int());
  head.reason = std::string(message.reason());
  for (const auto& field : message) {
    head.headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  return head;
}

/// Why reading for the request must stop, although bytes may be there: a cancellation or a deadline takes effect only
/// while an operation is pending.
beast::error_code find_reason_to_stop(const OpenOptions& options, std::chrono::steady_clock::time_point deadline) {
  if (options.cancellation && options.cancellation->cancelled()) {
    return asio::error::operation_aborted;
  }
  return std::chrono::steady_clock::now() < deadline ? beast::error_code() : beast::error::timeout;
}

/// Reads the rest of a response that is not needed and subtracts its length from `remaining_bytes`.
asio::awaitable<beast::error_code> discard_body(Connection& connection, Parser& parser, const OpenOptions& options,
                                                std::chrono::steady_clock::time_point deadline,
                                                size_t& remaining_bytes) {
  std::array<char, kHeadReadBytes> discarded{};
  auto& body = parser.get().body();
  while (!parser.is_done()) {
    if (const auto reason = find_reason_to_stop(options, deadline)) {
      co_return reason;
    }
    body.data = discarded.data();
    body.size = discarded.size();
    const auto [error, parsed_bytes] =
        co_await http::async_read_some(connection.stream, connection.buffer, parser, kAwaitWithError);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    if (parsed_bytes > remaining_bytes) {
      co_return http::error::body_limit;
    }
    remaining_bytes -= parsed_bytes;
  }
  co_return beast::error_code();
}

/// Reads the head of the response to the request. Discards other responses ahead of it.
asio::awaitable<beast::error_code> read_own_head(Connection& connection, const HttpRequest& request,
                                                 const OpenOptions& options, std::unique_ptr<Parser>& parser) {
  const auto deadline = std::chrono::steady_clock::now() + options.timeout;
  size_t remaining_bytes = kMaxDiscardedBytes;
  for (int discarded_responses = 0; discarded_responses <= kMaxDiscardedResponses; ++discarded_responses) {
    auto error = co_await read_final_head(connection, request, parser);
    if (error || !options.is_response_to_request ||
        options.is_response_to_request(to_response_head(*parser), connection.is_reused)) {
      co_return error;
    }
    connection.carried_surplus_response = true;
    // Whether a body follows depends on the method of the other request.
    const bool has_known_end = request.method != "HEAD" && parser->keep_alive();
    if (!has_known_end) {
      co_return http::error::end_of_stream;
    }
    error = co_await discard_body(connection, *parser, options, deadline, remaining_bytes);
    if (error) {
      co_return error;
    }
  }
  co_return http::error::header_limit;
}

/// Returns true if the peer closed the idle connection or sent unsolicited data.
bool is_unusable(asio::ip::tcp::socket& socket) {
  char byte = 0;
  socket.non_blocking(true);
  beast::error_code error;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace

struct HttpClient::Implementation : std::enable_shared_from_this<HttpClient::Implementation> {
  Implementation(asio::any_io_executor given_executor, const std::string& given_local_address)
      : executor(std::move(given_executor)) {
    if (!given_local_address.empty()) {
      local_address = asio::ip::make_address(given_local_address);
    }
  }

  std::unique_ptr<Connection> take_idle_connection(const std::string& endpoint) {
    auto& list = idle_connections[endpoint];
    while (!list.empty()) {
      auto connection = std::move(list.back());
      list.pop_back();
      const bool expired = monotonic_now() >= connection->usable_until;
      if (!expired && !is_unusable(connection->stream.socket())) {
        ++stats.connections_reused;
        return connection;
      }
    }
    return nullptr;
  }

  void keep_idle(const std::string& endpoint, std::unique_ptr<Connection> connection) {
    auto& list = idle_connections[endpoint];
    if (list.size() < kMaxIdleConnectionsPerEndpoint) {
      connection->stream.expires_never();
      connection->is_reused = true;
      list.push_back(std::move(connection));
    }
  }

  asio::any_io_executor executor;
  std::optional<asio::ip::address> local_address;
  std::map<std::string, std::deque<std::unique_ptr<Connection>>> idle_connections;
  HttpClientStats stats;
};

namespace {

/// Receives the connection after a complete response was read, if the connection can be reused.
using KeepConnection = std::function<void(std::unique_ptr<Connection>)>;

class BeastClientStream : public ClientStream {
 public:
  BeastClientStream(std::unique_ptr<Connection> connection, std::unique_ptr<Parser> parser, KeepConnection keep_idle)
      : connection_(std::move(connection)),
        parser_(std::move(parser)),
        keep_idle_(std::move(keep_idle)),
        head_(to_response_head(*parser_)) {
    finish_if_done();
  }
  ~BeastClientStream() override { close(); }

  const HttpResponse& head() const override { return head_; }

  asio::awaitable<std::string> read_some(std::chrono::milliseconds timeout) override {
    std::string piece;
    if (connection_ != nullptr) {
      connection_->stream.expires_after(timeout);
    }
    while (piece.empty() && connection_ != nullptr && !parser_->is_done()) {
      piece.resize(kReadBufferBytes);
      auto& body = parser_->get().body();
      body.data = piece.data();
      body.size = piece.size();
      auto [error, count] =
          co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_, kAwaitWithError);
      piece.resize(piece.size() - body.size);
      if (error && error != http::error::need_buffer) {
        error_ = error.message();
        close();
        break;
      }
    }
    finish_if_done();
    co_return piece;
  }

  bool complete() const override { return complete_; }
  bool delimited_by_close() const override { return delimited_by_close_; }
  const std::string& error() const override { return error_; }

  void close() override {
    if (connection_ != nullptr) {
      connection_->stream.close();
      reading_finished_ = true;
    }
  }

 private:
  void finish_if_done() {
    delimited_by_close_ = delimited_by_close_ || parser_->need_eof();
    if (!parser_->is_done() || complete_ || reading_finished_) {
      return;
    }
    complete_ = true;
    reading_finished_ = true;
    // Surplus bytes after a complete response belong to no request. Such a connection is not reused.
    const bool has_surplus = connection_->carried_surplus_response || connection_->buffer.size() > 0;
    if (parser_->keep_alive() && keep_idle_ && !has_surplus) {
      connection_->usable_until = usable_until(head_.headers.find("keep-alive"));
      keep_idle_(std::move(connection_));
    }
  }

  std::unique_ptr<Connection> connection_;
  std::unique_ptr<Parser> parser_;
  KeepConnection keep_idle_;
  HttpResponse head_;
  std::string error_;
  bool complete_ = false;
  bool reading_finished_ = false;
  bool delimited_by_close_ = false;
};

/// Appends the rest of the body to `body`. Returns why it could not be read, or nothing. The deadline is of the clock
/// of the timers, which does not count suspensions: a body that arrived during one is read.
asio::awaitable<std::string> read_body(ClientStream& stream, std::string& body,
                                       std::chrono::steady_clock::time_point deadline, size_t max_body_bytes) {
  while (!stream.complete()) {
    const auto time_left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    if (time_left <= std::chrono::milliseconds(0)) {
      co_return "it takes too long";
    }
    const std::string piece = co_await stream.read_some(time_left);
    if (piece.empty() && !stream.complete()) {
      co_return stream.error();
    }
    if (piece.size() > max_body_bytes - body.size()) {
      co_return "it is longer than " + std::to_string(max_body_bytes) + " bytes";
    }
    body += piece;
  }
  co_return "";
}

}  // namespace

HttpClient::HttpClient(asio::any_io_executor executor, const std::string& local_address)
    : implementation_(std::make_shared<Implementation>(std::move(executor), local_address)) {}

HttpClient::~HttpClient() = default;

void HttpClient::close_idle_connections(const std::string& endpoint) {
  implementation_->idle_connections.erase(endpoint);
}

const HttpClientStats& HttpClient::stats() const { return implementation_->stats; }

asio::awaitable<OpenResult> HttpClient::open(const std::string& endpoint, const HttpRequest& request,
                                             const OpenOptions& options) {
  const auto timeout = options.timeout;
  auto self = implementation_;
  OpenResult result;
  std::unique_ptr<Connection> connection;
  const ScopeExit clear_cancel_callback([&options] {
    if (options.cancellation) {
      options.cancellation->set_cancel_callback(nullptr);
    }
  });
  if (!options.require_new_connection) {
    connection = self->take_idle_connection(endpoint);
  }
  if (connection == nullptr) {
    const auto [host, port] = split_endpoint(endpoint);
    beast::error_code address_error;
    const auto address = asio::ip::make_address(host, address_error);
    if (host.empty() || address_error) {
      result.error = "bad endpoint '" + endpoint + "'; endpoints are IP:PORT";
      co_return result;
    }
    connection = std::make_unique<Connection>(self->executor);
    if (self->local_address) {
      connection->stream.bind_to(*self->local_address);
    }
    connection->stream.expires_after(std::min(timeout, options.connect_timeout));
    drop_connection_on_cancel(options, *connection);
    const asio::ip::tcp::endpoint target(address, static_cast<uint16_t>(std::stoi(port)));
    auto [error] = co_await connection->stream.async_connect(target, kAwaitWithError);
    if (error) {
      ++self->stats.failed_requests;
      result.error = "cannot connect to " + endpoint + ": " + error.message();
      result.timed_out = error == beast::error::timeout;
      co_return result;
    }
    ++self->stats.connections;
    beast::error_code ignored;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    ::setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
                 sizeof(kTcpUserTimeoutMs));
  }
  drop_connection_on_cancel(options, *connection);
  if (options.cancellation && options.cancellation->cancelled()) {
    result.error = "cancelled before anything was sent to " + endpoint;
    co_return result;
  }
  if (options.may_send && !options.may_send()) {
    result.error = "permission to send to " + endpoint + " ended while connecting";
    co_return result;
  }
  connection->stream.expires_after(timeout);
  auto message = to_beast(endpoint, request);
  result.state = SendState::kMaybeSent;
  auto [write_error, written] = co_await http::async_write(connection->stream, message, kAwaitWithError);
  if (write_error) {
    ++self->stats.failed_requests;
    result.error = "sending to " + endpoint + " failed: " + write_error.message();
    result.timed_out = write_error == beast::error::timeout;
    co_return result;
  }
  std::unique_ptr<Parser> parser;
  const auto read_error = co_await read_own_head(*connection, request, options, parser);
  if (read_error) {
    ++self->stats.failed_requests;
    result.error = "no response from " + endpoint + ": " + read_error.message();
    result.timed_out = read_error == beast::error::timeout;
    co_return result;
  }
  result.state = SendState::kResponseStarted;
  KeepConnection keep_idle;
  if (!options.close_after_response) {
    keep_idle = [self, endpoint](std::unique_ptr<Connection> idle_connection) {
      self->keep_idle(endpoint, std::move(idle_connection));
    };
  }
  result.stream = std::make_unique<BeastClientStream>(std::move(connection), std::move(parser), std::move(keep_idle));
  co_return result;
}

asio::awaitable<FetchResult> HttpClient::fetch(const std::string& endpoint, const HttpRequest& request,
                                               std::chrono::milliseconds timeout, size_t max_body_bytes) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  FetchResult result;
  OpenOptions options;
  options.timeout = timeout;
  OpenResult opened = co_await open(endpoint, request, options);
  result.state = opened.state;
  result.error = opened.error;
  if (opened.stream == nullptr) {
    co_return result;
  }
  HttpResponse response = opened.stream->head();
  const std::string failure = co_await read_body(*opened.stream, response.body, deadline, max_body_bytes);
  if (!failure.empty()) {
    result.error = "incomplete response from " + endpoint + ": " + failure;
    co_return result;
  }
  result.response = std::move(response);
  co_return result;
}

}  // namespace larchlever::net
