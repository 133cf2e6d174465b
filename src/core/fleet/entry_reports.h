#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/target_health.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Aggregates the entries' reports at the leader: each entry's load per group, when a group last made progress for any
/// entry, and which groups the entries report as failed. Soft state of one leadership. Single-threaded, deterministic.
class EntryReports {
 public:
  void clear();
  /// Records a report. Returns true if it is the first one of the node's incarnation; loads of earlier incarnations are
  /// then discarded.
  bool record(TimePoint now, const wire::Envelope& envelope);
  /// This process was suspended for `pause` until now, so that time does not count towards the entries' timeouts.
  void note_own_pause(TimePoint now, Duration pause);
  /// Removes entries that have not reported within the entry timeout and returns their names.
  std::vector<std::string> remove_timed_out(TimePoint now);
  /// Load per group, summed over all entries.
  std::map<std::string, wire::GroupLoad> total_loads(TimePoint now) const;
  /// Groups that `report` names as failed and that made no recent progress for any entry. One reporting entry suffices
  /// if `has_silent_member` holds for the group; otherwise two are required that saw more than silence.
  template <typename Predicate>
  std::vector<std::string> failed_groups(TimePoint now, const wire::SlotReport& report,
                                         const Predicate& has_silent_member) {
    std::vector<std::string> result;
    for (const auto& failure : report.failures) {
      const bool is_confirmed = failure_reporters(now, failure.group, FailureEvidence::kConnection).size() >= 2 ||
                                has_silent_member(failure.group);
      if (is_confirmed && !has_recent_progress(now, failure.group)) {
        result.push_back(failure.group);
      }
    }
    return result;
  }

  /// Groups that `report` names, that made no recent progress for any entry, and that at least two entries report as
  /// failed or silent.
  std::vector<std::string> silent_groups(TimePoint now, const wire::SlotReport& report);
  /// The entries that recently reported the group as failed; with `FailureEvidence::kSilence` also those to which it
  /// was only silent.
  std::vector<std::string> failure_reporters(TimePoint now, const std::string& group, FailureEvidence weakest);
  /// When the group last made progress for any entry; `TimePoint::min()` if none reported any.
  TimePoint last_progress(const std::string& group) const;

 private:
  struct Entry {
    int64_t incarnation = 0;
    TimePoint last_report{};
    std::map<std::string, wire::GroupLoad> loads;
  };

  bool has_recent_progress(TimePoint now, const std::string& group) const;

  std::map<std::string, Entry> entries_;
  struct FailureReport {
    TimePoint reported_at{};
    FailureEvidence evidence = FailureEvidence::kConnection;
  };
  /// Per group, the entries that reported its failure, with their last such report.
  std::map<std::string, std::map<std::string, FailureReport>> failure_reports_;
  /// Per group, when it last made progress for any entry.
  std::map<std::string, TimePoint> last_progress_;
};

}  // namespace larchlever::fleet
