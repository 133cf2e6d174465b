#include "node/model_front.h"

#include <boost/json.hpp>
#include <map>

#include "core/base/scope_exit.h"
#include "core/requests/stream_verifier.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;
using requests::AttemptResult;
using requests::Outcome;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kGroupPoll = std::chrono::milliseconds(25);
/// A group that failed a request is not tried for it again before this: a lost machine's group loses its lease, or is
/// formed anew, in the time of a few such pauses.
constexpr Duration kGroupPause = milliseconds(1000);
constexpr size_t kLargestStoredAnswer = 64U << 10U;
constexpr std::string_view kEventStream = "text/event-stream";

/// The answer's text, from the verified events of a whole stream.
std::string text_of_events(std::string_view events) {
  std::string text;
  while (!events.empty()) {
    const size_t end = events.find("\n\n");
    const auto data = requests::event_data(events.substr(0, end));
    boost::system::error_code error;
    const auto value = json::parse(json::string_view(data.data(), data.size()), error);
    if (!error && value.is_object()) {
      boost::system::error_code missing;
      if (const auto* content = value.find_pointer("/choices/0/delta/content", missing);
          content != nullptr && content->is_string()) {
        text += std::string(content->as_string());
      }
    }
    events = end == std::string_view::npos ? std::string_view() : events.substr(end + 2);
  }
  return text;
}

}  // namespace

/// One model request on its way through the node.
struct ModelFront::Call {
  Call(net::HttpExchange& given, ModelCall parsed, TimePoint started_at)
      : exchange(given), model(std::move(parsed)), started(started_at) {}

  net::HttpExchange& exchange;
  ModelCall model;
  TimePoint started;
  TimePoint deadline{};
  TimePoint queue_deadline{};
  std::string request_id;
  ClaimGate::Ticket ticket;
  bool claimed = false;
  bool caller_gone = false;
  bool stream_begun = false;
  bool whole = false;
  int64_t next_offset = 0;
  std::string events;       ///< Verified events gathered for a caller that wants one answer, or to store under the key.
  std::string stored_body;  ///< The whole answer as sent, to be kept under the caller's key.
  std::string stored_type;
  Outcome outcome = Outcome::kNotRun;
  net::ClientStream* upstream = nullptr;

  bool needs_claim() const { return !model.safe && !model.key.empty(); }
  /// What this call tells of its request: a key of a repeatable request is never looked up.
  Outcome outcome_known() const { return claimed ? outcome : unclaimed_outcome(exchange.request(), outcome); }
};

asio::awaitable<void> ModelFront::handle(net::HttpExchange& exchange) {
  ++stats_.model_requests;
  auto& entry = runtime_.controller().entry();
  const auto& limits = runtime_.settings().requests;
  Problem problem;
  if (exchange.request().method != "POST") {
    problem = {405, "method not allowed", "use POST", 0};
    co_await refuse_unclaimed(exchange, problem, stats_);
    co_return;
  }
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    problem = no_configuration_problem();
    co_await refuse_unclaimed(exchange, problem, stats_);
    co_return;
  }
  auto parsed = parse_model_call(exchange.request(), entry.router().table(), problem);
  if (!parsed) {
    co_await refuse_unclaimed(exchange, problem, stats_);
    co_return;
  }
  auto call = std::make_shared<Call>(exchange, std::move(*parsed), NodeRuntime::now());
  call->deadline = call->started + limits.request_timeout;
  call->queue_deadline = call->started + limits.queue_timeout;
  call->request_id = runtime_.settings().name + "-" + std::to_string(entry.identity().incarnation.value()) + "-" +
                     std::to_string(next_request_++);
  retry_budget_.request_started(call->model.tenant);
  const std::weak_ptr<Call> observed = call;
  exchange.watch_caller([observed] {
    if (const auto gone = observed.lock()) {
      gone->caller_gone = true;
      if (gone->upstream != nullptr) {
        gone->upstream->close();
      }
    }
  });
  const std::function<bool()> cancelled = [call] { return call->caller_gone; };
  const auto admitted =
      co_await runtime_.admit(call->model.tenant, call->model.priority, call->queue_deadline, cancelled);
  if (admitted != NodeRuntime::Admission::kAdmitted) {
    if (admitted != NodeRuntime::Admission::kCallerGone) {
      const bool full = admitted == NodeRuntime::Admission::kQueueFull;
      problem = {429, full ? "too many requests wait for this tenant" : "the tenant's share is in use",
                 "send the request again later", kRetryAfterSeconds};
      co_await refuse_unclaimed(exchange, problem, stats_);
    }
    co_return;
  }
  const TimePoint served = NodeRuntime::now();
  const ScopeExit give_back([this, call, served] { runtime_.leave(call->model.tenant, NodeRuntime::now() - served); });
  co_await serve_model(*call);
}

