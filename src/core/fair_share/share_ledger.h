#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time.h"
#include "core/fair_share/decaying_sum.h"
#include "core/fair_share/urgency_ranks.h"
#include "core/fair_share/virtual_clock.h"

/// Fair sharing of a pool of servers between tenants and urgencies.
namespace larchlever::fair_share {

/// A request that waits for a server of the pool.
struct PendingRequest {
  /// Requests without a tenant share the account of the empty name. Valid during the call.
  std::string_view tenant;
  /// Lower values are more urgent; 0 is the most urgent.
  int urgency = 0;
  /// It can only be answered late; requests that can still be in time go first.
  bool has_missed_objective = false;
  TimePoint arrived_at{};
  /// Expected occupation of a server, in milliseconds of a slot.
  double cost = 0;
};

/// Decides the order in which the requests that compete for one pool of servers are admitted. Only the order is
/// decided, so room that no other tenant wants goes to whoever wants it.
///
/// Answers loads in which a few tenants want many times their shares, and loads in which urgent requests alone exceed
/// the pool. Requests are ordered by:
///  1. tenants whose demand fits into their max-min fair share of the pool, then those that want more but were admitted
///     less than their share lately, then the others;
///  2. urgency, with a floor for the less urgent (urgency_ranks.h);
///  3. whether they can still be in time;
///  4. start tag (start-time fair queueing): what their tenant was admitted and has waiting before them;
///  5. arrival.
/// While an urgency is not served better than a less urgent one, its requests are treated like the first as far as
/// their tenants do not want far more than the other tenants.
///
/// The state is soft. An empty ledger treats all tenants alike, so no tenant starves while it fills. Single-threaded,
/// deterministic.
class ShareLedger {
 public:
  /// Bound on the tenants with an account. Beyond it, the one that was silent for the longest time loses its account.
  static constexpr size_t kMaxTenants = 4096;

  /// A request arrived. Attempts that a caller repeats count again, as demand of its tenant.
  void note_arrival(TimePoint now, const PendingRequest& request);
  /// The request was admitted.
  void note_admission(TimePoint now, const PendingRequest& request);
  /// Indices of `waiting` in the order in which the requests are to be offered room.
  std::vector<size_t> admission_order(TimePoint now, const std::vector<PendingRequest>& waiting);
  /// Removes the accounts of silent tenants.
  void forget_silent_tenants(TimePoint now);

  /// What the tenant was admitted lately, and its max-min fair share, as parts of all that was admitted lately. The
  /// share is 1 if all demands fit.
  struct TenantUsage {
    double used = 0;
    double share = 1;
  };
  TenantUsage usage_of(TimePoint now, const std::string& tenant) const;

  size_t tenant_count() const { return accounts_.size(); }

 private:
  /// Callers send irregularly within seconds; loads that last longer are to be answered.
  static constexpr Duration kShareMemory = seconds(5);
  /// A tenant without requests for this long is silent. As long as the memory of shares, so that callers who send one
  /// request every few seconds count as active.
  static constexpr Duration kSilence = kShareMemory;
  /// A less urgent caller waits about as long at the start of an overload by urgent ones before its floor holds.
  static constexpr Duration kUrgencyMemory = seconds(1);

  static std::array<RecentDemand, kUrgencies> make_demand_by_urgency();

  struct Account {
    /// Finish tag of the tenant's last admitted request, in the pool's virtual time.
    double finish_tag = 0;
    TimePoint last_arrival{};
    RecentDemand demand{kShareMemory};
    /// Stands for what the tenant would have been admitted while it was silent, so that it has no claim to it.
    DecayingSum forgone{kShareMemory};
    /// When it last sent its first request after a silence, if it did.
    std::optional<TimePoint> returned_at;
    std::array<RecentDemand, kUrgencies> demand_by_urgency = make_demand_by_urgency();
    /// Part of its demand that does not go far beyond the demands of other tenants.
    double max_counted_demand = 0;
  };
  /// How far a request is protected from the requests of other tenants, of any urgency; the strongest first.
  enum class Protection {
    /// All that the tenant wants fits into its share.
    kComplete,
    /// The tenant wants more, and was admitted less than its share.
    kUpToShare,
    kNone,
  };
  /// What the order of a request depends on, without the request itself.
  struct Standing {
    Protection protection = Protection::kNone;
    double start_tag = 0;
  };

  /// The tenant's account; a new one if it has none.
  Account& account_of(TimePoint now, const PendingRequest& request);
  /// Puts a tenant that was silent where the tenants are that compete: a request before them, but without a claim to
  /// the time of its silence.
  void join_competition(TimePoint now, const PendingRequest& request, Account& account) const;
  /// What the tenant was admitted lately or had no claim to.
  static double recent_use(TimePoint now, const Account& account) {
    return account.demand.admitted.value(now) + account.forgone.value(now);
  }
  /// Updates the share and the ranks of urgencies if they are outdated.
  void review_shares(TimePoint now);
  /// The tag at which the tenant's next request starts.
  double next_start_tag(TimePoint now, const Account& account);
  /// What the tenant's demand is compared with. The demand of a tenant that has just returned is not known yet, so it
  /// is assumed to be unlimited.
  double share_of(TimePoint now, const Account& account) const;
  /// The protection of a request whose tenant was admitted `use` lately, with its waiting requests before this one.
  Protection protection_of(TimePoint now, const Account& account, double use, size_t urgency) const;
  /// Standings of `waiting`; each request stands behind those of its own tenant that precede it in `own_order`.
  std::vector<Standing> find_standings(TimePoint now, const std::vector<PendingRequest>& waiting,
                                       const std::vector<size_t>& own_order);

  std::map<std::string, Account, std::less<>> accounts_;
  VirtualClock clock_;
  /// Smallest start tag of the tenants that had requests waiting at the last review; a tenant that returns starts
  /// there.
  double least_waiting_tag_ = 0;
  /// Max-min fair share of the cost admitted lately.
  double share_ = std::numeric_limits<double>::infinity();
  /// What one more tenant with unlimited demand would have been admitted lately.
  double share_of_newcomer_ = 0;
  /// When the ledger got its first request. A tenant that it does not know soon after that need not have been silent.
  std::optional<TimePoint> started_at_;
  UrgencyRanks ranks_;
  TimePoint next_review_ = TimePoint::min();
};

}  // namespace larchlever::fair_share
