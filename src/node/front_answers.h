#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "core/requests/outcome.h"
#include "core/requests/retry_state.h"
#include "net/http_server.h"

namespace larchlever::node {

/// Counters of the callers' side, shared by its parts.
struct FrontStats {
  uint64_t model_requests = 0;
  uint64_t service_requests = 0;
  uint64_t ran = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t retries = 0;
  uint64_t resumed_streams = 0;
  uint64_t cut_streams = 0;
  uint64_t foreign_or_disordered = 0;
  uint64_t claims_granted = 0;
  uint64_t claims_refused = 0;
  uint64_t answers_replayed = 0;
  uint64_t callers_gone = 0;
  uint64_t events_relayed_bytes = 0;

  void count(requests::Outcome outcome);
};

/// An answer that tells the caller what went wrong and what to do.
struct Problem {
  int status = 400;
  std::string title;
  std::string remedy;
  int retry_after_seconds = 0;
};

constexpr int kRetryAfterSeconds = 1;

/// The problem as its JSON body, outcome included.
boost::json::object problem_object(const Problem& problem, requests::Outcome outcome);

/// Answers with the problem and with what is known of the request after this attempt.
boost::asio::awaitable<void> send_problem(net::HttpExchange& exchange, const Problem& problem,
                                          requests::Outcome attempt);

/// What an attempt tells of a request whose key, if it has one, was not looked up: an earlier attempt under the same
/// key may have run.
requests::Outcome unclaimed_outcome(const net::HttpRequest& request, requests::Outcome attempt);

/// Answers a request that is refused before its key, if it has one, was looked up.
boost::asio::awaitable<void> refuse_unclaimed(net::HttpExchange& exchange, const Problem& problem, FrontStats& stats);

/// One attempt at a back end that brought no whole answer, for the log.
struct FailedAttempt {
  std::string request;  ///< The id that the back end was given; empty for plain services.
  std::string target;
  requests::AttemptResult result = requests::AttemptResult::kNotSent;
  std::string reason;
};
void log_failed_attempt(const std::string& node, const FailedAttempt& attempt);

/// The refusal of a node that cannot confirm its configuration.
Problem no_configuration_problem();

}  // namespace larchlever::node
