#include "node/request_relay.h"

#include <boost/asio.hpp>
#include <charconv>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "node/clock.h"
#include "node/logging.h"
#include "node/server_notices.h"

namespace larchlever::node {

namespace asio = boost::asio;
using std::chrono::duration_cast;

namespace {

/// A connection that does not come up in this time counts as not made; nothing was sent. Several times a round trip
/// between regions, and short enough that the request may still be in time elsewhere.
constexpr auto kConnectTimeout = std::chrono::milliseconds(150);
/// A request is held for a lease on the configuration for this part of its time, and never longer than this.
constexpr int kLeasePart = 4;
constexpr Duration kLeasePatience = milliseconds(1200);
/// Held for longer than this, a request has lost time that its objective does not allow for.
constexpr Duration kHeldTime = milliseconds(50);
/// A single stream may pause longer, as long as its group makes progress; callers leave after two seconds.
constexpr Duration kStreamPause = milliseconds(1600);
constexpr int kMostSendings = 6;

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
                           SlotRequester& slots, LeaseGate& lease, size_t answer_buffers)
    : executor_(executor),
      dialect_(dialect),
      state_(state),
      slots_(slots),
      lease_(lease),
      ends_(state),
      blocks_(executor, state, slots),
      sendings_(state),
      targets_(executor, state, slots),
      client_(executor),
      answer_buffers_(answer_buffers) {}

asio::awaitable<void> RequestRelay::handle(net::HttpExchange& exchange) {
  RelayedRequest request;
  request.exchange = &exchange;
  request.received = monotonic_now();
  ++state_.counters.requests;
  state_.traffic_seen = true;
  exchange.watch_caller([&request] {
    request.caller_gone = true;
    if (request.cancellation) {
      request.cancellation->cancel();
    }
  });
  co_await lease_.wait(lease_patience(request));
  request.admitted = monotonic_now();
  if (request.caller_gone) {
    ++state_.counters.caller_gone;
    co_return;
  }
  if (auto refusal = identify(request)) {
    co_await ends_.refuse(request, std::move(*refusal));
    co_return;
  }
  co_await relay(request);
}

// ---------------------------------------------------------------- identify

TimePoint RequestRelay::lease_patience(const RelayedRequest& request) const {
  const auto deadline_ms = parse_number(request.exchange->request().headers.find(dialect_.deadline_ms));
  const Duration allowed = milliseconds(deadline_ms.value_or(0)) / kLeasePart;
  return request.received + std::min(allowed, kLeasePatience);
}

std::optional<Refusal> RequestRelay::identify(RelayedRequest& request) {
  const auto& incoming = request.exchange->request();
  request.routes = state_.routes;
  request.id = std::string(incoming.headers.find(dialect_.request_id));
  request.model = std::string(incoming.headers.find(dialect_.model));
  if (request.routes == nullptr || !state_.subscription.has_lease(request.admitted)) {
    return Refusal{http_status::kServiceUnavailable, "this node holds no confirmed configuration",
                   kBackWhenUnavailable};
  }
  request.route = request.routes->find_route(incoming.headers.find("host"), incoming.path());
  if (request.route == nullptr) {
    return Refusal{http_status::kNotFound, "no route for this host and path", {}};
  }
  if (auto refusal = authorise(request, incoming.headers.find(dialect_.api_key))) {
    return refusal;
  }
  request.allowed_zones = document::allowed_zones(state_.zones, *request.route, request.tenant);
  if (request.allowed_zones && request.allowed_zones->empty()) {
    return Refusal{
        http_status::kForbidden, "route and tenant have no region in common; correct their allowed_regions", {}};
  }
  request.fingerprint =
      requests::fingerprint_of({request.tenant == nullptr ? "" : request.tenant->name, incoming.headers.find("host"),
                                incoming.method, incoming.target, incoming.body});
  const auto& services = request.routes->document().services;
  request.service = &services.at(state_.dispatcher.choose_service(*request.route));
  Duration held = request.route->timeout;
  if (const auto deadline_ms = parse_number(incoming.headers.find(dialect_.deadline_ms))) {
    held = std::min(held, Duration(milliseconds(*deadline_ms)));
  }
  request.due = request.received + held;
  request.was_held = request.admitted - request.received > kHeldTime;
  note_demand(request);
  state_.dispatcher.note_request(request.received, request.service->name);
  return std::nullopt;
}

void RequestRelay::note_demand(RelayedRequest& request) {
  const auto& headers = request.exchange->request().headers;
  const auto counts = headers.find(dialect_.token_counts);
  const size_t comma = counts.find(',');
  if (request.model.empty() || comma == std::string_view::npos) {
    return;
  }
  const auto prompt = parse_number(counts.substr(0, comma));
  const auto most_out = parse_number(counts.substr(comma + 1));
  const auto hint = parse_number(headers.find(dialect_.length_hint));
  request.prompt_tokens = static_cast<double>(prompt.value_or(0));
  if (prompt && (hint || most_out)) {
    const engine::RequestSizes sizes{static_cast<double>(*prompt), static_cast<double>(hint ? *hint : *most_out)};
    state_.dispatcher.record_gap_objective(request.service->name, request.model, request.route->target_gap);
    state_.dispatcher.record_demand(request.service->name, {request.model, request.route->target_latency, sizes.prompt},
                                    sizes);
  }
}

std::optional<Refusal> RequestRelay::authorise(RelayedRequest& request, std::string_view key) {
  if (!request.routes->document().tenants || request.route->is_public) {
    return std::nullopt;
  }
  request.tenant = request.routes->find_tenant(key);
  if (request.tenant == nullptr) {
    return Refusal{http_status::kUnauthorized, "unknown key; send the tenant's key", {}};
  }
  return std::nullopt;
}

// -------------------------------------------------------------- send, retry

asio::awaitable<void> RequestRelay::relay(RelayedRequest& request) {
  while (true) {
    // Asked before each sending: a request under which servers end elsewhere meanwhile must not end one more.
    if (!co_await blocks_.admit(request)) {
      const FoundTarget none = blocks_.refuse(request);
      co_await end_without_target(request, none);
      co_return;
    }
    const FoundTarget found = co_await targets_.find(request);
    const auto* target = std::get_if<fleet::DispatchTarget>(&found);
    if (target == nullptr) {
      co_await end_without_target(request, found);
      co_return;
    }
    const Sending result = co_await send(request, *target);
    if (result == Sending::kAnswered) {
      co_return;
    }
    const TimePoint now = monotonic_now();
    request.excluded.insert(target->key);
    if (result == Sending::kServerError) {
      request.may_have_run = true;
      ++request.runs;  // The retry was taken from the budget when the answer was put aside.
      ++state_.counters.retries;
      continue;
    }
    if (result != Sending::kNotRun) {
      request.may_have_run = true;
      // Whatever it brought: a server that took a request may run it to the end after its connection was lost, so only
      // proof to the contrary spares the request one of the servers that its route allows.
      ++request.runs;
      const bool again = request.route->may_repeat() && request.runs < request.route->max_attempts;
      if (!again) {
        co_await ends_.give_up(request);
        co_return;
      }
    }
    if (!may_send_again(request, now)) {
      co_await end_without_another_sending(request);
      co_return;
    }
    ++state_.counters.retries;
  }
}

bool RequestRelay::may_send_again(RelayedRequest& request, TimePoint now) {
  // A sending that never left used none of the budget, which counts arrivals at servers.
  return now < request.due && request.sent < kMostSendings && !request.caller_gone &&
         (request.sent == 0 || state_.dispatcher.try_take_retry(now, request.service->name));
}

asio::awaitable<void> RequestRelay::end_without_target(RelayedRequest& request, const FoundTarget& found) {
  const auto* refusal = std::get_if<Refusal>(&found);
  if (refusal != nullptr && !request.head_sent && !request.may_have_run) {
    co_await ends_.refuse(request, *refusal);
    co_return;
  }
  co_await ends_.give_up(request);
}

asio::awaitable<void> RequestRelay::end_without_another_sending(RelayedRequest& request) {
  if (auto refusal = targets_.refusal_while_all_rest(request, monotonic_now())) {
    const FoundTarget none = std::move(*refusal);
    co_await end_without_target(request, none);
    co_return;
  }
  co_await ends_.give_up(request);
}

asio::awaitable<RequestRelay::Sending> RequestRelay::send(RelayedRequest& request,
                                                          const fleet::DispatchTarget& target) {
  auto cancellation = std::make_shared<net::Cancellation>();
  request.cancellation = cancellation;
  request.last_target = target.key;
  request.last_instance = target.incarnation;
  request.load_at_choice = target.in_flight;
  request.sent_at = monotonic_now();
  request.mark = {target.group.empty() ? 0 : request.prompt_tokens, false};
  state_.dispatcher.begin_attempt(request.sent_at, target, request.mark);
  if (!request.has_slot) {
    note_load(target);  // The leader counts a slot that it granted.
  }
  sendings_.begin(request, target);
  const ScopeExit finish([this, &request, &target] {
    state_.dispatcher.end_attempt(target, request.mark);
    note_load(target);
    sendings_.end(request, target);
    request.cancellation.reset();
  });
  co_return co_await send_once(request, target);
}

net::HttpRequest RequestRelay::upstream_request(const RelayedRequest& request, const fleet::DispatchTarget& target,
                                                TimePoint now) const {
  const auto& incoming = request.exchange->request();
  net::HttpRequest outgoing;
  outgoing.method = incoming.method;
  outgoing.target = incoming.target;
  outgoing.body = incoming.body;
  for (const auto& [name, value] : incoming.headers.all()) {
    if (!net::is_hop_by_hop(name, incoming.headers) && !net::equals_ignoring_case(name, "content-length")) {
      outgoing.headers.add(name, value);
    }
  }
  outgoing.headers.remove(dialect_.api_key);
  outgoing.headers.remove(dialect_.tenant);
  outgoing.headers.remove(dialect_.priority_class);
  outgoing.headers.set(dialect_.deadline_ms, std::to_string(to_milliseconds(request.due - now).count()));
  outgoing.headers.set(dialect_.expect_instance, target.instance_id);
  if (request.tenant != nullptr) {
    outgoing.headers.set(dialect_.tenant, request.tenant->name);
  }
  if (request.events.last_id()) {
    outgoing.headers.set(dialect_.last_event_id, std::to_string(*request.events.last_id()));
  }
  return outgoing;
}

std::chrono::milliseconds RequestRelay::patience(const RelayedRequest& request, TimePoint now) const {
  const Duration left = request.due - now;
  if (request.route->repeatability != document::Repeatability::kStreaming || !request.route->may_repeat()) {
    return to_milliseconds(left);
  }
  return to_milliseconds(request.events.last_id() ? std::min(left, kStreamPause) : left);
}

bool RequestRelay::is_not_run(const net::HttpResponse& head) const {
  return head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.not_run);
}

