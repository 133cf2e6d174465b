#include "core/fair_share/share_ledger.h"

#include <gtest/gtest.h>

#include <cmath>

#include "core/fair_share/max_min_share.h"
#include "core/fair_share/urgency_ranks.h"

namespace larchlever::fair_share {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

PendingRequest pending(std::string_view tenant, Duration arrived_after = {}, double cost = 100, int urgency = 0) {
  return {tenant, urgency, false, kStart + arrived_after, cost};
}

/// The tenants of `waiting` in the order of admission.
std::vector<std::string> tenants_in_order(ShareLedger& ledger, TimePoint now,
                                          const std::vector<PendingRequest>& waiting) {
  std::vector<std::string> result;
  for (const size_t index : ledger.admission_order(now, waiting)) {
    result.emplace_back(waiting[index].tenant);
  }
  return result;
}

using Names = std::vector<std::string>;

// Guards against a tenant that queues many requests first and thereby delays the others.
TEST(ShareLedger, AlternatesBetweenTenantsWithWaitingRequests) {
  ShareLedger ledger;
  const std::vector<PendingRequest> waiting = {pending("a", milliseconds(1)), pending("a", milliseconds(2)),
                                               pending("a", milliseconds(3)), pending("b", milliseconds(4)),
                                               pending("b", milliseconds(5))};
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting), (Names{"a", "b", "a", "b", "a"}));
}

// Guards against shares counted in requests: a tenant would gain by making its requests larger.
TEST(ShareLedger, CountsCostInsteadOfRequests) {
  ShareLedger ledger;
  std::vector<PendingRequest> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(pending("large", milliseconds(i), 400));
    waiting.push_back(pending("small", milliseconds(i), 100));
  }
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting),
            (Names{"large", "small", "small", "small", "small", "large", "large", "large"}));
}

// Guards against charges that are lost when a request is admitted without waiting.
TEST(ShareLedger, PutsTheTenantBehindThatWasAdmittedBefore) {
  ShareLedger ledger;
  ledger.note_arrival(kStart, pending("a"));
  ledger.note_admission(kStart, pending("a"));
  ledger.note_arrival(kStart, pending("b"));
  const std::vector<PendingRequest> waiting = {pending("a", milliseconds(1)), pending("b", milliseconds(2))};
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting), (Names{"b", "a"}));
}

// Guards against capacity spent on requests that can only be late while others can still be in time.
TEST(ShareLedger, PrefersRequestsThatCanBeInTime) {
  ShareLedger ledger;
  std::vector<PendingRequest> waiting = {pending("late"), pending("in time", milliseconds(5))};
  waiting[0].has_missed_objective = true;
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting), (Names{"in time", "late"}));
}

// Guards against requests of old entries and public routes that escape the shares.
TEST(ShareLedger, RequestsWithoutTenantShareOneAccount) {
  ShareLedger ledger;
  const std::vector<PendingRequest> waiting = {pending(""), pending("", milliseconds(1)), pending("", milliseconds(2)),
                                               pending("a", milliseconds(3))};
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting), (Names{"", "a", "", ""}));
}

// Guards against a tenant that returns after a pause and displaces the others until it has made up for the pause.
TEST(ShareLedger, GivesNoClaimForIdleTime) {
  ShareLedger ledger;
  ledger.note_arrival(kStart, pending("idle"));
  ledger.note_admission(kStart, pending("idle"));
  TimePoint now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    ledger.note_arrival(now, pending("busy"));
    ledger.admission_order(now, {pending("busy")});
    ledger.note_admission(now, pending("busy"));
  }
  std::vector<PendingRequest> waiting;
  for (int i = 0; i < 6; ++i) {
    ledger.note_arrival(now, pending("busy"));
    ledger.note_arrival(now, pending("idle"));
    waiting.push_back(pending("busy", milliseconds(10'000 + i)));
    waiting.push_back(pending("idle", milliseconds(10'000 + i)));
  }
  const auto order = tenants_in_order(ledger, now + milliseconds(100), waiting);
  const auto idle_first = std::count(order.begin(), order.begin() + 6, "idle");
  EXPECT_GE(idle_first, 3);
  EXPECT_LE(idle_first, 4);
}

// Guards against a ledger that grows with the number of tenants ever seen.
TEST(ShareLedger, IsBoundedAndForgetsSilentTenants) {
  ShareLedger ledger;
  for (size_t i = 0; i < ShareLedger::kMaxTenants + 100; ++i) {
    const std::string tenant = "t" + std::to_string(i);
    ledger.note_arrival(kStart + microseconds(i), pending(tenant));
  }
  EXPECT_EQ(ledger.tenant_count(), ShareLedger::kMaxTenants);
  ledger.forget_silent_tenants(kStart + seconds(1));
  EXPECT_EQ(ledger.tenant_count(), ShareLedger::kMaxTenants);
  ledger.forget_silent_tenants(kStart + seconds(30));
  EXPECT_EQ(ledger.tenant_count(), 0);
}

// Guards against an order that depends on priorities outside the expected range.
TEST(ShareLedger, AcceptsAnyUrgency) {
  ShareLedger ledger;
  const std::vector<PendingRequest> waiting = {pending("a", {}, 100, 1'000'000), pending("b", {}, 100, -5)};
  EXPECT_EQ(tenants_in_order(ledger, kStart, waiting), (Names{"b", "a"}));
}

// Guards against a share that small demands leave unused, or that demands together exceed.
TEST(MaxMinShare, SharesWhatSmallDemandsLeave) {
  EXPECT_DOUBLE_EQ(max_min_share({1, 10, 10}, 9), 4);
  EXPECT_DOUBLE_EQ(max_min_share({10, 10, 10}, 9), 3);
  EXPECT_TRUE(std::isinf(max_min_share({1, 2, 3}, 6)));
  EXPECT_TRUE(std::isinf(max_min_share({}, 0)));
}

// Guards against urgent requests that starve the others, and against a floor that puts urgent ones at a disadvantage.
TEST(UrgencyRanks, FloorPutsAStarvedUrgencyFirst) {
  ServedRatios ratios;
  ratios[3] = 1;
  ratios[0] = 0.6;
  ratios[1] = 0.5;
  ratios[2] = 0.2;
  auto ranks = rank_urgencies(ratios);
  EXPECT_LT(ranks.rank[2], ranks.rank[0]);
  EXPECT_LT(ranks.rank[0], ranks.rank[1]) << "0.5 is within the floor of 0.6";
  EXPECT_TRUE(ranks.is_behind[0]) << "a less urgent one is served completely";
  ratios[2] = 0.4;
  ranks = rank_urgencies(ratios);
  EXPECT_LT(ranks.rank[0], ranks.rank[1]);
  EXPECT_LT(ranks.rank[1], ranks.rank[2]);
}

// Guards against one tenant's excess that counts as need of its whole urgency and so displaces other tenants.
TEST(UrgencyRanks, ExcessOfOneTenantIsNoDemandOfItsUrgency) {
  std::vector<TenantDemand> tenants(10);
  for (auto& tenant : tenants) {
    tenant.wanted[1] = tenant.admitted[1] = 1;
  }
  tenants[0] = {};
  tenants[0].wanted[0] = 100;
  tenants[0].admitted[0] = 2;
  EXPECT_DOUBLE_EQ(served_ratios(tenants)[0].value(), 1);
  EXPECT_DOUBLE_EQ(served_ratios(tenants)[1].value(), 1);
  EXPECT_FALSE(served_ratios(tenants)[2]) << "nothing is wanted";
}

}  // namespace
}  // namespace larchlever::fair_share