asio::awaitable<void> ModelFront::serve_model(Call& call) {
  if (call.needs_claim()) {
    call.ticket = {call.model.tenant, call.model.key, call.model.body_digest, call.model.issued_at_ms, 0};
    const bool granted = co_await claims_.take(call.exchange, call.ticket);
    if (!granted) {
      co_return;
    }
    call.claimed = true;
  }
  co_await run_attempts(call);
  stats_.count(call.outcome);
  stats_.callers_gone += call.caller_gone ? 1 : 0;
  if (call.claimed) {
    if (call.stored_body.size() > kLargestStoredAnswer) {
      call.stored_body.clear();
      call.stored_type.clear();
    }
    claims_.resolve(call.ticket, call.outcome, 200, std::move(call.stored_body), std::move(call.stored_type));
  }
}

asio::awaitable<void> ModelFront::run_attempts(Call& call) {
  auto& router = runtime_.controller().entry().router();
  requests::RetryState retries(call.model.safe, runtime_.settings().requests.most_attempts, call.deadline);
  routing::RouteQuery query;
  query.tenant = call.model.tenant;
  query.model = call.model.model;
  query.adapter = call.model.adapter;
  query.prefix_hash = routing::hash_prefix(call.model.tenant, call.model.prompt);
  Attempt last;
  std::map<int64_t, TimePoint> failed_until;
  while (!call.caller_gone) {
    const TimePoint now = NodeRuntime::now();
    std::erase_if(failed_until, [now](const auto& item) { return item.second <= now; });
    query.excluded.clear();
    for (const auto& [id, until] : failed_until) {
      query.excluded.insert(id);
    }
    const auto decision = router.route(now, query);
    if (decision.verdict == routing::RouteVerdict::kDispatch) {
      const wire::Group group = *decision.group;
      failed_until[group.id] = now + kGroupPause;
      last = co_await attempt(call, group);
      if (last.answered) {
        co_return;
      }
      log_failed_attempt(runtime_.settings().name, {call.request_id, group.endpoint, last.result, last.reason});
      if (!retries.may_retry(NodeRuntime::now(), last.result, call.model.tenant, retry_budget_)) {
        break;
      }
      ++stats_.retries;
      continue;
    }
    const bool waits = decision.verdict == routing::RouteVerdict::kNoGroupAvailable ||
                       decision.verdict == routing::RouteVerdict::kNoConfigurationLease;
    if (!waits) {
      const bool adapter = decision.verdict == routing::RouteVerdict::kAdapterNotPermitted;
      call.outcome = retries.outcome();
      const Problem problem{adapter ? 403 : 404,
                            adapter ? "adapter '" + call.model.adapter + "' is not permitted for this tenant"
                                    : "model '" + call.model.model + "' is not offered to this tenant",
                            "ask for a model that /v1/models lists, or have your operator permit it", 0};
      co_await send_problem(call.exchange, problem, call.outcome_known());
      co_return;
    }
    if (now >= call.queue_deadline) {
      last.reason = "no group in a permitted zone is open";
      break;
    }
    asio::steady_timer timer(runtime_.executor(), kGroupPoll);
    co_await timer.async_wait(kAwait);
  }
  call.outcome = retries.outcome();
  co_await give_up(call, last);
}

asio::awaitable<ModelFront::Attempt> ModelFront::attempt(Call& call, const wire::Group& group) {
  auto& router = runtime_.controller().entry().router();
  const auto& limits = runtime_.settings().requests;
  net::HttpRequest request;
  request.method = "POST";
  request.target = call.model.chat ? "/v1/chat/completions" : "/v1/completions";
  request.headers.add("Content-Type", "application/json");
  request.headers.add("X-Request-Id", call.request_id);
  request.headers.add("X-Group", std::to_string(group.id));
  request.headers.add("X-Epoch", std::to_string(group.epoch));
  request.headers.add("X-Priority", std::to_string(call.model.priority));
  request.headers.add("X-Tenant", call.model.tenant);
  if (!call.model.adapter.empty()) {
    request.headers.add("X-Adapter", call.model.adapter);
  }
  if (!call.model.key.empty()) {
    request.headers.add("Idempotency-Key", call.model.key);
  }
  if (call.next_offset > 0) {
    request.headers.add("X-Resume-From", std::to_string(call.next_offset));
    ++stats_.resumed_streams;
  }
  request.body = call.model.engine_body;
  // Permission is judged again when the connection stands: connecting may outlast a lease, or a change of residency.
  net::OpenOptions options;
  options.timeout = limits.first_byte_timeout;
  options.fresh_connection = true;
  options.may_send = [&router, &call, id = group.id, epoch = group.epoch, zone = group.zone] {
    const auto* tenant = router.table().find_tenant(call.model.tenant);
    return router.may_dispatch(NodeRuntime::now(), id, epoch) && tenant != nullptr && tenant->permits_zone(zone) &&
           !call.caller_gone;
  };
  router.dispatched(group.id);
  auto opened = co_await runtime_.client().open(group.endpoint, request, options);
  Attempt result;
  if (opened.stream == nullptr) {
    router.finished(group.id);
    result.result = opened.state == net::SendState::kNotSent ? AttemptResult::kNotSent : AttemptResult::kLostAfterSend;
    result.reason = opened.error;
    co_return result;
  }
  const auto& head = opened.stream->head();
  const bool ours = head.headers.find("x-request-id") == call.request_id;
  if (head.status != 200 || !ours) {
    router.finished(group.id);
    const bool unstarted = head.status != 200 && head.headers.find("x-engine-started") == "no";
    stats_.foreign_or_disordered += head.status == 200 ? 1 : 0;
    result.result = unstarted ? AttemptResult::kRefusedUnstarted : AttemptResult::kLostAfterSend;
    result.reason = "the engine answered " + std::to_string(head.status);
    co_return result;
  }
  // The engine has taken it up under our id: from here on it counts as run, at least in part.
  call.outcome = Outcome::kRan;
  call.upstream = opened.stream.get();
  result = co_await relay(call, *opened.stream);
  call.upstream = nullptr;
  router.finished(group.id);
  co_return result;
}

