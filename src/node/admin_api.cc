#include "node/admin_api.h"

#include "wire/codec.h"

namespace larchlever::node {

namespace {

constexpr auto kOperatorTimeout = std::chrono::milliseconds(15'000);
constexpr size_t kMaxOperatorRequestBytes = 4U << 20U;

net::HttpResponse text_response(int status, std::string body) {
  net::HttpResponse response;
  response.status = status;
  response.headers.add("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(body);
  return response;
}

}  // namespace

AdminApi::AdminApi(NodeRuntime& runtime, CallerApi& caller_api, const net::HttpServer& caller_server)
    : runtime_(runtime), caller_api_(caller_api), caller_server_(caller_server) {}

boost::asio::awaitable<void> AdminApi::handle(net::HttpExchange& exchange) {
  const auto path = exchange.request().path();
  if (path == "/metrics") {
    co_await exchange.respond(text_response(200, render_metrics(runtime_, caller_api_, caller_server_.stats())));
  } else if (path == "/healthz") {
    co_await exchange.respond(text_response(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool ready = caller_api_.is_ready();
    co_await exchange.respond(text_response(ready ? 200 : 503, ready ? "ok\n" : "not ready\n"));
  } else if (path == "/admin/operate" && exchange.request().method == "POST") {
    co_await operate(exchange);
  } else {
    co_await exchange.respond(text_response(404, "no such path; use the larchlever command\n"));
  }
}

boost::asio::awaitable<void> AdminApi::operate(net::HttpExchange& exchange) {
  const auto& body = exchange.request().body;
  auto request = body.size() <= kMaxOperatorRequestBytes ? wire::decode<wire::OperatorRequest>(body) : std::nullopt;
  if (!request) {
    co_await exchange.respond(
        text_response(400, "cannot decode the request; use a larchlever command of the same version as the node\n"));
    co_return;
  }
  const auto reply = co_await runtime_.operator_request(std::move(*request), kOperatorTimeout);
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/x-thrift");
  response.body = wire::encode(reply);
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::node
