#include "node/control_api.h"

#include <boost/asio.hpp>
#include <optional>

#include "core/base/http_status.h"
#include "core/fleet/registration.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// Longer than the controller takes to reply to any call.
constexpr auto kReplyTimeout = std::chrono::seconds(10);
/// A zone call that may have lain in a socket for this long is rejected: operators turn to another replica after about
/// a second without an answer, and what they do then must not be undone.
constexpr Duration kMaxUnreadTime = milliseconds(800);

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

wire::ControlCallReply unavailable_reply(const std::string& error) {
  wire::ControlCallReply reply;
  reply.status = http_status::kServiceUnavailable;
  reply.body = fleet::error_body(error);
  return reply;
}

/// Stands for the reply to a call that no leader answered.
wire::ControlCallReply no_reply() { return unavailable_reply("no leader answered; retry the call"); }

std::string_view zone_operation(const wire::ControlCall& call) {
  return call.kind == wire::ControlCallKind::EVACUATE_ZONE ? "evacuate" : "restore";
}

std::string_view caller_state(const net::HttpExchange& exchange) {
  return exchange.caller_disconnected() ? "gone" : "waiting";
}

void log_zone_call_received(const net::HttpExchange& exchange, const wire::ControlCall& call) {
  log_event("", "zone_call_received",
            {{"zone", call.zone},
             {"operation", std::string(zone_operation(call))},
             {"unread_ms", std::to_string(exchange.time_since_arrival().count())},
             {"caller", std::string(caller_state(exchange))}});
}

void log_zone_call_answered(const net::HttpExchange& exchange, const wire::ControlCall& call,
                            const wire::ControlCallReply& reply, Duration held) {
  log_event("", "zone_call_answered",
            {{"call", std::to_string(reply.id)},
             {"zone", call.zone},
             {"operation", std::string(zone_operation(call))},
             {"status", std::to_string(reply.status)},
             {"held_ms", std::to_string(held / milliseconds(1))},
             {"caller", std::string(caller_state(exchange))}});
}

}  // namespace

struct ControlApi::PendingReply {
  PendingReply(const asio::any_io_executor& executor, const net::HttpExchange* given_exchange)
      : timer(executor), exchange(given_exchange) {}
  asio::steady_timer timer;
  /// The exchange that waits for the reply; valid as long as this object exists. Null if none does yet.
  const net::HttpExchange* exchange;
  std::optional<wire::ControlCallReply> reply;
};

ControlApi::ControlApi(asio::any_io_executor executor, Submit submit, std::function<Duration()> recent_pause)
    : executor_(std::move(executor)), submit_(std::move(submit)), recent_pause_(std::move(recent_pause)) {}

void ControlApi::complete(const wire::ControlCallReply& reply) {
  auto& pending_reply = pending_replies_[reply.id];
  if (pending_reply == nullptr) {
    // The reply arrived while the call was being submitted.
    pending_reply = std::make_shared<PendingReply>(executor_, nullptr);
  }
  pending_reply->reply = reply;
  pending_reply->timer.cancel();
}

asio::awaitable<void> ControlApi::handle(net::HttpExchange& exchange) {
  const auto call = parse_call(exchange.request());
  wire::ControlCallReply reply;
  if (!call) {
    reply.status = http_status::kNotFound;
    reply.body = R"({"error":"no such path or method; see the operators' page"})";
  } else if (fleet::is_zone_change(*call)) {
    reply = co_await change_zone(exchange, *call);
  } else {
    reply = co_await submit_and_wait(exchange, *call);
  }
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  response.status = reply.status;
  response.body = std::move(reply.body);
  co_await exchange.respond(std::move(response));
}

asio::awaitable<wire::ControlCallReply> ControlApi::change_zone(net::HttpExchange& exchange, wire::ControlCall call) {
  const auto received_at = monotonic_now();
  log_zone_call_received(exchange, call);
  wire::ControlCallReply reply;
  if (recent_pause_() < kMaxUnreadTime) {
    reply = co_await submit_and_wait(exchange, call);
  } else {
    reply = unavailable_reply("this replica stood still, so the call may be old; send it again");
  }
  log_zone_call_answered(exchange, call, reply, monotonic_now() - received_at);
  co_return reply;
}

asio::awaitable<wire::ControlCallReply> ControlApi::submit_and_wait(net::HttpExchange& exchange,
                                                                    wire::ControlCall call) {
  const auto pending_reply = std::make_shared<PendingReply>(executor_, &exchange);
  const auto is_caller_waiting = [weak = std::weak_ptr(pending_reply)] {
    const auto waiting = weak.lock();
    return waiting != nullptr && !waiting->exchange->caller_disconnected();
  };
  const int64_t id = submit_(std::move(call), is_caller_waiting);
  auto& reply_slot = pending_replies_[id];
  if (reply_slot != nullptr) {
    pending_reply->reply = std::move(reply_slot->reply);
  }
  reply_slot = pending_reply;
  if (!pending_reply->reply) {
    pending_reply->timer.expires_after(kReplyTimeout);
    co_await pending_reply->timer.async_wait(kAwaitWithError);
  }
  pending_replies_.erase(id);
  auto reply = pending_reply->reply.value_or(no_reply());
  if (reply.body.empty()) {
    reply.body = no_reply().body;
  }
  co_return reply;
}

}  // namespace larchlever::node
