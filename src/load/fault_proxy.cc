#include "load/fault_proxy.h"

#include <map>
#include <utility>

#include "net/http_types.h"

namespace larchlever::load {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kReadBufferBytes = 16 * 1024;
/// Interval at which held data is checked for release.
constexpr auto kHoldCheckInterval = std::chrono::milliseconds(2);

struct ProxiedConnection {
  explicit ProxiedConnection(const asio::any_io_executor& executor)
      : client(executor), upstream(executor), duplicate(executor) {}
  tcp::socket client;
  tcp::socket upstream;
  tcp::socket duplicate;
  /// IP address of the client.
  std::string client_address;
  uint64_t sent_upstream = 0;
  uint64_t sent_downstream = 0;
  int open_directions = 2;  ///< Directions that still relay data.
  /// Nothing was sent upstream since the last data for the client.
  bool has_responded = false;

  void reset() {
    boost::system::error_code ignored;
    for (auto* socket : {&client, &upstream, &duplicate}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
};

}  // namespace

struct FaultProxy::Implementation : std::enable_shared_from_this<FaultProxy::Implementation> {
  explicit Implementation(asio::any_io_executor given_executor)
      : executor(std::move(given_executor)), acceptor(executor) {}

  asio::awaitable<void> accept_loop();
  asio::awaitable<void> relay_connection(std::shared_ptr<ProxiedConnection> connection);
  asio::awaitable<void> relay_direction(std::shared_ptr<ProxiedConnection> connection, bool upstream);
  /// Sends the surplus response if the client begins a further request.
  asio::awaitable<void> send_surplus_response(ProxiedConnection& connection);
  /// Returns once the connection's data is not held, or the client has reset the connection.
  asio::awaitable<void> wait_while_held(std::shared_ptr<ProxiedConnection> connection);