asio::awaitable<RequestRelay::Sending> RequestRelay::send_once(RelayedRequest& request,
                                                               const fleet::DispatchTarget& target) {
  const TimePoint now = monotonic_now();
  const auto outgoing = upstream_request(request, target, now);
  net::OpenOptions options;
  options.timeout = patience(request, now);
  options.connect_timeout = kConnectTimeout;
  options.cancellation = request.cancellation;
  // The server may have asked for rest while the connection was made.
  const auto may_send = [this, &target] { return state_.dispatcher.may_send(monotonic_now(), target); };
  options.may_send = may_send;
  auto opened = co_await client_.open(target.address, outgoing, options);
  request.sent += opened.state == net::SendState::kNotSent ? 0 : 1;
  if (request.caller_gone) {
    ++state_.counters.caller_gone;
    co_return Sending::kAnswered;
  }
  if (opened.stream == nullptr) {
    const TimePoint failed_at = monotonic_now();
    const bool was_held_back = opened.state == net::SendState::kNotSent && !may_send();
    if (failed_at < request.due && !was_held_back) {
      sendings_.note_failure(target, failed_at);
    }
    log_event("", "sending_failed",
              {{"request", request.id},
               {"fingerprint", to_string(request.fingerprint)},
               {"target", target.key},
               {"instance", target.instance_id},
               {"reason", opened.error}});
    if (opened.state != net::SendState::kNotSent && failed_at < request.due) {
      blocks_.answer_lost(request, target);
    }
    co_return opened.state == net::SendState::kNotSent ? Sending::kNotRun : Sending::kMayHaveRun;
  }
  const auto& head = opened.stream->head();
  const auto echoed = head.headers.find(dialect_.request_id);
  if (!echoed.empty() && echoed != request.id) {
    log_problem("", "answer_of_another_request", {{"request", request.id}, {"target", target.key}});
    co_return Sending::kMayHaveRun;
  }
  note_server_notices(state_, dialect_, {target, request.sent_at, head});
  if (is_not_run(head)) {
    log_event("", "sending_refused",
              {{"request", request.id},
               {"target", target.key},
               {"instance", target.instance_id},
               {"status", std::to_string(head.status)},
               {"retry_after", std::string(head.headers.find(kRetryAfter))}});
    if (!target.group.empty() &&
        (head.status == http_status::kMisdirectedRequest || head.headers.contains(dialect_.faulty_server))) {
      sendings_.note_failure(target, monotonic_now());
    }
    co_return Sending::kNotRun;
  }
  request.cancellation->set_action([stream = opened.stream.get()] { stream->close(); });
  const ScopeExit forget([cancellation = request.cancellation] { cancellation->set_action(nullptr); });
  const bool is_stream = request.route->repeatability == document::Repeatability::kStreaming && is_success(head.status);
  if (is_stream) {
    co_return co_await relay_events(request, target, *opened.stream);
  }
  co_return co_await relay_whole(request, target, *opened.stream);
}

