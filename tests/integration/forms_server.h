#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <string>

#include "child_process.h"
#include "core/base/http_status.h"
#include "net/http_server.h"
#include "net/listener.h"
#include "node/dialect.h"

namespace larchlever::integration {

/// A plain server of the service `forms`, which answers everything, after `delay`.
class FormsServer : public net::HttpHandler {
 public:
  FormsServer(BlockingClient& client, const std::string& address, std::chrono::milliseconds delay = {})
      : client_(client), delay_(delay), server_(client.context().get_executor(), net::HttpServerOptions(), *this) {
    boost::asio::post(client.context(), boost::asio::use_future([this, address] {
                        std::string error;
                        EXPECT_TRUE(net::listen_on(server_, address, error)) << error;
                      }))
        .get();
  }
  ~FormsServer() override {
    boost::asio::post(client_.context(), boost::asio::use_future([this] { server_.close_all(); })).get();
  }

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override {
    const auto& dialect = *node::find_dialect("larchlever");
    ++served_;
    boost::asio::steady_timer timer(client_.context(), delay_);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    net::HttpResponse response;
    response.status = http_status::kOk;
    response.headers.add(dialect.request_id, std::string(exchange.request().headers.find(dialect.request_id)));
    response.headers.add(dialect.signature, "signed");
    response.body = "form";
    co_await exchange.respond(std::move(response));
  }
  int served() const { return served_; }

 private:
  BlockingClient& client_;
  std::chrono::milliseconds delay_;
  net::HttpServer server_;
  std::atomic<int> served_ = 0;
};

}  // namespace larchlever::integration
