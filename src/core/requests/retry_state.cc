#include "core/requests/retry_state.h"

#include <algorithm>

namespace larchlever::requests {

namespace {

constexpr int kHundredthsPerRetry = 100;
/// Ten retries: the maximum and initial balance of a tenant.
constexpr int kMaxBalanceHundredths = 10 * kHundredthsPerRetry;

}  // namespace

void RetryBudget::record_request(const std::string& tenant) {
  auto& balance = balance_hundredths_.try_emplace(tenant, kMaxBalanceHundredths).first->second;
  balance = std::min(balance + retry_percent_, kMaxBalanceHundredths);
}

bool RetryBudget::try_spend(const std::string& tenant) {
  auto& balance = balance_hundredths_.try_emplace(tenant, kMaxBalanceHundredths).first->second;
  if (retry_percent_ == 0 || balance < kHundredthsPerRetry) {
    return false;
  }
  balance -= kHundredthsPerRetry;
  return true;
}

bool RetryState::try_start_retry(TimePoint now, AttemptResult result, const std::string& tenant, RetryBudget& budget) {
  // Attempts that were not sent are limited only by the deadline and the budget, so that a request can wait while its
  // group is formed again.
  attempts_ += result == AttemptResult::kNotSent ? 0 : 1;
  const bool may_have_run = result == AttemptResult::kLostAfterSend || result == AttemptResult::kCutInStream;
  may_have_run_ = may_have_run_ || may_have_run;
  if (may_have_run && !is_retry_safe_) {
    return false;
  }
  return attempts_ < max_attempts_ && now < deadline_ && budget.try_spend(tenant);
}

}  // namespace larchlever::requests
