// The part of RequestRelay that sends attempts to servers and hedges those whose server is silent.

#include <boost/asio.hpp>
#include <utility>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/request_relay.h"
#include "node/server_notices.h"
#include "node/upstream_request.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
/// A connection not established within this time counts as failed, with nothing sent. Several round trips between
/// regions, yet short enough for the request to succeed elsewhere in time.
constexpr auto kConnectTimeout = std::chrono::milliseconds(150);
/// How long a peer may take to respond before another target is looked for: longer than a server under load takes to
/// send its first event.
constexpr Duration kPeerResponseTimeout = milliseconds(1500);
/// How long the response to a request may take after a response that does not answer it, before another target is
/// looked for. The server may never send it.
constexpr Duration kResponseAfterSurplusTimeout = milliseconds(500);

bool is_success(int status) { return status >= 200 && status < 300; }

}  // namespace

// ----------------------------------------------------------------- attempts

std::unique_ptr<RelayAttempt> RequestRelay::begin_attempt(RelayedRequest& request,
                                                          const fleet::DispatchTarget& target) {
  auto attempt = std::make_unique<RelayAttempt>();
  attempt->target = target;
  attempt->deadline = request.deadline;
  attempt->sent_at = monotonic_now();
  if (request.route->is_retry_safe() && request.relayed_for.empty()) {
    attempt->on_suspected = [this, weak = request.weak_from_this(), suspected = attempt.get()](std::string_view cause) {
      if (const auto shared = weak.lock()) {
        start_hedge(shared, *suspected, cause);
      }
    };
  }
  in_flight_attempts_.add_attempt(*attempt);
  if (target.is_relay_peer) {
    attempt->max_silence = kPeerResponseTimeout;
    state_.relay_peers.begin_request(target.address);
  } else {
    attempt->load_mark = {target.group.empty() ? 0 : request.prompt_tokens, false};
    state_.dispatcher.begin_attempt(attempt->sent_at, target, attempt->load_mark);
    state_.dispatcher.links().begin_wait(attempt->sent_at, target.server);
    if (!target.has_slot) {
      report_load_change(target);  // A slot granted by the leader is already in its count.
    }
  }
  attempt->on_end = [this, ended = attempt.get()] { end_attempt(*ended); };
  return attempt;
}

void RequestRelay::end_attempt(RelayAttempt& attempt) {
  const auto& target = attempt.target;
  in_flight_attempts_.remove_attempt(attempt);
  if (target.is_relay_peer) {
    state_.relay_peers.end_request(target.address);
    return;
  }
  state_.dispatcher.links().end_wait(target.server);
  state_.dispatcher.end_attempt(target, attempt.load_mark);
  report_load_change(target);
}

void RequestRelay::report_load_change(const fleet::DispatchTarget& target) {
  if (state_.dispatcher.is_load_reported(target)) {
    slot_requester_.note_load_change();
  }
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::run_attempt(RelayedRequest& request,
                                                                        RelayAttempt& attempt) {
  request.main_attempt = &attempt;
  const ScopeExit clear_main_attempt([&request] { request.main_attempt = nullptr; });
  request.last_target = attempt.target.key;
  request.last_incarnation = attempt.target.incarnation;
  request.target_load = attempt.target.in_flight;
  request.expected_first_event_delay = attempt.target.expected_first_event_delay;
  request.relay_peer = attempt.target.is_relay_peer ? attempt.target.address : "";
  if (attempt.stream == nullptr) {
    if (const auto result = co_await open_attempt(request, attempt)) {
      co_return *result;
    }
  }
  co_return co_await relay_response(request, attempt);
}

bool RequestRelay::is_response_to(const RelayedRequest& request, const fleet::DispatchTarget& target,
                                  const net::HttpResponse& head) const {
  const auto response_id = head.headers.find(dialect_.request_id_header);
  const bool is_from_peer_itself = target.is_relay_peer && find_relay_result(head.headers) != RelayResult::kServed;
  return response_id == request.id || (is_from_peer_itself && response_id.empty());
}

void RequestRelay::note_surplus_response(const RelayedRequest& request, RelayAttempt& attempt,
                                         const net::HttpResponse& head, bool on_reused_connection) {
  const auto response_id = head.headers.find(dialect_.request_id_header);
  log_warning("", response_id.empty() ? "answer_without_id" : "answer_of_another_request",
              {{"request", request.id},
               {"target", attempt.target.key},
               {"instance", attempt.target.instance_id},
               {"answer_id", std::string(response_id)},
               {"status", std::to_string(head.status)},
               {"connection", on_reused_connection ? "reused" : "new"}});
  ++state_.counters.surplus_responses;
  attempt.max_silence = std::min(attempt.max_silence, kResponseAfterSurplusTimeout);
  attempt.begin_wait(monotonic_now());
}

bool RequestRelay::proves_not_run(const net::HttpResponse& head) const {
  return !is_success(head.status) &&
         (head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.not_run_header));
}

