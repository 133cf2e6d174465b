#include "emulator/weight_store.h"

#include <boost/asio.hpp>

namespace larchlever::emulator {

namespace asio = boost::asio;

WeightStore::WeightStore(asio::any_io_executor executor, WeightStoreOptions options)
    : executor_(std::move(executor)), options_(options) {}

asio::awaitable<void> WeightStore::handle(net::HttpExchange& exchange) {
  net::HttpResponse response;
  if (exchange.request().method != "GET" || !exchange.request().path().starts_with("/weights/")) {
    response.status = 404;
    co_await exchange.respond(std::move(response));
    co_return;
  }
  if (active_transfers_ >= options_.max_concurrent_transfers) {
    ++refused_transfers_;
    response.status = 429;
    response.headers.add("Retry-After", "1");
    co_await exchange.respond(std::move(response));
    co_return;
  }
  ++active_transfers_;
  ++started_transfers_;
  asio::steady_timer timer(executor_, options_.transfer_time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  --active_transfers_;
  response.headers.add("Content-Type", "application/octet-stream");
  response.body = "weights";
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::emulator
