#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::load {

/// One attempt of a request and the answer that its caller received.
struct AttemptRecord {
  std::string tag;             ///< Identifies the request; equal for all its attempts.
  std::string key;             ///< Idempotency key, if any.
  bool is_repeatable = false;  ///< The request is safe to run more than once.
  std::string node;
  std::string expected;  ///< The correct answer to this request.
  int64_t sent_ms = 0;   ///< Wall clock time.
  int64_t done_ms = 0;
  bool was_sent = false;     ///< False if nothing was sent to the node.
  int status = 0;            ///< HTTP status; zero if there was no answer.
  std::string outcome;       ///< Larchlever-Outcome header; empty if there was none.
  bool is_complete = false;  ///< The answer was received to its end.
  std::string answer;
};

/// One request that an emulated back end ran, from its execution log.
struct ExecutionRecord {
  std::string request_id;  ///< Id that the node assigned to the request.
  std::string tag;
  std::string key;
  std::string machine;
  std::string zone;
  std::string tenant;
  int64_t started_ms = 0;
  bool completed = false;
};

/// Which runs contradict an answer with the outcome "not-run".
enum class NotRunScope {
  /// Every run of the request, whichever attempt caused it.
  kRequest,
  /// For repeatable requests without a key, only the runs of the same attempt. A run that started during an earlier
  /// attempt belongs to that attempt, unless its outcome was also "not-run". Other requests are checked as by
  /// `kRequest`.
  kAttempt
};

/// Checks the callers' history against the execution log of the emulated back ends: requests that are not repeatable
/// run at most once, every complete successful answer is correct and its request ran, and no request ran whose caller
/// was told that it did not. Returns one line per fault.
std::vector<std::string> find_history_faults(const std::vector<AttemptRecord>& history,
                                             const std::vector<ExecutionRecord>& executions,
                                             NotRunScope scope = NotRunScope::kRequest);

}  // namespace larchlever::load
