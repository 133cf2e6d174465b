#include "core/fleet/plain_servers/server_speed.h"

#include <algorithm>
#include <cmath>

namespace larchlever::fleet {

namespace {

/// Weight of one sample in the factor of its load. Small, so that a change of speed is not taken for an effect of load.
constexpr double kLoadFactorWeight = 1.0 / 32;
/// The load factors are learned only while the time at low load was measured this recently.
constexpr Duration kReferenceLifetime = seconds(2);
/// Upper bound of one sample's effect on a load factor, which limits the effect of an entry with a bad link.
constexpr double kMaxSampleFactor = 3.0;
/// An entry's link counts as slow if its responses take this many times the typical time, and a retransmission longer.
constexpr double kSlowLinkFactor = 2.0;
constexpr double kSlowLinkAllowanceMs = 20;
/// An entry tries a server behind a slow link again after this time.
constexpr Duration kSlowLinkTime = seconds(2);
/// A response that takes less than this share of the typical time is a sign of a faster server.
constexpr double kFasterShare = 0.6;

}  // namespace

size_t PlainServerSpeed::level_of(double load_share) {
  const double level = std::floor(load_share * static_cast<double>(kLoadLevels));
  return static_cast<size_t>(std::clamp(level, 0.0, static_cast<double>(kLoadLevels - 1)));
}

void PlainServerSpeed::note_sample(TimePoint now, const ResponseTimeSample& sample, double load_share) {
  const size_t level = level_of(load_share);
  const auto typical = times_.typical_ms();
  ResponseTimeSample at_low_load = sample;
  at_low_load.mean_ms /= load_factors_[level];
  if (level == 0) {
    last_reference_at_ = now;
  }
  // Without recent samples at low load, errors of the factors and of the typical time would reinforce each other.
  if (typical && now - last_reference_at_ <= kReferenceLifetime) {
    learn_load_factor(level, sample.mean_ms / std::max(*typical, 1.0));
  }
  times_.add(now, at_low_load);
  note_link(now, sample, *times_.typical_ms() * load_factors_[level]);
}

void PlainServerSpeed::learn_load_factor(size_t level, double factor) {
  if (level == 0) {
    return;  // The reference of the other levels.
  }
  double& learned = load_factors_[level];
  learned += kLoadFactorWeight * (std::clamp(factor, 1.0, kMaxSampleFactor) - learned);
  for (size_t next = 1; next < kLoadLevels; ++next) {
    load_factors_[next] = std::max(load_factors_[next], load_factors_[next - 1]);
  }
}

void PlainServerSpeed::note_link(TimePoint now, const ResponseTimeSample& sample, double usual_ms) {
  if (sample.mean_ms > kSlowLinkFactor * usual_ms + kSlowLinkAllowanceMs) {
    slow_links_[sample.entry] = {sample.mean_ms, now + kSlowLinkTime};
  } else {
    slow_links_.erase(sample.entry);
  }
}

std::optional<double> PlainServerSpeed::expected_ms(TimePoint now, const std::string& entry, double load_share) const {
  const auto typical = times_.typical_ms();
  if (!typical) {
    return std::nullopt;
  }
  const double usual_ms = *typical * load_factors_[level_of(load_share)];
  const auto link = slow_links_.find(entry);
  const bool is_slow_link = link != slow_links_.end() && now < link->second.until;
  return is_slow_link ? std::max(usual_ms, link->second.mean_ms) : usual_ms;
}

bool PlainServerSpeed::seems_faster() const {
  const auto typical = times_.typical_ms();
  return typical && times_.latest_ms() < kFasterShare * *typical;
}

void PlainServerSpeed::forget_entry(const std::string& entry) {
  times_.forget_entry(entry);
  slow_links_.erase(entry);
}

}  // namespace larchlever::fleet
