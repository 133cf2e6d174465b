#include "core/fleet/target_health.h"

#include <gtest/gtest.h>

#include "core/engine/cost_model.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kLongestPause = milliseconds(300);

TEST(TargetHealth, CountsWaitingPromptsAndStreams) {
  TargetHealth health;
  AttemptState first{1000, false};
  AttemptState second{500, false};
  health.begin_attempt(kStart, first);
  health.begin_attempt(kStart, second);
  EXPECT_EQ(health.in_flight(), 2);
  EXPECT_DOUBLE_EQ(health.waiting_tokens(), 1500);
  health.note_first_event(kStart, first);
  health.note_first_event(kStart, first);
  EXPECT_EQ(health.streaming(), 1) << "later events change nothing";
  EXPECT_DOUBLE_EQ(health.waiting_tokens(), 500);
  health.end_attempt(first);
  health.end_attempt(second);
  EXPECT_EQ(health.in_flight(), 0);
  EXPECT_EQ(health.streaming(), 0);
  EXPECT_DOUBLE_EQ(health.waiting_tokens(), 0);
}

TEST(TargetHealth, IsQuietOnlyIfAStreamPausesTooLong) {
  TargetHealth health;
  AttemptState attempt{1000, false};
  health.begin_attempt(kStart, attempt);
  EXPECT_FALSE(health.is_quiet(kStart + seconds(5), kLongestPause)) << "processing a prompt may take long";
  health.note_first_event(kStart, attempt);
  EXPECT_FALSE(health.is_quiet(kStart + milliseconds(290), kLongestPause));
  EXPECT_TRUE(health.is_quiet(kStart + milliseconds(310), kLongestPause));
  health.note_progress(kStart + milliseconds(320));
  EXPECT_FALSE(health.is_quiet(kStart + milliseconds(600), kLongestPause));
}

TEST(TargetHealth, UsesOtherEntriesReportsWithoutOwnStreams) {
  TargetHealth health;
  OtherEntriesLoad others;
  others.in_flight = 3;
  others.streaming = 2;
  others.last_progress = kStart;
  health.set_other_entries_load(others);
  EXPECT_EQ(health.total_in_flight(), 3);
  EXPECT_FALSE(health.is_quiet(kStart + milliseconds(400), kLongestPause)) << "their reports arrive with a delay";
  EXPECT_TRUE(health.is_quiet(kStart + milliseconds(600), kLongestPause));
}

TEST(CostModel, FirstEventWaitsForEarlierPrompts) {
  document::EngineSpec engine;
  engine.slots = 26;
  engine.step_ms = 6;
  engine.per_sequence_ms = 0.24;
  engine.prefill_tokens_per_second = 46'000;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2048;
  const document::ModelSpec model{"m", 4, 1.0, 1.0, {}, {}};
  const auto first_event_when_idle = engine::expected_time_to_first_event(engine, model, 0, 0, 1000);
  EXPECT_GT(first_event_when_idle, milliseconds(50));
  EXPECT_LT(first_event_when_idle, milliseconds(100));
  EXPECT_GT(engine::expected_time_to_first_event(engine, model, 0, 10'000, 1000),
            first_event_when_idle + milliseconds(200));
  EXPECT_GT(engine::expected_time_to_first_event(engine, model, 10, 0, 1000), first_event_when_idle);
  EXPECT_GT(engine::max_pass_duration(engine, model), milliseconds(250))
      << "each step may process a whole prompt chunk";
}

}  // namespace
}  // namespace larchlever::fleet
