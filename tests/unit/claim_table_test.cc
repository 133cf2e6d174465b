#include "core/ledger/claim_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>

namespace larchlever::ledger {
namespace {

wire::Claim make_claim(const std::string& key, const std::string& entry, int64_t nonce) {
  wire::Claim claim;
  claim.tenant = "tenant";
  claim.key = key;
  claim.entry = entry;
  claim.entry_incarnation = 1;
  claim.nonce = nonce;
  return claim;
}

wire::ClaimResolution make_resolution(const wire::Claim& claim, wire::ClaimState::type state) {
  wire::ClaimResolution resolution;
  resolution.tenant = claim.tenant;
  resolution.key = claim.key;
  resolution.entry = claim.entry;
  resolution.entry_incarnation = claim.entry_incarnation;
  resolution.nonce = claim.nonce;
  resolution.state = state;
  resolution.answer_body = "answer";
  resolution.answer_content_type = "text/plain";
  return resolution;
}

TEST(ClaimTable, GrantsKeyOnceAndRepeatsGrantToSameRequest) {
  ClaimTable table;
  const auto first_claim = make_claim("k", "n1", 1);
  EXPECT_TRUE(table.claim(first_claim, 1000).granted);
  EXPECT_TRUE(table.claim(first_claim, 1001).granted);
  const auto competing_claim = table.claim(make_claim("k", "n2", 1), 1002);
  EXPECT_FALSE(competing_claim.granted);
  EXPECT_EQ(competing_claim.existing_claim.state, wire::ClaimState::IN_PROGRESS);
}

TEST(ClaimTable, ReplaysStoredAnswerAndFreesKeyThatDidNotRun) {
  ClaimTable table;
  const auto ran = make_claim("ran", "n1", 1);
  table.claim(ran, 1);
  table.resolve(make_resolution(ran, wire::ClaimState::RAN), 2);
  EXPECT_EQ(table.claim(make_claim("ran", "n2", 5), 3).existing_claim.answer_body, "answer");
  const auto not_run = make_claim("not", "n1", 2);
  table.claim(not_run, 1);
  table.resolve(make_resolution(not_run, wire::ClaimState::NOT_RUN), 2);
  EXPECT_TRUE(table.claim(make_claim("not", "n2", 6), 3).granted);
}

TEST(ClaimTable, NotRunResolutionBlocksLateClaimOfSameRequest) {
  ClaimTable table;
  const auto late_claim = make_claim("k", "n1", 1);
  table.resolve(make_resolution(late_claim, wire::ClaimState::NOT_RUN), 1);
  EXPECT_FALSE(table.claim(late_claim, 2).granted);
  EXPECT_TRUE(table.claim(make_claim("k", "n2", 2), 3).granted);
}

TEST(ClaimTable, MarksClaimsOfLostEntryUnknown) {
  ClaimTable table;
  const auto claim = make_claim("k", "n1", 1);
  table.claim(claim, 1);
  table.mark_outcomes_unknown("n1", Incarnation(2));
  EXPECT_EQ(table.find("tenant", "k")->state, wire::ClaimState::IN_PROGRESS)
      << "the lost incarnation is a different one";
  table.mark_outcomes_unknown("n1", Incarnation(1));
  EXPECT_FALSE(table.claim(make_claim("k", "n2", 2), 2).granted);
  EXPECT_EQ(table.find("tenant", "k")->state, wire::ClaimState::UNKNOWN);
}

TEST(ClaimTable, RefusesKeysOlderThanWindow) {
  ClaimTable table;
  table.set_window_ms(1000);
  auto old_claim = make_claim("k", "n1", 1);
  old_claim.claimed_at_ms = 5000;
  EXPECT_TRUE(table.claim(old_claim, 6000).key_expired);
  EXPECT_FALSE(table.claim(old_claim, 6000).granted);
}

TEST(ClaimTable, BoundsStoredAnswersAndRestoresSnapshot) {
  ClaimTable table(ClaimLimits{1'000'000, 10, 100});
  for (int number = 0; number < 5; ++number) {
    const auto claim = make_claim("k" + std::to_string(number), "n1", number);
    table.claim(claim, number);
    table.resolve(make_resolution(claim, wire::ClaimState::RAN), number);
    table.expire(number);
  }
  EXPECT_LE(table.stored_bytes(), 10U);
  EXPECT_EQ(table.size(), 5U);
  ClaimTable restored(ClaimLimits{1'000'000, 10, 100});
  restored.restore(table.all_claims());
  EXPECT_EQ(restored.size(), 5U);
  EXPECT_EQ(restored.stored_bytes(), table.stored_bytes());
  EXPECT_FALSE(restored.claim(make_claim("k0", "n2", 9), 10).granted);
}

TEST(ClaimTable, GrantsKeyAtMostOnceInAnyOrder) {
  rc::check([] {
    ClaimTable table;
    std::map<std::string, int> active_grants;
    std::set<std::pair<std::string, int64_t>> granted;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 3));
      const auto claim = make_claim(key, "n" + std::to_string(*rc::gen::inRange(0, 3)), *rc::gen::inRange(0, 4));
      const auto id = std::pair(key, claim.nonce * 10 + (claim.entry.back() - '0'));
      if (*rc::gen::inRange(0, 2) == 0) {
        if (table.claim(claim, step).granted && granted.insert(id).second) {
          ++active_grants[key];
        }
      } else if (granted.contains(id)) {
        const bool not_run = *rc::gen::inRange(0, 2) == 0;
        const auto* standing = table.find("tenant", key);
        const bool holds_claim = standing != nullptr && standing->entry == claim.entry &&
                                 standing->nonce == claim.nonce && standing->state == wire::ClaimState::IN_PROGRESS;
        table.resolve(make_resolution(claim, not_run ? wire::ClaimState::NOT_RUN : wire::ClaimState::RAN), step);
        if (holds_claim && not_run) {
          --active_grants[key];
        }
      }
      for (const auto& [name, count] : active_grants) {
        RC_ASSERT(count <= 1);
      }
    }
  });
}

}  // namespace
}  // namespace larchlever::ledger