RequestRelay::DispatchResult RequestRelay::note_failed_open(RelayedRequest& request, RelayAttempt& attempt,
                                                            const net::OpenResult& opened) {
  const auto& target = attempt.target;
  const TimePoint now = monotonic_now();
  const bool was_sent = opened.state != net::SendState::kNotSent;
  const bool was_withheld = !was_sent && !state_.dispatcher.may_send(now, target);
  const bool has_failed = now < request.deadline && !was_withheld && !attempt.is_discarded;
  attempt.note_end();
  log_event("", "sending_failed",
            {{"request", request.id},
             {"fingerprint", to_string(request.fingerprint)},
             {"target", target.key},
             {"instance", target.instance_id},
             {"cancelled_by", attempt.cancellation->cause()},
             {"reason", opened.error}});
  if (target.is_relay_peer) {
    ++state_.counters.failed_at_peers;
    request.excluded_peers.insert(target.address);
    if (!attempt.is_discarded) {
      state_.relay_peers.note_unavailable(now, target.address);
    }
  } else if (has_failed) {
    if (!attempt.cancellation->cancelled()) {
      state_.dispatcher.links().note_failure(now, target.server);
    }
    // The route may allow only one more attempt at a server.
    request.failed_connections += was_sent ? kFailedConnectionsUntilRelay : 1;
    in_flight_attempts_.note_failure(
        target, now, opened.timed_out ? fleet::FailureEvidence::kSilence : fleet::FailureEvidence::kConnection);
    if (was_sent) {
      blocked_request_guard_.note_lost_response(request, target);
    }
  }
  if (was_sent) {
    return DispatchResult::kMayHaveRun;
  }
  return target.is_relay_peer ? DispatchResult::kNotRelayed : DispatchResult::kNotRun;
}

asio::awaitable<std::optional<RequestRelay::DispatchResult>> RequestRelay::open_attempt(RelayedRequest& request,
                                                                                        RelayAttempt& attempt) {
  const TimePoint now = monotonic_now();
  const auto& target = attempt.target;
  const RelayInstructions instructions{peer_address_, state_.subscription.document_version(), request.excluded_targets};
  const auto outgoing = target.is_relay_peer ? make_request_for_peer(dialect_, request, instructions, now)
                                             : make_request_for_server(dialect_, request, target, now);
  net::OpenOptions options;
  options.timeout = to_milliseconds(request.deadline - now);
  options.connect_timeout = kConnectTimeout;
  options.cancellation = attempt.cancellation;
  // Meanwhile the server may have asked for a pause, and the caller may have closed its connection, even before this
  // process resumed from a pause and read the request.
  const auto may_send = [this, &request, &target] {
    request.caller_disconnected = request.caller_disconnected || request.exchange->caller_disconnected();
    return !request.caller_disconnected && state_.dispatcher.may_send(monotonic_now(), target);
  };
  options.may_send = may_send;
  const auto is_own_response = [this, &request, &attempt](const net::HttpResponse& head, bool on_reused_connection) {
    const bool is_own = is_response_to(request, attempt.target, head);
    if (!is_own) {
      note_surplus_response(request, attempt, head, on_reused_connection);
    }
    return is_own;
  };
  options.is_response_to_request = is_own_response;
  // Without an id, only the order of the responses tells which one answers the request.
  options.require_new_connection = request.id.empty() && !target.is_relay_peer;
  options.close_after_response = options.require_new_connection;
  attempt.begin_wait(now);
  auto opened = co_await client_.open(target.address, outgoing, options);
  attempt.end_wait();
  request.attempts_sent += opened.state == net::SendState::kNotSent ? 0 : 1;
  if (request.caller_disconnected) {
    state_.counters.caller_disconnects += request.main_attempt == &attempt ? 1 : 0;
    co_return DispatchResult::kAnswered;
  }
  if (opened.stream == nullptr) {
    co_return note_failed_open(request, attempt, opened);
  }
  attempt.stream = std::move(opened.stream);
  attempt.cancellation->set_cancel_callback([stream = attempt.stream.get()] { stream->close(); });
  if (attempt.cancellation->cancelled()) {
    attempt.stream->close();  // Cancelled after the head had been read, while nothing was pending.
  }
  if (target.is_relay_peer) {
    if (const auto result = co_await handle_peer_response(request, attempt)) {
      co_return *result;
    }
  } else {
    state_.dispatcher.links().note_contact(monotonic_now(), target.server);
  }
  co_return check_response_head(request, attempt);
}

