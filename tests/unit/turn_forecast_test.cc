#include "core/fleet/turn_forecast.h"

#include <gtest/gtest.h>

#include <map>

#include "core/fleet/return_schedule.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kReview = milliseconds(5);
constexpr int kSlots = 40;
const TurnForecast::PoolLoad kFull{.released = 0, .busy_slots = kSlots, .free_slots = 0, .is_blocked = true};
const ReturnSchedule::DelayLimits kLimits{.patience = milliseconds(240), .longest_delay = milliseconds(400)};

/// Reviews a full pool until `end`, with one release per `interval`.
void release(TurnForecast& forecast, TimePoint begin, TimePoint end, Duration interval, int busy_slots = kSlots) {
  Duration since_release{};
  for (TimePoint now = begin; now < end; now += kReview) {
    auto load = kFull;
    load.busy_slots = busy_slots;
    for (since_release += kReview; since_release >= interval; since_release -= interval) {
      ++load.released;
    }
    forecast.note_load(now, load);
  }
}

double turns_per_second(const TurnForecast& forecast, TimePoint now, int busy_slots = kSlots) {
  const auto pace = forecast.pace(now, busy_slots);
  return pace ? pace->turns_per_second : 0;
}

// Guards against refusals on no evidence.
TEST(TurnForecast, KnowsNothingBeforeAFullPoolReleasedSlots) {
  TurnForecast forecast;
  EXPECT_FALSE(forecast.pace(kStart, kSlots));
  auto idle = kFull;
  idle.is_blocked = false;
  idle.free_slots = 20;
  idle.released = 1;
  for (TimePoint now = kStart; now < kStart + seconds(2); now += kReview) {
    forecast.note_load(now, idle);
  }
  EXPECT_FALSE(forecast.pace(kStart + seconds(2), kSlots)) << "releases of a pool with room say nothing";
  release(forecast, kStart + seconds(2), kStart + milliseconds(2200), milliseconds(10));
  EXPECT_FALSE(forecast.pace(kStart + milliseconds(2200), kSlots));
  release(forecast, kStart + milliseconds(2200), kStart + milliseconds(2400), milliseconds(10));
  EXPECT_TRUE(forecast.pace(kStart + milliseconds(2400), kSlots));
}

TEST(TurnForecast, ForecastsTurnsFromTheReleasesOfAFullPool) {
  TurnForecast forecast;
  const TimePoint now = kStart + seconds(2);
  release(forecast, kStart, now, milliseconds(10));
  const auto pace = forecast.pace(now, kSlots);
  ASSERT_TRUE(pace);
  EXPECT_NEAR(pace->turns_per_second, 100, 5);
  EXPECT_NEAR(static_cast<double>((pace->turn_at(19) - now) / milliseconds(1)), 200, 15);
}

// Guards against a pace that outlives half of the servers.
TEST(TurnForecast, FollowsServersThatVanishAndCome) {
  TurnForecast forecast;
  const TimePoint now = kStart + seconds(2);
  release(forecast, kStart, now, milliseconds(10));
  EXPECT_NEAR(turns_per_second(forecast, now, kSlots / 2), 50, 3);
  EXPECT_NEAR(turns_per_second(forecast, now, kSlots * 2), 200, 10);
  EXPECT_FALSE(forecast.pace(now, 0));
}

TEST(TurnForecast, FollowsAChangedPaceWithinAboutASecond) {
  TurnForecast forecast;
  release(forecast, kStart, kStart + seconds(3), milliseconds(40));
  release(forecast, kStart + seconds(3), kStart + milliseconds(4200), milliseconds(10));
  EXPECT_NEAR(turns_per_second(forecast, kStart + milliseconds(4200)), 100, 10);
}

TEST(TurnForecast, MeasuresSlowPoolsForLonger) {
  TurnForecast forecast;
  release(forecast, kStart, kStart + seconds(6), milliseconds(400));
  EXPECT_NEAR(turns_per_second(forecast, kStart + seconds(6)), 2.5, 0.3);
}