asio::awaitable<ModelFront::Attempt> ModelFront::relay(Call& call, net::ClientStream& stream) {
  const auto& limits = runtime_.settings().requests;
  requests::StreamVerifier verifier(call.request_id, call.next_offset);
  const bool gather = !call.model.stream || call.claimed;
  Attempt result;
  result.result = AttemptResult::kCutInStream;
  while (true) {
    std::string piece = co_await stream.read_some(limits.between_bytes_timeout);
    std::string events = verifier.feed(piece);
    call.next_offset = verifier.next_offset();
    if (!events.empty()) {
      if (gather) {
        call.events += events;
      }
      const bool open = co_await pass_on(call, events);
      call.caller_gone = call.caller_gone || !open;
    }
    if (verifier.status() == requests::StreamStatus::kDone) {
      call.whole = true;
      result.answered = true;
      co_await finish_stream(call);
      co_return result;
    }
    if (verifier.status() != requests::StreamStatus::kOpen) {
      ++stats_.foreign_or_disordered;
      result.reason = "the engine's stream is not in order";
      stream.close();
      co_return result;
    }
    if (call.caller_gone) {
      // Dropping the connection cancels the request at the engine.
      stream.close();
      result.answered = true;
      co_return result;
    }
    if (piece.empty()) {
      result.reason = "the engine's stream broke off: " + stream.error();
      co_return result;
    }
  }
}

asio::awaitable<bool> ModelFront::pass_on(Call& call, const std::string& events) {
  stats_.events_relayed_bytes += events.size();
  if (!call.model.stream) {
    co_return true;
  }
  if (!call.stream_begun) {
    net::HttpResponse head;
    head.headers.add("Content-Type", std::string(kEventStream));
    head.headers.add("Cache-Control", "no-cache");
    head.headers.add("Larchlever-Outcome", "ran");
    call.stream_begun = true;
    co_await call.exchange.begin_stream(head);
  }
  const bool open = co_await call.exchange.write_piece(events);
  co_return open;
}

asio::awaitable<void> ModelFront::finish_stream(Call& call) {
  if (call.model.stream) {
    call.stored_body = call.claimed ? std::move(call.events) : std::string();
    call.stored_type = std::string(kEventStream);
    co_await call.exchange.end_stream();
    co_return;
  }
  const std::string text = text_of_events(call.events);
  json::object choice;
  choice["index"] = 0;
  choice["finish_reason"] = "stop";
  if (call.model.chat) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  response.headers.add("Larchlever-Outcome", "ran");
  response.body = json::serialize(json::object{{"id", call.request_id},
                                               {"object", call.model.chat ? "chat.completion" : "text_completion"},
                                               {"model", call.model.model},
                                               {"choices", json::array{choice}}});
  if (call.claimed) {
    call.stored_body = response.body;
    call.stored_type = "application/json";
  }
  co_await call.exchange.respond(std::move(response));
}

asio::awaitable<void> ModelFront::give_up(Call& call, const Attempt& last) {
  if (call.caller_gone) {
    co_return;
  }
  log_event(runtime_.settings().name, "request_given_up",
            {{"request", call.request_id},
             {"outcome", std::string(requests::to_string(call.outcome_known()))},
             {"held_ms", std::to_string((NodeRuntime::now() - call.started) / milliseconds(1))},
             {"reason", last.reason}});
  const bool not_run = call.outcome == Outcome::kNotRun;
  Problem problem{not_run ? 503 : 502, not_run ? "the request could not be placed: " + last.reason : last.reason,
                  not_run ? "send the request again later; it did not run"
                          : "check whether it ran before sending it again, or use an Idempotency-Key",
                  not_run ? kRetryAfterSeconds : 0};
  if (call.stream_begun) {
    ++stats_.cut_streams;
    // Part of the answer is out: say so in the stream and leave it without its end.
    const std::string event =
        "event: error\ndata: " + json::serialize(problem_object(problem, Outcome::kUnknown)) + "\n\n";
    co_await call.exchange.write_piece(event);
    co_return;
  }
  co_await send_problem(call.exchange, problem, call.outcome_known());
}

}  // namespace larchlever::node
