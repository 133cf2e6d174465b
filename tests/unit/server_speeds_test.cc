#include "core/fleet/server_speeds.h"

#include <gtest/gtest.h>

#include <limits>

#include "core/base/trimmed_mean.h"
#include "core/engine/pass_simulator.h"
#include "core/fleet/dispatcher.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr double kExpectedMs = 50;

/// Lets each entry report `ratio` times the expected pause, ten times a second from `begin` for `duration`.
void report(ServerSpeeds& speeds, const std::vector<std::string>& entries, TimePoint begin, Duration duration,
            double ratio, const std::string& target = "g") {
  for (Duration passed{}; passed < duration; passed += milliseconds(100)) {
    for (const auto& entry : entries) {
      speeds.note_sample(begin + passed, {entry, target, 1, ratio * kExpectedMs, kExpectedMs});
    }
  }
}

// Guards against an outlier that shifts the typical pause, and against a mean that lags behind a lasting change.
TEST(TrimmedMean, IgnoresOneOutlierAndFollowsAChange) {
  TrimmedMean mean;
  EXPECT_EQ(mean.value(), Duration::zero());
  for (const int pause_ms : {50, 50, 200, 50, 50}) {
    mean.add(milliseconds(pause_ms));
  }
  EXPECT_EQ(mean.value(), milliseconds(50));
  for (int count = 0; count < 5; ++count) {
    mean.add(milliseconds(250));
  }
  EXPECT_EQ(mean.value(), milliseconds(250));
}

// Guards against slow groups that are never recognized, or only after seconds.
TEST(ServerSpeeds, BelievesSeveralEntriesWithinASecond) {
  ServerSpeeds speeds;
  report(speeds, {"n1", "n2"}, kStart, seconds(2), 1);
  EXPECT_EQ(speeds.time_factor(kStart + seconds(2), "g"), 1);
  report(speeds, {"n1", "n2"}, kStart + seconds(2), milliseconds(600), 5);
  EXPECT_NEAR(speeds.time_factor(kStart + milliseconds(2600), "g"), 5, 0.5);
  EXPECT_EQ(speeds.slow_targets(kStart + milliseconds(2600)).size(), 1U);
  EXPECT_EQ(speeds.time_factor(kStart + milliseconds(2600), "other"), 1);
}

// Guards against healthy groups that are placed differently because of small deviations.
TEST(ServerSpeeds, CountsSmallDeviationsAsNone) {
  ServerSpeeds speeds;
  for (const double ratio : {0.2, 0.9, 1.2, 1.4}) {
    report(speeds, {"n1", "n2", "n3"}, kStart, seconds(2), ratio);
    EXPECT_EQ(speeds.time_factor(kStart + seconds(2), "g"), 1);
  }
}

// Guards against an entry with a bad link that takes work from healthy groups.
TEST(ServerSpeeds, DoesNotBelieveOneOfSeveralEntries) {
  for (const auto& others : {std::vector<std::string>{"n2"}, {"n2", "n3"}, {"n2", "n3", "n4"}}) {
    ServerSpeeds speeds;
    for (int second = 0; second < 5; ++second) {
      report(speeds, {"lossy"}, kStart + seconds(second), seconds(1), 6);
      report(speeds, others, kStart + seconds(second), seconds(1), 1);
      EXPECT_EQ(speeds.time_factor(kStart + seconds(second + 1), "g"), 1);
    }
  }
}

// Guards against a slow group that is never recognized because all its streams belong to one entry.
TEST(ServerSpeeds, BelievesTheOnlyEntryAfterAWhile) {
  ServerSpeeds speeds;
  report(speeds, {"n1"}, kStart, milliseconds(900), 5);
  EXPECT_EQ(speeds.time_factor(kStart + milliseconds(900), "g"), 1);
  report(speeds, {"n1"}, kStart + milliseconds(900), milliseconds(300), 5);
  EXPECT_NEAR(speeds.time_factor(kStart + milliseconds(1200), "g"), 5, 0.1);
}

// Guards against an entry with a bad link that is believed wherever it happens to be alone.
TEST(ServerSpeeds, DoesNotBelieveTheOnlyEntryIfItSeesMostTargetsSlow) {
  ServerSpeeds speeds;
  for (int step = 0; step < 30; ++step) {
    for (const auto* target : {"g", "h", "i"}) {
      report(speeds, {"lossy"}, kStart + milliseconds(100) * step, milliseconds(100), 5, target);
    }
  }
  EXPECT_TRUE(speeds.slow_targets(kStart + seconds(3)).empty());
}