std::optional<RequestRelay::DispatchResult> RequestRelay::check_response_head(RelayedRequest& request,
                                                                              RelayAttempt& attempt) {
  const auto& target = attempt.target;
  const auto& head = attempt.stream->head();
  if (target.is_relay_peer) {
    return std::nullopt;
  }
  record_server_notices(state_, dialect_, {target, attempt.sent_at, head});
  if (!proves_not_run(head)) {
    return std::nullopt;
  }
  log_event("", "sending_refused",
            {{"request", request.id},
             {"target", target.key},
             {"instance", target.instance_id},
             {"status", std::to_string(head.status)},
             {"retry_after", std::string(head.headers.find(kRetryAfterHeader))}});
  if (!target.group.empty() &&
      (head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.faulty_server_header))) {
    attempt.note_end();
    in_flight_attempts_.note_failure(target, monotonic_now());
  }
  return DispatchResult::kNotRun;
}

// ------------------------------------------------------------------ hedging

bool RequestRelay::may_hedge(RelayedRequest& request, const RelayAttempt& suspected) const {
  const TimePoint now = monotonic_now();
  const bool is_main = request.main_attempt == &suspected && !suspected.is_discarded;
  const bool has_hedge = has_live_hedge(request) || (request.hedge != nullptr && request.hedge->is_sending());
  // What the caller has of a response that is no stream can only be continued by the same server.
  const bool can_be_continued =
      !request.response_started || request.route->route_type == document::RouteType::kStreaming;
  const bool has_attempt_left =
      request.possible_runs + 1 < request.route->max_attempts && request.attempts_sent + 1 < kMaxAttempts;
  return is_main && !has_hedge && can_be_continued && has_attempt_left && now < request.deadline &&
         !request.caller_disconnected && state_.dispatcher.retry_budget().remaining(now, request.service->name) > 0;
}

void RequestRelay::start_hedge(const std::shared_ptr<RelayedRequest>& request, const RelayAttempt& suspected,
                               std::string_view cause) {
  if (!may_hedge(*request, suspected)) {
    return;
  }
  const auto& target = suspected.target;
  log_event("", "attempt_suspected", {{"request", request->id}, {"target", target.key}, {"cause", std::string(cause)}});
  ++state_.counters.hedges;
  if (target.is_relay_peer) {
    request->excluded_peers.insert(target.address);
  } else {
    request->excluded_targets.insert(target.key);
  }
  request->hedge = std::make_shared<Hedge>(executor_);
  asio::co_spawn(executor_, run_hedge(request, request->hedge), asio::detached);
}

void RequestRelay::abandon_hedge(RelayedRequest& request, std::string_view cause) {
  if (request.hedge != nullptr) {
    request.hedge->abandon(cause);
  }
}

