#include "node/service_request_handler.h"

#include "node/model_request.h"

namespace larchlever::node {

namespace asio = boost::asio;
using requests::AttemptResult;
using requests::Outcome;

namespace {

constexpr size_t kMaxStoredResponseBytes = 64U << 10U;
/// Responses up to this size are read completely before they are relayed, so that a safe request can be retried if its
/// response is truncated.
constexpr size_t kMaxBufferedResponseBytes = 1U << 20U;

bool is_read_only(const std::string& method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

net::HttpRequest without_hop_by_hop(const net::HttpRequest& request) {
  net::HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = request.body;
  for (const auto& [name, value] : request.headers.all()) {
    if (!net::is_hop_by_hop(name, request.headers) && !net::equals_ignoring_case(name, "content-length")) {
      forwarded.headers.add(name, value);
    }
  }
  return forwarded;
}

bool is_small(const net::HttpResponse& head) {
  const std::string length(head.headers.find("content-length"));
  return !length.empty() && std::strtoull(length.c_str(), nullptr, 10) <= kMaxBufferedResponseBytes;
}

}  // namespace

/// State of one request to a plain service while it is served.
struct ServiceRequestHandler::RequestContext {
  explicit RequestContext(net::HttpExchange& http_exchange) : exchange(http_exchange) {}

  net::HttpExchange& exchange;
  wire::Service service;
  net::HttpRequest forwarded;
  net::OpenOptions options;
  bool is_repeatable = false;
  bool has_claim = false;
  IdempotencyGuard::KeyClaim key_claim;
  bool response_started = false;  ///< Part of the response may have reached the caller.
  bool is_finished = false;       ///< The complete response was sent.
  Outcome outcome = Outcome::kNotRun;
  std::string reason = "no endpoint of the service is available";
  net::HttpResponse stored_response;
};

asio::awaitable<void> ServiceRequestHandler::handle(net::HttpExchange& exchange) {
  ++stats_.service_requests;
  auto& entry = runtime_.controller().entry();
  const auto& request = exchange.request();
  ProblemDetails problem;
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    problem = unconfirmed_configuration_problem();
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  const auto* service = entry.router().table().find_service(request.path());
  if (service == nullptr) {
    problem = {404, "no service at this path", "check the path", 0};
    co_await refuse_without_claim(exchange, problem, stats_);
    co_return;
  }
  RequestContext context(exchange);
  context.service = *service;
  context.is_repeatable = parse_repeat_header(request).value_or(is_read_only(request.method));
  context.forwarded = without_hop_by_hop(request);
  context.options.timeout = runtime_.settings().requests.first_byte_timeout;
  context.options.require_new_connection = !context.is_repeatable;
  context.options.may_send = [&entry] { return entry.has_configuration_lease(NodeRuntime::now()); };
  context.key_claim.tenant = "service/" + context.service.name;
  context.key_claim.key = std::string(request.headers.find("idempotency-key"));
  context.key_claim.body_digest = hash_body(request.method + " " + request.target + "\n" + request.body);
  if (!context.is_repeatable && !context.key_claim.key.empty()) {
    context.has_claim = co_await idempotency_guard_.acquire_key(exchange, context.key_claim);
    if (!context.has_claim) {
      co_return;
    }
  }
  retry_budget_.record_request(context.key_claim.tenant);
  co_await run_attempts(context);
  stats_.count_outcome(context.outcome);
  if (context.has_claim) {
    const std::string type(context.stored_response.headers.find("content-type"));
    idempotency_guard_.record_outcome(context.key_claim, context.outcome, context.stored_response.status,
                                      std::move(context.stored_response.body), type);
  }
  if (!context.is_finished && !context.response_started) {
    const bool not_run = context.outcome == Outcome::kNotRun;
    problem = {not_run ? 503 : 502, context.reason,
               not_run ? "retry later; the request did not run" : "check whether it ran before retrying",
               not_run ? kRetryAfterSeconds : 0};
    const Outcome reported_outcome =
        context.has_claim ? context.outcome : outcome_without_claim(exchange.request(), context.outcome);
    co_await send_problem(exchange, problem, reported_outcome);
  }
}

asio::awaitable<void> ServiceRequestHandler::run_attempts(RequestContext& context) {
  const auto& limits = runtime_.settings().requests;
  requests::RetryState retries(context.is_repeatable, limits.max_attempts, NodeRuntime::now() + limits.request_timeout);
  std::set<std::string> tried;
  while (true) {
    const std::string endpoint =
        runtime_.endpoints().pick(NodeRuntime::now(), context.service.name, context.service.endpoints, tried);
    if (endpoint.empty()) {
      context.outcome = retries.outcome();
      co_return;
    }
    tried.insert(endpoint);
    const AttemptResult result = co_await send_attempt(context, endpoint);
    if (context.is_finished) {
      context.outcome = Outcome::kRan;
      co_return;
    }
    runtime_.endpoints().report_result(NodeRuntime::now(), endpoint, false);
    log_failed_attempt(runtime_.settings().name, {"", endpoint, result, context.reason});
    const bool may_retry_request =
        retries.try_start_retry(NodeRuntime::now(), result, context.key_claim.tenant, retry_budget_);
    context.outcome = retries.outcome();
    if (context.response_started || !may_retry_request) {
      stats_.truncated_streams += context.response_started ? 1 : 0;
      co_return;
    }
    ++stats_.retries;
  }
}

asio::awaitable<AttemptResult> ServiceRequestHandler::send_attempt(RequestContext& context,
                                                                   const std::string& endpoint) {
  auto opened = co_await runtime_.client().open(endpoint, context.forwarded, context.options);
  if (opened.stream == nullptr) {
    context.reason = opened.error;
    co_return opened.state == net::SendState::kNotSent ? AttemptResult::kNotSent : AttemptResult::kLostAfterSend;
  }
  const bool is_complete = co_await relay_response(context, *opened.stream);
  if (is_complete) {
    runtime_.endpoints().report_result(NodeRuntime::now(), endpoint, opened.stream->head().status < 500);
    context.is_finished = true;
  } else {
    context.reason = "the response was truncated";
  }
  co_return AttemptResult::kCutInStream;
}

asio::awaitable<bool> ServiceRequestHandler::relay_response(RequestContext& context, net::ClientStream& stream) {
  const auto timeout = runtime_.settings().requests.inter_byte_timeout;
  net::HttpResponse response = stream.head();
  response.headers.set("Larchlever-Outcome", "ran");
  const bool is_buffered = is_small(response);
  bool is_connected = true;
  if (!is_buffered) {
    context.response_started = true;
    is_connected = co_await context.exchange.begin_stream(response);
  }
  while (is_connected) {
    std::string piece = co_await stream.read_some(timeout);
    if (piece.empty()) {
      break;
    }
    if (is_buffered) {
      response.body += piece;
    } else {
      is_connected = co_await context.exchange.write_piece(piece);
    }
  }
  if (!stream.complete()) {
    co_return false;
  }
  if (!is_buffered) {
    co_await context.exchange.end_stream();
    co_return true;
  }
  if (context.has_claim && response.body.size() <= kMaxStoredResponseBytes) {
    context.stored_response = response;
  }
  co_await context.exchange.respond(std::move(response));
  co_return true;
}

}  // namespace larchlever::node
