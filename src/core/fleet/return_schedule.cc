#include "core/fleet/return_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace larchlever::fleet {

namespace {

/// Minimum delay, about the interval between reviews of the queue: an earlier return would be decided together with the
/// refused request.
constexpr Duration kMinReturnDelay = milliseconds(5);
/// How long after its time a caller keeps its place: the way through the entry, and timers of a busy machine.
constexpr Duration kReturnGrace = milliseconds(100);
/// A caller may return before its time by this part of the delay, for clocks and rounded times.
constexpr int kEarlyReturnDivisor = 8;
/// Turns that are further away are not told apart.
constexpr Duration kMaxTurnDelay = seconds(8);
/// Weight of one caller in the moving average of kept promises.
constexpr double kKeptWeight = 1.0 / 32;

}  // namespace

Duration bounded_return_delay(Duration turn_delay, Duration longest_delay) {
  const double half = std::max(static_cast<double>(longest_delay.count()) / 2, 1.0);
  const double excess = static_cast<double>(std::min(turn_delay, kMaxTurnDelay).count()) - half;
  if (excess <= 0) {
    return turn_delay;
  }
  const double max_excess = std::max(static_cast<double>(kMaxTurnDelay.count()), excess);
  const double part = std::log1p(excess / half) / std::log1p(max_excess / half);
  return Duration(static_cast<int64_t>(half + half * part));
}

Duration ReturnSchedule::assign(TimePoint now, const RefusedCaller& caller, const TurnPace& pace, double requests_ahead,
                                const DelayLimits& limits) {
  // Either the caller returned early, or another caller sent an equal request; the time of the first one stands.
  const bool is_awaited = caller.fingerprint && is_expected_after(now, *caller.fingerprint);
  if (caller.fingerprint && !is_awaited) {
    forget(*caller.fingerprint);
  }
  const double own_before = expected_before(caller, TimePoint::max());
  const double turns_before = requests_ahead + own_before + expected_of_others(caller, own_before);
  // The caller is back half of its patience before its turn, so that it is not late if its turn comes earlier.
  const Duration turn_delay = pace.turn_at(turns_before) - now - limits.patience / 2;
  const Duration delay = std::max(bounded_return_delay(turn_delay, limits.longest_delay), kMinReturnDelay);
  if (!is_awaited && returns_.size() < kMaxCallers) {
    add(now + delay, {caller, now + delay - delay / kEarlyReturnDivisor});
  }
  return delay;
}

bool ReturnSchedule::is_expected_after(TimePoint now, int64_t fingerprint) const {
  const auto known = returns_by_fingerprint_.find(fingerprint);
  return known != returns_by_fingerprint_.end() && known->second->first > now;
}

double ReturnSchedule::expected_before(const RefusedCaller& caller, TimePoint until) const {
  const auto count = std::count_if(returns_.begin(), returns_.upper_bound(until), [&caller](const auto& item) {
    const auto& other = item.second.caller;
    return other.place < caller.place && other.tenant == caller.tenant;
  });
  return kept_share_ * static_cast<double>(count);
}

double ReturnSchedule::expected_of_others(const RefusedCaller& caller, double own_before) const {
  double result = 0;
  for (const auto& [tenant, count] : returns_by_tenant_) {
    result += tenant == caller.tenant ? 0 : std::min(own_before, kept_share_ * static_cast<double>(count));
  }
  return result;
}

std::optional<ReturnSchedule::Return> ReturnSchedule::note_return(TimePoint now, int64_t fingerprint) {
  drop_lapsed(now);
  const auto found = returns_by_fingerprint_.find(fingerprint);
  if (found == returns_by_fingerprint_.end()) {
    return std::nullopt;
  }
  const auto& [return_at, expected] = *found->second;
  Return result;
  result.first_arrived_at = expected.caller.place.first_arrived_at;
  if (now < expected.earliest_return_at) {
    result.awaited_at = return_at;
    return result;
  }
  note_kept(true);
  erase(found->second);
  return result;
}

void ReturnSchedule::forget(int64_t fingerprint) {
  const auto found = returns_by_fingerprint_.find(fingerprint);
  if (found != returns_by_fingerprint_.end()) {
    erase(found->second);
  }
}

void ReturnSchedule::drop_lapsed(TimePoint now) {
  while (!returns_.empty() && returns_.begin()->first + kReturnGrace < now) {
    if (returns_.begin()->second.caller.fingerprint) {
      note_kept(false);
    }
    erase(returns_.begin());
  }
}

void ReturnSchedule::add(TimePoint return_at, const ExpectedReturn& expected) {
  const auto added = returns_.emplace(return_at, expected);
  ++returns_by_tenant_[expected.caller.tenant];
  if (expected.caller.fingerprint) {
    returns_by_fingerprint_.emplace(*expected.caller.fingerprint, added);
  }
}

void ReturnSchedule::erase(Returns::iterator expected) {
  if (const auto fingerprint = expected->second.caller.fingerprint) {
    returns_by_fingerprint_.erase(*fingerprint);
  }
  const auto count = returns_by_tenant_.find(expected->second.caller.tenant);
  if (--count->second == 0) {
    returns_by_tenant_.erase(count);
  }
  returns_.erase(expected);
}

void ReturnSchedule::note_kept(bool is_kept) { kept_share_ += ((is_kept ? 1 : 0) - kept_share_) * kKeptWeight; }

}  // namespace larchlever::fleet
