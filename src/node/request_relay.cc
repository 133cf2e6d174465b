#include "node/request_relay.h"

#include <boost/asio.hpp>
#include <charconv>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "core/requests/prompt_parts.h"
#include "node/clock.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

/// A request may wait for a configuration lease for a quarter of its time, but no longer than kMaxLeaseWait.
constexpr int kLeaseWaitDivisor = 4;
constexpr Duration kMaxLeaseWait = milliseconds(1200);
/// A request that waited for a lease for longer than this has lost time that its latency objective does not allow for.
constexpr Duration kLeaseWaitThreshold = milliseconds(50);

std::optional<int64_t> parse_number(std::string_view text) {
  int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

}  // namespace

RequestRelay::RequestRelay(asio::any_io_executor executor, const Dialect& dialect, EntryState& state,
                           SlotRequester& slot_requester, LeaseGate& lease_gate, const Options& options)
    : executor_(executor),
      dialect_(dialect),
      peer_address_(options.peer_address),
      uses_relay_peers_(options.uses_relay_peers),
      state_(state),
      slot_requester_(slot_requester),
      lease_gate_(lease_gate),
      completion_(state),
      blocked_request_guard_(executor, state, slot_requester, options.outbound_address),
      in_flight_attempts_(state),
      target_finder_(executor, state, slot_requester),
      client_(executor, options.outbound_address),
      response_buffers_(options.response_buffer_bytes) {}

void RequestRelay::begin_request(RelayedRequest& request, net::HttpExchange& exchange) {
  request.exchange = &exchange;
  request.received_at = monotonic_now();
  request.admitted_at = request.received_at;
  state_.traffic_seen = true;
  exchange.notify_on_disconnect([&request] {
    request.caller_disconnected = true;
    abandon_hedge(request, "caller disconnected");
    if (request.main_attempt != nullptr) {
      request.main_attempt->cancellation->cancel("caller disconnected");
    }
  });
}

asio::awaitable<void> RequestRelay::handle(net::HttpExchange& exchange) {
  const auto shared_request = std::make_shared<RelayedRequest>();
  RelayedRequest& request = *shared_request;
  ++state_.counters.requests;
  begin_request(request, exchange);
  const ActiveRequests::Registration registration(active_requests_, request);
  co_await lease_gate_.wait_for_lease(lease_wait_deadline(request));
  request.admitted_at = monotonic_now();
  if (request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    co_return;
  }
  if (auto refusal = resolve_route(request)) {
    co_await completion_.send_refusal(request, std::move(*refusal));
    co_return;
  }
  co_await dispatch_until_done(request);
}

// -------------------------------------------------------- route and tenant

TimePoint RequestRelay::lease_wait_deadline(const RelayedRequest& request) const {
  const auto deadline_ms = parse_number(request.exchange->request().headers.find(dialect_.deadline_ms_header));
  const Duration allowed = milliseconds(deadline_ms.value_or(0)) / kLeaseWaitDivisor;
  return request.received_at + std::min(allowed, kMaxLeaseWait);
}

std::optional<Refusal> RequestRelay::resolve_route(RelayedRequest& request) {
  const auto& incoming = request.exchange->request();
  request.routes = state_.routes;
  request.id = std::string(incoming.headers.find(dialect_.request_id_header));
  request.model = std::string(incoming.headers.find(dialect_.model_header));
  if (request.routes == nullptr || !state_.subscription.has_lease(request.admitted_at)) {
    return Refusal{http_status::kServiceUnavailable, "this node has no confirmed configuration", kRetryAfterUnavailable,
                   RelayResult::kNotSent};
  }
  request.route = request.routes->find_route(incoming.headers.find("host"), incoming.path());
  if (request.route == nullptr) {
    return Refusal{http_status::kNotFound, "no route for this host and path", {}};
  }
  if (auto refusal = authenticate_tenant(request, incoming.headers.find(dialect_.api_key_header))) {
    return refusal;
  }
  request.allowed_zones = document::allowed_zones(state_.zone_regions, *request.route, request.tenant);
  if (request.allowed_zones && request.allowed_zones->empty()) {
    return Refusal{
        http_status::kForbidden, "route and tenant have no region in common; correct their allowed_regions", {}};
  }
  request.fingerprint =
      requests::compute_fingerprint({request.tenant == nullptr ? "" : request.tenant->name,
                                     incoming.headers.find("host"), incoming.method, incoming.target, incoming.body});
  const auto& services = request.routes->document().services;
  request.service = &services.at(state_.dispatcher.choose_service(*request.route));
  request.prompt_parts =
      requests::fingerprint_shared_parts({request.tenant == nullptr ? "" : request.tenant->name, request.service->name},
                                         incoming.headers.find(dialect_.prompt_parts_header));
  Duration allowed_time = request.route->timeout;
  if (const auto deadline_ms = parse_number(incoming.headers.find(dialect_.deadline_ms_header))) {
    allowed_time = std::min(allowed_time, Duration(milliseconds(*deadline_ms)));
  }
  request.deadline = request.received_at + allowed_time;
  if (!state_.shutdown_admission.accepts(request.admitted_at, request.route->name, request.deadline)) {
    return Refusal{http_status::kServiceUnavailable, "this node is shutting down", kRetryAfterElsewhere,
                   RelayResult::kNotSent};
  }
  request.was_held_for_lease = request.admitted_at - request.received_at > kLeaseWaitThreshold;
  record_demand(request);
  if (request.relayed_for.empty()) {
    // Otherwise the other entry has counted the request, for the retry budget that all entries share.
    state_.dispatcher.retry_budget().note_request(request.received_at, request.service->name);
  }
  return std::nullopt;
}