// Guards against a pessimism that leaves slots idle.
TEST(TurnForecast, BecomesFasterWhenRefusalsAreFollowedByIdleSlots) {
  TurnForecast forecast;
  release(forecast, kStart, kStart + seconds(2), milliseconds(10));
  auto idle = kFull;
  idle.is_blocked = false;
  idle.free_slots = 3;
  TimePoint now = kStart + seconds(2);
  for (; now < kStart + seconds(3); now += kReview) {
    forecast.note_early_refusal();
    forecast.note_load(now, idle);
  }
  EXPECT_GE(turns_per_second(forecast, now), 500);
  EXPECT_LE(turns_per_second(forecast, now), 850) << "bounded";
  release(forecast, now, now + seconds(6), milliseconds(10));
  EXPECT_NEAR(turns_per_second(forecast, now + seconds(6)), 100, 45) << "measured anew";
}

TEST(TurnForecast, IdleSlotsWithoutRefusalsChangeNothing) {
  TurnForecast forecast;
  release(forecast, kStart, kStart + seconds(2), milliseconds(10));
  auto idle = kFull;
  idle.is_blocked = false;
  idle.free_slots = 3;
  for (TimePoint now = kStart + seconds(2); now < kStart + seconds(3); now += kReview) {
    forecast.note_load(now, idle);
  }
  EXPECT_NEAR(turns_per_second(forecast, kStart + seconds(3)), 100, 5);
}

TEST(TurnPace, BoundsTurnsThatAreFarAway) {
  EXPECT_EQ((TurnPace{kStart, 1e-9}.turn_at(1e9)), kStart + std::chrono::hours(1));
  EXPECT_EQ((TurnPace{kStart, 10}.turn_at(-5)), kStart);
}

// ---------------------------------------------------------------- returns

ReturnSchedule::RefusedCaller caller(int64_t fingerprint, TimePoint first_arrived_at = kStart, int32_t priority = 0) {
  return {fingerprint, {priority, first_arrived_at}};
}

TurnPace pace_at(TimePoint now) { return {now + milliseconds(10), 100}; }

// Guards against callers that all return in the same moment.
TEST(ReturnSchedule, SpreadsReturnsInTheOrderOfTurns) {
  ReturnSchedule returns;
  Duration previous{};
  std::map<Duration, int> callers_per_millisecond;
  for (int64_t index = 0; index < 200; ++index) {
    const auto arrival = kStart + Duration(index);
    const Duration delay =
        returns.assign(kStart + milliseconds(1), caller(index, arrival), pace_at(kStart), 20, kLimits);
    EXPECT_GE(delay, previous);
    EXPECT_GE(delay, milliseconds(5));
    EXPECT_LE(delay, kLimits.longest_delay);
    ++callers_per_millisecond[std::chrono::floor<milliseconds>(delay)];
    previous = delay;
  }
  for (const auto& [delay, callers] : callers_per_millisecond) {
    EXPECT_LE(callers, 10);
  }
}

TEST(ReturnSchedule, ACallerThatReturnsAsToldKeepsTheTimeOfItsFirstArrival) {
  ReturnSchedule returns;
  const TimePoint first = kStart - milliseconds(50);
  const Duration delay = returns.assign(kStart, caller(7, first), pace_at(kStart), 30, kLimits);
  const auto returned = returns.note_return(kStart + delay + milliseconds(20), 7);
  ASSERT_TRUE(returned);
  EXPECT_EQ(returned->first_arrived_at, first);
  EXPECT_FALSE(returned->awaited_at);
  EXPECT_EQ(returns.size(), 0U);
  EXPECT_FALSE(returns.note_return(kStart + delay + milliseconds(21), 7)) << "once";
}

