#include "load/fault_proxy.h"

#include "net/http_types.h"

namespace larchlever::load {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kPiece = 16 * 1024;

struct Pair {
  explicit Pair(const asio::any_io_executor& executor) : dialler(executor), upstream(executor), idle(executor) {}
  tcp::socket dialler;
  tcp::socket upstream;
  tcp::socket idle;
  uint64_t sent_upstream = 0;
  uint64_t sent_downstream = 0;
  int directions = 2;  ///< How many are still carried.

  void reset() {
    boost::system::error_code ignored;
    for (auto* socket : {&dialler, &upstream, &idle}) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
};

}  // namespace

struct FaultProxy::Implementation : std::enable_shared_from_this<FaultProxy::Implementation> {
  explicit Implementation(asio::any_io_executor given) : executor(std::move(given)), acceptor(executor) {}

  asio::awaitable<void> accept_loop();
  asio::awaitable<void> carry(std::shared_ptr<Pair> pair);
  asio::awaitable<void> pump(std::shared_ptr<Pair> pair, bool upstream);

  asio::any_io_executor executor;
  tcp::acceptor acceptor;
  std::string target;
  ProxyFaults faults;
  std::set<std::shared_ptr<Pair>> pairs;
  ProxyStats stats;
};

asio::awaitable<void> FaultProxy::Implementation::accept_loop() {
  auto self = shared_from_this();
  while (acceptor.is_open()) {
    auto pair = std::make_shared<Pair>(executor);
    auto [error] = co_await acceptor.async_accept(pair->dialler, kAwait);
    if (error) {
      co_return;
    }
    if (faults.refuse || target.empty()) {
      pair->reset();
      continue;
    }
    ++stats.connections;
    asio::co_spawn(executor, carry(pair), asio::detached);
  }
}

asio::awaitable<void> FaultProxy::Implementation::carry(std::shared_ptr<Pair> pair) {
  auto self = shared_from_this();
  const auto [host, port] = net::split_endpoint(target);
  const tcp::endpoint endpoint(asio::ip::make_address(host), static_cast<uint16_t>(std::stoi(port)));
  auto [error] = co_await pair->upstream.async_connect(endpoint, kAwait);
  if (error) {
    pair->reset();
    co_return;
  }
  if (faults.duplicate_connect) {
    co_await pair->idle.async_connect(endpoint, kAwait);
  }
  boost::system::error_code ignored;
  pair->dialler.set_option(tcp::no_delay(true), ignored);
  pair->upstream.set_option(tcp::no_delay(true), ignored);
  pairs.insert(pair);
  asio::co_spawn(executor, pump(pair, false), asio::detached);
  co_await pump(pair, true);
}

asio::awaitable<void> FaultProxy::Implementation::pump(std::shared_ptr<Pair> pair, bool upstream) {
  auto self = shared_from_this();
  auto& from = upstream ? pair->dialler : pair->upstream;
  auto& to = upstream ? pair->upstream : pair->dialler;
  uint64_t& sent = upstream ? pair->sent_upstream : pair->sent_downstream;
  std::string piece(kPiece, '\0');
  asio::steady_timer timer(executor);
  while (true) {
    auto [error, count] = co_await from.async_read_some(asio::buffer(piece), kAwait);
    if (error) {
      break;
    }
    if (faults.delay.count() > 0) {
      timer.expires_after(faults.delay);
      co_await timer.async_wait(kAwait);
    }
    if (faults.throttle > 0) {
      timer.expires_after(std::chrono::microseconds(count * 1'000'000 / faults.throttle));
      co_await timer.async_wait(kAwait);
    }
    if (upstream ? faults.drop_upstream : faults.drop_downstream) {
      stats.bytes_dropped += count;
      continue;
    }
    const auto& limit = upstream ? faults.cut_after_upstream_bytes : faults.cut_after_downstream_bytes;
    const size_t allowed =
        limit && sent + count > *limit ? static_cast<size_t>(*limit - std::min(*limit, sent)) : count;
    auto [write_error, written] = co_await asio::async_write(to, asio::buffer(piece.data(), allowed), kAwait);
    sent += written;
    (upstream ? stats.bytes_upstream : stats.bytes_downstream) += written;
    if (write_error || allowed < count) {
      ++stats.resets;
      pair->reset();
      break;
    }
  }
  // The other direction may still carry an answer: pass the end on, keep the rest open.
  boost::system::error_code ignored;
  to.shutdown(tcp::socket::shutdown_send, ignored);
  if (--pair->directions == 0) {
    pairs.erase(pair);
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

void FaultProxy::set_upstream(const std::string& endpoint) { implementation_->target = endpoint; }

void FaultProxy::set_faults(const ProxyFaults& faults) { implementation_->faults = faults; }

void FaultProxy::reset_all() {
  const auto pairs = std::move(implementation_->pairs);
  implementation_->pairs.clear();
  for (const auto& pair : pairs) {
    pair->reset();
  }
}

const ProxyStats& FaultProxy::stats() const { return implementation_->stats; }

}  // namespace larchlever::load
