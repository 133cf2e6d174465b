#pragma once

#include <deque>
#include <map>
#include <string>

#include "core/base/time.h"

namespace larchlever::fleet {

/// The retries that all entries together may send to a service in any window: `ratio` times its requests plus `slack`.
struct RetryLimits {
  double ratio = 0;
  double slack = 0;
  Duration window{};
};

/// One entry's share of the retry budget of each service.
///
/// Guarantees that the shares of all entries add up to no more than the budget over any window, also if entries are
/// killed and restarted, join and leave, or their load moves from one to the other. An entry needs to remember nothing
/// over a restart for that:
/// - Each request earns a credit of a fraction of a retry, which expires soon. A restarted entry has no credit that its
///   predecessor may have spent.
/// - The slack is divided evenly among the entries. For one window after its start, an entry leaves its share to its
///   predecessor, whose retries may still count. An entry that started before the fleet served its first request has no
///   such predecessor.
///
/// The guarantee requires that the service's requests per window do not drop by more than the unused part of the budget
/// from one window to the next. Single-threaded, deterministic.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimits& limits) : limits_(limits) {}

  /// The entry started at this time. Without it, the first request counts as the start.
  void start(TimePoint now);
  /// No entry had sent a request to a server by `time`, the latest such time known.
  void note_no_requests_until(TimePoint time);
  /// Sets the highest number of entries that shared the budget within the last window.
  void set_entry_count(int count) { entry_count_ = count < 1 ? 1 : count; }
  /// Records a request that a caller sent to this entry.
  void note_request(TimePoint now, const std::string& service);
  /// Consumes a retry. Returns false if this entry's share does not allow one.
  bool try_take(TimePoint now, const std::string& service);
  /// How many retries `try_take` would grant now.
  int remaining(TimePoint now, const std::string& service);

 private:
  /// A part of a retry that was earned or spent.
  struct Portion {
    TimePoint at{};
    double amount = 0;
  };
  /// Portions of a limited time, oldest first.
  class RecentPortions {
   public:
    void add(TimePoint now, double amount);
    /// Removes up to `amount` of the oldest portions. Returns how much was removed.
    double take(double amount);
    void drop_older_than(TimePoint oldest);
    double sum() const { return sum_; }

   private:
    std::deque<Portion> portions_;
    double sum_ = 0;
  };
  struct ServiceShare {
    RecentPortions credits;
    RecentPortions spent_slack;
  };

  ServiceShare& refresh(TimePoint now, const std::string& service);
  double remaining_slack(TimePoint now, const ServiceShare& share) const;

  RetryLimits limits_;
  int entry_count_ = 1;
  TimePoint started_at_ = TimePoint::max();
  TimePoint slack_available_at_ = TimePoint::max();
  std::map<std::string, ServiceShare> shares_;
};

}  // namespace larchlever::fleet
