#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::load {

/// One sending of a request and what its caller was told.
struct AttemptRecord {
  std::string tag;  ///< Names the request; equal for all its sendings.
  std::string key;  ///< Idempotency key, if any.
  bool is_repeatable = false;
  std::string node;
  std::string expected;  ///< The answer that is right for this request.
  int64_t sent_ms = 0;   ///< Wall clock.
  int64_t done_ms = 0;
  bool was_sent = false;  ///< False when no byte reached the node.
  int status = 0;         ///< Zero when no answer came.
  std::string outcome;
  bool is_complete = false;  ///< The answer came to its proper end.
  std::string answer;
};

/// What the stand-ins say truly ran.
struct ExecutionRecord {
  std::string request_id;  ///< The id that the node gave the request.
  std::string tag;
  std::string key;
  std::string machine;
  std::string zone;
  std::string tenant;
  int64_t started_ms = 0;
  bool completed = false;
};

/// What "not-run" is held against.
enum class NotRunScope {
  /// Every run of the request, whichever attempt brought it about.
  kRequest,
  /// For repeatable requests without a key: the runs of the attempt at hand. A run within an earlier attempt whose
  /// caller was not told that it had not run is that attempt's. All other requests are held as by `kRequest`.
  kAttempt
};

/// Checks a history of callers against the stand-ins' execution log: unsafe requests at most once, every whole answer
/// the right one, no request run by the time its caller was told that it had not, none completed as "ran" that never
/// ran. Returns one line per fault. Pure.
std::vector<std::string> find_history_faults(const std::vector<AttemptRecord>& history,
                                             const std::vector<ExecutionRecord>& executions,
                                             NotRunScope scope = NotRunScope::kRequest);

}  // namespace larchlever::load