// Guards against a group that gets no work for good because without work there are no samples.
TEST(ServerSpeeds, ForgetsATargetWithoutSamplesWithinTwoSeconds) {
  ServerSpeeds speeds;
  report(speeds, {"n1", "n2"}, kStart, seconds(2), 5);
  const TimePoint last = kStart + milliseconds(1900);
  EXPECT_NEAR(speeds.time_factor(last + milliseconds(1500), "g"), 5, 0.1);
  const double fading = speeds.time_factor(last + milliseconds(1750), "g");
  EXPECT_GT(fading, 2);
  EXPECT_LT(fading, 4);
  EXPECT_EQ(speeds.time_factor(last + seconds(2), "g"), 1);
  report(speeds, {"n1"}, last + seconds(10), milliseconds(100), 5);
  EXPECT_EQ(speeds.time_factor(last + seconds(10), "g"), 1) << "one entry alone must convince again";
}

// Guards against many requests that are sent to a slow group as trials, and against trials that keep it slow for good.
TEST(ServerSpeeds, AllowsTrialsAtIntervals) {
  ServerSpeeds speeds;
  report(speeds, {"n1", "n2"}, kStart, seconds(2), 5);
  const TimePoint last = kStart + milliseconds(1900);
  EXPECT_FALSE(speeds.is_trial_due(last + milliseconds(500), "g"));
  EXPECT_TRUE(speeds.is_trial_due(last + milliseconds(600), "g"));
  speeds.note_trial(last + milliseconds(600), "g");
  EXPECT_FALSE(speeds.is_trial_due(last + milliseconds(700), "g"));
  EXPECT_NEAR(speeds.time_factor(last + milliseconds(2100), "g"), 5, 0.1) << "the result is awaited";
  speeds.note_trial(last + milliseconds(1800), "g");
  EXPECT_EQ(speeds.time_factor(last + milliseconds(2600), "g"), 1) << "a trial without result ends it";
}

// Guards against a group that stays slow although its trial request finds it fast.
TEST(ServerSpeeds, OneEntrySufficesToEndSlowness) {
  ServerSpeeds speeds;
  report(speeds, {"n1", "n2"}, kStart, seconds(2), 5);
  report(speeds, {"n1"}, kStart + milliseconds(3200), milliseconds(100), 1);
  EXPECT_EQ(speeds.time_factor(kStart + milliseconds(3300), "g"), 1);
}

// Guards against state that grows with entries and groups that are gone, and against absurd reports.
TEST(ServerSpeeds, ForgetsEntriesAndTargetsAndIgnoresAbsurdSamples) {
  ServerSpeeds speeds;
  report(speeds, {"n1", "n2"}, kStart, seconds(2), 5);
  speeds.note_sample(kStart + seconds(2), {"n1", "g", 1, std::numeric_limits<double>::quiet_NaN(), kExpectedMs});
  speeds.note_sample(kStart + seconds(2), {"n1", "g", 1, 50, 0});
  speeds.note_sample(kStart + seconds(2), {"n1", "g", -3, 50, kExpectedMs});
  EXPECT_NEAR(speeds.time_factor(kStart + seconds(2), "g"), 5, 0.1);
  speeds.forget_entry("n1");
  speeds.forget_entry("n2");
  report(speeds, {"n3"}, kStart + seconds(2), milliseconds(100), 1);
  EXPECT_EQ(speeds.time_factor(kStart + seconds(2), "g"), 1) << "votes of lost entries do not count";
  report(speeds, {"n1", "n2"}, kStart + seconds(2), seconds(2), 5);
  speeds.retain_targets({"h"});
  EXPECT_EQ(speeds.time_factor(kStart + seconds(4), "g"), 1);
}

class ReportedPauses : public testing::Test {
 protected:
  Dispatcher make_dispatcher(bool is_enabled) {
    FleetOptions options;
    options.admission.observed_speeds = is_enabled;
    return Dispatcher(options, "z", 1);
  }
  void start_stream(Dispatcher& dispatcher) {
    dispatcher.begin_attempt(kStart, target_, attempt_);
    dispatcher.note_progress(kStart, target_);
    dispatcher.note_first_event(kStart, target_, attempt_);
  }

  DispatchTarget target_{"g", "s", "g", "i", "10.0.0.1:1"};
  AttemptState attempt_;
};

