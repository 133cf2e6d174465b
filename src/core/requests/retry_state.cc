#include "core/requests/retry_state.h"

#include <algorithm>

namespace larchlever::requests {

namespace {

constexpr int kHundredthsPerRetry = 100;
/// Ten retries: what a tenant may spend at once, and what it starts with.
constexpr int kReserve = 10 * kHundredthsPerRetry;

}  // namespace

void RetryBudget::request_started(const std::string& tenant) {
  auto& balance = hundredths_.try_emplace(tenant, kReserve).first->second;
  balance = std::min(balance + percent_, kReserve);
}

bool RetryBudget::take(const std::string& tenant) {
  auto& balance = hundredths_.try_emplace(tenant, kReserve).first->second;
  if (percent_ == 0 || balance < kHundredthsPerRetry) {
    return false;
  }
  balance -= kHundredthsPerRetry;
  return true;
}

bool RetryState::may_retry(TimePoint now, AttemptResult result, const std::string& tenant, RetryBudget& budget) {
  // What never left is not an attempt at a back end: it is bounded by the deadline and the budget alone, so that a
  // request can outlast the time in which its group is formed anew.
  attempts_ += result == AttemptResult::kNotSent ? 0 : 1;
  const bool may_have_run = result == AttemptResult::kLostAfterSend || result == AttemptResult::kCutInStream;
  may_have_run_ = may_have_run_ || may_have_run;
  if (may_have_run && !safe_) {
    return false;
  }
  return attempts_ < most_attempts_ && now < deadline_ && budget.take(tenant);
}

}  // namespace larchlever::requests
