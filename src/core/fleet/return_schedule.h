#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/base/time.h"
#include "core/fleet/turn_forecast.h"

namespace larchlever::fleet {

/// The times at which refused callers of one queue are told to return, spread in the order of their turns.
///
/// Load answered: many callers are refused within moments. Told the same delay, they would all return at the same
/// moment, and those that happen to be first would be served instead of those that were refused first.
///
/// A caller that returns as told stands in the queue by its first arrival, and its turn counts as ahead of those that
/// came later. A caller whose turn is too far away to heed is told an earlier time, and when it returns, a new one.
///
/// A caller that returns clearly before its time gains nothing: its time stays as it is. A caller that does not return
/// loses its place shortly after its time. Single-threaded, deterministic; remembers at most `kMaxCallers` callers.
class ReturnSchedule {
 public:
  /// Callers beyond this number are told a time, but not recognized when they return.
  static constexpr size_t kMaxCallers = 4096;

  /// The order in which a queue is served.
  struct Place {
    int32_t priority = 0;  ///< 0 is the highest.
    TimePoint first_arrived_at{};
    auto operator<=>(const Place&) const = default;
  };
  struct RefusedCaller {
    /// Empty if the caller cannot be recognized when it returns.
    std::optional<int64_t> fingerprint;
    Place place;
    /// Callers with the same value are served in the order of their places. Those of others are not compared, because
    /// the order between tenants follows their shares.
    std::string tenant = {};
  };
  struct DelayLimits {
    /// How long a request waits in the queue.
    Duration patience{};
    /// Longest delay that the caller heeds.
    Duration longest_delay{};
  };
  /// A caller that has come back.
  struct Return {
    TimePoint first_arrived_at{};
    /// When the caller was told to return, if it came clearly before that time.
    std::optional<TimePoint> awaited_at;
  };

  /// Refuses a caller that `requests_ahead` waiting requests precede; returns after which time it is to return.
  Duration assign(TimePoint now, const RefusedCaller& caller, const TurnPace& pace, double requests_ahead,
                  const DelayLimits& limits);
  /// Expected number of callers that were told to return by `until` and stand before `caller`. Callers that do not
  /// return are allowed for.
  double expected_before(const RefusedCaller& caller, TimePoint until) const;
  /// Empty if the caller was not told to return, or is too late. A caller that comes at its time takes its place.
  std::optional<Return> note_return(TimePoint now, int64_t fingerprint);
  /// The caller was served.
  void forget(int64_t fingerprint);
  /// Removes callers that did not return. To be called regularly.
  void drop_lapsed(TimePoint now);

  size_t size() const { return returns_.size(); }

 private:
  struct ExpectedReturn {
    RefusedCaller caller;
    /// A return before this time is clearly early.
    TimePoint earliest_return_at{};
  };
  using Returns = std::multimap<TimePoint, ExpectedReturn>;  ///< By the time at which the caller is to return.

  /// Expected number of callers of other tenants that are served before `caller`, which `own_before` of its own tenant
  /// precede: tenants above their shares are served in turn.
  double expected_of_others(const RefusedCaller& caller, double own_before) const;
  bool is_expected_after(TimePoint now, int64_t fingerprint) const;
  void add(TimePoint return_at, const ExpectedReturn& expected);
  void erase(Returns::iterator expected);
  void note_kept(bool is_kept);

  Returns returns_;
  std::map<int64_t, Returns::iterator> returns_by_fingerprint_;
  std::map<std::string, size_t> returns_by_tenant_;
  /// Moving average of the share of callers that returned.
  double kept_share_ = 1;
};

/// Delay within which a caller whose turn comes after `turn_delay` is to return: the delay itself up to half of
/// `longest_delay`; longer ones are compressed, in order, into the other half.
Duration bounded_return_delay(Duration turn_delay, Duration longest_delay);

}  // namespace larchlever::fleet
