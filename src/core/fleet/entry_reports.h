#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// What the leader knows from the entries' reports: what each has under way at the groups, when a group last made
/// progress for any of them, and whose head they say fails. Soft state of one leadership; single-threaded,
/// deterministic.
class EntryReports {
 public:
  void start();
  /// Takes a report. True when it is the first one of this life of the node: what was known of it before is void.
  bool record(TimePoint now, const wire::Envelope& envelope);
  /// This process stood still for `pause` until now: no entry's silence in that time counts.
  void note_own_pause(TimePoint now, Duration pause);
  /// Forgets entries that have not reported of late, and returns them.
  std::vector<std::string> remove_timed_out(TimePoint now);
  /// What is under way per group, over all entries.
  std::map<std::string, wire::GroupLoad> total_loads(TimePoint now) const;
  /// Groups of which `report` says that they fail, and which no entry saw make progress a moment ago. The word of one
  /// entry is enough for those of which `has_silent_member` holds; otherwise it takes two.
  template <typename Predicate>
  std::vector<std::string> failed_groups(TimePoint now, const wire::SlotReport& report,
                                         const Predicate& has_silent_member) {
    std::vector<std::string> result;
    for (const auto& failure : report.failures) {
      const bool is_confirmed = count_failure_reporters(now, failure.group) >= 2 || has_silent_member(failure.group);
      if (is_confirmed && !has_recent_progress(now, failure.group)) {
        result.push_back(failure.group);
      }
    }
    return result;
  }

 private:
  struct Entry {
    int64_t incarnation = 0;
    TimePoint last_report{};
    std::map<std::string, wire::GroupLoad> loads;
  };

  size_t count_failure_reporters(TimePoint now, const std::string& group);
  bool has_recent_progress(TimePoint now, const std::string& group) const;

  std::map<std::string, Entry> entries_;
  /// Per group, which entries reported its failure, and when last.
  std::map<std::string, std::map<std::string, TimePoint>> failure_reports_;
  /// When any entry last saw progress of a group.
  std::map<std::string, TimePoint> last_progress_;
};

}  // namespace larchlever::fleet
