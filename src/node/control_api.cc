#include "node/control_api.h"

#include <boost/asio.hpp>
#include <optional>

#include "core/base/http_status.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// The controller answers every call earlier than this.
constexpr auto kLongestWait = std::chrono::seconds(10);

constexpr std::string_view kInstancesPrefix = "/v1/instances/";
constexpr std::string_view kHeartbeatSuffix = "/heartbeat";
constexpr std::string_view kDeregisterSuffix = "/deregister";
constexpr std::string_view kConfigurationPath = "/v1/configuration";

std::optional<wire::ControlCall> parse_call(const net::HttpRequest& request) {
  wire::ControlCall call;
  call.body = request.body;
  auto path = request.path();
  if (path == kConfigurationPath) {
    const bool is_put = request.method == "PUT";
    call.kind = is_put ? wire::ControlCallKind::PUT_DOCUMENT : wire::ControlCallKind::GET_DOCUMENT;
    return is_put || request.method == "GET" ? std::optional(call) : std::nullopt;
  }
  if (request.method != "POST" || !path.starts_with(kInstancesPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kInstancesPrefix.size());
  if (path.ends_with(kHeartbeatSuffix)) {
    path.remove_suffix(kHeartbeatSuffix.size());
    call.kind = wire::ControlCallKind::HEARTBEAT;
  } else if (path.ends_with(kDeregisterSuffix)) {
    path.remove_suffix(kDeregisterSuffix.size());
    call.kind = wire::ControlCallKind::DEREGISTER;
  } else {
    return std::nullopt;
  }
  call.instance_id = std::string(path);
  return call;
}

}  // namespace

struct ControlApi::Waiter {
  explicit Waiter(const asio::any_io_executor& executor) : timer(executor) {}
  asio::steady_timer timer;
  std::optional<wire::ControlCallReply> reply;
};

ControlApi::ControlApi(asio::any_io_executor executor, std::function<int64_t(wire::ControlCall)> submit)
    : executor_(std::move(executor)), submit_(std::move(submit)) {}

void ControlApi::complete(const wire::ControlCallReply& reply) {
  auto& waiter = waiters_[reply.id];
  if (waiter == nullptr) {
    waiter = std::make_shared<Waiter>(executor_);  // Answered while it was being submitted.
  }
  waiter->reply = reply;
  waiter->timer.cancel();
}

asio::awaitable<void> ControlApi::handle(net::HttpExchange& exchange) {
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  auto call = parse_call(exchange.request());
  if (!call) {
    response.status = http_status::kNotFound;
    response.body = R"({"error":"no such call; see the operators' page for the paths"})";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const int64_t id = submit_(std::move(*call));
  auto& slot = waiters_[id];
  if (slot == nullptr) {
    slot = std::make_shared<Waiter>(executor_);
  }
  const auto waiter = slot;
  if (!waiter->reply) {
    waiter->timer.expires_after(kLongestWait);
    co_await waiter->timer.async_wait(kAwait);
  }
  waiters_.erase(id);
  response.status = waiter->reply ? waiter->reply->status : http_status::kServiceUnavailable;
  response.body = waiter->reply && !waiter->reply->body.empty()
                      ? waiter->reply->body
                      : R"({"error":"no leader answered; send the call again"})";
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::node