// ------------------------------------------------------------------- relay

asio::awaitable<RequestRelay::Sending> RequestRelay::relay_whole(RelayedRequest& request,
                                                                 const fleet::DispatchTarget& target,
                                                                 net::ClientStream& stream) {
  net::HttpResponse response = stream.head();
  // Only a success that carries its server's signature, and whose end can be told from a cut, is final before its end.
  const bool may_begin = is_success(response.status) && response.headers.contains(dialect_.signature) &&
                         !request.head_sent && !stream.delimited_by_close();
  requests::BufferShare held(answer_buffers_);
  while (true) {
    const TimePoint now = monotonic_now();
    if (now >= request.due) {
      break;
    }
    std::string piece = co_await stream.read_some(to_milliseconds(request.due - now));
    if (piece.empty()) {
      break;
    }
    response.body += piece;
    const bool has_room = held.grow(piece.size());
    if (!has_room && may_begin && !request.caller_gone) {
      held.release();
      co_return co_await relay_by_pieces(request, target, stream, std::move(response.body));
    }
  }
  if (request.caller_gone) {
    ++state_.counters.caller_gone;
    co_return Sending::kAnswered;
  }
  if (!stream.complete()) {
    log_event("", "answer_broke_off",
              {{"request", request.id},
               {"fingerprint", to_string(request.fingerprint)},
               {"target", target.key},
               {"instance", target.instance_id},
               {"reason", stream.error()}});
    if (monotonic_now() < request.due) {
      blocks_.answer_lost(request, target);
    }
    co_return Sending::kMayHaveRun;
  }
  blocks_.answered(request);
  note_progress(target, monotonic_now());
  const bool unsigned_success = is_success(response.status) && !response.headers.contains(dialect_.signature);
  if (unsigned_success) {
    co_return Sending::kMayHaveRun;
  }
  const bool worth_another = response.status >= 500 && request.route->may_repeat() && !request.head_sent &&
                             request.runs + 1 < request.route->max_attempts && may_send_again(request, monotonic_now());
  if (worth_another) {
    co_return Sending::kServerError;
  }
  if (request.head_sent) {
    co_return Sending::kMayHaveRun;  // A continuation was refused: the answer under way cannot carry it.
  }
  const int status = response.status;
  state_.counters.served += is_success(status) ? 1 : 0;
  state_.counters.failed += is_success(status) ? 0 : 1;
  ends_.log(request, status, "the server's answer");
  co_await request.exchange->respond(std::move(response));
  co_return Sending::kAnswered;
}