// Guards against one long pause of a lost packet that makes the group look slow, and against pauses counted twice.
TEST_F(ReportedPauses, AreRobustAndReportedOnce) {
  auto dispatcher = make_dispatcher(true);
  start_stream(dispatcher);
  TimePoint now = kStart;
  for (const int pause_ms : {50, 50, 200, 1, 50}) {
    now += milliseconds(pause_ms);
    dispatcher.note_progress(now, target_);
  }
  const auto loads = dispatcher.group_loads(now);
  ASSERT_EQ(loads.size(), 1U);
  ASSERT_TRUE(loads[0].__isset.interval_count);
  EXPECT_EQ(loads[0].interval_count, 4) << "events within 5 ms belong to one pass";
  EXPECT_NEAR(loads[0].interval_ms, 50, 0.5);
  EXPECT_FALSE(dispatcher.group_loads(now)[0].__isset.interval_count);
}

// Guards against slowness that is reported only at the end of the second long pause.
TEST_F(ReportedPauses, IncludeAnOngoingLongPauseOnceOneHasEnded) {
  auto dispatcher = make_dispatcher(true);
  start_stream(dispatcher);
  TimePoint now = kStart;
  for (const int pause_ms : {50, 50, 50, 50, 500}) {
    now += milliseconds(pause_ms);
    dispatcher.note_progress(now, target_);
  }
  EXPECT_NEAR(dispatcher.group_loads(now)[0].interval_ms, 50, 0.5);
  const auto load = dispatcher.group_loads(now + milliseconds(300))[0];
  EXPECT_EQ(load.interval_count, 1);
  EXPECT_GT(load.interval_ms, 100);
}

// Guards against fields in reports of entries whose settings do not turn the part on, and of plain servers.
TEST_F(ReportedPauses, AreAbsentWhenTurnedOffAndForPlainServers) {
  auto disabled = make_dispatcher(false);
  start_stream(disabled);
  disabled.note_progress(kStart + milliseconds(50), target_);
  EXPECT_FALSE(disabled.group_loads(kStart + milliseconds(50))[0].__isset.interval_count);
  auto enabled = make_dispatcher(true);
  target_.group.clear();
  attempt_ = {};
  start_stream(enabled);
  enabled.note_progress(kStart + milliseconds(50), target_);
  EXPECT_FALSE(enabled.group_loads(kStart + milliseconds(50))[0].__isset.interval_count);
}

// Guards against an entry that stood still and reports its own pause as one of the group.
TEST_F(ReportedPauses, DoNotIncludeTheEntrysOwnStandstill) {
  auto dispatcher = make_dispatcher(true);
  start_stream(dispatcher);
  dispatcher.note_progress(kStart + seconds(2), target_);  // Read before the tick that notices the standstill.
  dispatcher.restart_silence_timers(kStart + seconds(2));
  EXPECT_FALSE(dispatcher.group_loads(kStart + seconds(2))[0].__isset.interval_count);
  dispatcher.note_progress(kStart + milliseconds(2050), target_);
  EXPECT_NEAR(dispatcher.group_loads(kStart + milliseconds(2050))[0].interval_ms, 50, 0.5);
}

// Guards against forecasts that a factor of one changes, and against an expectation that includes the factor itself.
TEST(PassSimulator, TakesLongerByTheFactorButExpectsTheModel) {
  document::EngineSpec engine;
  engine.slots = 10;
  engine.step_ms = 10;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2000;
  engine.prefill_tokens_per_second = 50'000;
  const document::ModelSpec model{"m", 2, 1.0, 1.0, {}, {}};
  engine::PassSimulator plain;
  engine::PassSimulator slow;
  slow.set_time_factor(4);
  const auto plain_forecast = plain.forecast(kStart, engine, model, 3, 500);
  const auto slow_forecast = slow.forecast(kStart, engine, model, 3, 500);
  EXPECT_EQ(slow_forecast.longest_pass, 4 * plain_forecast.longest_pass);
  EXPECT_EQ(slow_forecast.time_to_first_event, 4 * plain_forecast.time_to_first_event);
  EXPECT_EQ(slow.usual_pass(kStart + seconds(1), engine, model, 3), milliseconds(50));
  EXPECT_FALSE(slow.usual_pass(kStart + seconds(1), engine, model, 0)) << "an idle group runs no passes";
}

}  // namespace
}  // namespace larchlever::fleet
