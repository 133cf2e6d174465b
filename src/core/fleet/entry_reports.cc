#include "core/fleet/entry_reports.h"

#include <algorithm>
#include <iterator>

namespace larchlever::fleet {

namespace {

/// How long an entry's report of a group's failure counts.
constexpr Duration kFailureReportRetention = seconds(3);
/// A group that made progress for any entry within this time has not failed; it is only slow for the others.
constexpr Duration kRecentProgressWindow = milliseconds(500);
/// An entry reports at least once a second; one without a report for this long has terminated or is partitioned.
constexpr Duration kEntryTimeout = milliseconds(3500);

}  // namespace

void EntryReports::clear() {
  entries_.clear();
  failure_reports_.clear();
  last_progress_.clear();
}

bool EntryReports::record(TimePoint now, const wire::Envelope& envelope) {
  const auto& report = envelope.slot_report;
  Entry& entry = entries_[envelope.from_node];
  const bool is_new_incarnation = entry.incarnation != envelope.from_incarnation;
  if (is_new_incarnation || report.is_complete) {
    entry.loads.clear();
  }
  entry.incarnation = envelope.from_incarnation;
  entry.last_report = now;
  for (const auto& load : report.loads) {
    if (load.in_flight > 0) {
      entry.loads[load.group] = load;
    } else {
      entry.loads.erase(load.group);
    }
    if (load.progress_age_ms != kUnknownProgressAge) {
      TimePoint& progress = last_progress_.try_emplace(load.group, TimePoint::min()).first->second;
      progress = std::max(progress, now - milliseconds(load.progress_age_ms));
    }
  }
  for (const auto& failure : report.failures) {
    if (!failure.is_own_link_suspected) {
      const auto evidence = failure.is_silence ? FailureEvidence::kSilence : FailureEvidence::kConnection;
      failure_reports_[failure.group][envelope.from_node] = {now, evidence};
    }
  }
  return is_new_incarnation;
}

void EntryReports::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [node, entry] : entries_) {
    entry.last_report = last_contact_after_pause(now, entry.last_report, pause);
  }
}

std::vector<std::string> EntryReports::remove_timed_out(TimePoint now) {
  std::vector<std::string> removed;
  for (auto item = entries_.begin(); item != entries_.end();) {
    const bool is_timed_out = now - item->second.last_report > kEntryTimeout;
    if (is_timed_out) {
      removed.push_back(item->first);
    }
    item = is_timed_out ? entries_.erase(item) : std::next(item);
  }
  return removed;
}

std::map<std::string, wire::GroupLoad> EntryReports::total_loads(TimePoint now) const {
  std::map<std::string, wire::GroupLoad> result;
  for (const auto& [node, entry] : entries_) {
    for (const auto& [group, load] : entry.loads) {
      auto& total = result[group];
      total.group = group;
      total.in_flight += load.in_flight;
      total.streaming += load.streaming;
      total.waiting_tokens += load.waiting_tokens;
    }
  }
  for (auto& [group, total] : result) {
    const auto progress = last_progress_.find(group);
    total.progress_age_ms = progress == last_progress_.end()
                                ? kUnknownProgressAge
                                : static_cast<int32_t>((now - progress->second) / milliseconds(1));
  }
  return result;
}

std::vector<std::string> EntryReports::silent_groups(TimePoint now, const wire::SlotReport& report) {
  std::vector<std::string> result;
  for (const auto& failure : report.failures) {
    const bool is_confirmed = failure_reporters(now, failure.group, FailureEvidence::kSilence).size() >= 2;
    if (is_confirmed && !has_recent_progress(now, failure.group)) {
      result.push_back(failure.group);
    }
  }
  return result;
}

std::vector<std::string> EntryReports::failure_reporters(TimePoint now, const std::string& group,
                                                         FailureEvidence weakest) {
  auto& reports = failure_reports_[group];
  std::erase_if(reports, [now](const auto& item) { return now - item.second.reported_at > kFailureReportRetention; });
  std::vector<std::string> result;
  for (const auto& [node, report] : reports) {
    if (weakest == FailureEvidence::kSilence || report.evidence == FailureEvidence::kConnection) {
      result.push_back(node);
    }
  }
  return result;
}

TimePoint EntryReports::last_progress(const std::string& group) const {
  const auto progress = last_progress_.find(group);
  return progress == last_progress_.end() ? TimePoint::min() : progress->second;
}

bool EntryReports::has_recent_progress(TimePoint now, const std::string& group) const {
  const auto progress = last_progress_.find(group);
  return progress != last_progress_.end() && now - progress->second < kRecentProgressWindow;
}

}  // namespace larchlever::fleet