asio::awaitable<void> RequestRelay::run_hedge(std::shared_ptr<RelayedRequest> request, std::shared_ptr<Hedge> hedge) {
  const ScopeExit finish_on_exit([hedge] { hedge->finish(); });
  co_await asio::post(executor_, asio::use_awaitable);  // Not while attempts are being looked through.
  const TargetSearch search{hedge.get()};
  while (!search.is_over(*request)) {
    const bool is_admitted = co_await blocked_request_guard_.admit(*request);
    if (!is_admitted || search.is_over(*request)) {
      co_return;
    }
    const FoundTarget found = co_await find_target(*request, search);
    const auto* target = std::get_if<fleet::DispatchTarget>(&found);
    const bool is_in_time = !search.is_over(*request) && monotonic_now() < request->deadline;
    if (target == nullptr) {
      co_return;
    }
    if (!is_in_time || request->attempts_sent >= kMaxAttempts ||
        !state_.dispatcher.retry_budget().try_take(monotonic_now(), request->service->name)) {
      slot_requester_.note_load_change();  // Report that the slot is unused.
      co_return;
    }
    ++state_.counters.retries;
    auto attempt = begin_attempt(*request, *target);
    hedge->attempt = attempt.get();
    const DispatchResult result = co_await wait_for_first_bytes(*request, *attempt);
    hedge->attempt = nullptr;
    if (result == DispatchResult::kAnswered && !search.is_over(*request)) {
      hand_over(*request, *hedge, std::move(attempt));
      co_return;
    }
    note_ended_attempt(*request, *attempt, result);
    if (result != DispatchResult::kNotRun && result != DispatchResult::kNotRelayed) {
      co_return;
    }
  }
}

asio::awaitable<RequestRelay::DispatchResult> RequestRelay::wait_for_first_bytes(RelayedRequest& request,
                                                                                 RelayAttempt& attempt) {
  if (const auto result = co_await open_attempt(request, attempt)) {
    co_return *result == DispatchResult::kAnswered ? DispatchResult::kMayHaveRun : *result;
  }
  const auto& head = attempt.stream->head();
  const bool is_stream = request.route->route_type == document::RouteType::kStreaming;
  if (!is_success(head.status) || (!is_stream && !head.headers.contains(dialect_.signature_header))) {
    co_return DispatchResult::kServerError;
  }
  std::string received;
  while (received.size() <= requests::EventStreamSplitter::kMaxEventBytes) {
    const std::string chunk = co_await read_chunk(request, attempt, attempt.sent_at);
    received += chunk;
    const bool is_enough = !is_stream || received.find("\n\n") != std::string::npos;
    if (chunk.empty() || is_enough) {
      break;
    }
  }
  attempt.unread = std::move(received);
  // Only the end may have been missing of a stream that is resumed.
  const bool is_empty_response = attempt.stream->complete() && (request.response_started || !is_stream);
  const bool has_progress = is_stream ? attempt.unread.find("\n\n") != std::string::npos : !attempt.unread.empty();
  if (has_progress || is_empty_response) {
    co_return DispatchResult::kAnswered;
  }
  if (!attempt.is_discarded) {
    note_broken_response(request, attempt, attempt.stream->error());
  }
  co_return DispatchResult::kMayHaveRun;
}

void RequestRelay::hand_over(RelayedRequest& request, Hedge& hedge, std::unique_ptr<RelayAttempt> successor) {
  log_event("", "attempt_superseded",
            {{"request", request.id}, {"target", request.last_target}, {"successor", successor->target.key}});
  ++state_.counters.superseded;
  hedge.successor = std::move(successor);
  if (request.main_attempt != nullptr) {
    request.main_attempt->discard("another server has taken over");
  }
}

asio::awaitable<std::unique_ptr<RelayAttempt>> RequestRelay::take_successor(RelayedRequest& request) {
  const auto hedge = request.hedge;
  if (hedge == nullptr) {
    co_return nullptr;
  }
  while (hedge->is_sending() && !request.caller_disconnected) {
    co_await hedge->done_signal.async_wait(kAwaitWithError);
  }
  request.hedge.reset();
  const bool takes_over = hedge->is_live() && hedge->successor != nullptr;
  auto successor = std::move(hedge->successor);
  hedge->abandon("the first attempt has ended");  // The request itself looks for a target now.
  co_return takes_over ? std::move(successor) : nullptr;
}

}  // namespace larchlever::node
