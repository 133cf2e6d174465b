#include "core/fair_share/share_ledger.h"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "core/fair_share/max_min_share.h"

namespace larchlever::fair_share {

namespace {

/// Shares and ranks change over seconds, so they are computed anew only at this interval.
constexpr Duration kReviewInterval = milliseconds(50);
/// Part of its share up to which a tenant is protected from the urgent requests of others. A tenant that wants just its
/// share gets most of it whatever others want. Tenants that all want more are admitted about their shares, so their
/// requests compete by urgency.
constexpr double kProtectedPart = 0.95;
/// After this time without requests nothing that an account holds matters: claims have ended, and sums have decayed to
/// a few per cent.
constexpr Duration kSilenceUntilForgotten = seconds(20);
static_assert(kSilenceUntilForgotten > VirtualClock::kMaxClaimAge);

size_t urgency_index(const PendingRequest& request) {
  return static_cast<size_t>(std::clamp(request.urgency, 0, static_cast<int>(kUrgencies) - 1));
}

TenantDemand demand_at(TimePoint now, const std::array<RecentDemand, kUrgencies>& demand) {
  TenantDemand result;
  for (size_t urgency = 0; urgency < kUrgencies; ++urgency) {
    result.wanted.at(urgency) = demand.at(urgency).wanted.value(now);
    result.admitted.at(urgency) = demand.at(urgency).admitted.value(now);
  }
  return result;
}

}  // namespace

std::array<RecentDemand, kUrgencies> ShareLedger::make_demand_by_urgency() {
  const RecentDemand none(kUrgencyMemory);
  return {none, none, none, none, none, none, none, none};
}

ShareLedger::Account& ShareLedger::account_of(TimePoint now, const PendingRequest& request) {
  const auto found = accounts_.find(request.tenant);
  if (found != accounts_.end()) {
    return found->second;
  }
  if (accounts_.size() >= kMaxTenants) {
    accounts_.erase(std::min_element(accounts_.begin(), accounts_.end(), [](const auto& left, const auto& right) {
      return left.second.last_arrival < right.second.last_arrival;
    }));
  }
  Account account;
  account.last_arrival = now;
  join_competition(now, request, account);
  return accounts_.emplace(request.tenant, account).first->second;
}

void ShareLedger::join_competition(TimePoint now, const PendingRequest& request, Account& account) const {
  const bool may_have_been_active = now - started_at_.value_or(now) < kSilence;
  if (may_have_been_active) {
    return;
  }
  account.finish_tag = std::max(account.finish_tag, least_waiting_tag_);
  account.returned_at = now;
  account.forgone.add(now, std::max(0.0, share_of_newcomer_ - request.cost - recent_use(now, account)));
}

void ShareLedger::note_arrival(TimePoint now, const PendingRequest& request) {
  started_at_ = started_at_.value_or(now);
  review_shares(now);
  Account& account = account_of(now, request);
  if (now - account.last_arrival > kSilence) {
    join_competition(now, request, account);
  }
  account.last_arrival = now;
  account.demand.wanted.add(now, request.cost);
  account.demand_by_urgency.at(urgency_index(request)).wanted.add(now, request.cost);
}

void ShareLedger::note_admission(TimePoint now, const PendingRequest& request) {
  Account& account = account_of(now, request);
  const double start_tag = next_start_tag(now, account);
  account.finish_tag = start_tag + request.cost;
  clock_.advance(now, start_tag);
  account.demand.admitted.add(now, request.cost);
  account.demand_by_urgency.at(urgency_index(request)).admitted.add(now, request.cost);
}

double ShareLedger::next_start_tag(TimePoint now, const Account& account) {
  return std::max(account.finish_tag, clock_.oldest_claim(now));
}

void ShareLedger::review_shares(TimePoint now) {
  if (now < next_review_) {
    return;
  }
  next_review_ = now + kReviewInterval;
  std::vector<TenantDemand> demands;
  std::vector<double> wanted;
  double admitted = 0;
  for (const auto& [name, account] : accounts_) {
    demands.push_back(demand_at(now, account.demand_by_urgency));
    wanted.push_back(account.demand.wanted.value(now));
    admitted += account.demand.admitted.value(now);
  }
  const double total_wanted = std::accumulate(wanted.begin(), wanted.end(), 0.0);
  for (auto& [name, account] : accounts_) {
    account.max_counted_demand = max_counted_demand(account.demand.wanted.value(now), total_wanted, accounts_.size());
  }
  share_ = max_min_share(wanted, admitted);
  wanted.push_back(std::numeric_limits<double>::infinity());
  share_of_newcomer_ = max_min_share(std::move(wanted), admitted);
  ranks_ = rank_urgencies(served_ratios(demands));
}

double ShareLedger::share_of(TimePoint now, const Account& account) const {
  const bool has_just_returned = account.returned_at && now - *account.returned_at < kShareMemory;
  return has_just_returned ? share_of_newcomer_ : share_;
}

ShareLedger::Protection ShareLedger::protection_of(TimePoint now, const Account& account, double use,
                                                   size_t urgency) const {
  const double share = share_of(now, account);
  const bool is_of_urgency_behind = ranks_.is_behind.at(urgency) && use <= account.max_counted_demand;
  if (is_of_urgency_behind || account.demand.wanted.value(now) + account.forgone.value(now) <= share) {
    return Protection::kComplete;
  }
  return use <= kProtectedPart * share ? Protection::kUpToShare : Protection::kNone;
}

std::vector<ShareLedger::Standing> ShareLedger::find_standings(TimePoint now,
                                                               const std::vector<PendingRequest>& waiting,
                                                               const std::vector<size_t>& own_order) {
  struct TenantQueue {
    const Account* account = nullptr;
    double next_start_tag = 0;
    double use = 0;
  };
  const Account newcomer;
  std::map<std::string_view, TenantQueue> queues;
  std::vector<Standing> standings(waiting.size());
  least_waiting_tag_ = clock_.current();
  for (const size_t index : own_order) {
    const auto& request = waiting[index];
    const auto [item, is_first] = queues.try_emplace(request.tenant);
    TenantQueue& queue = item->second;
    if (is_first) {
      const auto found = accounts_.find(request.tenant);
      const Account& account = found == accounts_.end() ? newcomer : found->second;
      queue = {&account, next_start_tag(now, account), recent_use(now, account)};
      least_waiting_tag_ = std::min(least_waiting_tag_, queue.next_start_tag);
    }
    standings[index].protection = protection_of(now, *queue.account, queue.use, urgency_index(request));
    standings[index].start_tag = queue.next_start_tag;
    queue.next_start_tag += request.cost;
    queue.use += request.cost;
  }
  return standings;
}

std::vector<size_t> ShareLedger::admission_order(TimePoint now, const std::vector<PendingRequest>& waiting) {
  review_shares(now);
  std::vector<size_t> order(waiting.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const auto own_key = [&](size_t index) {
    const auto& request = waiting[index];
    return std::tuple(ranks_.rank.at(urgency_index(request)), request.has_missed_objective, request.arrived_at);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t left, size_t right) { return own_key(left) < own_key(right); });
  const auto standings = find_standings(now, waiting, order);
  const auto key = [&](size_t index) {
    const auto [rank, has_missed_objective, arrived_at] = own_key(index);
    return std::tuple(standings[index].protection, rank, has_missed_objective, standings[index].start_tag, arrived_at);
  };
  std::stable_sort(order.begin(), order.end(), [&](size_t left, size_t right) { return key(left) < key(right); });
  return order;
}

ShareLedger::TenantUsage ShareLedger::usage_of(TimePoint now, const std::string& tenant) const {
  TenantUsage result;
  double admitted = 0;
  for (const auto& [name, account] : accounts_) {
    admitted += account.demand.admitted.value(now);
  }
  const auto found = accounts_.find(tenant);
  if (admitted > 0) {
    result.used = found == accounts_.end() ? 0 : found->second.demand.admitted.value(now) / admitted;
    result.share = std::min(1.0, share_ / admitted);
  }
  return result;
}

void ShareLedger::forget_silent_tenants(TimePoint now) {
  std::erase_if(accounts_, [now](const auto& item) { return now - item.second.last_arrival > kSilenceUntilForgotten; });
}

}  // namespace larchlever::fair_share
