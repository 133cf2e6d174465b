#include "node/request_relay.h"

#include <boost/asio.hpp>
#include <charconv>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "core/requests/prompt_parts.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/server_notices.h"
#include "node/upstream_request.h"

namespace larchlever::node {

namespace asio = boost::asio;
using std::chrono::duration_cast;

namespace {

/// A connection not established within this time counts as failed, with nothing sent. Several round trips between
/// regions, yet short enough for the request to succeed elsewhere in time.
constexpr auto kConnectTimeout = std::chrono::milliseconds(150);
/// A request may wait for a configuration lease for a quarter of its time, but no longer than kMaxLeaseWait.
constexpr int kLeaseWaitDivisor = 4;
constexpr Duration kMaxLeaseWait = milliseconds(1200);
/// A request that waited for a lease for longer than this has lost time that its latency objective does not allow for.
constexpr Duration kLeaseWaitThreshold = milliseconds(50);
/// Maximum gap in a stream, even if its group makes progress; callers disconnect after two seconds.
constexpr Duration kMaxStreamGap = milliseconds(1600);
constexpr int kMaxAttempts = 6;
/// How long a peer may take to respond to a request that can be repeated: longer than a server under load takes to send
/// its first event.
constexpr std::chrono::milliseconds kPeerResponseTimeout{1500};

bool is_success(int status) { return status >= 200 && status < 300; }

std::optional<int64_t> parse_number(std::string_view text) {
  int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::chrono::milliseconds to_milliseconds(Duration duration) {
  return std::max(std::chrono::milliseconds(1), duration_cast<std::chrono::milliseconds>(duration));
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
    if (request.cancellation) {
      request.cancellation->cancel("caller disconnected");
    }
  });
}

asio::awaitable<void> RequestRelay::handle(net::HttpExchange& exchange) {
  RelayedRequest request;
  ++state_.counters.requests;
  begin_request(request, exchange);
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
  while (true) {
    // Check before each attempt: if servers elsewhere have meanwhile ended under this request, it must not crash
    // another one.
    if (!co_await blocked_request_guard_.admit(request)) {
      const FoundTarget no_target = blocked_request_guard_.make_refusal(request);
      co_await finish_without_target(request, no_target);
      co_return;
    }
    const FoundTarget found = co_await find_target(request);
    const auto* target = std::get_if<fleet::DispatchTarget>(&found);
    if (target == nullptr) {
      co_await finish_without_target(request, found);
      co_return;
    }
    const DispatchResult result = co_await run_attempt(request, *target);
    if (result == DispatchResult::kAnswered) {
      co_return;
    }
    const TimePoint now = monotonic_now();
    if (result == DispatchResult::kNotRelayed && now < request.deadline) {
      continue;  // Nothing arrived at a server, so this is no retry.
    }
    if (!target->is_relay_peer) {
      request.excluded_targets.insert(target->key);
    }
    if (result == DispatchResult::kServerError) {
      request.may_have_run = true;
      ++request.possible_runs;  // The retry budget was already charged when the response was discarded.
      ++state_.counters.retries;
      continue;
    }
    if (result == DispatchResult::kMayHaveRun) {
      request.may_have_run = true;
      // A server may run a request to the end after its connection was lost. Unless it is proved otherwise, the attempt
      // therefore counts against the route's maximum.
      ++request.possible_runs;
      const bool may_run_again = request.route->is_retry_safe() && request.possible_runs < request.route->max_attempts;
      if (!may_run_again) {
        co_await completion_.send_failure(request);
        co_return;
      }
    }
    if (!may_retry(request, now)) {
      co_await finish_without_retry(request);
      co_return;
    }
    ++state_.counters.retries;
  }
}

bool RequestRelay::may_retry(RelayedRequest& request, TimePoint now) {
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
  co_await completion_.send_failure(request);
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::run_attempt(RelayedRequest& request,
                                                                        const fleet::DispatchTarget& target) {
  auto cancellation = std::make_shared<net::Cancellation>();
  request.cancellation = cancellation;
  request.last_target = target.key;
  request.last_incarnation = target.incarnation;
  request.target_load = target.in_flight;
  request.sent_at = monotonic_now();
  request.relay_peer = target.is_relay_peer ? target.address : "";
  in_flight_attempts_.add_attempt(request, target);
  const ScopeExit finish_on_exit([this, &request, &target] {
    in_flight_attempts_.remove_attempt(request, target);
    request.cancellation.reset();
  });
  if (target.is_relay_peer) {
    state_.relay_peers.begin_request(target.address);
    const ScopeExit end_at_peer([this, &target] { state_.relay_peers.end_request(target.address); });
    co_return co_await send_attempt(request, target);
  }
  request.load_mark = {target.group.empty() ? 0 : request.prompt_tokens, false};
  state_.dispatcher.begin_attempt(request.sent_at, target, request.load_mark);
  state_.dispatcher.links().begin_wait(request.sent_at, target.server);
  if (!request.has_slot) {
    report_load_change(target);  // A slot granted by the leader is already in its count.
  }
  const ScopeExit end_at_server([this, &request, &target] {
    state_.dispatcher.links().end_wait(target.server);
    state_.dispatcher.end_attempt(target, request.load_mark);
    report_load_change(target);
  });
  co_return co_await send_attempt(request, target);
}

std::chrono::milliseconds RequestRelay::read_timeout(const RelayedRequest& request, TimePoint now) const {
  const Duration left = request.deadline - now;
  if (request.route->route_type != document::RouteType::kStreaming || !request.route->is_retry_safe()) {
    return to_milliseconds(left);
  }
  return to_milliseconds(request.event_stream.last_id() ? std::min(left, kMaxStreamGap) : left);
}

bool RequestRelay::proves_not_run(const net::HttpResponse& head) const {
  return head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.not_run_header);
}

RequestRelay::DispatchResult RequestRelay::note_failed_open(RelayedRequest& request,
                                                            const fleet::DispatchTarget& target,
                                                            const net::OpenResult& opened) {
  const TimePoint now = monotonic_now();
  const bool was_sent = opened.state != net::SendState::kNotSent;
  const bool was_withheld = !was_sent && !state_.dispatcher.may_send(now, target);
  const bool has_failed = now < request.deadline && !was_withheld;
  log_event("", "sending_failed",
            {{"request", request.id},
             {"fingerprint", to_string(request.fingerprint)},
             {"target", target.key},
             {"instance", target.instance_id},
             {"cancelled_by", request.cancellation->cause()},
             {"reason", opened.error}});
  if (target.is_relay_peer) {
    ++state_.counters.failed_at_peers;
    request.excluded_peers.insert(target.address);
    state_.relay_peers.note_unavailable(now, target.address);
  } else if (has_failed) {
    if (!request.cancellation->cancelled()) {
      state_.dispatcher.links().note_failure(now, target.server);
    }
    // The route may allow only one more attempt at a server.
    request.failed_connections += was_sent ? kFailedConnectionsUntilRelay : 1;
    in_flight_attempts_.note_failure(target, now);
    if (was_sent) {
      blocked_request_guard_.note_lost_response(request, target);
    }
  }
  if (was_sent) {
    return DispatchResult::kMayHaveRun;
  }
  return target.is_relay_peer ? DispatchResult::kNotRelayed : DispatchResult::kNotRun;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::send_attempt(RelayedRequest& request,
                                                                         const fleet::DispatchTarget& target) {
  const TimePoint now = monotonic_now();
  const RelayInstructions instructions{peer_address_, state_.subscription.document_version(), request.excluded_targets};
  const auto outgoing = target.is_relay_peer ? make_request_for_peer(dialect_, request, instructions, now)
                                             : make_request_for_server(dialect_, request, target, now);
  net::OpenOptions options;
  options.timeout = read_timeout(request, now);
  if (target.is_relay_peer && request.route->is_retry_safe()) {
    options.timeout = std::min(options.timeout, kPeerResponseTimeout);
  }
  options.connect_timeout = kConnectTimeout;
  options.cancellation = request.cancellation;
  // The server may have asked for a pause while the connection was being established.
  const auto may_send = [this, &target] { return state_.dispatcher.may_send(monotonic_now(), target); };
  options.may_send = may_send;
  auto opened = co_await client_.open(target.address, outgoing, options);
  request.attempts_sent += opened.state == net::SendState::kNotSent ? 0 : 1;
  if (request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    co_return DispatchResult::kAnswered;
  }
  if (opened.stream == nullptr) {
    co_return note_failed_open(request, target, opened);
  }
  if (target.is_relay_peer) {
    if (const auto result = co_await handle_peer_response(request, target, *opened.stream)) {
      co_return *result;
    }
  } else {
    state_.dispatcher.links().note_contact(monotonic_now(), target.server);
  }
  const auto& head = opened.stream->head();
  const auto echoed_id = head.headers.find(dialect_.request_id_header);
  if (!echoed_id.empty() && echoed_id != request.id) {
    log_warning("", "answer_of_another_request", {{"request", request.id}, {"target", target.key}});
    co_return DispatchResult::kMayHaveRun;
  }
  if (!target.is_relay_peer) {
    record_server_notices(state_, dialect_, {target, request.sent_at, head});
  }
  if (!target.is_relay_peer && proves_not_run(head)) {
    log_event("", "sending_refused",
              {{"request", request.id},
               {"target", target.key},
               {"instance", target.instance_id},
               {"status", std::to_string(head.status)},
               {"retry_after", std::string(head.headers.find(kRetryAfterHeader))}});
    if (!target.group.empty() &&
        (head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.faulty_server_header))) {
      in_flight_attempts_.note_failure(target, monotonic_now());
    }
    co_return DispatchResult::kNotRun;
  }
  request.cancellation->set_cancel_callback([stream = opened.stream.get()] { stream->close(); });
  const ScopeExit clear_cancellation(
      [cancellation = request.cancellation] { cancellation->set_cancel_callback(nullptr); });
  const bool is_stream = request.route->route_type == document::RouteType::kStreaming && is_success(head.status);
  if (is_stream) {
    co_return co_await relay_events(request, target, *opened.stream);
  }
  co_return co_await relay_buffered(request, target, *opened.stream);
}

// ---------------------------------------------------------- response relay

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_buffered(RelayedRequest& request,
                                                                           const fleet::DispatchTarget& target,
                                                                           net::ClientStream& stream) {
  net::HttpResponse response = head_for_receiver(request, stream.head());
  // A response may be relayed before its end only if it is a success, carries the server's signature, and its end can
  // be told from a truncation.
  const bool may_stream_early = is_success(response.status) && response.headers.contains(dialect_.signature_header) &&
                                !request.response_started && !stream.delimited_by_close();
  requests::BufferReservation buffer_share(response_buffers_);
  while (true) {
    const TimePoint now = monotonic_now();
    if (now >= request.deadline) {
      break;
    }
    std::string chunk = co_await stream.read_some(to_milliseconds(request.deadline - now));
    if (chunk.empty()) {
      break;
    }
    response.body += chunk;
    const bool has_room = buffer_share.grow(chunk.size());
    if (!has_room && may_stream_early && !request.caller_disconnected) {
      buffer_share.release();
      co_return co_await relay_unbuffered(request, target, stream, std::move(response.body));
    }
  }
  if (request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    co_return DispatchResult::kAnswered;
  }
  if (!stream.complete()) {
    log_event("", "answer_broke_off",
              {{"request", request.id},
               {"fingerprint", to_string(request.fingerprint)},
               {"target", target.key},
               {"instance", target.instance_id},
               {"cancelled_by", request.cancellation->cause()},
               {"reason", stream.error()}});
    if (monotonic_now() < request.deadline && !target.is_relay_peer) {
      blocked_request_guard_.note_lost_response(request, target);
    }
    co_return DispatchResult::kMayHaveRun;
  }
  blocked_request_guard_.note_response(request);
  note_progress(target, monotonic_now());
  const bool unsigned_success = is_success(response.status) && !response.headers.contains(dialect_.signature_header);
  if (unsigned_success) {
    co_return DispatchResult::kMayHaveRun;
  }
  if (is_success(response.status)) {
    note_response_time(request, target, monotonic_now());
  }
  const bool should_retry = response.status >= 500 && request.route->is_retry_safe() && !request.response_started &&
                            request.possible_runs + 1 < request.route->max_attempts &&
                            may_retry(request, monotonic_now());
  if (should_retry) {
    co_return DispatchResult::kServerError;
  }
  if (request.response_started) {
    // The resume attempt was refused. The response already started cannot carry this one.
    co_return DispatchResult::kMayHaveRun;
  }
  const int status = response.status;
  state_.counters.served += is_success(status) ? 1 : 0;
  state_.counters.failed += is_success(status) ? 0 : 1;
  completion_.log_completion(request, status, "the server's response");
  co_await request.exchange->respond(std::move(response));
  co_return DispatchResult::kAnswered;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_unbuffered(RelayedRequest& request,
                                                                             const fleet::DispatchTarget& target,
                                                                             net::ClientStream& stream,
                                                                             std::string buffered_prefix) {
  request.response_started = true;
  request.first_event_at = monotonic_now();
  const auto head = head_for_receiver(request, stream.head());
  bool is_open = co_await request.exchange->begin_stream(head);
  std::string chunk = std::move(buffered_prefix);
  while (is_open && !chunk.empty()) {
    is_open = co_await request.exchange->write_piece(chunk);
    note_progress(target, monotonic_now());
    const TimePoint now = monotonic_now();
    chunk.clear();
    if (is_open && now < request.deadline) {
      chunk = co_await stream.read_some(to_milliseconds(request.deadline - now));
    }
  }
  if (!is_open || request.caller_disconnected) {
    ++state_.counters.caller_disconnects;
    completion_.log_completion(request, 0, "the caller stopped reading the response");
    co_return DispatchResult::kAnswered;
  }
  if (!stream.complete()) {
    // The stream is left without its regular end, so the caller sees that it is truncated.
    ++state_.counters.failed;
    completion_.log_completion(request, 0, "the server's response was truncated");
    co_return DispatchResult::kAnswered;
  }
  blocked_request_guard_.note_response(request);
  ++state_.counters.served;
  completion_.log_completion(request, stream.head().status, "the server's response, unbuffered");
  co_await request.exchange->end_stream();
  co_return DispatchResult::kAnswered;
}

void RequestRelay::report_load_change(const fleet::DispatchTarget& target) {
  if (state_.dispatcher.is_load_reported(target)) {
    slot_requester_.note_load_change();
  }
}

void RequestRelay::note_response_time(const RelayedRequest& request, const fleet::DispatchTarget& target,
                                      TimePoint now) {
  if (!target.is_relay_peer) {
    state_.dispatcher.note_response_time(target, now - request.sent_at);
  }
}

void RequestRelay::note_progress(const fleet::DispatchTarget& target, TimePoint now) {
  if (target.is_relay_peer) {
    return;
  }
  state_.dispatcher.links().note_contact(now, target.server);
  state_.dispatcher.note_progress(now, target);
  blocked_request_guard_.note_target_progress(now, target);
}

void RequestRelay::note_chunk(RelayedRequest& request, const fleet::DispatchTarget& target, TimePoint now) {
  note_progress(target, now);
  if (!target.is_relay_peer && !request.load_mark.is_streaming) {
    state_.dispatcher.note_first_event(now, target, request.load_mark);
    note_response_time(request, target, now);
    if (request.expected_first_event_delay > Duration::zero() && !target.group.empty()) {
      state_.first_event_excess[request.model].add_sample(now,
                                                          now - request.sent_at - request.expected_first_event_delay);
    }
  }
  if (request.response_started) {
    request.longest_gap = std::max(request.longest_gap, now - request.last_chunk_at);
  }
  request.last_chunk_at = now;
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::relay_events(RelayedRequest& request,
                                                                         const fleet::DispatchTarget& target,
                                                                         net::ClientStream& stream) {
  request.is_resumed = request.event_stream.last_id().has_value() ||
                       request.exchange->request().headers.contains(dialect_.last_event_id_header);
  request.event_stream.restart();
  while (true) {
    const TimePoint now = monotonic_now();
    std::string chunk;
    if (now < request.deadline) {
      chunk = co_await stream.read_some(read_timeout(request, now));
    }
    if (request.caller_disconnected) {
      ++state_.counters.caller_disconnects;
      co_return DispatchResult::kAnswered;
    }
    if (chunk.empty()) {
      break;
    }
    note_chunk(request, target, monotonic_now());
    const std::string events = request.event_stream.feed(chunk);
    if (events.empty()) {
      continue;
    }
    if (!request.response_started) {
      request.response_started = true;
      request.first_event_at = monotonic_now();
      const auto head = head_for_receiver(request, stream.head());
      if (!co_await request.exchange->begin_stream(head)) {
        co_return DispatchResult::kAnswered;
      }
    }
    if (!co_await request.exchange->write_piece(events)) {
      completion_.log_completion(request, 0, "the caller stopped reading the stream");
      co_return DispatchResult::kAnswered;
    }
  }
  const bool is_complete =
      stream.complete() && request.event_stream.pending().empty() && !request.event_stream.has_gap();
  if (is_complete && request.response_started) {
    blocked_request_guard_.note_response(request);
    ++state_.counters.served;
    state_.answer_sizes.observe(monotonic_now(), request);
    completion_.log_completion(request, stream.head().status, "the whole stream");
    co_await request.exchange->end_stream();
    co_return DispatchResult::kAnswered;
  }
  const TimePoint now = monotonic_now();
  log_event(
      "", "stream_broke_off",
      {{"request", request.id},
       {"fingerprint", to_string(request.fingerprint)},
       {"target", target.key},
       {"instance", target.instance_id},
       {"cancelled_by", request.cancellation->cause()},
       {"reason", stream.error()},
       {"last_event", request.event_stream.last_id() ? std::to_string(*request.event_stream.last_id()) : "none"}});
  if (now < request.deadline && !target.is_relay_peer) {
    in_flight_attempts_.note_failure(target, now);
    blocked_request_guard_.note_lost_response(request, target);
  }
  ++state_.counters.resumed;
  co_return DispatchResult::kMayHaveRun;
}

}  // namespace larchlever::node
