#include "node/request_front.h"

#include <boost/json.hpp>

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
constexpr int kRetryAfterSeconds = 1;
constexpr size_t kLargestStoredAnswer = 64U << 10U;
constexpr size_t kLargestWholeAnswer = 1U << 20U;
constexpr std::string_view kEventStream = "text/event-stream";

json::object problem_object(const Problem& problem, Outcome outcome) {
  json::object body;
  body["type"] = "about:blank";
  body["status"] = problem.status;
  body["title"] = problem.title;
  body["remedy"] = problem.remedy;
  body["outcome"] = std::string(requests::to_string(outcome));
  return body;
}

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

Problem no_configuration_problem() {
  return {503, "this node may not dispatch now: it cannot confirm its configuration",
          "send the request again; the balancer will choose another node", kRetryAfterSeconds};
}

bool is_read_only(const std::string& method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

}  // namespace

/// One model request on its way through the node.
struct RequestFront::Call {
  Call(net::HttpExchange& given, ModelCall parsed, TimePoint started_at)
      : exchange(given), model(std::move(parsed)), started(started_at) {}

  net::HttpExchange& exchange;
  ModelCall model;
  TimePoint started;
  TimePoint deadline{};
  TimePoint queue_deadline{};
  std::string request_id;
  int64_t nonce = 0;
  bool claimed = false;
  bool caller_gone = false;
  bool stream_begun = false;
  bool whole = false;
  bool answered = false;
  int64_t next_offset = 0;
  std::string events;       ///< Verified events gathered for a caller that wants one answer, or to store under the key.
  std::string stored_body;  ///< The whole answer as sent, to be kept under the caller's key.
  std::string stored_type;
  Outcome outcome = Outcome::kNotRun;
  net::ClientStream* upstream = nullptr;
};

RequestFront::RequestFront(NodeRuntime& runtime)
    : runtime_(runtime), retry_budget_(runtime.settings().requests.retry_budget_percent) {}

bool RequestFront::ready() const {
  return ready_ && runtime_.controller().entry().has_configuration_lease(NodeRuntime::now());
}

void RequestFront::count(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      ++stats_.ran;
      break;
    case Outcome::kNotRun:
      ++stats_.not_run;
      break;
    case Outcome::kUnknown:
      ++stats_.unknown;
      break;
  }
}

asio::awaitable<void> RequestFront::send_problem(net::HttpExchange& exchange, const Problem& problem, Outcome outcome) {
  net::HttpResponse response;
  response.status = problem.status;
  response.headers.add("Content-Type", "application/problem+json");
  response.headers.add("Larchlever-Outcome", std::string(requests::to_string(outcome)));
  if (problem.retry_after_seconds > 0) {
    response.headers.add("Retry-After", std::to_string(problem.retry_after_seconds));
  }
  response.body = json::serialize(problem_object(problem, outcome));
  co_await exchange.respond(std::move(response));
}

asio::awaitable<void> RequestFront::handle(net::HttpExchange& exchange) {
  const auto path = exchange.request().path();
  if (path == "/healthz" || path == "/readyz") {
    net::HttpResponse response;
    response.status = path == "/healthz" || ready() ? 200 : 503;
    response.headers.add("Content-Type", "text/plain");
    response.body = response.status == 200 ? "ok\n" : "not ready\n";
    co_await exchange.respond(std::move(response));
    co_return;
  }
  ++active_;
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await handle_model(exchange);
  } else if (path == "/v1/models") {
    co_await list_models(exchange);
  } else {
    co_await handle_service(exchange);
  }
  --active_;
}

asio::awaitable<void> RequestFront::list_models(net::HttpExchange& exchange) {
  json::array models;
  for (const auto& model : runtime_.controller().entry().router().table().models()) {
    models.push_back(json::object{{"id", model}, {"object", "model"}});
  }
  net::HttpResponse response;
  response.headers.add("Content-Type", "application/json");
  response.body = json::serialize(json::object{{"object", "list"}, {"data", models}});
  co_await exchange.respond(std::move(response));
}

// ------------------------------------------------------------ model requests

