#include "crashing_server.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/json.hpp>

#include "core/base/http_status.h"
#include "net/listener.h"
#include "node/dialect.h"

namespace larchlever::integration {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kResponseDelay = std::chrono::milliseconds(60);
constexpr auto kDowntime = std::chrono::seconds(3);
constexpr auto kPortCloseDelay = std::chrono::milliseconds(5);

asio::awaitable<void> close_after_request(asio::ip::tcp::socket socket) {
  std::array<char, 4096> request{};
  const asio::mutable_buffer buffer(request.data(), request.size());
  co_await socket.async_read_some(buffer, kAwait);
}

int64_t unix_milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

CrashingServer::CrashingServer(BlockingClient& client, std::string id, std::string address, PortAfterCrash port,
                               CrashLog& crash_log)
    : client_(client),
      id_(std::move(id)),
      address_(std::move(address)),
      port_(port),
      crash_log_(crash_log),
      start_time_ms_(unix_milliseconds()),
      server_(std::make_unique<net::HttpServer>(client.context().get_executor(), net::HttpServerOptions(), *this)),
      port_acceptor_(client.context()) {
  listen();
}

CrashingServer::~CrashingServer() {
  asio::post(client_.context(), asio::use_future([this] {
               boost::system::error_code ignored;
               port_acceptor_.close(ignored);
             }))
      .get();
  destroy_server_on_client_thread(client_, server_);
}

void CrashingServer::listen() {
  asio::post(client_.context(), asio::use_future([this] {
               boost::system::error_code ignored;
               port_acceptor_.close(ignored);
               std::string error;
               EXPECT_TRUE(net::listen_on(*server_, address_, error)) << error;
             }))
      .get();
}

std::optional<std::string> CrashingServer::report() {
  bool is_restart = false;
  {
    const std::lock_guard lock(mutex_);
    if (down_until_ && std::chrono::steady_clock::now() < *down_until_) {
      return std::nullopt;
    }
    is_restart = down_until_.has_value();
    if (is_restart) {
      down_until_.reset();
      start_time_ms_ = unix_milliseconds();
      call_number_ = 0;
    }
  }
  if (is_restart) {
    listen();
  }
  const json::object body = {
      {"service", "forms"}, {"address", address_}, {"zone", "north"},        {"version", "v1"},           {"slots", 8},
      {"state", "ready"},   {"cold_left_ms", 0},   {"born", start_time_ms_}, {"call_seq", ++call_number_}};
  return json::serialize(body);
}

void CrashingServer::crash() {
  const std::lock_guard lock(mutex_);
  if (down_until_) {
    return;
  }
  down_until_ = std::chrono::steady_clock::now() + kDowntime;
  crash_log_.add_crash();
  server_->close_all();
  const auto [host, port] = net::split_endpoint(address_);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port)));
  port_acceptor_.open(asio::ip::tcp::v4());
  port_acceptor_.set_option(asio::socket_base::reuse_address(true));
  port_acceptor_.bind(endpoint);
  port_acceptor_.listen();
  asio::co_spawn(client_.context(), accept_and_close_connections(), asio::detached);
}

asio::awaitable<void> CrashingServer::accept_and_close_connections() {
  if (port_ == PortAfterCrash::kClosesAfterDelay) {
    asio::steady_timer timer(client_.context(), kPortCloseDelay);
    co_await timer.async_wait(kAwait);
    boost::system::error_code ignored;
    port_acceptor_.close(ignored);
    co_return;
  }
  while (port_acceptor_.is_open()) {
    asio::ip::tcp::socket socket(client_.context());
    auto [error] = co_await port_acceptor_.async_accept(socket, kAwait);
    if (error) {
      co_return;
    }
    if (port_ == PortAfterCrash::kReadsRequestAndCloses) {
      asio::co_spawn(client_.context(), close_after_request(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void> CrashingServer::handle(net::HttpExchange& exchange) {
  const auto& dialect = *node::find_dialect("larchlever");
  net::HttpResponse response;
  response.status = http_status::kOk;
  response.headers.add(dialect.request_id_header,
                       std::string(exchange.request().headers.find(dialect.request_id_header)));
  response.headers.add(dialect.signature_header, "signed");
  if (exchange.request().body == kCrashBody) {
    crash_log_.add_crash_request();
    asio::steady_timer crash_timer(client_.context(), kResponseDelay);
    co_await crash_timer.async_wait(kAwait);
    response.headers.add("Content-Length", "100");
    co_await exchange.begin_stream(response);
    co_await exchange.write_piece("partial body");
    crash();
    co_return;
  }
  asio::steady_timer timer(client_.context(), kResponseDelay);
  co_await timer.async_wait(kAwait);
  response.body = "form";
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::integration
