// The part of RequestRelay that sends requests through other entries, and relays requests for them.

#include <boost/asio.hpp>

#include "core/base/http_status.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/request_relay.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr size_t kRefusalBodyLimitBytes = 16 * 1024;
constexpr auto kRefusalBodyTimeout = std::chrono::milliseconds(500);
/// Plain services have no model.
const std::string kNoModel;

}  // namespace

// ------------------------------------------------------- requests for peers

asio::awaitable<void> RequestRelay::handle_for_peer(net::HttpExchange& exchange) {
  std::string error;
  auto instructions = parse_relay_instructions(exchange.request().headers, error);
  if (!instructions) {
    log_warning("", "relay_request_malformed", {{"reason", error}});
    net::HttpResponse response;
    response.status = http_status::kBadRequest;
    response.body = error + "\n";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  const auto shared_request = std::make_shared<RelayedRequest>();
  RelayedRequest& request = *shared_request;
  ++state_.counters.relayed_for_peers;
  begin_request(request, exchange);
  const ActiveRequests::Registration registration(active_requests_, request);
  request.relayed_for = instructions->sender;
  request.excluded_targets = std::move(instructions->excluded_targets);
  auto refusal = resolve_route(request);
  if (state_.subscription.document_version() < instructions->document_version) {
    refusal = Refusal{http_status::kServiceUnavailable, "this node holds an earlier configuration",
                      kRetryAfterUnavailable, RelayResult::kNotSent};
  }
  if (refusal) {
    co_await completion_.send_refusal(request, std::move(*refusal));
    co_return;
  }
  co_await dispatch_until_done(request);
}

// --------------------------------------------------- requests through peers

bool RequestRelay::are_servers_out_of_reach(const RelayedRequest& request) const {
  const std::string& model = request.service->engine ? request.model : kNoModel;
  return uses_relay_peers_ && state_.dispatcher.are_all_links_lost(request.service->name, model, home_zones(request));
}

bool RequestRelay::may_be_served_by_peer(const RelayedRequest& request) {
  if (!uses_relay_peers_) {
    return false;
  }
  auto& dispatcher = state_.dispatcher;
  const std::string& service = request.service->name;
  if (!request.service->engine) {
    return dispatcher.is_any_link_lost(service, kNoModel);
  }
  return dispatcher.is_any_link_lost(service, request.model) ||
         dispatcher.are_all_groups_ruled_out(monotonic_now(), service, request.model, request.excluded_targets);
}

bool RequestRelay::should_avoid_own_links(const RelayedRequest& request) const {
  if (!uses_relay_peers_) {
    return false;
  }
  const bool is_unsafe = !request.route->is_retry_safe();
  return request.failed_connections >= kFailedConnectionsUntilRelay ||
         (is_unsafe && state_.dispatcher.links().are_doubtful(monotonic_now()));
}

std::optional<fleet::DispatchTarget> RequestRelay::choose_relay_peer(const RelayedRequest& request) {
  if (!request.relayed_for.empty()) {
    return std::nullopt;  // No request goes through more than one peer.
  }
  const auto address = state_.relay_peers.choose(monotonic_now(), request.excluded_peers);
  if (!address) {
    return std::nullopt;
  }
  fleet::DispatchTarget target;
  target.key = *address;
  target.service = request.service->name;
  target.address = *address;
  target.is_relay_peer = true;
  return target;
}

asio::awaitable<FoundTarget> RequestRelay::find_target(RelayedRequest& request, const TargetSearch& search) {
  const bool is_out_of_reach = are_servers_out_of_reach(request);
  if (is_out_of_reach || should_avoid_own_links(request)) {
    if (auto peer = choose_relay_peer(request)) {
      co_return std::move(*peer);
    }
  }
  const bool is_doubtful_for_peer = !request.relayed_for.empty() && should_avoid_own_links(request);
  if (is_out_of_reach || is_doubtful_for_peer) {
    co_return Refusal{http_status::kServiceUnavailable, "no node reaches a server for the request",
                      kRetryAfterUnavailable, RelayResult::kNotSent};
  }
  auto found = co_await target_finder_.find(request, search);
  const bool may_be_served_elsewhere = std::holds_alternative<Refusal>(found) && may_be_served_by_peer(request);
  if (may_be_served_elsewhere) {
    if (auto peer = choose_relay_peer(request)) {
      co_return std::move(*peer);
    }
  }
  co_return found;
}

asio::awaitable<std::optional<RequestRelay::DispatchResult>> RequestRelay::handle_peer_response(
    RelayedRequest& request, const RelayAttempt& attempt) {
  const auto& target = attempt.target;
  auto& stream = *attempt.stream;
  const auto& headers = stream.head().headers;
  const auto result = find_relay_result(headers);
  const std::string relay_target = find_relay_target(headers);
  const bool is_main = request.main_attempt == &attempt;
  request.last_target = is_main ? relay_target : request.last_target;
  if (result == RelayResult::kServed) {
    ++state_.counters.relayed_by_peers;
    co_return std::nullopt;
  }
  log_event("", "relay_ended_without_response",
            {{"request", request.id},
             {"relay_peer", target.address},
             {"target", relay_target},
             {"status", std::to_string(stream.head().status)}});
  const bool is_only_attempt = is_main && !has_live_hedge(request);
  const bool is_final_refusal =
      result == RelayResult::kRefused && is_only_attempt && !request.may_have_run && !request.response_started;
  if (is_final_refusal) {
    ++state_.counters.refused_by_peers;
    co_return co_await pass_on_refusal(request, stream);
  }
  ++state_.counters.failed_at_peers;
  if (!relay_target.empty()) {
    request.excluded_targets.insert(relay_target);
  }
  if (result == RelayResult::kNotSent || result == RelayResult::kRefused) {
    --request.attempts_sent;
    request.excluded_peers.insert(target.address);
    if (result == RelayResult::kNotSent && are_servers_out_of_reach(request)) {
      state_.relay_peers.note_unavailable(monotonic_now(), target.address);
    }
    co_return DispatchResult::kNotRelayed;
  }
  co_return result == RelayResult::kNotRun ? DispatchResult::kNotRun : DispatchResult::kMayHaveRun;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::pass_on_refusal(RelayedRequest& request,
                                                                            net::ClientStream& stream) {
  auto response = head_for_receiver(request, stream.head());
  while (response.body.size() < kRefusalBodyLimitBytes) {
    const std::string piece = co_await stream.read_some(kRefusalBodyTimeout);
    if (piece.empty()) {
      break;
    }
    response.body += piece;
  }
  const bool is_retryable =
      response.status == http_status::kServiceUnavailable || response.status == http_status::kTooManyRequests;
  state_.counters.refused_retryable += is_retryable ? 1 : 0;
  state_.counters.refused_permanently += is_retryable ? 0 : 1;
  completion_.log_completion(request, response.status, "refused by the entry that relayed it");
  co_await request.exchange->respond(std::move(response));
  co_return DispatchResult::kAnswered;
}

net::HttpResponse RequestRelay::head_for_receiver(const RelayedRequest& request, const net::HttpResponse& head) {
  net::HttpResponse result = head;
  remove_relay_headers(result.headers);
  if (!request.relayed_for.empty()) {
    set_relay_result(result.headers, RelayResult::kServed, request.last_target);
  }
  return result;
}

}  // namespace larchlever::node
