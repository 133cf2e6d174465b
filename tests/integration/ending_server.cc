#include "ending_server.h"

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
constexpr auto kWork = std::chrono::milliseconds(60);
constexpr auto kDownTime = std::chrono::seconds(3);
constexpr auto kPortClosesAfter = std::chrono::milliseconds(5);

asio::awaitable<void> close_after_request(asio::ip::tcp::socket socket) {
  std::array<char, 4096> request{};
  const asio::mutable_buffer space(request.data(), request.size());
  co_await socket.async_read_some(space, kAwait);
}

int64_t unix_milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

EndingServer::EndingServer(BlockingClient& client, std::string id, std::string address, Port port, Ends& ends)
    : client_(client),
      id_(std::move(id)),
      address_(std::move(address)),
      port_(port),
      ends_(ends),
      born_ms_(unix_milliseconds()),
      server_(std::make_unique<net::HttpServer>(client.context().get_executor(), net::HttpServerOptions(), *this)),
      held_port_(client.context()) {
  listen();
}

EndingServer::~EndingServer() {
  asio::post(client_.context(), asio::use_future([this] {
               boost::system::error_code ignored;
               held_port_.close(ignored);
             }))
      .get();
  destroy_on_its_thread(client_, server_);
}

void EndingServer::listen() {
  asio::post(client_.context(), asio::use_future([this] {
               boost::system::error_code ignored;
               held_port_.close(ignored);
               std::string error;
               EXPECT_TRUE(net::listen_on(*server_, address_, error)) << error;
             }))
      .get();
}

std::optional<std::string> EndingServer::report() {
  bool starts = false;
  {
    const std::lock_guard lock(mutex_);
    if (down_until_ && std::chrono::steady_clock::now() < *down_until_) {
      return std::nullopt;
    }
    starts = down_until_.has_value();
    if (starts) {
      down_until_.reset();
      born_ms_ = unix_milliseconds();
      call_number_ = 0;
    }
  }
  if (starts) {
    listen();
  }
  const json::object body = {{"service", "forms"}, {"address", address_}, {"zone", "north"},
                             {"version", "v1"},    {"slots", 8},          {"state", "ready"},
                             {"cold_left_ms", 0},  {"born", born_ms_},    {"call_seq", ++call_number_}};
  return json::serialize(body);
}

void EndingServer::end() {
  const std::lock_guard lock(mutex_);
  if (down_until_) {
    return;
  }
  down_until_ = std::chrono::steady_clock::now() + kDownTime;
  ends_.add();
  server_->close_all();
  const auto [host, port] = net::split_endpoint(address_);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port)));
  held_port_.open(asio::ip::tcp::v4());
  held_port_.set_option(asio::socket_base::reuse_address(true));
  held_port_.bind(endpoint);
  held_port_.listen();
  asio::co_spawn(client_.context(), close_what_comes(), asio::detached);
}

asio::awaitable<void> EndingServer::close_what_comes() {
  if (port_ == Port::kClosesLater) {
    asio::steady_timer timer(client_.context(), kPortClosesAfter);
    co_await timer.async_wait(kAwait);
    boost::system::error_code ignored;
    held_port_.close(ignored);
    co_return;
  }
  while (held_port_.is_open()) {
    asio::ip::tcp::socket socket(client_.context());
    auto [error] = co_await held_port_.async_accept(socket, kAwait);
    if (error) {
      co_return;
    }
    if (port_ == Port::kProxied) {
      asio::co_spawn(client_.context(), close_after_request(std::move(socket)), asio::detached);
    }
  }
}

asio::awaitable<void> EndingServer::handle(net::HttpExchange& exchange) {
  const auto& dialect = *node::find_dialect("larchlever");
  net::HttpResponse response;
  response.status = http_status::kOk;
  response.headers.add(dialect.request_id_header,
                       std::string(exchange.request().headers.find(dialect.request_id_header)));
  response.headers.add(dialect.signature_header, "signed");
  if (exchange.request().body == kEndingBody) {
    ends_.add_arrival();
    asio::steady_timer harm(client_.context(), kWork);
    co_await harm.async_wait(kAwait);
    response.headers.add("Content-Length", "100");
    co_await exchange.begin_stream(response);
    co_await exchange.write_piece("a part of it");
    end();
    co_return;
  }
  asio::steady_timer timer(client_.context(), kWork);
  co_await timer.async_wait(kAwait);
  response.body = "form";
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::integration
