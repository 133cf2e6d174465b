#include "node/caller_api.h"

#include <boost/json.hpp>

#include "core/base/scope_exit.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;

CallerApi::CallerApi(NodeRuntime& runtime)
    : runtime_(runtime),
      retry_budget_(runtime.settings().requests.retry_budget_percent),
      idempotency_guard_(runtime, stats_),
      model_handler_(runtime, retry_budget_, idempotency_guard_, stats_),
      service_handler_(runtime, retry_budget_, idempotency_guard_, stats_) {}

bool CallerApi::is_ready() const {
  return ready_ && runtime_.controller().entry().has_configuration_lease(NodeRuntime::now());
}

bool CallerApi::ends_before_shutdown(std::string_view path) const {
  const TimePoint now = NodeRuntime::now();
  return shutdown_admission_.accepts(now, std::string(path), now + runtime_.settings().requests.request_timeout);
}

asio::awaitable<void> CallerApi::handle(net::HttpExchange& exchange) {
  const auto path = exchange.request().path();
  if (path == "/healthz" || path == "/readyz") {
    net::HttpResponse response;
    response.status = path == "/healthz" || is_ready() ? 200 : 503;
    response.headers.add("Content-Type", "text/plain");
    response.body = response.status == 200 ? "ok\n" : "not ready\n";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  if (!ends_before_shutdown(path)) {
    const auto problem = shutting_down_problem();
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  ++active_requests_;
  const ScopeExit decrement_on_exit([this] { --active_requests_; });
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await model_handler_.handle(exchange);
  } else if (path == "/v1/models") {
    co_await list_models(exchange);
  } else {
    co_await service_handler_.handle(exchange);
  }
}

asio::awaitable<void> CallerApi::list_models(net::HttpExchange& exchange) {
  json::array models;
  for (const auto& model : runtime_.controller().entry().router().table().models()) {
    models.push_back(json::object{{"id", model}, {"object", "model"}});
  }
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  response.body = json::serialize(json::object{{"object", "list"}, {"data", models}});
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::node
