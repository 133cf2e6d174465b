#include "core/engine/group_placement.h"

namespace larchlever::engine {

namespace {

/// A first event within this part of the time left is surely in time; the rest allows for errors of the forecast and
/// for requests that the same group gets after this one.
constexpr double kSurelyInTimeShare = 0.75;

PlacementScore::Timing timing_of(Duration first_event, Duration time_left) {
  if (time_left <= Duration::zero() || first_event > time_left) {
    return PlacementScore::Timing::kLate;
  }
  const double used_share = static_cast<double>(first_event.count()) / static_cast<double>(time_left.count());
  return used_share <= kSurelyInTimeShare ? PlacementScore::Timing::kSurely : PlacementScore::Timing::kBarely;
}

}  // namespace

PlacementScore score_placement(const PlacementForecast& forecast, Duration time_left) {
  PlacementScore score;
  score.is_quiet = forecast.is_quiet;
  score.is_too_slow = forecast.is_too_slow;
  score.timing = timing_of(forecast.first_event, time_left);
  score.mean_running = score.timing == PlacementScore::Timing::kSurely ? forecast.mean_running : 0;
  score.first_event = forecast.first_event;
  return score;
}

}  // namespace larchlever::engine