// Guards against a reward for callers that ask again at once.
TEST(ReturnSchedule, ACallerThatReturnsEarlyGainsNothing) {
  ReturnSchedule returns;
  const Duration delay = returns.assign(kStart, caller(7), pace_at(kStart), 30, kLimits);
  for (Duration after{}; after < delay * 3 / 4; after += milliseconds(10)) {
    const auto returned = returns.note_return(kStart + after, 7);
    ASSERT_TRUE(returned);
    EXPECT_EQ(returned->awaited_at, kStart + delay);
  }
  EXPECT_EQ(returns.size(), 1U);
  EXPECT_FALSE(returns.note_return(kStart + delay * 95 / 100, 7)->awaited_at) << "clocks and rounded times";
}

// Guards against turns kept free for callers that have given up.
TEST(ReturnSchedule, APlaceLapsesShortlyAfterItsTime) {
  ReturnSchedule returns;
  const Duration delay = returns.assign(kStart, caller(7), pace_at(kStart), 30, kLimits);
  EXPECT_FALSE(returns.note_return(kStart + delay + milliseconds(101), 7));
  EXPECT_EQ(returns.size(), 0U);
}

TEST(ReturnSchedule, CountsReturningCallersAheadOfNewcomers) {
  ReturnSchedule returns;
  const Duration delay = returns.assign(kStart, caller(7, kStart, 1), pace_at(kStart), 30, kLimits);
  const auto newcomer = caller(8, kStart + milliseconds(1), 1);
  EXPECT_DOUBLE_EQ(returns.expected_before(newcomer, kStart + delay), 1);
  EXPECT_DOUBLE_EQ(returns.expected_before(newcomer, kStart + delay - milliseconds(1)), 0) << "returns too late";
  EXPECT_DOUBLE_EQ(returns.expected_before(caller(8, kStart + milliseconds(1), 0), kStart + delay), 0) << "more urgent";
  EXPECT_DOUBLE_EQ(returns.expected_before(caller(8, kStart - milliseconds(1), 1), kStart + delay), 0)
      << "came earlier";
}

// Guards against a tenant below its share that is refused because callers of another one were promised turns.
TEST(ReturnSchedule, DoesNotCountCallersOfOtherTenants) {
  ReturnSchedule returns;
  const Duration delay = returns.assign(kStart, caller(7, kStart, 1), pace_at(kStart), 30, kLimits);
  auto newcomer = caller(8, kStart + milliseconds(1), 1);
  newcomer.tenant = "other";
  EXPECT_DOUBLE_EQ(returns.expected_before(newcomer, kStart + delay), 0);
}

// Guards against callers that are told a time when they have given up.
TEST(ReturnSchedule, TellsNoTimeBeyondTheLongestDelay) {
  ReturnSchedule returns;
  const Duration delay = returns.assign(kStart, caller(7), pace_at(kStart), 5000, kLimits);
  EXPECT_LE(delay, kLimits.longest_delay);
  EXPECT_GE(delay, kLimits.longest_delay / 2);
  EXPECT_EQ(returns.note_return(kStart + delay, 7)->first_arrived_at, kStart) << "keeps its place";
}

TEST(ReturnSchedule, AllowsForTheShareOfCallersThatDoNotReturn) {
  ReturnSchedule returns;
  for (int64_t index = 0; index < 100; ++index) {
    returns.assign(kStart, caller(index), pace_at(kStart), 20, kLimits);
  }
  returns.drop_lapsed(kStart + seconds(1));
  EXPECT_EQ(returns.size(), 0U);
  returns.assign(kStart + seconds(1), caller(7), pace_at(kStart + seconds(1)), 20, kLimits);
  EXPECT_LT(returns.expected_before(caller(8, kStart + milliseconds(1), 0), TimePoint::max()), 0.5);
}

TEST(ReturnSchedule, RemembersABoundedNumberOfCallers) {
  ReturnSchedule returns;
  for (int64_t index = 0; index < 10'000; ++index) {
    EXPECT_GT(returns.assign(kStart, caller(index), pace_at(kStart), 20, kLimits), Duration::zero());
  }
  EXPECT_EQ(returns.size(), ReturnSchedule::kMaxCallers);
}

}  // namespace
}  // namespace larchlever::fleet