asio::awaitable<void> RequestFront::handle_model(net::HttpExchange& exchange) {
  ++stats_.model_requests;
  auto& entry = runtime_.controller().entry();
  const auto& limits = runtime_.settings().requests;
  Problem problem;
  if (exchange.request().method != "POST") {
    count(Outcome::kNotRun);
    problem = {405, "method not allowed", "use POST", 0};
    co_await send_problem(exchange, problem, Outcome::kNotRun);
    co_return;
  }
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    count(Outcome::kNotRun);
    problem = no_configuration_problem();
    co_await send_problem(exchange, problem, Outcome::kNotRun);
    co_return;
  }
  auto parsed = parse_model_call(exchange.request(), entry.router().table(), problem);
  if (!parsed) {
    count(Outcome::kNotRun);
    co_await send_problem(exchange, problem, Outcome::kNotRun);
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
    count(Outcome::kNotRun);
    if (admitted != NodeRuntime::Admission::kCallerGone) {
      const bool full = admitted == NodeRuntime::Admission::kQueueFull;
      problem = {429, full ? "too many requests wait for this tenant" : "the tenant's share is in use",
                 "send the request again later", kRetryAfterSeconds};
      co_await send_problem(exchange, problem, Outcome::kNotRun);
    }
    co_return;
  }
  const TimePoint served = NodeRuntime::now();
  co_await serve_model(*call);
  runtime_.leave(call->model.tenant, NodeRuntime::now() - served);
}

asio::awaitable<void> RequestFront::serve_model(Call& call) {
  const bool needs_claim = !call.model.safe && !call.model.key.empty();
  if (needs_claim) {
    const bool granted = co_await take_claim(call.exchange, call.model.tenant, call.model.key, call.model.body_digest,
                                             call.model.issued_at_ms, call.nonce);
    if (!granted) {
      co_return;
    }
    call.claimed = true;
  }
  co_await run_attempts(call);
  count(call.outcome);
  stats_.callers_gone += call.caller_gone ? 1 : 0;
  if (call.claimed) {
    if (call.stored_body.size() > kLargestStoredAnswer) {
      call.stored_body.clear();
      call.stored_type.clear();
    }
    resolve_claim(call.model.tenant, call.model.key, call.nonce, call.outcome, 200, std::move(call.stored_body),
                  std::move(call.stored_type));
  }
}

asio::awaitable<void> RequestFront::run_attempts(Call& call) {
  auto& router = runtime_.controller().entry().router();
  requests::RetryState retries(call.model.safe, runtime_.settings().requests.most_attempts, call.deadline);
  routing::RouteQuery query;
  query.tenant = call.model.tenant;
  query.model = call.model.model;
  query.adapter = call.model.adapter;
  query.prefix_hash = routing::hash_prefix(call.model.tenant, call.model.prompt);
  Attempt last;
  while (!call.caller_gone) {
    const TimePoint now = NodeRuntime::now();
    const auto decision = router.route(now, query);
    if (decision.verdict == routing::RouteVerdict::kDispatch) {
      const wire::Group group = *decision.group;
      query.excluded.insert(group.id);
      last = co_await attempt(call, group);
      if (last.answered) {
        co_return;
      }
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
      co_await send_problem(call.exchange, problem, call.outcome);
      co_return;
    }
    if (now >= call.queue_deadline) {
      last.reason = "no group in a permitted zone is open";
      break;
    }
    // Groups that failed once may be tried again after a pause.
    query.excluded.clear();
    asio::steady_timer timer(runtime_.executor(), kGroupPoll);
    co_await timer.async_wait(kAwait);
  }
  call.outcome = retries.outcome();
  co_await give_up(call, last);
}

