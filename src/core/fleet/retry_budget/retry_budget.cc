#include "core/fleet/retry_budget/retry_budget.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Fraction of the budget that entries use, because they learn about each other with a delay.
constexpr double kUsableShare = 0.7;
/// Lifetime of a credit, as a fraction of the window. Credits from before a window may be spent in it; with this
/// lifetime, they and those of the window itself stay within the budget.
constexpr double kCreditLifetimeShare = 0.4;
static_assert(kUsableShare * (1 + kCreditLifetimeShare) <= 1);
/// How long after the fleet's first document an entry may still know few of the other entries. Twice the time that an
/// entry's heartbeat takes to be counted.
constexpr Duration kEntryCountSettleTime = milliseconds(500);
/// Rounding errors of sums of portions.
constexpr double kTolerance = 1e-6;

}  // namespace

void RetryBudget::RecentPortions::add(TimePoint now, double amount) {
  portions_.push_back({now, amount});
  sum_ += amount;
}

double RetryBudget::RecentPortions::take(double amount) {
  double missing = amount;
  while (missing > 0 && !portions_.empty()) {
    const double taken = std::min(missing, portions_.front().amount);
    portions_.front().amount -= taken;
    missing -= taken;
    if (portions_.front().amount <= 0) {
      portions_.pop_front();
    }
  }
  const double taken = amount - missing;
  sum_ = portions_.empty() ? 0 : sum_ - taken;
  return taken;
}

void RetryBudget::RecentPortions::drop_older_than(TimePoint oldest) {
  while (!portions_.empty() && portions_.front().at < oldest) {
    sum_ -= portions_.front().amount;
    portions_.pop_front();
  }
  sum_ = portions_.empty() ? 0 : sum_;
}

RetryBudget::ServiceShare& RetryBudget::refresh(TimePoint now, const std::string& service) {
  ServiceShare& share = shares_[service];
  share.credits.drop_older_than(now - std::chrono::duration_cast<Duration>(limits_.window * kCreditLifetimeShare));
  share.spent_slack.drop_older_than(now - limits_.window);
  return share;
}

double RetryBudget::remaining_slack(TimePoint now, const ServiceShare& share) const {
  if (now < slack_available_at_) {
    return 0;
  }
  return std::max(0.0, kUsableShare * limits_.slack / entry_count_ - share.spent_slack.sum());
}

void RetryBudget::start(TimePoint now) {
  started_at_ = now;
  slack_available_at_ = now + limits_.window;
}

void RetryBudget::note_no_requests_until(TimePoint time) {
  if (started_at_ <= time) {
    slack_available_at_ = std::min(started_at_ + limits_.window, time + kEntryCountSettleTime);
  }
}

void RetryBudget::note_request(TimePoint now, const std::string& service) {
  if (slack_available_at_ == TimePoint::max()) {
    start(now);
  }
  refresh(now, service).credits.add(now, kUsableShare * limits_.ratio);
}

bool RetryBudget::try_take(TimePoint now, const std::string& service) {
  ServiceShare& share = refresh(now, service);
  const double slack = remaining_slack(now, share);
  if (share.credits.sum() + slack < 1 - kTolerance) {
    return false;
  }
  const double from_slack = 1 - share.credits.take(1);
  if (from_slack > kTolerance) {
    share.spent_slack.add(now, from_slack);
  }
  return true;
}

int RetryBudget::remaining(TimePoint now, const std::string& service) {
  const ServiceShare& share = refresh(now, service);
  return static_cast<int>(share.credits.sum() + remaining_slack(now, share) + kTolerance);
}

}  // namespace larchlever::fleet
