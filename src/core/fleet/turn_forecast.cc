#include "core/fleet/turn_forecast.h"

#include <algorithm>
#include <cmath>

namespace larchlever::fleet {

namespace {

/// Releases are summed in intervals of this length, ten times the interval between reviews.
constexpr Duration kIntervalLength = milliseconds(50);
/// How long releases are remembered. Pools whose requests take seconds need that long for enough of them.
constexpr Duration kMemory = seconds(8);
/// The pace is measured over the most recent intervals that have this much time and this many releases: it follows a
/// change within about a second, and the error of a count of 16 is a quarter.
constexpr Duration kMeasuredTime = seconds(1);
constexpr int kMeasuredReleases = 16;
/// With less evidence there is no forecast: requests that started together also end together, so that a few releases
/// say little about the next ones.
constexpr Duration kMinMeasuredTime = milliseconds(250);
constexpr int kMinMeasuredReleases = 8;
/// Reviews are milliseconds apart. After a longer gap it is unknown whether the pool remained full.
constexpr Duration kMaxReviewGap = milliseconds(250);

/// Increase of the optimism when refusals are followed by idle slots, and how often it may increase: five times within
/// the second in which a forecast that is too pessimistic must be corrected.
constexpr double kOptimismStep = 1.5;
constexpr double kMaxOptimism = 8;
constexpr Duration kCorrectionInterval = milliseconds(200);
/// Time in which the optimism falls to 1/e while the pool is full. By then the pace is measured anew.
constexpr Duration kOptimismDecay = seconds(2);

constexpr double kMaxTurnDelaySeconds = 3600;

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

TimePoint TurnPace::turn_at(double requests_ahead) const {
  const double delay = std::min(std::max(requests_ahead, 0.0) / turns_per_second, kMaxTurnDelaySeconds);
  return next_turn_at + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(delay));
}

void TurnForecast::note_load(TimePoint now, const PoolLoad& load) {
  const Duration elapsed = now - noted_at_;
  const bool is_continuous = elapsed <= kMaxReviewGap;
  if (was_full_ && is_continuous) {
    add_full_time(elapsed, load.released);
  }
  while (!full_intervals_.empty() && full_intervals_.front().began_at + kMemory < now) {
    full_intervals_.pop_front();
  }
  correct_pessimism(now, load);
  noted_at_ = now;
  last_load_ = load;
  was_full_ = load.is_blocked && load.free_slots <= 0;
}

void TurnForecast::add_full_time(Duration length, int released) {
  if (full_intervals_.empty() || full_intervals_.back().length >= kIntervalLength) {
    full_intervals_.push_back({.began_at = noted_at_});
  }
  FullInterval& interval = full_intervals_.back();
  interval.length += length;
  interval.busy_seconds += to_seconds(length) * last_load_.busy_slots;
  interval.released += std::max(released, 0);
}

void TurnForecast::correct_pessimism(TimePoint now, const PoolLoad& load) {
  const bool is_idle = load.free_slots > 0 && !load.is_blocked;
  if (!is_idle) {
    const Duration elapsed = std::min<Duration>(now - noted_at_, kMaxReviewGap);
    optimism_ = 1 + (optimism_ - 1) * std::exp(-to_seconds(elapsed) / to_seconds(kOptimismDecay));
    return;
  }
  if (has_refused_ && now >= corrected_at_ + kCorrectionInterval) {
    optimism_ = std::min(optimism_ * kOptimismStep, kMaxOptimism);
    corrected_at_ = now;
    has_refused_ = false;
  }
}

std::optional<TurnPace> TurnForecast::pace(TimePoint now, int busy_slots) const {
  FullInterval measured;
  for (auto interval = full_intervals_.rbegin(); interval != full_intervals_.rend(); ++interval) {
    if (measured.length >= kMeasuredTime && measured.released >= kMeasuredReleases) {
      break;
    }
    measured.length += interval->length;
    measured.busy_seconds += interval->busy_seconds;
    measured.released += interval->released;
  }
  const bool has_evidence = measured.length >= kMinMeasuredTime && measured.released >= kMinMeasuredReleases;
  if (!has_evidence || measured.busy_seconds <= 0 || busy_slots <= 0) {
    return std::nullopt;
  }
  TurnPace result;
  result.turns_per_second = optimism_ * busy_slots * measured.released / measured.busy_seconds;
  result.next_turn_at =
      now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / result.turns_per_second));
  return result;
}

}  // namespace larchlever::fleet
