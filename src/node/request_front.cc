#include "node/request_front.h"

#include <boost/json.hpp>

#include "core/base/scope_exit.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;

RequestFront::RequestFront(NodeRuntime& runtime)
    : runtime_(runtime),
      retry_budget_(runtime.settings().requests.retry_budget_percent),
      claims_(runtime, stats_),
      models_(runtime, retry_budget_, claims_, stats_),
      services_(runtime, retry_budget_, claims_, stats_) {}

bool RequestFront::ready() const {
  return ready_ && runtime_.controller().entry().has_configuration_lease(NodeRuntime::now());
}

asio::awaitable<void> RequestFront::handle(net::HttpExchange& exchange) {
  const auto path = exchange.request().path();
  if (path == "/healthz" || path == "/readyz") {
    net::HttpResponse response;
    response.status = path == "/healthz" || ready() ? 200 : 503;
    response.headers.add("Content-Type", "text/plain");
    response.body = response.status == 200 ? "ok\n" : "not ready\n";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  ++active_;
  const ScopeExit count_down([this] { --active_; });
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await models_.handle(exchange);
  } else if (path == "/v1/models") {
    co_await list_models(exchange);
  } else {
    co_await services_.handle(exchange);
  }
}

asio::awaitable<void> RequestFront::list_models(net::HttpExchange& exchange) {
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