void RequestRelay::record_demand(RelayedRequest& request) {
  const auto& headers = request.exchange->request().headers;
  const auto counts = headers.find(dialect_.token_counts_header);
  const size_t comma = counts.find(',');
  if (request.model.empty()) {
    return;
  }
  const bool has_counts = comma != std::string_view::npos;
  const auto max_output = has_counts ? parse_number(counts.substr(comma + 1)) : std::nullopt;
  const auto hint = parse_number(headers.find(dialect_.length_hint_header));
  request.declared_answer = {hint, max_output};
  state_.answer_sizes.predict(request);
  if (!has_counts) {
    return;
  }
  const auto prompt = parse_number(counts.substr(0, comma));
  request.prompt_tokens = static_cast<double>(prompt.value_or(0));
  if (prompt && (hint || max_output)) {
    const auto declared_tokens = static_cast<double>(hint ? *hint : *max_output);
    const double answer_tokens = request.predicted_answer ? request.predicted_answer->mean : declared_tokens;
    const engine::RequestTokenCounts sizes{static_cast<double>(*prompt), answer_tokens};
    state_.dispatcher.record_gap_objective(request.service->name, request.model, request.route->target_event_gap);
    if (!request.relayed_for.empty()) {
      return;  // The other entry reports the demand.
    }
    state_.dispatcher.record_demand(request.service->name, {request.model, request.route->target_latency, sizes.prompt},
                                    sizes);
  }
}

std::optional<Refusal> RequestRelay::authenticate_tenant(RelayedRequest& request, std::string_view key) {
  if (!request.routes->document().tenants || request.route->is_public) {
    return std::nullopt;
  }
  request.tenant = request.routes->find_tenant(key);
  if (request.tenant == nullptr) {
    return Refusal{http_status::kUnauthorized, "unknown API key; send the tenant's key", {}};
  }
  return std::nullopt;
}

// ----------------------------------------------------- attempts and retries

