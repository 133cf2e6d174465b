#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/base/time.h"
#include "core/requests/outcome.h"

namespace larchlever::requests {

/// Retries a tenant may spend: a fraction of its requests, with a small reserve so that a quiet tenant can retry too.
class RetryBudget {
 public:
  explicit RetryBudget(int retry_percent) : retry_percent_(retry_percent) {}
  void record_request(const std::string& tenant);
  /// Takes one retry; false when the budget is spent.
  bool try_spend(const std::string& tenant);

 private:
  int retry_percent_;
  std::map<std::string, int> balance_hundredths_;
};

/// How one attempt at a back end ended, seen from the entry.
enum class AttemptResult {
  kNotSent,           ///< No byte left, e.g. the connection failed.
  kRefusedUnstarted,  ///< The back end answered that it did not start the request.
  kLostAfterSend,     ///< Bytes may have left and no whole answer came.
  kCutInStream,       ///< Part of the answer came; its offset is known.
};

/// As logs name it.
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

/// Decides what may follow a failed attempt of one request.
///
/// Rules: an attempt that provably did not run may be repeated elsewhere; one that may have run only if the request is
/// safe; never past the deadline, the tenant's retry budget or, for attempts that reached a back end, their limit.
/// Pure.
class RetryState {
 public:
  RetryState(bool is_retry_safe, int max_attempts, TimePoint deadline)
      : is_retry_safe_(is_retry_safe), max_attempts_(max_attempts), deadline_(deadline) {}

  /// Notes a failed attempt; true when another may start now.
  bool may_retry(TimePoint now, AttemptResult result, const std::string& tenant, RetryBudget& budget);
  /// Outcome to report if the request ends here.
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