asio::awaitable<RequestRelay::Sending> RequestRelay::relay_by_pieces(RelayedRequest& request,
                                                                     const fleet::DispatchTarget& target,
                                                                     net::ClientStream& stream, std::string begun) {
  request.head_sent = true;
  request.first_event = monotonic_now();
  bool is_open = co_await request.exchange->begin_stream(stream.head());
  std::string piece = std::move(begun);
  while (is_open && !piece.empty()) {
    is_open = co_await request.exchange->write_piece(piece);
    note_progress(target, monotonic_now());
    const TimePoint now = monotonic_now();
    piece.clear();
    if (is_open && now < request.due) {
      piece = co_await stream.read_some(to_milliseconds(request.due - now));
    }
  }
  if (!is_open || request.caller_gone) {
    ++state_.counters.caller_gone;
    ends_.log(request, 0, "its caller took no more of the answer");
    co_return Sending::kAnswered;
  }
  if (!stream.complete()) {
    // Left without its end: the caller sees that it broke off.
    ++state_.counters.failed;
    ends_.log(request, 0, "the server's answer broke off");
    co_return Sending::kAnswered;
  }
  blocks_.answered(request);
  ++state_.counters.served;
  ends_.log(request, stream.head().status, "the server's answer, by pieces");
  co_await request.exchange->end_stream();
  co_return Sending::kAnswered;
}

