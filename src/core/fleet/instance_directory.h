#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Whether two reports of an instance say the same; the call number alone is no news.
bool has_same_content(const wire::Instance& left, const wire::Instance& right);

/// Whether two reports under one id stem from different starts of the server; not known, hence false, where either does
/// not tell its birth.
bool is_other_incarnation(const wire::Instance& left, const wire::Instance& right);

/// The name of a server's start: its id, and its birth where it tells one.
std::string incarnation_name(const wire::Instance& instance);

/// Requests a second that the instance takes from all entries together; nothing while it names no limit.
std::optional<double> rate_limit_of(const wire::Instance& instance);

/// A start of a server that speaks under the id of a row as if it came before: a late report, or a new start whose
/// clock was set back or that does not tell its birth.
struct CandidateIncarnation {
  int64_t born_ms = 0;
  int64_t call_number = 0;
  TimePoint since{};
  int reports = 0;
};

struct InstanceRow {
  wire::Instance instance;
  TimePoint last_report_at{};
  /// False while nothing is known but what the instance said before this leadership.
  bool reported_this_term = false;
  /// Since when the instance is heard at an address that another one holds; nothing once that is settled. Until then it
  /// may be a late heartbeat of an instance that ended long ago.
  std::optional<TimePoint> address_contended_since = std::nullopt;
  /// Heard since the row's own incarnation was last heard.
  std::optional<CandidateIncarnation> candidate = std::nullopt;
  /// Until when it bears few requests, as far as is known.
  TimePoint cold_until = TimePoint::min();
  /// What was reported before says nothing of whether it is cold.
  TimePoint cold_reports_valid_from = TimePoint::min();

  /// Heard by this leader, and alone at its address: what the row says is the instance's own word.
  bool is_confirmed() const { return reported_this_term && !address_contended_since; }
};

/// The leader's table of registered instances. A server may start again under its id: (id, birth) is an incarnation,
/// and a row tells of the newest one alone.
///
/// Guarantees: an incarnation's state never goes back (ready, draining, gone), whatever arrives late; its reports take
/// effect in the order of their call numbers; one that was born later replaces an earlier one at once, with all that
/// was known of that, and an earlier one changes nothing, whatever its call number. An incarnation that seems to come
/// before, since its clock was set back or it tells no birth, is believed once it is heard again and again while the
/// other is not. An address belongs to the instance that goes on reporting
/// from it, so a heartbeat that arrives after its sender was replaced displaces nobody. Single-threaded, deterministic.
class InstanceDirectory {
 public:
  explicit InstanceDirectory(Duration silence) : silence_timeout_(silence) {}

  /// A leadership begins with the copy of the previous leader's state. Nobody counts as silent at first.
  void start(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Adds rows of a copy that arrived later; rows that are known already only move forward.
  void merge(TimePoint now, const std::vector<wire::Instance>& inherited);
  /// Notes a heartbeat. True when it changed something that subscribers must know.
  bool handle_report(TimePoint now, const wire::Instance& report);
  /// Notes a heartbeat that may be older than this leadership: news, but not the instance's word on what it does now.
  /// True when it changed something that subscribers must know.
  bool handle_stale_report(TimePoint now, const wire::Instance& report);
  /// The incarnation names this limit in its answers, or none any more. True when that is news.
  bool set_rate_limit(const std::string& incarnation, std::optional<double> per_second);
  /// The instance said that it leaves for good; `born_ms` is 0 where it does not tell its birth. True when that is
  /// news.
  bool deregister(TimePoint now, const std::string& id, int64_t born_ms = 0);
  /// The instances of a zone may have turned cold without a word: they count as cold until they report that they are
  /// not. True when that is news.
  bool mark_zone_cold(TimePoint now, const std::string& zone);
  /// Marks instances silent or heard again, and forgets those long gone. True when something changed. When more than
  /// half of all ready instances are silent at once, it is we who are cut off: nothing is marked.
  bool tick(TimePoint now);

  /// This process stood still for `pause` until now: no instance's silence in that time counts.
  void note_own_pause(TimePoint now, Duration pause);

  const std::map<std::string, InstanceRow>& rows() const { return rows_; }
  const wire::Instance* find(const std::string& id) const;
  std::vector<wire::Instance> snapshot() const;

 private:
  /// Calls `action` with every other row that stands at the address and is not gone.
  template <typename Action>
  void for_each_other_at_address(const wire::Instance& instance, const Action& action);
  bool is_address_held_by_another(const wire::Instance& instance);
  /// Notes that an instance was heard again: who contends for its address must begin anew, and it may itself win.
  void resolve_address_conflict(TimePoint now, InstanceRow& row);

  enum class ReportClass {
    kNewIncarnation,          ///< Of a later start than the row tells of.
    kCurrent,                 ///< Of the row's start, and not overtaken.
    kPossiblyNewIncarnation,  ///< Counts lower or was born earlier; a late one, unless it is heard again and again.
    kStale
  };
  static ReportClass classify_report(const wire::Instance& known, const wire::Instance& report);
  /// Notes a report that seems to come before. True when its incarnation is to be believed.
  static bool update_candidate(TimePoint now, InstanceRow& row, const wire::Instance& report);
  /// The row tells of another incarnation from now on.
  void replace_incarnation(TimePoint now, InstanceRow& row, const wire::Instance& report, bool reported_this_term);
  InstanceRow& add_row(InstanceRow row);
  /// Takes what a newer report says; state only moves forward. True when it changed something.
  static bool apply_report(TimePoint now, InstanceRow& row, const wire::Instance& report);
  /// Takes what a report says of being cold. True when the instance is cold now.
  static bool apply_cold_state(TimePoint now, InstanceRow& row, const wire::Instance& report);

  Duration silence_timeout_;
  std::map<std::string, InstanceRow> rows_;
  /// The rows that name each address, gone ones included.
  std::map<std::string, std::vector<InstanceRow*>> rows_by_address_;
};

}  // namespace larchlever::fleet
