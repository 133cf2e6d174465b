#include "node/control_api.h"

#include <boost/asio.hpp>
#include <optional>

#include "core/base/http_status.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// Longer than the controller takes to reply to any call.
constexpr auto kReplyTimeout = std::chrono::seconds(10);

constexpr std::string_view kInstancesPrefix = "/v1/instances/";
constexpr std::string_view kHeartbeatSuffix = "/heartbeat";
constexpr std::string_view kDeregisterSuffix = "/deregister";
constexpr std::string_view kConfigurationPath = "/v1/configuration";
constexpr std::string_view kZonesPath = "/v1/zones";
constexpr std::string_view kExplainPath = "/v1/explain";
constexpr std::string_view kZonePrefix = "/v1/zones/";
constexpr std::string_view kEvacuateSuffix = "/evacuate";
constexpr std::string_view kRestoreSuffix = "/restore";

/// Removes `prefix` and `suffix` from a path. Returns false and leaves the path unchanged unless it has both, with text
/// between them.
bool strip_affixes(std::string_view& path, std::string_view prefix, std::string_view suffix) {
  if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix)) {
    return false;
  }
  path.remove_prefix(prefix.size());
  path.remove_suffix(suffix.size());
  return true;
}

std::optional<wire::ControlCall> parse_call(const net::HttpRequest& request) {
  wire::ControlCall call;
  call.body = request.body;
  auto path = request.path();
  if (path == kConfigurationPath) {
    const bool is_put = request.method == "PUT";
    call.kind = is_put ? wire::ControlCallKind::PUT_DOCUMENT : wire::ControlCallKind::GET_DOCUMENT;
    return is_put || request.method == "GET" ? std::optional(call) : std::nullopt;
  }
  if (path == kZonesPath) {
    call.kind = wire::ControlCallKind::GET_ZONES;
    return request.method == "GET" ? std::optional(call) : std::nullopt;
  }
  if (request.method != "POST") {
    return std::nullopt;
  }
  if (path == kExplainPath) {
    call.kind = wire::ControlCallKind::EXPLAIN_PLACEMENT;
    return call;
  }
  if (strip_affixes(path, kInstancesPrefix, kHeartbeatSuffix)) {
    call.kind = wire::ControlCallKind::HEARTBEAT;
    call.instance_id = std::string(path);
  } else if (strip_affixes(path, kInstancesPrefix, kDeregisterSuffix)) {
    call.kind = wire::ControlCallKind::DEREGISTER;
    call.instance_id = std::string(path);
  } else if (strip_affixes(path, kZonePrefix, kEvacuateSuffix)) {
    call.kind = wire::ControlCallKind::EVACUATE_ZONE;
    call.zone = std::string(path);
  } else if (strip_affixes(path, kZonePrefix, kRestoreSuffix)) {
    call.kind = wire::ControlCallKind::RESTORE_ZONE;
    call.zone = std::string(path);
  } else {
    return std::nullopt;
  }
  return call;
}

}  // namespace

struct ControlApi::PendingReply {
  explicit PendingReply(const asio::any_io_executor& executor) : timer(executor) {}
  asio::steady_timer timer;
  std::optional<wire::ControlCallReply> reply;
};

ControlApi::ControlApi(asio::any_io_executor executor, std::function<int64_t(wire::ControlCall)> submit)
    : executor_(std::move(executor)), submit_(std::move(submit)) {}

void ControlApi::complete(const wire::ControlCallReply& reply) {
  auto& pending_reply = pending_replies_[reply.id];
  if (pending_reply == nullptr) {
    pending_reply = std::make_shared<PendingReply>(executor_);  // The reply arrived while the call was being submitted.
  }
  pending_reply->reply = reply;
  pending_reply->timer.cancel();
}

asio::awaitable<void> ControlApi::handle(net::HttpExchange& exchange) {
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  auto call = parse_call(exchange.request());
  if (!call) {
    response.status = http_status::kNotFound;
    response.body = R"({"error":"no such path or method; see the operators' page"})";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const int64_t id = submit_(std::move(*call));
  auto& reply_slot = pending_replies_[id];
  if (reply_slot == nullptr) {
    reply_slot = std::make_shared<PendingReply>(executor_);
  }
  const auto pending_reply = reply_slot;
  if (!pending_reply->reply) {
    pending_reply->timer.expires_after(kReplyTimeout);
    co_await pending_reply->timer.async_wait(kAwaitWithError);
  }
  pending_replies_.erase(id);
  response.status = pending_reply->reply ? pending_reply->reply->status : http_status::kServiceUnavailable;
  response.body = pending_reply->reply && !pending_reply->reply->body.empty()
                      ? pending_reply->reply->body
                      : R"({"error":"no leader answered; retry the call"})";
  co_await exchange.respond(std::move(response));
}

}  // namespace larchlever::node
