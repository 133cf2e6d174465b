#include "node/problem_responses.h"

#include "core/requests/retry_after.h"
#include "node/logging.h"
#include "node/outcome_header.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;
using requests::Outcome;

void RequestStats::count_outcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      ++ran_outcomes;
      break;
    case Outcome::kNotRun:
      ++not_run_outcomes;
      break;
    case Outcome::kUnknown:
      ++unknown_outcomes;
      break;
  }
}

json::object to_problem_json(const ProblemDetails& problem, Outcome outcome) {
  json::object body;
  body["type"] = "about:blank";
  body["status"] = problem.status;
  body["title"] = problem.title;
  body["remedy"] = problem.remedy;
  body["outcome"] = std::string(requests::to_string(outcome));
  return body;
}

void log_failed_attempt(const std::string& node, const FailedAttempt& attempt) {
  log_event(node, "attempt_failed",
            {{"request", attempt.request},
             {"target", attempt.target},
             {"result", std::string(requests::to_string(attempt.result))},
             {"reason", attempt.reason}});
}

ProblemDetails unconfirmed_configuration_problem() {
  return {503, "this node may not dispatch now: it cannot confirm its configuration",
          "retry; the load balancer will choose another node", kRetryAfterSeconds};
}

ProblemDetails shutting_down_problem() {
  return {503, "this node is shutting down", "send the request again on a new connection, which reaches another node",
          0};
}

asio::awaitable<void> send_problem(net::HttpExchange& exchange, const ProblemDetails& problem, Outcome attempt) {
  const Outcome outcome = outcome_for_caller(exchange.request(), attempt);
  net::HttpResponse response;
  response.status = problem.status;
  response.headers.add("Content-Type", "application/problem+json");
  response.headers.add("Larchlever-Outcome", std::string(requests::to_string(outcome)));
  if (problem.retry_after_seconds > 0) {
    response.headers.add("Retry-After", requests::format_retry_after(seconds(problem.retry_after_seconds)));
  }
  response.body = json::serialize(to_problem_json(problem, outcome));
  co_await exchange.respond(std::move(response));
}

Outcome outcome_without_claim(const net::HttpRequest& request, Outcome attempt) {
  const bool is_keyed = request.headers.contains("idempotency-key");
  return is_keyed && attempt == Outcome::kNotRun ? Outcome::kUnknown : attempt;
}

asio::awaitable<void> refuse_without_claim(net::HttpExchange& exchange, const ProblemDetails& problem,
                                           RequestStats& stats) {
  const Outcome outcome = outcome_without_claim(exchange.request(), Outcome::kNotRun);
  stats.count_outcome(outcome);
  co_await send_problem(exchange, problem, outcome);
}

}  // namespace larchlever::node
