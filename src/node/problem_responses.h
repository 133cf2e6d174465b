#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/requests/outcome.h"
#include "core/requests/retry_state.h"
#include "net/http_server.h"

namespace larchlever::node {

/// Request counters, shared by the handlers of callers' requests.
struct RequestStats {
  uint64_t model_requests = 0;
  uint64_t service_requests = 0;
  uint64_t ran_outcomes = 0;
  uint64_t not_run_outcomes = 0;
  uint64_t unknown_outcomes = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t truncated_streams = 0;
  /// Engine responses that belong to another request or whose events are out of order.
  uint64_t wrong_or_misordered_responses = 0;
  uint64_t claims_granted = 0;
  uint64_t claims_refused = 0;
  uint64_t replayed_responses = 0;
  uint64_t caller_disconnects = 0;
  uint64_t relayed_event_bytes = 0;

  void count_outcome(requests::Outcome outcome);
};

/// An error response that states the problem and what the caller can do.
struct ProblemDetails {
  int status = 400;
  std::string title;
  std::string remedy;
  int retry_after_seconds = 0;
};

/// Retry-After of problems that are expected to pass soon.
constexpr int kRetryAfterSeconds = 1;

/// Returns the JSON body for the problem, including the outcome.
boost::json::object to_problem_json(const ProblemDetails& problem, requests::Outcome outcome);

/// Responds with the problem. The reported outcome combines that of this attempt with the earlier one that the caller
/// reports.
boost::asio::awaitable<void> send_problem(net::HttpExchange& exchange, const ProblemDetails& problem,
                                          requests::Outcome attempt);

/// Returns the outcome to report for a request whose idempotency key, if any, was not looked up. If it has a key, "not
/// run" becomes "unknown", since an earlier attempt with the same key may have run.
requests::Outcome outcome_without_claim(const net::HttpRequest& request, requests::Outcome attempt);

/// Refuses a request before its idempotency key, if any, was looked up.
boost::asio::awaitable<void> refuse_without_claim(net::HttpExchange& exchange, const ProblemDetails& problem,
                                                  RequestStats& stats);

/// Log data of an attempt at a back end that returned no complete response.
struct FailedAttempt {
  std::string request;  ///< Id sent to the back end; empty for plain services.
  std::string target;
  requests::AttemptResult result = requests::AttemptResult::kNotSent;
  std::string reason;
};
void log_failed_attempt(const std::string& node, const FailedAttempt& attempt);

/// The refusal of a node that cannot confirm its configuration.
ProblemDetails unconfirmed_configuration_problem();
/// The refusal of a node that might stop before the response is complete.
ProblemDetails shutting_down_problem();

}  // namespace larchlever::node