void RequestRelay::note_load(const fleet::DispatchTarget& target) {
  if (!target.group.empty()) {
    slots_.note_change();
  }
}

void RequestRelay::note_progress(const fleet::DispatchTarget& target, TimePoint now) {
  state_.dispatcher.note_progress(now, target);
  blocks_.progressed(now, target);
}

void RequestRelay::note_piece(RelayedRequest& request, const fleet::DispatchTarget& target, TimePoint now) {
  note_progress(target, now);
  if (!request.mark.is_streaming) {
    state_.dispatcher.note_first_event(now, target, request.mark);
    if (request.expected_first_event > Duration::zero()) {
      state_.first_event_excess[request.model].note(now, now - request.sent_at - request.expected_first_event);
    }
  }
  if (request.head_sent) {
    request.longest_pause = std::max(request.longest_pause, now - request.last_piece);
  }
  request.last_piece = now;
}

asio::awaitable<RequestRelay::Sending> RequestRelay::relay_events(RelayedRequest& request,
                                                                  const fleet::DispatchTarget& target,
                                                                  net::ClientStream& stream) {
  request.events.restart();
  while (true) {
    const TimePoint now = monotonic_now();
    std::string piece;
    if (now < request.due) {
      piece = co_await stream.read_some(patience(request, now));
    }
    if (request.caller_gone) {
      ++state_.counters.caller_gone;
      co_return Sending::kAnswered;
    }
    if (piece.empty()) {
      break;
    }
    note_piece(request, target, monotonic_now());
    const std::string events = request.events.take(piece);
    if (events.empty()) {
      continue;
    }
    if (!request.head_sent) {
      request.head_sent = true;
      request.first_event = monotonic_now();
      if (!co_await request.exchange->begin_stream(stream.head())) {
        co_return Sending::kAnswered;
      }
    }
    if (!co_await request.exchange->write_piece(events)) {
      ends_.log(request, 0, "its caller took no more of the stream");
      co_return Sending::kAnswered;
    }
  }
  const bool whole = stream.complete() && request.events.pending().empty() && !request.events.has_gap();
  if (whole && request.head_sent) {
    blocks_.answered(request);
    ++state_.counters.served;
    ends_.log(request, stream.head().status, "the whole stream");
    co_await request.exchange->end_stream();
    co_return Sending::kAnswered;
  }
  const TimePoint now = monotonic_now();
  log_event("", "stream_broke_off",
            {{"request", request.id},
             {"fingerprint", to_string(request.fingerprint)},
             {"target", target.key},
             {"instance", target.instance_id},
             {"reason", stream.error()},
             {"last_event", request.events.last_id() ? std::to_string(*request.events.last_id()) : "none"}});
  if (now < request.due) {
    sendings_.note_failure(target, now);
    blocks_.answer_lost(request, target);
  }
  ++state_.counters.resumed;
  co_return Sending::kMayHaveRun;
}

}  // namespace larchlever::node
