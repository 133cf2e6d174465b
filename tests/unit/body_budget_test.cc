#include "core/requests/body_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

namespace larchlever::requests {
namespace {

constexpr size_t kMebibyte = 1U << 20U;
constexpr size_t kLimit = 16 * kMebibyte;
constexpr size_t kLongBodies = 12 * kMebibyte;  // kLongBodyShare of the limit.
constexpr TimePoint kStart{seconds(100)};

class BodyBudgetTest : public testing::Test {
 protected:
  /// Bodies are named by the order of their begin.
  BodyReservation& begin(TimePoint now = kStart) {
    const auto number = static_cast<int>(bodies_.size());
    bodies_.push_back(std::make_unique<BodyReservation>(budget_, now, [this, number] { evicted_.push_back(number); }));
    return *bodies_.back();
  }

  BodyBudget budget_{kLimit};
  std::deque<std::unique_ptr<BodyReservation>> bodies_;
  std::vector<int> evicted_;
};

// Incomplete bodies were held without a limit on their total size.
TEST_F(BodyBudgetTest, IncompleteBodiesNeverExceedTheLimit) {
  for (int client = 0; client < 100; ++client) {
    begin();
  }
  for (size_t size = kMebibyte / 8; size <= 4 * kMebibyte; size += kMebibyte / 8) {
    for (auto& body : bodies_) {
      if (!body->is_evicted()) {
        body->grow_to(kStart, size);
      }
      EXPECT_LE(budget_.reserved_bytes(), kLongBodies);
    }
  }
  EXPECT_GE(budget_.reserved_bytes(), 4 * kMebibyte);
}

// Clients that let long bodies rest must not keep short requests out.
TEST_F(BodyBudgetTest, SmallBodiesFitBesideLongOnes) {
  for (int client = 0; client < 3; ++client) {
    EXPECT_TRUE(begin().grow_to(kStart, 4 * kMebibyte));
  }
  auto& small = begin();
  EXPECT_TRUE(small.grow_to(kStart, BodyBudget::kSmallBodyBytes));
  EXPECT_TRUE(small.complete(kStart));
  EXPECT_TRUE(evicted_.empty());
}

TEST_F(BodyBudgetTest, StalledBodiesAreEvictedBeforeLongerOnesThatGrow) {
  begin().grow_to(kStart, 2 * kMebibyte);
  const TimePoint now = kStart + BodyBudget::kStalledAfter;
  EXPECT_TRUE(begin(now).grow_to(now, 10 * kMebibyte));
  EXPECT_TRUE(begin(now).grow_to(now, kMebibyte));
  EXPECT_EQ(evicted_, std::vector<int>{0});
}

TEST_F(BodyBudgetTest, OfBodiesOfAboutTheSameSizeTheFirstIsEvicted) {
  begin().grow_to(kStart, 4 * kMebibyte);
  begin().grow_to(kStart, 5 * kMebibyte);
  EXPECT_TRUE(begin().grow_to(kStart, 4 * kMebibyte));
  EXPECT_EQ(evicted_, std::vector<int>{0});
}

TEST_F(BodyBudgetTest, CompleteBodiesCountTwiceAndAreNotEvicted) {
  auto& complete = begin();
  EXPECT_TRUE(complete.grow_to(kStart, 4 * kMebibyte));
  EXPECT_TRUE(complete.complete(kStart));
  EXPECT_EQ(budget_.reserved_bytes(), 8 * kMebibyte);
  EXPECT_FALSE(begin().grow_to(kStart, 5 * kMebibyte));
  EXPECT_TRUE(evicted_.empty());
  EXPECT_FALSE(complete.is_evicted());
}

// A request within the limits is served in calm, however small the budget is.
TEST_F(BodyBudgetTest, OneBodyMayExceedTheLimitAlone) {
  auto& body = begin();
  EXPECT_TRUE(body.grow_to(kStart, 2 * kLimit));
  EXPECT_TRUE(body.complete(kStart));
  EXPECT_FALSE(begin().grow_to(kStart, kMebibyte));
}

TEST_F(BodyBudgetTest, EndedBodiesReleaseTheirPart) {
  begin().grow_to(kStart, kMebibyte);
  begin().grow_to(kStart, kMebibyte);
  ASSERT_TRUE(bodies_[1]->complete(kStart));
  bodies_.clear();
  EXPECT_EQ(budget_.reserved_bytes(), 0U);
}

}  // namespace
}  // namespace larchlever::requests
