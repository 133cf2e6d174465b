#include "node/service_front.h"

#include "node/model_call.h"

namespace larchlever::node {

namespace asio = boost::asio;
using requests::AttemptResult;
using requests::Outcome;

namespace {

constexpr size_t kLargestStoredAnswer = 64U << 10U;
/// Answers up to this size are read whole before they are passed on, so that a safe request whose answer broke off can
/// still be tried elsewhere.
constexpr size_t kLargestWholeAnswer = 1U << 20U;

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
  return !length.empty() && std::strtoull(length.c_str(), nullptr, 10) <= kLargestWholeAnswer;
}

}  // namespace

/// One request to a plain service on its way through the node.
struct ServiceFront::Call {
  explicit Call(net::HttpExchange& given) : exchange(given) {}

  net::HttpExchange& exchange;
  wire::Service service;
  net::HttpRequest forwarded;
  net::OpenOptions options;
  bool safe = false;
  bool claimed = false;
  ClaimGate::Ticket ticket;
  bool begun = false;     ///< Part of the answer may be with the caller.
  bool answered = false;  ///< The answer went out whole.
  Outcome outcome = Outcome::kNotRun;
  std::string reason = "no endpoint of the service can be used";
  net::HttpResponse stored;
};

asio::awaitable<void> ServiceFront::handle(net::HttpExchange& exchange) {
  ++stats_.service_requests;
  auto& entry = runtime_.controller().entry();
  const auto& request = exchange.request();
  Problem problem;
  if (!entry.has_configuration_lease(NodeRuntime::now())) {
    problem = no_configuration_problem();
    co_await refuse_unclaimed(exchange, problem, stats_);
    co_return;
  }
  const auto* service = entry.router().table().find_service(request.path());
  if (service == nullptr) {
    problem = {404, "no service at this path", "check the path", 0};
    co_await refuse_unclaimed(exchange, problem, stats_);
    co_return;
  }
  Call call(exchange);
  call.service = *service;
  call.safe = repeat_header(request).value_or(is_read_only(request.method));
  call.forwarded = without_hop_by_hop(request);
  call.options.timeout = runtime_.settings().requests.first_byte_timeout;
  call.options.fresh_connection = !call.safe;
  call.options.may_send = [&entry] { return entry.has_configuration_lease(NodeRuntime::now()); };
  call.ticket.tenant = "service/" + call.service.name;
  call.ticket.key = std::string(request.headers.find("idempotency-key"));
  call.ticket.body_digest = digest_of(request.method + " " + request.target + "\n" + request.body);
  if (!call.safe && !call.ticket.key.empty()) {
    call.claimed = co_await claims_.take(exchange, call.ticket);
    if (!call.claimed) {
      co_return;
    }
  }
  retry_budget_.request_started(call.ticket.tenant);
  co_await run_attempts(call);
  stats_.count(call.outcome);
  if (call.claimed) {
    const std::string type(call.stored.headers.find("content-type"));
    claims_.resolve(call.ticket, call.outcome, call.stored.status, std::move(call.stored.body), type);
  }
  if (!call.answered && !call.begun) {
    const bool not_run = call.outcome == Outcome::kNotRun;
    problem = {
        not_run ? 503 : 502, call.reason,
        not_run ? "send the request again later; it did not run" : "check whether it ran before sending it again",
        not_run ? kRetryAfterSeconds : 0};
    const Outcome known = call.claimed ? call.outcome : unclaimed_outcome(exchange.request(), call.outcome);
    co_await send_problem(exchange, problem, known);
  }
}

asio::awaitable<void> ServiceFront::run_attempts(Call& call) {
  const auto& limits = runtime_.settings().requests;
  requests::RetryState retries(call.safe, limits.most_attempts, NodeRuntime::now() + limits.request_timeout);
  std::set<std::string> tried;
  while (true) {
    const std::string endpoint =
        runtime_.endpoints().pick(NodeRuntime::now(), call.service.name, call.service.endpoints, tried);
    if (endpoint.empty()) {
      call.outcome = retries.outcome();
      co_return;
    }
    tried.insert(endpoint);
    const AttemptResult result = co_await attempt(call, endpoint);
    if (call.answered) {
      call.outcome = Outcome::kRan;
      co_return;
    }
    runtime_.endpoints().report(NodeRuntime::now(), endpoint, false);
    log_failed_attempt(runtime_.settings().name, {"", endpoint, result, call.reason});
    const bool again = retries.may_retry(NodeRuntime::now(), result, call.ticket.tenant, retry_budget_);
    call.outcome = retries.outcome();
    if (call.begun || !again) {
      stats_.cut_streams += call.begun ? 1 : 0;
      co_return;
    }
    ++stats_.retries;
  }
}

asio::awaitable<AttemptResult> ServiceFront::attempt(Call& call, const std::string& endpoint) {
  auto opened = co_await runtime_.client().open(endpoint, call.forwarded, call.options);
  if (opened.stream == nullptr) {
    call.reason = opened.error;
    co_return opened.state == net::SendState::kNotSent ? AttemptResult::kNotSent : AttemptResult::kLostAfterSend;
  }
  const bool whole = co_await relay(call, *opened.stream);
  if (whole) {
    runtime_.endpoints().report(NodeRuntime::now(), endpoint, opened.stream->head().status < 500);
    call.answered = true;
  } else {
    call.reason = "the answer broke off";
  }
  co_return AttemptResult::kCutInStream;
}

asio::awaitable<bool> ServiceFront::relay(Call& call, net::ClientStream& stream) {
  const auto timeout = runtime_.settings().requests.between_bytes_timeout;
  net::HttpResponse response = stream.head();
  response.headers.set("Larchlever-Outcome", "ran");
  const bool small = is_small(response);
  bool open = true;
  if (!small) {
    call.begun = true;
    open = co_await call.exchange.begin_stream(response);
  }
  while (open) {
    std::string piece = co_await stream.read_some(timeout);
    if (piece.empty()) {
      break;
    }
    if (small) {
      response.body += piece;
    } else {
      open = co_await call.exchange.write_piece(piece);
    }
  }
  if (!stream.complete()) {
    co_return false;
  }
  if (!small) {
    co_await call.exchange.end_stream();
    co_return true;
  }
  if (call.claimed && response.body.size() <= kLargestStoredAnswer) {
    call.stored = response;
  }
  co_await call.exchange.respond(std::move(response));
  co_return true;
}

}  // namespace larchlever::node
