#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <limits>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "announced_rate_limits.h"
#include "child_process.h"
#include "core/base/http_status.h"
#include "net/http_server.h"
#include "net/listener.h"
#include "node/dialect.h"
#include "server_arrivals.h"

namespace larchlever::integration {

/// A plain server (not an engine) of the service `forms`. It answers every request after `delay`, or rejects requests
/// with a Retry-After header. It can announce in its responses that it is leaving or which rate limit it has.
class FormsServer : public net::HttpHandler {
 public:
  FormsServer(BlockingClient& client, const std::string& address, std::chrono::milliseconds delay = {})
      : client_(client),
        delay_(delay),
        server_(std::make_unique<net::HttpServer>(client.context().get_executor(), net::HttpServerOptions(), *this)) {
    boost::asio::post(client.context(), boost::asio::use_future([this, address] {
                        std::string error;
                        EXPECT_TRUE(net::listen_on(*server_, address, error)) << error;
                      }))
        .get();
  }
  ~FormsServer() override { destroy_server_on_client_thread(client_, server_); }

  boost::asio::awaitable<void> handle(net::HttpExchange& exchange) override {
    if (exchange.request().path() == kHealthPath) {
      co_await exchange.respond(net::HttpResponse());
      co_return;
    }
    const auto& dialect = *node::find_dialect("larchlever");
    const std::string request_id(exchange.request().headers.find(dialect.request_id_header));
    const std::string retry_after_header = current_retry_after();
    const std::string limit = rate_limits_.for_next_response();
    const bool is_rejected = !retry_after_header.empty() || random_share_(random_engine_) < rejected_share_;
    arrivals_.add(request_id, is_rejected, !limit.empty());
    net::HttpResponse response;
    response.headers.add(dialect.request_id_header, request_id);
    if (is_leaving_) {
      response.headers.add(kLeavingHeader, "1");
    }
    if (!limit.empty()) {
      response.headers.add(dialect.limit_header, limit);
    }
    if (is_rejected) {
      response.status = http_status::kServiceUnavailable;
      response.headers.add(dialect.not_run_header, "1");
      if (!retry_after_header.empty()) {
        response.headers.add("Retry-After", retry_after_header);
      }
      co_await exchange.respond(std::move(response));
      co_return;
    }
    ++served_count_;
    boost::asio::steady_timer timer(client_.context());
    while (running_ >= slots_) {
      timer.expires_after(kSlotPollInterval);
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    ++running_;
    timer.expires_after(delay_.load());
    exchange.notify_on_disconnect([this] { ++abandoned_count_; });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    --running_;
    response.status = status_after_run_;
    response.headers.add(dialect.signature_header, "signed");
    response.body = exchange.request().path() == kLargePath ? std::string(kLargeBodyBytes, 'x') : "form";
    co_await exchange.respond(std::move(response));
  }
  int served_count() const { return served_count_; }
  void set_delay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// From now on runs at most this many requests at a time; others wait.
  void set_slots(int slots) { slots_ = slots; }
  /// Number of requests whose sender closed the connection before the response.
  int abandoned_count() const { return abandoned_count_; }
  /// From now on rejects every request with this value of `Retry-After`; an empty value ends this.
  void reject_with_retry_after(const std::string& retry_after) {
    const std::lock_guard lock(mutex_);
    current_retry_after_ = retry_after;
  }
  /// From now on rejects this share of the requests, without a Retry-After header.
  void reject_share(double share) { rejected_share_ = share; }
  /// From now on runs every request and answers with this status, signed and not marked as not run.
  void set_status_after_run(int status) { status_after_run_ = status; }
  /// From now on announces this rate limit in every response while still serving; an empty value announces none.
  void announce_rate_limit(const std::string& per_second) { rate_limits_.set(per_second); }
  std::vector<RateLimitPhase> rate_limit_phases() const { return rate_limits_.phases(); }
  /// From now on announces in every response that the server is leaving, while still serving.
  void announce_leaving() { is_leaving_ = true; }
  std::vector<Arrival> arrivals() const { return arrivals_.all(); }

  /// Requests for this path are answered with a body of `kLargeBodyBytes`.
  static constexpr const char* kLargePath = "/forms/large";
  static constexpr size_t kLargeBodyBytes = 400'000;

 private:
  /// `health_path` of the service. Health checks are not recorded as arrivals.
  static constexpr const char* kHealthPath = "/healthz";
  static constexpr const char* kLeavingHeader = "Larchlever-Leaving";
  static constexpr auto kSlotPollInterval = std::chrono::milliseconds(1);

  std::string current_retry_after() {
    const std::lock_guard lock(mutex_);
    return current_retry_after_;
  }

  BlockingClient& client_;
  std::atomic<std::chrono::milliseconds> delay_;
  std::atomic<int> slots_ = std::numeric_limits<int>::max();
  /// Changed only by the thread of `client_`.
  int running_ = 0;
  std::atomic<int> abandoned_count_ = 0;
  std::unique_ptr<net::HttpServer> server_;
  std::atomic<int> served_count_ = 0;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<int> status_after_run_ = http_status::kOk;
  std::mutex mutex_;
  std::string current_retry_after_;
  std::atomic<double> rejected_share_ = 0;
  std::mt19937_64 random_engine_{1};
  std::uniform_real_distribution<> random_share_{0, 1};
  AnnouncedRateLimits rate_limits_;
  ArrivalRecord arrivals_;
};

}  // namespace larchlever::integration
