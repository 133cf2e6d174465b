#include "core/engine/answer_size_estimator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "core/engine/prediction_error.h"
#include "core/requests/event_stream.h"

namespace larchlever::engine {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr double kTypical = 200;
const RequestKind kKind{"honest", "chat", "small"};

RequestKind kind_of(const std::string& tenant) { return {tenant, kKind.route, kKind.model}; }

/// Answers and hints of one caller, and the errors of the predictions made before each answer.
class Caller {
 public:
  Caller(AnswerSizeEstimator& estimator, std::string tenant, uint32_t seed = 1)
      : estimator_(estimator), kind_(kind_of(tenant)), random_(seed) {}

  double draw_log_normal(double median, double sigma) {
    return median * std::exp(std::normal_distribution<double>(0, sigma)(random_));
  }
  /// Returns the relative error of the prediction.
  double answer(double hint, double tokens) {
    const DeclaredAnswerSize declared{hint, std::nullopt};
    const double predicted = estimator_.predict(kind_, declared, kTypical).mean;
    now_ += milliseconds(100);
    estimator_.observe(now_, kind_, declared, tokens);
    return std::abs(predicted - tokens) / tokens;
  }
  /// Median relative error over `count` answers of `make_tokens(hint)`, with hints from 20 to 2,000.
  template <typename MakeTokens>
  double median_error(int count, MakeTokens make_tokens) {
    std::vector<double> errors;
    for (int index = 0; index < count; ++index) {
      const double hint = std::exp(std::uniform_real_distribution<double>(std::log(20), std::log(2000))(random_));
      errors.push_back(answer(hint, make_tokens(hint)));
    }
    std::nth_element(errors.begin(), errors.begin() + count / 2, errors.end());
    return errors[static_cast<size_t>(count) / 2];
  }