  const ProxyFaults& faults_of(const std::string& client) const {
    const auto found = client_faults.find(client);
    return found == client_faults.end() ? faults : found->second;
  }

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  std::string upstream_endpoint;
  ProxyFaults faults;
  std::map<std::string, ProxyFaults> client_faults;
  std::map<std::string, uint64_t> client_connections;
  std::set<std::shared_ptr<ProxiedConnection>> open_connections;
  ProxyStats stats;
};

asio::awaitable<void> FaultProxy::Implementation::accept_loop() {
  auto self = shared_from_this();
  while (acceptor.is_open()) {
    auto connection = std::make_shared<ProxiedConnection>(executor);
    auto [error] = co_await acceptor.async_accept(connection->client, kAwait);
    if (error) {
      co_return;
    }
    boost::system::error_code endpoint_error;
    const auto client = connection->client.remote_endpoint(endpoint_error);
    connection->client_address = endpoint_error ? "" : client.address().to_string();
    ++client_connections[connection->client_address];
    if (faults_of(connection->client_address).refuse_connections || upstream_endpoint.empty()) {
      connection->reset();
      continue;
    }
    ++stats.connections;
    asio::co_spawn(executor, relay_connection(connection), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Implementation::wait_while_held(std::shared_ptr<ProxiedConnection> connection) {
  auto self = shared_from_this();
  asio::steady_timer timer(executor);
  while (faults_of(connection->client_address).hold && connection->client.is_open()) {
    timer.expires_after(kHoldCheckInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> FaultProxy::Implementation::relay_connection(std::shared_ptr<ProxiedConnection> connection) {
  auto self = shared_from_this();
  co_await wait_while_held(connection);
  const auto [host, port] = net::split_endpoint(upstream_endpoint);
  const tcp::endpoint endpoint(asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port)));
  auto [error] = co_await connection->upstream.async_connect(endpoint, kAwait);
  if (error) {
    connection->reset();
    co_return;
  }
  if (faults_of(connection->client_address).duplicate_connect) {
    co_await connection->duplicate.async_connect(endpoint, kAwait);
  }
  boost::system::error_code ignored;
  connection->client.set_option(tcp::no_delay(true), ignored);
  connection->upstream.set_option(tcp::no_delay(true), ignored);
  open_connections.insert(connection);
  asio::co_spawn(executor, relay_direction(connection, false), asio::detached);
  co_await relay_direction(connection, true);
}

asio::awaitable<void> FaultProxy::Implementation::send_surplus_response(ProxiedConnection& connection) {
  const std::string surplus = faults_of(connection.client_address).surplus_response;
  const bool begins_further_request = std::exchange(connection.has_responded, false);
  if (!begins_further_request || surplus.empty()) {
    co_return;
  }
  ++stats.surplus_responses;
  co_await asio::async_write(connection.client, asio::buffer(surplus), kAwait);
}

asio::awaitable<void> FaultProxy::Implementation::relay_direction(std::shared_ptr<ProxiedConnection> connection,
                                                                  bool upstream) {
  auto self = shared_from_this();
  auto& from = upstream ? connection->client : connection->upstream;
  auto& to = upstream ? connection->upstream : connection->client;
  uint64_t& sent = upstream ? connection->sent_upstream : connection->sent_downstream;
  std::string chunk(kReadBufferBytes, '\0');
  asio::steady_timer timer(executor);
  while (true) {
    auto [error, received_bytes] = co_await from.async_read_some(asio::buffer(chunk), kAwait);
    if (error) {
      break;
    }
    co_await wait_while_held(connection);
    const ProxyFaults current_faults = faults_of(connection->client_address);
    if (current_faults.delay.count() > 0) {
      timer.expires_after(current_faults.delay);
      co_await timer.async_wait(kAwait);
    }
    if (current_faults.max_bytes_per_second > 0) {
      timer.expires_after(std::chrono::microseconds(received_bytes * 1'000'000 / current_faults.max_bytes_per_second));
      co_await timer.async_wait(kAwait);
    }
    if (upstream ? current_faults.drop_upstream : current_faults.drop_downstream) {
      stats.bytes_dropped += received_bytes;
      continue;
    }
    if (upstream) {
      co_await send_surplus_response(*connection);
    } else {
      connection->has_responded = true;
    }
    const auto& byte_limit =
        upstream ? current_faults.reset_after_upstream_bytes : current_faults.reset_after_downstream_bytes;
    const size_t allowed_bytes = byte_limit && sent + received_bytes > *byte_limit
                                     ? static_cast<size_t>(*byte_limit - std::min(*byte_limit, sent))
                                     : received_bytes;
    auto [write_error, written] = co_await asio::async_write(to, asio::buffer(chunk.data(), allowed_bytes), kAwait);
    sent += written;
    (upstream ? stats.bytes_upstream : stats.bytes_downstream) += written;
    if (write_error || allowed_bytes < received_bytes) {
      ++stats.resets;
      connection->reset();
      break;
    }
  }
  // Forward only the end of this direction, because the other one may still carry an answer.
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  if (--connection->open_directions == 0) {
    open_connections.erase(connection);
  }
}

FaultProxy::FaultProxy(asio::any_io_executor executor)
    : implementation_(std::make_shared<Implementation>(std::move(executor))) {}

FaultProxy::~FaultProxy() {
  boost::system::error_code ignored;
  implementation_->acceptor.close(ignored);
  reset_all();
}

std::string FaultProxy::listen() {
  auto& self = *implementation_;
  const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
  self.acceptor.open(endpoint.protocol());
  self.acceptor.bind(endpoint);
  self.acceptor.listen();
  asio::co_spawn(self.executor, self.accept_loop(), asio::detached);
  return "127.0.0.1:" + std::to_string(self.acceptor.local_endpoint().port());
}

void FaultProxy::set_upstream(const std::string& endpoint) { implementation_->upstream_endpoint = endpoint; }

void FaultProxy::set_faults(const ProxyFaults& faults) { implementation_->faults = faults; }

void FaultProxy::set_client_faults(const std::string& client, const ProxyFaults& faults) {
  implementation_->client_faults[client] = faults;
}

void FaultProxy::clear_client_faults(const std::string& client) { implementation_->client_faults.erase(client); }

void FaultProxy::reset_all() {
  const auto open_connections = std::move(implementation_->open_connections);
  implementation_->open_connections.clear();
  for (const auto& connection : open_connections) {
    connection->reset();
  }
}

void FaultProxy::reset_client(const std::string& client) {
  const auto is_from_client = [&client](const auto& connection) { return connection->client_address == client; };
  for (const auto& connection : implementation_->open_connections) {
    if (is_from_client(connection)) {
      connection->reset();
    }
  }
  std::erase_if(implementation_->open_connections, is_from_client);
}

uint64_t FaultProxy::connections_from(const std::string& client) const {
  const auto found = implementation_->client_connections.find(client);
  return found == implementation_->client_connections.end() ? 0 : found->second;
}

const ProxyStats& FaultProxy::stats() const { return implementation_->stats; }

}  // namespace larchlever::load
