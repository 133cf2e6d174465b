#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/requests/outcome.h"

namespace larchlever::requests {

/// Limits the retries of each tenant to a percentage of its requests, plus a small reserve for tenants with few
/// requests. A percentage of 0 disables retries.
class RetryBudget {
 public:
  explicit RetryBudget(int retry_percent) : retry_percent_(retry_percent) {}
  /// Credits the tenant for a new request.
  void record_request(const std::string& tenant);
  /// Spends one retry. Returns false if the budget is exhausted.
  bool try_spend(const std::string& tenant);

 private:
  int retry_percent_;
  std::map<std::string, int> balance_hundredths_;
};

/// Result of a failed request attempt, as seen by the entry.
enum class AttemptResult {
  kNotSent,           ///< No byte was sent, for example because the connection failed.
  kRefusedUnstarted,  ///< The back end reported that it did not start the request.
  kLostAfterSend,     ///< Bytes may have been sent, and no complete response arrived.
  kCutInStream,       ///< Part of the response stream arrived, up to a known offset.
};

/// The form used in logs.
constexpr std::string_view to_string(AttemptResult result) {
  switch (result) {
    case AttemptResult::kNotSent:
      return "not sent";
    case AttemptResult::kRefusedUnstarted:
      return "refused unstarted";
    case AttemptResult::kLostAfterSend:
      return "lost after send";
    case AttemptResult::kCutInStream:
      return "cut in stream";
  }
  return "unknown";
}

/// Decides whether one request may be retried after a failed attempt.
///
/// An attempt that provably did not run may be retried elsewhere. One that may have run may be retried only if the
/// request is safe to repeat. The deadline, the tenant's retry budget and a limit on attempts that may have reached a
/// back end always apply. No I/O.
class RetryState {
 public:
  RetryState(bool is_retry_safe, int max_attempts, TimePoint deadline)
      : is_retry_safe_(is_retry_safe), max_attempts_(max_attempts), deadline_(deadline) {}

  /// Records a failed attempt. Returns whether another attempt may start now, and then spends one retry of `budget`.
  bool try_start_retry(TimePoint now, AttemptResult result, const std::string& tenant, RetryBudget& budget);
  /// The outcome to report if the request is not retried.
  Outcome outcome() const { return may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun; }
  int attempts() const { return attempts_; }

 private:
  bool is_retry_safe_;
  int max_attempts_;
  TimePoint deadline_;
  int attempts_ = 0;
  bool may_have_run_ = false;
};

}  // namespace larchlever::requests
