#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Whether two reports of an instance have the same content, apart from the call number.
bool has_same_content(const wire::Instance& left, const wire::Instance& right);

/// Whether two reports with one id come from different starts of the server. False when either report has no birth.
bool is_other_incarnation(const wire::Instance& left, const wire::Instance& right);

/// Name of a server's incarnation: its id, and its birth if it reports one.
std::string incarnation_name(const wire::Instance& instance);

/// Requests per second that the instance accepts from all entries together; nullopt when it has no limit.
std::optional<double> rate_limit_of(const wire::Instance& instance);

/// An incarnation whose reports seem older than the incarnation in the row. They are either late reports of an earlier
/// start, or reports of a new start whose clock was set back or that does not report its birth.
struct CandidateIncarnation {
  int64_t born_ms = 0;
  int64_t call_number = 0;
  TimePoint since{};
  int reports = 0;
};

struct InstanceRow {
  wire::Instance instance;
  TimePoint last_report_at{};
  /// The instance reported to this leader. False while only state from earlier leaders is known.
  bool reported_this_term = false;
  /// Since when the instance reports an address that another instance holds; nullopt once the conflict is resolved.
  /// Until then its report may be a late heartbeat of an instance that stopped long ago.
  std::optional<TimePoint> address_contended_since = std::nullopt;
  /// Set when reports of a candidate arrived after the last report of the row's incarnation.
  std::optional<CandidateIncarnation> candidate = std::nullopt;
  /// Until when the instance is cold, that is, should receive few requests.
  TimePoint cold_until = TimePoint::min();
  /// Reports from before this time do not show whether the instance is cold.
  TimePoint cold_reports_valid_from = TimePoint::min();

  /// The instance reported to this leader and its address is not disputed: the row is its own current state.
  bool is_confirmed() const { return reported_this_term && !address_contended_since; }
};

/// The leader's table of registered instances. A server may restart with the same id: (id, birth) identifies an
/// incarnation, and a row holds only the newest one.
///
/// Guarantees, even if reports arrive late:
/// - The state of an incarnation only advances: ready, draining, gone. Its reports take effect in the order of their
///   call numbers.
/// - An incarnation with a later birth replaces an earlier one at once, including all its state. Reports of an earlier
///   incarnation change nothing, whatever their call numbers.
/// - An incarnation that seems older, because its clock was set back or it reports no birth, is accepted once it
///   reports repeatedly while the other one does not.
/// - An address belongs to the instance that keeps reporting from it. A heartbeat that arrives after its sender was
///   replaced displaces no instance.
///
/// Single-threaded, deterministic.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(Duration silence) : silence_timeout_(silence) {}

  /// Starts a leadership with a copy of the previous leader's state. No instance counts as silent at first.
  void start(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Merges a state copy that arrived later: adds unknown instances; the state of known ones only advances.
  void merge(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Handles a heartbeat. Returns true when subscribers must be notified of a change.
  bool handle_report(TimePoint now, const wire::Instance& report);
  /// Handles a heartbeat that may be older than this leadership: it updates the row, but is not taken as the instance's
  /// current state. Returns true when subscribers must be notified of a change.
  bool handle_stale_report(TimePoint now, const wire::Instance& report);
  /// Sets the rate limit that the incarnation sends in its responses; nullopt when it has none. Returns true on a
  /// change.
  bool set_rate_limit(const std::string& incarnation, std::optional<double> per_second);
  /// The instance shuts down; `born_ms` is 0 when it does not report its birth. Returns true on a change.
  bool deregister(TimePoint now, const std::string& id, int64_t born_ms = 0);
  /// Treats all instances of a zone as cold, which they may be without having reported it, until they report otherwise.
  /// Returns true on a change.
  bool mark_zone_cold(TimePoint now, const std::string& zone);
  /// Marks overdue instances as silent and removes those long gone. Returns true on a change. Marks none when more than
  /// half of all ready instances are overdue: then the leader itself is isolated.
  bool tick(TimePoint now);

  /// This process was suspended for `pause` until now: that time does not count towards the silence of instances.
  void note_own_pause(TimePoint now, Duration pause);

  const std::map<std::string, InstanceRow>& rows() const { return rows_; }
  const wire::Instance* find(const std::string& id) const;
  std::vector<wire::Instance> snapshot() const;

 private:
  /// Calls `action` with every other row that has the instance's address and is not gone.
  template <typename Action>
  void for_each_other_at_address(const wire::Instance& instance, const Action& action);
  bool is_address_held_by_another(const wire::Instance& instance);
  /// Updates address conflicts after a report of the row's instance: if it holds the address, contenders must start
  /// over; if it is a contender, it may take the address over.
  void resolve_address_conflict(TimePoint now, InstanceRow& row);

  enum class ReportClass {
    kNewIncarnation,          ///< From a later incarnation than the row's.
    kCurrent,                 ///< From the row's incarnation, in order.
    kPossiblyNewIncarnation,  ///< Lower call number or earlier birth: late, unless it is repeated.
    kStale
  };
  static ReportClass classify_report(const wire::Instance& known, const wire::Instance& report);
  /// Records a report that seems older. Returns true when its incarnation is to be accepted.
  static bool update_candidate(TimePoint now, InstanceRow& row, const wire::Instance& report);
  /// Replaces the row's incarnation by that of the report.
  void replace_incarnation(TimePoint now, InstanceRow& row, const wire::Instance& report, bool reported_this_term);
  InstanceRow& add_row(InstanceRow row);
  /// Applies a newer report; the state only advances. Returns true on a change.
  static bool apply_report(TimePoint now, InstanceRow& row, const wire::Instance& report);
  /// Applies the cold time of a report. Returns true when the instance is cold now.
  static bool apply_cold_state(TimePoint now, InstanceRow& row, const wire::Instance& report);

  Duration silence_timeout_;
  std::map<std::string, InstanceRow> rows_;
  /// The rows with each address, including gone ones.
  std::map<std::string, std::vector<InstanceRow*>> rows_by_address_;
};

}  // namespace larchlever::fleet