asio::awaitable<void> RequestRelay::dispatch_until_done(RelayedRequest& request) {
  const ScopeExit end_hedge([&request] { abandon_hedge(request, "the request has ended"); });
  const TargetSearch search;
  while (true) {
    // Check before each attempt: if servers elsewhere have meanwhile ended under this request, it must not crash
    // another one.
    if (!co_await blocked_request_guard_.admit(request)) {
      const FoundTarget no_target = blocked_request_guard_.make_refusal(request);
      co_await finish_without_target(request, no_target);
      co_return;
    }
    const FoundTarget found = co_await find_target(request, search);
    const auto* target = std::get_if<fleet::DispatchTarget>(&found);
    if (target == nullptr) {
      co_await finish_without_target(request, found);
      co_return;
    }
    if (monotonic_now() >= request.deadline) {
      slot_requester_.note_load_change();  // Report that the slot is unused.
      co_await completion_.send_failure(request);
      co_return;
    }
    const DispatchResult result = co_await run_with_successors(request, *target);
    if (result == DispatchResult::kAnswered) {
      co_return;
    }
    const TimePoint now = monotonic_now();
    if (result == DispatchResult::kNotRelayed && now < request.deadline) {
      continue;  // Nothing arrived at a server, so this is no retry.
    }
    if (result == DispatchResult::kServerError) {
      ++state_.counters.retries;  // The retry budget was already charged when the response was discarded.
      continue;
    }
    const bool may_run_again = request.route->is_retry_safe() && !has_reached_attempt_limit(request);
    if (result == DispatchResult::kMayHaveRun && !may_run_again) {
      co_await completion_.send_failure(request);
      co_return;
    }
    if (!may_retry(request, now)) {
      co_await finish_without_retry(request);
      co_return;
    }
    ++state_.counters.retries;
  }
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::run_with_successors(RelayedRequest& request,
                                                                                const fleet::DispatchTarget& target) {
  auto attempt = begin_attempt(request, target);
  while (true) {
    const DispatchResult result = co_await run_attempt(request, *attempt);
    if (result == DispatchResult::kAnswered) {
      co_return result;
    }
    note_ended_attempt(request, *attempt, result);
    const bool had_hedge = request.hedge != nullptr;
    auto successor = co_await take_successor(request);
    if (successor == nullptr) {
      // With a hedge, the retry after a server's error is neither charged to the budget nor known to be allowed.
      const bool is_unpaid_retry = had_hedge && result == DispatchResult::kServerError;
      co_return is_unpaid_retry ? DispatchResult::kMayHaveRun : result;
    }
    attempt = std::move(successor);
  }
}

std::string_view RequestRelay::result_name(DispatchResult result) {
  switch (result) {
    case DispatchResult::kAnswered:
      return "answered";
    case DispatchResult::kNotRelayed:
      return "not-relayed";
    case DispatchResult::kNotRun:
      return "not-run";
    case DispatchResult::kMayHaveRun:
      return "may-have-run";
    case DispatchResult::kServerError:
      return "server-error";
  }
  return "unknown";
}

void RequestRelay::note_ended_attempt(RelayedRequest& request, const RelayAttempt& attempt, DispatchResult result) {
  const auto& target = attempt.target;
  const std::string status = attempt.stream == nullptr ? "none" : std::to_string(attempt.stream->head().status);
  request.ended_attempts.push_back(target.key + ":" + std::string(result_name(result)) + ":" + status);
  if (result == DispatchResult::kNotRelayed && monotonic_now() < request.deadline) {
    return;
  }
  if (!target.is_relay_peer) {
    request.excluded_targets.insert(target.key);
  }
  if (result == DispatchResult::kServerError || result == DispatchResult::kMayHaveRun) {
    // A server may run a request to the end after its connection was lost. Unless it is proved otherwise, the attempt
    // therefore counts against the route's maximum.
    request.may_have_run = true;
    ++request.possible_runs;
  }
}

bool RequestRelay::has_reached_attempt_limit(const RelayedRequest& request) {
  const int attempts = request.route->is_retry_safe() ? request.possible_runs : request.attempts_sent;
  return attempts >= request.route->max_attempts;
}

bool RequestRelay::may_retry(RelayedRequest& request, TimePoint now) {
  if (!request.route->is_retry_safe() && has_reached_attempt_limit(request)) {
    return false;
  }
  if (!request.relayed_for.empty() && request.attempts_sent > 0) {
    return false;  // The entry that received the request decides.
  }
  if (now >= request.deadline || request.attempts_sent >= kMaxAttempts || request.caller_disconnected) {
    return false;
  }
  // An attempt that was never sent does not use the retry budget, which counts requests that reach servers.
  if (request.attempts_sent == 0 || state_.dispatcher.retry_budget().try_take(now, request.service->name)) {
    return true;
  }
  ++state_.counters.retries_over_budget;
  log_event("", "retry_over_budget", {{"request", request.id}, {"service", request.service->name}});
  return false;
}

asio::awaitable<void> RequestRelay::finish_without_target(RelayedRequest& request, const FoundTarget& found) {
  const auto* refusal = std::get_if<Refusal>(&found);
  if (refusal != nullptr && !request.response_started && !request.may_have_run) {
    co_await completion_.send_refusal(request, *refusal);
    co_return;
  }
  co_await completion_.send_failure(request);
}

asio::awaitable<void> RequestRelay::finish_without_retry(RelayedRequest& request) {
  if (auto refusal = target_finder_.refusal_if_all_backing_off(request, monotonic_now())) {
    const FoundTarget no_target = std::move(*refusal);
    co_await finish_without_target(request, no_target);
    co_return;
  }
  const bool is_turned_away = !request.may_have_run && request.attempts_sent > 0;
  if (is_turned_away && request.relayed_for.empty() && has_reached_attempt_limit(request)) {
    const FoundTarget no_target =
        Refusal{http_status::kServiceUnavailable, "a server turned the request away, and its route allows no other",
                kRetryAfterElsewhere, RelayResult::kNotRun};
    co_await finish_without_target(request, no_target);
    co_return;
  }
  co_await completion_.send_failure(request);
}

}  // namespace larchlever::node
