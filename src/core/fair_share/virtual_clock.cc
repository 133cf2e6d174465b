#include "core/fair_share/virtual_clock.h"

#include <algorithm>

namespace larchlever::fair_share {

namespace {

/// Interval between remembered samples; a small part of the maximum age of a claim.
constexpr Duration kSampleInterval = milliseconds(50);

}  // namespace

void VirtualClock::advance(TimePoint now, double start_tag) {
  current_ = std::max(current_, start_tag);
  if (samples_.empty() || now >= samples_.back().taken_at + kSampleInterval) {
    forget_old_samples(now);
    samples_.push_back({now, current_});
  }
}

double VirtualClock::oldest_claim(TimePoint now) {
  forget_old_samples(now);
  return oldest_claim_;
}

void VirtualClock::forget_old_samples(TimePoint now) {
  while (!samples_.empty() && samples_.front().taken_at + kMaxClaimAge <= now) {
    oldest_claim_ = samples_.front().tag;
    samples_.pop_front();
  }
}

}  // namespace larchlever::fair_share
