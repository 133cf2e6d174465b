#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/requests/outcome.h"
#include "core/requests/retry_state.h"
#include "net/http_server.h"

namespace larchlever::node {

/// Counters of the callers' side, shared by its parts.
struct RequestStats {
  uint64_t model_requests = 0;
  uint64_t service_requests = 0;
  uint64_t ran_outcomes = 0;
  uint64_t not_run_outcomes = 0;
  uint64_t unknown_outcomes = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t truncated_streams = 0;
  uint64_t wrong_or_misordered_responses = 0;
  uint64_t claims_granted = 0;
  uint64_t claims_refused = 0;
  uint64_t replayed_responses = 0;
  uint64_t caller_disconnects = 0;
  uint64_t relayed_event_bytes = 0;

  void count_outcome(requests::Outcome outcome);
};

/// An answer that tells the caller what went wrong and what to do.
struct ProblemDetails {
  int status = 400;
  std::string title;
  std::string remedy;
  int retry_after_seconds = 0;
};

constexpr int kRetryAfterSeconds = 1;

/// The problem as its JSON body, outcome included.
boost::json::object to_problem_json(const ProblemDetails& problem, requests::Outcome outcome);

/// Answers with the problem and with what is known of the request after this attempt.
boost::asio::awaitable<void> send_problem(net::HttpExchange& exchange, const ProblemDetails& problem,
                                          requests::Outcome attempt);

/// What an attempt tells of a request whose key, if it has one, was not looked up: an earlier attempt under the same
/// key may have run.
requests::Outcome outcome_without_claim(const net::HttpRequest& request, requests::Outcome attempt);

/// Answers a request that is refused before its key, if it has one, was looked up.
boost::asio::awaitable<void> refuse_without_claim(net::HttpExchange& exchange, const ProblemDetails& problem,
                                                  RequestStats& stats);

/// One attempt at a back end that brought no whole answer, for the log.
struct FailedAttempt {
  std::string request;  ///< The id that the back end was given; empty for plain services.
  std::string target;
  requests::AttemptResult result = requests::AttemptResult::kNotSent;
  std::string reason;
};
void log_failed_attempt(const std::string& node, const FailedAttempt& attempt);

/// The refusal of a node that cannot confirm its configuration.
ProblemDetails unconfirmed_configuration_problem();

}  // namespace larchlever::node