 private:
  AnswerSizeEstimator& estimator_;
  RequestKind kind_;
  std::mt19937 random_;
  TimePoint now_ = kStart;
};

// Guards against predictions that are useless, or not numbers, before anything was observed.
TEST(AnswerSizeEstimator, PredictsFromDeclaredSizesAtFirst) {
  const AnswerSizeEstimator estimator;
  EXPECT_DOUBLE_EQ(estimator.predict(kKind, {}, kTypical).mean, kTypical);
  EXPECT_DOUBLE_EQ(estimator.predict(kKind, {500, std::nullopt}, kTypical).mean, 500);
  EXPECT_DOUBLE_EQ(estimator.predict(kKind, {500, 300}, kTypical).mean, 300) << "no answer exceeds its maximum";
  EXPECT_DOUBLE_EQ(estimator.predict(kKind, {std::nullopt, 4000}, kTypical).mean, kTypical)
      << "few answers are as long as they may be";
  EXPECT_DOUBLE_EQ(estimator.predict(kKind, {std::nullopt, 4000}, kTypical).high, 4000);
  const auto nonsense = estimator.predict(kKind, {std::numeric_limits<double>::quiet_NaN(), -5}, kTypical);
  EXPECT_DOUBLE_EQ(nonsense.mean, kTypical);
  EXPECT_GT(estimator.predict(kKind, {}, 0).mean, 0) << "nothing is known at all";
}

// Guards against a caller's steady bias staying in the predictions.
TEST(AnswerSizeEstimator, LearnsTheBiasOfHints) {
  for (const double bias : {0.1, 0.5, 3.0, 10.0}) {
    AnswerSizeEstimator estimator;
    Caller caller(estimator, "honest");
    const auto biased = [&](double hint) { return caller.draw_log_normal(hint * bias, 0.15); };
    caller.median_error(100, biased);
    EXPECT_LT(caller.median_error(200, biased), 0.25) << "bias " << bias;
  }
}

// Guards against following hints that say nothing about the answer.
TEST(AnswerSizeEstimator, IgnoresHintsThatSayNothing) {
  AnswerSizeEstimator estimator;
  Caller caller(estimator, "honest");
  const auto unrelated = [&](double) { return caller.draw_log_normal(350, 0.15); };
  caller.median_error(100, unrelated);
  EXPECT_LT(caller.median_error(200, unrelated), 0.25);
}

// Guards against one correction for all sizes of hints where callers guess small answers too high and large ones too
// low.
TEST(AnswerSizeEstimator, LearnsBiasesThatDependOnTheSizeOfTheHint) {
  AnswerSizeEstimator estimator;
  Caller caller(estimator, "honest");
  const auto bent = [&](double hint) { return caller.draw_log_normal(hint < 128 ? hint / 4 : hint * 4, 0.1); };
  caller.median_error(300, bent);
  EXPECT_LT(caller.median_error(300, bent), 0.25);
}

// Guards against a few huge answers that drag all predictions up.
TEST(AnswerSizeEstimator, WithstandsHeavyTails) {
  AnswerSizeEstimator estimator;
  Caller caller(estimator, "honest");
  int sent = 0;
  const auto heavy = [&](double hint) { return ++sent % 20 == 0 ? hint * 100 : caller.draw_log_normal(hint, 0.1); };
  caller.median_error(100, heavy);
  const auto prediction = estimator.predict(kKind, {500, std::nullopt}, kTypical);
  EXPECT_LT(prediction.mean, 1000);
  EXPECT_GT(prediction.mean, 400);
}

// Guards against a high quantile that answers exceed often, or that is as far off as the largest one.
TEST(AnswerSizeEstimator, MostAnswersStayWithinTheHighPrediction) {
  AnswerSizeEstimator estimator;
  Caller caller(estimator, "honest");
  int within = 0;
  for (int index = 0; index < 600; ++index) {
    const double tokens = caller.draw_log_normal(400, 0.6);
    within += tokens <= estimator.predict(kKind, {400, std::nullopt}, kTypical).high ? 1 : 0;
    caller.answer(400, tokens);
  }
  EXPECT_GT(within, 600 * 0.83);
  EXPECT_LT(within, 600 * 0.97);
}

// Guards against false hints of one tenant that mislead the predictions for the others.
TEST(AnswerSizeEstimator, ALyingTenantMisleadsNoOther) {
  AnswerSizeEstimator estimator;
  Caller liar(estimator, "liar", 2);
  Caller first(estimator, "first", 3);
  Caller second(estimator, "second", 4);
  for (int index = 0; index < 100; ++index) {
    liar.answer(10, 1000);
    liar.answer(10, 1000);
    first.answer(200, first.draw_log_normal(200, 0.1));
    second.answer(200, second.draw_log_normal(200, 0.1));
  }
  EXPECT_NEAR(estimator.predict(kind_of("first"), {200, std::nullopt}, kTypical).mean, 200, 40);
  EXPECT_NEAR(estimator.predict(kind_of("newcomer"), {200, std::nullopt}, kTypical).mean, 200, 60);
  EXPECT_NEAR(estimator.predict(kind_of("liar"), {10, std::nullopt}, kTypical).mean, 1000, 100);
}

// Guards against a newcomer that is misled without bound where only a lying tenant was observed.
TEST(AnswerSizeEstimator, BoundsTheCorrectionByOthers) {
  AnswerSizeEstimator estimator;
  Caller liar(estimator, "liar");
  for (int index = 0; index < 100; ++index) {
    liar.answer(10, 1000);
  }
  EXPECT_LE(estimator.predict(kind_of("newcomer"), {10, std::nullopt}, kTypical).mean, 40);
  Caller newcomer(estimator, "newcomer");
  for (int index = 0; index < 10; ++index) {
    newcomer.answer(10, 10);
  }
  EXPECT_NEAR(estimator.predict(kind_of("newcomer"), {10, std::nullopt}, kTypical).mean, 10, 2);
}

// Guards against predictions that keep to what a caller did long ago.
TEST(AnswerSizeEstimator, FollowsACallerThatChanges) {
  AnswerSizeEstimator estimator;
  Caller caller(estimator, "honest");
  for (int index = 0; index < 1000; ++index) {
    caller.answer(100, 1000);
  }
  for (int index = 0; index < 40; ++index) {
    caller.answer(100, 100);
  }
  EXPECT_NEAR(estimator.predict(kKind, {100, std::nullopt}, kTypical).mean, 100, 10);
  estimator.observe(kStart + seconds(3 * 3600), kKind, {100, std::nullopt}, 300);
  EXPECT_GT(estimator.predict(kKind, {100, std::nullopt}, kTypical).mean, 110)
      << "answers of hours ago give way at once";
}

// Guards against a false maximum that hides what a caller's answers really take.
TEST(AnswerSizeEstimator, DoesNotBelieveAMaximumThatAnswersExceed) {
  AnswerSizeEstimator estimator;
  for (int index = 0; index < 20; ++index) {
    estimator.observe(kStart, kKind, {std::nullopt, 10}, 800);
  }
  EXPECT_GT(estimator.predict(kKind, {std::nullopt, 10}, kTypical).mean, 500);
}

// Guards against memory that grows with the number of kinds, and against the eviction of kinds in use.
TEST(AnswerSizeEstimator, KeepsTheMostRecentlyUsedKinds) {
  AnswerSizeEstimator estimator(20);
  for (int index = 0; index < 1000; ++index) {
    estimator.observe(kStart, kind_of("t" + std::to_string(index)), {100, std::nullopt}, 100);
    estimator.observe(kStart, kKind, {100, std::nullopt}, 900);
    ASSERT_LE(estimator.size(), 20U);
  }
  EXPECT_NEAR(estimator.predict(kKind, {100, std::nullopt}, kTypical).mean, 900, 1);
}

// Guards against errors that are counted in a wrong class, or divided by zero.
TEST(PredictionErrorHistogram, CountsRatiosOfActualToPredicted) {
  PredictionErrorHistogram errors;
  errors.add(100, 10);
  errors.add(100, 100);
  errors.add(100, 125);
  errors.add(100, 1000);
  errors.add(0, 1000);
  EXPECT_EQ(errors.total(), 4U);
  EXPECT_EQ(errors.counts(), (std::array<uint64_t, PredictionErrorHistogram::kBucketCount>{1, 0, 0, 2, 0, 0, 1}));
}

// Guards against repeated events and comments that count as tokens.
TEST(EventStreamSplitter, CountsEachEventWithAnIdOnce) {
  requests::EventStreamSplitter stream;
  stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n: alive\n\n");
  stream.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda");
  EXPECT_EQ(stream.event_count(), 3);
}

}  // namespace
}  // namespace larchlever::engine
