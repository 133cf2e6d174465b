#include "core/fleet/group_stall_detector.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// An entry's word counts for this long; it says so at least once a second while it holds.
constexpr Duration kReportTimeout = milliseconds(1200);
/// Entries whose word makes other groups better: one alone may itself be slow or badly connected.
constexpr size_t kMinQuietReports = 2;
/// Entries, and their part of those with streams there, whose word shows that the group stands still: a zone whose
/// links lose packets holds a third of the entries.
constexpr size_t kMinStallReports = 3;
constexpr double kMinStallReportShare = 0.75;
/// Streams of an entry are silent for about this long when it says so first.
constexpr Duration kSilenceBeforeReport = milliseconds(80);
/// A group may take this much longer for a pass than the cost model says, and events need some time on their way.
constexpr int kMaxPassPercent = 140;
constexpr Duration kPassSlack = milliseconds(50);

}  // namespace

void GroupStallDetector::note_streams(const std::string& node, const std::string& group, int streams) {
  if (streams > 0) {
    groups_[group].streams[node] = streams;
    return;
  }
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  found->second.streams.erase(node);
  if (found->second.is_empty()) {
    groups_.erase(found);
  }
}

void GroupStallDetector::forget_empty_groups() {
  std::erase_if(groups_, [](const auto& item) { return item.second.is_empty(); });
}

void GroupStallDetector::note_quiet(TimePoint now, const std::string& node, const std::vector<std::string>& groups) {
  for (auto& [name, group] : groups_) {
    if (std::find(groups.begin(), groups.end(), name) == groups.end()) {
      group.quiet.erase(node);
    }
  }
  forget_empty_groups();
  for (const auto& name : groups) {
    OverdueReport& report = groups_[name].quiet.try_emplace(node, OverdueReport{now, now}).first->second;
    report.first = now - report.last > kReportTimeout ? now : report.first;
    report.last = now;
  }
}

void GroupStallDetector::forget_node(const std::string& node) {
  for (auto& [name, group] : groups_) {
    group.streams.erase(node);
    group.quiet.erase(node);
  }
  forget_empty_groups();
}

bool GroupStallDetector::is_quiet(TimePoint now, const std::string& group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  const auto& quiet = found->second.quiet;
  const auto reporting_entries = std::count_if(
      quiet.begin(), quiet.end(), [now](const auto& item) { return now - item.second.last < kReportTimeout; });
  return static_cast<size_t>(reporting_entries) >= kMinQuietReports;
}

bool GroupStallDetector::is_stalled(TimePoint now, const std::string& group, Duration longest_pass) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return false;
  }
  const Duration min_report_age = longest_pass * kMaxPassPercent / 100 + kPassSlack - kSilenceBeforeReport;
  const auto& [streams, quiet] = found->second;
  size_t reporting_entries = 0;
  for (const auto& [node, report] : quiet) {
    const bool counts =
        streams.contains(node) && now - report.last < kReportTimeout && now - report.first >= min_report_age;
    reporting_entries += counts ? 1 : 0;
  }
  return reporting_entries >= kMinStallReports &&
         static_cast<double>(reporting_entries) >= kMinStallReportShare * static_cast<double>(streams.size());
}

std::vector<std::string> GroupStallDetector::quiet_groups() const {
  std::vector<std::string> result;
  for (const auto& [name, group] : groups_) {
    if (!group.quiet.empty()) {
      result.push_back(name);
    }
  }
  return result;
}

}  // namespace larchlever::fleet
