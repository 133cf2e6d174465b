#include "node/model_request_handler.h"

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

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kGroupPollInterval = std::chrono::milliseconds(25);
/// A group that failed a request is not tried for it again for this long. A group that lost a machine loses its lease,
/// or is re-formed, within a few times this.
constexpr Duration kFailedGroupPause = milliseconds(1000);
constexpr size_t kMaxStoredResponseBytes = 64U << 10U;
constexpr std::string_view kEventStream = "text/event-stream";

/// Extracts the text of the response from the verified events of a complete stream.
std::string extract_text(std::string_view events) {
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

/// State of one model request while it is served.
struct ModelRequestHandler::RequestContext {
  RequestContext(net::HttpExchange& http_exchange, ModelRequest parsed, TimePoint started_at)
      : exchange(http_exchange), model_request(std::move(parsed)), started(started_at) {}

  net::HttpExchange& exchange;
  ModelRequest model_request;
  TimePoint started;
  TimePoint deadline{};
  TimePoint queue_deadline{};
  std::string request_id;
  IdempotencyGuard::KeyClaim key_claim;
  bool has_claim = false;
  bool caller_disconnected = false;
  bool stream_started = false;
  bool is_complete = false;
  int64_t next_offset = 0;
  /// Verified events, collected for a non-streaming response or for storage under the key.
  std::string verified_events;
  std::string stored_body;  ///< The complete response, stored under the idempotency key.
  std::string stored_type;
  Outcome outcome = Outcome::kNotRun;
  net::ClientStream* upstream_stream = nullptr;

  bool needs_claim() const { return !model_request.is_repeatable && !model_request.idempotency_key.empty(); }
  /// The outcome to report to the caller. The key of a request that is safe to repeat is never looked up.
  Outcome reported_outcome() const { return has_claim ? outcome : outcome_without_claim(exchange.request(), outcome); }
};

asio::awaitable<void> ModelRequestHandler::handle(net::HttpExchange& exchange) {
  ++stats_.model_requests;
  auto& entry = runtime_.controller().entry();
  const auto& limits = runtime_.settings().requests;
  ProblemDetails problem;
  if (exchange.request().method != "POST") {
    problem = {405, "method not allowed", "use POST", 0};
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    problem = unconfirmed_configuration_problem();
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  auto parsed = parse_model_request(exchange.request(), entry.router().table(), problem);
  if (!parsed) {
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  auto context = std::make_shared<RequestContext>(exchange, std::move(*parsed), NodeRuntime::now());
  context->deadline = context->started + limits.request_timeout;
  context->queue_deadline = context->started + limits.queue_timeout;
  context->request_id = runtime_.settings().name + "-" + std::to_string(entry.identity().incarnation.value()) + "-" +
                        std::to_string(next_request_number_++);
  retry_budget_.record_request(context->model_request.tenant);
  const std::weak_ptr<RequestContext> weak_context = context;
  exchange.notify_on_disconnect([weak_context] {
    if (const auto locked_context = weak_context.lock()) {
      locked_context->caller_disconnected = true;
      if (locked_context->upstream_stream != nullptr) {
        locked_context->upstream_stream->close();
      }
    }
  });
  const std::function<bool()> cancelled = [context] { return context->caller_disconnected; };
  const auto admitted = co_await runtime_.admit(context->model_request.tenant, context->model_request.priority,
                                                context->queue_deadline, cancelled);
  if (admitted != NodeRuntime::AdmissionResult::kAdmitted) {
    if (admitted != NodeRuntime::AdmissionResult::kCallerDisconnected) {
      const bool is_queue_full = admitted == NodeRuntime::AdmissionResult::kQueueFull;
      problem = {429,
                 is_queue_full ? "the queue of this tenant is full" : "the concurrency limit of this tenant is reached",
                 "retry later", kRetryAfterSeconds};
      co_await refuse_without_claim(exchange, problem, stats_);
    }
    co_return;
  }
  const TimePoint service_started = NodeRuntime::now();
  const ScopeExit release_on_exit([this, context, service_started] {
    runtime_.release_admission(context->model_request.tenant, NodeRuntime::now() - service_started);
  });
  co_await serve_admitted(*context);
}

asio::awaitable<void> ModelRequestHandler::serve_admitted(RequestContext& context) {
  if (context.needs_claim()) {
    context.key_claim = {context.model_request.tenant, context.model_request.idempotency_key,
                         context.model_request.body_digest, context.model_request.issued_at_ms, 0};
    const bool granted = co_await idempotency_guard_.acquire_key(context.exchange, context.key_claim);
    if (!granted) {
      co_return;
    }
    context.has_claim = true;
  }
  co_await run_attempts(context);
  stats_.count_outcome(context.outcome);
  stats_.caller_disconnects += context.caller_disconnected ? 1 : 0;
  if (context.has_claim) {
    if (context.stored_body.size() > kMaxStoredResponseBytes) {
      context.stored_body.clear();
      context.stored_type.clear();
    }
    idempotency_guard_.record_outcome(context.key_claim, context.outcome, 200, std::move(context.stored_body),
                                      std::move(context.stored_type));
  }
}

asio::awaitable<void> ModelRequestHandler::run_attempts(RequestContext& context) {
  auto& router = runtime_.controller().entry().router();
  requests::RetryState retries(context.model_request.is_repeatable, runtime_.settings().requests.max_attempts,
                               context.deadline);
  routing::RouteQuery query;
  query.tenant = context.model_request.tenant;
  query.model = context.model_request.model;
  query.adapter = context.model_request.adapter;
  query.prefix_hash = routing::hash_prefix(context.model_request.tenant, context.model_request.prompt);
  AttemptStatus last_attempt;
  std::map<int64_t, TimePoint> failed_until;
  while (!context.caller_disconnected) {
    const TimePoint now = NodeRuntime::now();
    std::erase_if(failed_until, [now](const auto& item) { return item.second <= now; });
    query.excluded_group_ids.clear();
    for (const auto& [id, until] : failed_until) {
      query.excluded_group_ids.insert(id);
    }
    const auto decision = router.route(now, query);
    if (decision.verdict == routing::RouteVerdict::kDispatch) {
      const wire::Group group = *decision.group;
      failed_until[group.id] = now + kFailedGroupPause;
      last_attempt = co_await send_attempt(context, group);
      if (last_attempt.is_finished) {
        co_return;
      }
      log_failed_attempt(runtime_.settings().name,
                         {context.request_id, group.endpoint, last_attempt.result, last_attempt.reason});
      if (!retries.try_start_retry(NodeRuntime::now(), last_attempt.result, context.model_request.tenant,
                                   retry_budget_)) {
        break;
      }
      ++stats_.retries;
      continue;
    }
    const bool may_become_available = decision.verdict == routing::RouteVerdict::kNoGroupAvailable ||
                                      decision.verdict == routing::RouteVerdict::kNoConfigurationLease;
    if (!may_become_available) {
      const bool is_adapter_refused = decision.verdict == routing::RouteVerdict::kAdapterNotPermitted;
      context.outcome = retries.outcome();
      const ProblemDetails problem{
          is_adapter_refused ? 403 : 404,
          is_adapter_refused ? "adapter '" + context.model_request.adapter + "' is not permitted for this tenant"
                             : "model '" + context.model_request.model + "' is not available to this tenant",
          "choose a model from /v1/models, or ask your operator to permit it", 0};
      co_await send_problem(context.exchange, problem, context.reported_outcome());
      co_return;
    }
    if (now >= context.queue_deadline) {
      last_attempt.reason = "no group in a permitted zone is available";
      break;
    }
    asio::steady_timer timer(runtime_.executor(), kGroupPollInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
  context.outcome = retries.outcome();
  co_await send_failure(context, last_attempt);
}

asio::awaitable<ModelRequestHandler::AttemptStatus> ModelRequestHandler::send_attempt(RequestContext& context,
                                                                                      const wire::Group& group) {
  auto& router = runtime_.controller().entry().router();
  const auto& limits = runtime_.settings().requests;
  net::HttpRequest request;
  request.method = "POST";
  request.target = context.model_request.is_chat ? "/v1/chat/completions" : "/v1/completions";
  request.headers.add("Content-Type", "application/json");
  request.headers.add("X-Request-Id", context.request_id);
  request.headers.add("X-Group", std::to_string(group.id));
  request.headers.add("X-Epoch", std::to_string(group.epoch));
  request.headers.add("X-Priority", std::to_string(context.model_request.priority));
  request.headers.add("X-Tenant", context.model_request.tenant);
  if (!context.model_request.adapter.empty()) {
    request.headers.add("X-Adapter", context.model_request.adapter);
  }
  if (!context.model_request.idempotency_key.empty()) {
    request.headers.add("Idempotency-Key", context.model_request.idempotency_key);
  }
  if (context.next_offset > 0) {
    request.headers.add("X-Resume-From", std::to_string(context.next_offset));
    ++stats_.resumed_streams;
  }
  request.body = context.model_request.engine_body;
  // Check again when the connection is established: meanwhile the lease may have expired, or the tenant's permitted
  // zones may have changed.
  net::OpenOptions options;
  options.timeout = limits.first_byte_timeout;
  options.require_new_connection = true;
  options.may_send = [&router, &context, id = group.id, epoch = group.epoch, zone = group.zone] {
    const auto* tenant = router.table().find_tenant(context.model_request.tenant);
    return router.may_dispatch(NodeRuntime::now(), id, epoch) && tenant != nullptr && tenant->permits_zone(zone) &&
           !context.caller_disconnected;
  };
  router.record_dispatch(group.id);
  auto opened = co_await runtime_.client().open(group.endpoint, request, options);
  AttemptStatus result;
  if (opened.stream == nullptr) {
    router.record_completion(group.id);
    result.result = opened.state == net::SendState::kNotSent ? AttemptResult::kNotSent : AttemptResult::kLostAfterSend;
    result.reason = opened.error;
    co_return result;
  }
  const auto& head = opened.stream->head();
  const bool is_same_request = head.headers.find("x-request-id") == context.request_id;
  if (head.status != 200 || !is_same_request) {
    router.record_completion(group.id);
    const bool was_not_started = head.status != 200 && head.headers.find("x-engine-started") == "no";
    stats_.wrong_or_misordered_responses += head.status == 200 ? 1 : 0;
    result.result = was_not_started ? AttemptResult::kRefusedUnstarted : AttemptResult::kLostAfterSend;
    result.reason = "the engine answered " + std::to_string(head.status);
    co_return result;
  }
  // The engine has accepted the request under our id; from here on it counts as run, at least in part.
  context.outcome = Outcome::kRan;
  context.upstream_stream = opened.stream.get();
  result = co_await relay_stream(context, *opened.stream);
  context.upstream_stream = nullptr;
  router.record_completion(group.id);
  co_return result;
}

asio::awaitable<ModelRequestHandler::AttemptStatus> ModelRequestHandler::relay_stream(RequestContext& context,
                                                                                      net::ClientStream& stream) {
  const auto& limits = runtime_.settings().requests;
  requests::StreamVerifier verifier(context.request_id, context.next_offset);
  const bool collects_events = !context.model_request.is_streaming || context.has_claim;
  AttemptStatus result;
  result.result = AttemptResult::kCutInStream;
  while (true) {
    std::string piece = co_await stream.read_some(limits.inter_byte_timeout);
    std::string events = verifier.feed(piece);
    context.next_offset = verifier.next_offset();
    if (!events.empty()) {
      if (collects_events) {
        context.verified_events += events;
      }
      const bool is_connected = co_await forward_events(context, events);
      context.caller_disconnected = context.caller_disconnected || !is_connected;
    }
    if (verifier.status() == requests::StreamStatus::kDone) {
      context.is_complete = true;
      result.is_finished = true;
      co_await finish_response(context);
      co_return result;
    }
    if (verifier.status() != requests::StreamStatus::kOpen) {
      ++stats_.wrong_or_misordered_responses;
      result.reason = "the engine's stream is out of order or belongs to another request";
      stream.close();
      co_return result;
    }
    if (context.caller_disconnected) {
      // Closing the connection cancels the request at the engine.
      stream.close();
      result.is_finished = true;
      co_return result;
    }
    if (piece.empty()) {
      result.reason = "the engine's stream was truncated: " + stream.error();
      co_return result;
    }
  }
}

asio::awaitable<bool> ModelRequestHandler::forward_events(RequestContext& context, const std::string& events) {
  stats_.relayed_event_bytes += events.size();
  if (!context.model_request.is_streaming) {
    co_return true;
  }
  if (!context.stream_started) {
    net::HttpResponse head;
    head.headers.add("Content-Type", std::string(kEventStream));
    head.headers.add("Cache-Control", "no-cache");
    head.headers.add("Larchlever-Outcome", "ran");
    context.stream_started = true;
    co_await context.exchange.begin_stream(head);
  }
  const bool is_connected = co_await context.exchange.write_piece(events);
  co_return is_connected;
}

asio::awaitable<void> ModelRequestHandler::finish_response(RequestContext& context) {
  if (context.model_request.is_streaming) {
    context.stored_body = context.has_claim ? std::move(context.verified_events) : std::string();
    context.stored_type = std::string(kEventStream);
    co_await context.exchange.end_stream();
    co_return;
  }
  const std::string text = extract_text(context.verified_events);
  json::object choice;
  choice["index"] = 0;
  choice["finish_reason"] = "stop";
  if (context.model_request.is_chat) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  response.headers.add("Larchlever-Outcome", "ran");
  response.body =
      json::serialize(json::object{{"id", context.request_id},
                                   {"object", context.model_request.is_chat ? "chat.completion" : "text_completion"},
                                   {"model", context.model_request.model},
                                   {"choices", json::array{choice}}});
  if (context.has_claim) {
    context.stored_body = response.body;
    context.stored_type = "application/json";
  }
  co_await context.exchange.respond(std::move(response));
}

asio::awaitable<void> ModelRequestHandler::send_failure(RequestContext& context, const AttemptStatus& last_attempt) {
  if (context.caller_disconnected) {
    co_return;
  }
  log_event(runtime_.settings().name, "request_given_up",
            {{"request", context.request_id},
             {"outcome", std::string(requests::to_string(context.reported_outcome()))},
             {"held_ms", std::to_string((NodeRuntime::now() - context.started) / milliseconds(1))},
             {"reason", last_attempt.reason}});
  const bool not_run = context.outcome == Outcome::kNotRun;
  ProblemDetails problem{not_run ? 503 : 502,
                         not_run ? "no group accepted the request: " + last_attempt.reason : last_attempt.reason,
                         not_run ? "retry later; the request did not run"
                                 : "check whether it ran before retrying, or use an Idempotency-Key",
                         not_run ? kRetryAfterSeconds : 0};
  if (context.stream_started) {
    ++stats_.truncated_streams;
    // Part of the response has been sent. Report the error as an event, and leave the stream without its regular end.
    const std::string event =
        "event: error\ndata: " + json::serialize(to_problem_json(problem, Outcome::kUnknown)) + "\n\n";
    co_await context.exchange.write_piece(event);
    co_return;
  }
  co_await send_problem(context.exchange, problem, context.reported_outcome());
}

}  // namespace larchlever::node