asio::awaitable<RequestFront::Attempt> RequestFront::attempt(Call& call, const wire::Group& group) {
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

asio::awaitable<RequestFront::Attempt> RequestFront::relay(Call& call, net::ClientStream& stream) {
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
      stats_.events_relayed_bytes += events.size();
      if (gather) {
        call.events += events;
      }
      if (call.model.stream) {
        if (!call.stream_begun) {
          net::HttpResponse head;
          head.headers.add("Content-Type", std::string(kEventStream));
          head.headers.add("Cache-Control", "no-cache");
          head.headers.add("Larchlever-Outcome", "ran");
          call.stream_begun = true;
          co_await call.exchange.begin_stream(head);
        }
        const bool open = co_await call.exchange.write_piece(events);
        if (!open) {
          call.caller_gone = true;
        }
      }
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

asio::awaitable<void> RequestFront::finish_stream(Call& call) {
  call.answered = true;
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

asio::awaitable<void> RequestFront::give_up(Call& call, const Attempt& last) {
  call.answered = true;
  if (call.caller_gone) {
    co_return;
  }
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
  co_await send_problem(call.exchange, problem, call.outcome);
}

// -------------------------------------------------------------------- claims

asio::awaitable<bool> RequestFront::take_claim(net::HttpExchange& exchange, const std::string& tenant,
                                               const std::string& key, int64_t digest, int64_t issued_at_ms,
                                               int64_t& nonce) {
  wire::Claim claim;
  claim.tenant = tenant;
  claim.key = key;
  claim.body_digest = digest;
  claim.claimed_at_ms = issued_at_ms;
  const TimePoint deadline = NodeRuntime::now() + runtime_.settings().requests.claim_timeout;
  const ClaimOutcome outcome = co_await runtime_.claim(std::move(claim), deadline);
  nonce = outcome.request_id;
  if (outcome.granted) {
    ++stats_.claims_granted;
    co_return true;
  }
  ++stats_.claims_refused;
  if (!outcome.decided) {
    // The claim may still be committed later; this bars it, so that a later resend is not taken for a double.
    resolve_claim(tenant, key, nonce, Outcome::kNotRun, 0, "", "");
  }
  co_await answer_standing(exchange, outcome, digest);
  co_return false;
}

asio::awaitable<void> RequestFront::answer_standing(net::HttpExchange& exchange, const ClaimOutcome& outcome,
                                                    int64_t digest) {
  const auto& standing = outcome.standing;
  Problem problem;
  Outcome told = Outcome::kNotRun;
  if (!outcome.decided) {
    problem = {503, "no quorum could be asked whether this key was used", "send the request again with the same key",
               kRetryAfterSeconds};
  } else if (outcome.expired_key) {
    problem = {410, "the key was issued before the window in which keys are remembered",
               "find out whether the request ran; then use a new key", 0};
  } else if (standing.body_digest != digest) {
    problem = {422, "the key was used for another request", "use a new key for a new request", 0};
  } else if (standing.state == wire::ClaimState::RAN && !standing.answer_content_type.empty()) {
    ++stats_.answers_replayed;
    net::HttpResponse response;
    response.status = standing.answer_status;
    response.headers.add("Content-Type", standing.answer_content_type);
    response.headers.add("Larchlever-Outcome", "ran");
    response.headers.add("Larchlever-Replayed", "true");
    response.body = standing.answer_body;
    count(Outcome::kRan);
    co_await exchange.respond(std::move(response));
    co_return;
  } else if (standing.state == wire::ClaimState::RAN) {
    told = Outcome::kRan;
    problem = {409, "the request ran; its answer is no longer held", "do not send it again", 0};
  } else if (standing.state == wire::ClaimState::IN_PROGRESS) {
    told = Outcome::kUnknown;
    problem = {409, "a request with this key is in progress", "ask again with the same key", kRetryAfterSeconds};
  } else {
    told = Outcome::kUnknown;
    problem = {409, "a request with this key was started and its outcome is not known",
               "find out whether it ran before using a new key", 0};
  }
  count(told);
  co_await send_problem(exchange, problem, told);
}

void RequestFront::resolve_claim(const std::string& tenant, const std::string& key, int64_t nonce, Outcome outcome,
                                 int status, std::string body, std::string content_type) {
  wire::ClaimResolution resolution;
  resolution.tenant = tenant;
  resolution.key = key;
  resolution.nonce = nonce;
  resolution.state = outcome == Outcome::kRan      ? wire::ClaimState::RAN
                     : outcome == Outcome::kNotRun ? wire::ClaimState::NOT_RUN
                                                   : wire::ClaimState::UNKNOWN;
  resolution.answer_status = status;
  resolution.answer_body = std::move(body);
  resolution.answer_content_type = std::move(content_type);
  runtime_.resolve(std::move(resolution));
}

// ------------------------------------------------------------ plain services

asio::awaitable<void> RequestFront::handle_service(net::HttpExchange& exchange) {
  ++stats_.service_requests;
  auto& entry = runtime_.controller().entry();
  const auto& limits = runtime_.settings().requests;
  const auto& request = exchange.request();
  Problem problem;
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    count(Outcome::kNotRun);
    problem = no_configuration_problem();
    co_await send_problem(exchange, problem, Outcome::kNotRun);
    co_return;
  }
  const auto* found = entry.router().table().find_service(request.path());
  if (found == nullptr) {
    count(Outcome::kNotRun);
    problem = {404, "no service at this path", "check the path", 0};
    co_await send_problem(exchange, problem, Outcome::kNotRun);
    co_return;
  }
  const wire::Service service = *found;
  const std::string tenant = "service/" + service.name;
  const bool safe = repeat_header(request).value_or(is_read_only(request.method));
  const std::string key(request.headers.find("idempotency-key"));
  int64_t nonce = 0;
  const bool claimed = !safe && !key.empty();
  if (claimed) {
    const int64_t digest = digest_of(request.method + " " + request.target + "\n" + request.body);
    const bool granted = co_await take_claim(exchange, tenant, key, digest, 0, nonce);
    if (!granted) {
      co_return;
    }
  }
  retry_budget_.request_started(tenant);
  requests::RetryState retries(safe, limits.most_attempts, NodeRuntime::now() + limits.request_timeout);
  net::HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = request.body;
  for (const auto& [name, value] : request.headers.all()) {
    if (!net::is_hop_by_hop(name, request.headers) && !net::equals_ignoring_case(name, "content-length")) {
      forwarded.headers.add(name, value);
    }
  }
  net::OpenOptions options;
  options.timeout = limits.first_byte_timeout;
  options.fresh_connection = !safe;
  options.may_send = [&entry] { return entry.has_configuration_lease(NodeRuntime::now()); };
  std::set<std::string> tried;
  std::string reason = "no endpoint of the service can be used";
  Outcome outcome = Outcome::kNotRun;
  std::string stored;
  std::string stored_type;
  int stored_status = 0;
  bool answered = false;
  while (!answered) {
    const std::string endpoint = runtime_.endpoints().pick(NodeRuntime::now(), service.name, service.endpoints, tried);
    if (endpoint.empty()) {
      break;
    }
    tried.insert(endpoint);
    auto opened = co_await runtime_.client().open(endpoint, forwarded, options);
    AttemptResult result =
        opened.state == net::SendState::kNotSent ? AttemptResult::kNotSent : AttemptResult::kLostAfterSend;
    if (opened.stream != nullptr) {
      outcome = Outcome::kRan;
      net::HttpResponse response = opened.stream->head();
      const std::string length(response.headers.find("content-length"));
      const bool small = !length.empty() && std::stoull(length) <= kLargestWholeAnswer;
      response.headers.set("Larchlever-Outcome", "ran");
      bool open = true;
      if (!small) {
        answered = true;
        open = co_await exchange.begin_stream(response);
      }
      while (open) {
        std::string piece = co_await opened.stream->read_some(limits.between_bytes_timeout);
        if (piece.empty()) {
          break;
        }
        if (small) {
          response.body += piece;
        } else {
          open = co_await exchange.write_piece(piece);
        }
      }
      if (opened.stream->complete()) {
        runtime_.endpoints().report(NodeRuntime::now(), endpoint, response.status < 500);
        if (small && claimed && response.body.size() <= kLargestStoredAnswer) {
          stored = response.body;
          stored_type = std::string(response.headers.find("content-type"));
          stored_status = response.status;
        }
        if (small) {
          co_await exchange.respond(std::move(response));
        } else {
          co_await exchange.end_stream();
        }
        answered = true;
        break;
      }
      result = AttemptResult::kCutInStream;
      reason = "the answer broke off";
    } else {
      reason = opened.error;
    }
    runtime_.endpoints().report(NodeRuntime::now(), endpoint, false);
    if (answered || !retries.may_retry(NodeRuntime::now(), result, tenant, retry_budget_)) {
      outcome = retries.outcome();
      if (answered) {
        outcome = Outcome::kUnknown;
        ++stats_.cut_streams;
      }
      break;
    }
    ++stats_.retries;
  }
  count(outcome);
  if (claimed) {
    resolve_claim(tenant, key, nonce, outcome, stored_status, std::move(stored), std::move(stored_type));
  }
  if (!answered) {
    const bool not_run = outcome == Outcome::kNotRun;
    problem = {
        not_run ? 503 : 502, reason,
        not_run ? "send the request again later; it did not run" : "check whether it ran before sending it again",
        not_run ? kRetryAfterSeconds : 0};
    co_await send_problem(exchange, problem, outcome);
  }
}

}  // namespace larchlever::node
