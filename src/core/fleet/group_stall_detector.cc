#include "core/fleet/group_stall_detector.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

/// A quiet report expires after this time; entries repeat it at least once a second.
constexpr Duration kReportTimeout = milliseconds(1200);
/// Reports needed to prefer other groups: a single entry may itself be slow or have a bad connection.
constexpr size_t kMinQuietReports = 2;
/// Number of reports, and their share of the entries with streams there, needed to treat the group as stalled. The
/// share exceeds the third of the entries that one zone with packet loss has.
constexpr size_t kMinStallReports = 3;
constexpr double kMinStallReportShare = 0.75;
/// The streams of an entry have been silent for about this long when it first reports them as quiet.
constexpr Duration kSilenceBeforeReport = milliseconds(80);
/// Tolerance for passes that take longer than the cost model predicts, and for the transit time of events.
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
    report.first_at = now - report.last_at > kReportTimeout ? now : report.first_at;
    report.last_at = now;
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
      quiet.begin(), quiet.end(), [now](const auto& item) { return now - item.second.last_at < kReportTimeout; });
  return static_cast<size_t>(reporting_entries) >= kMinQuietReports;
}

std::optional<StalledStreams> GroupStallDetector::find_stall(TimePoint now, const std::string& group,
                                                             Duration longest_pass) const {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return std::nullopt;
  }
  const Duration min_report_age = longest_pass * kMaxPassPercent / 100 + kPassSlack - kSilenceBeforeReport;
  const auto& [streams, quiet] = found->second;
  StalledStreams stalled;
  stalled.silent_since = TimePoint::min();
  for (const auto& [node, report] : quiet) {
    if (streams.contains(node) && now - report.last_at < kReportTimeout && now - report.first_at >= min_report_age) {
      stalled.entries.push_back(node);
      stalled.silent_since = std::max(stalled.silent_since, report.first_at - kSilenceBeforeReport);
    }
  }
  const bool is_stalled =
      stalled.entries.size() >= kMinStallReports &&
      static_cast<double>(stalled.entries.size()) >= kMinStallReportShare * static_cast<double>(streams.size());
  return is_stalled ? std::optional(std::move(stalled)) : std::nullopt;
}

bool GroupStallDetector::are_streams_moving(const std::string& group) const {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.streams.empty()) {
    return false;
  }
  const auto& [streams, quiet] = found->second;
  const auto quiet_entries =
      std::count_if(streams.begin(), streams.end(), [&quiet](const auto& item) { return quiet.contains(item.first); });
  return static_cast<double>(quiet_entries) < kMinStallReportShare * static_cast<double>(streams.size());
}

void GroupStallDetector::restart_silence(TimePoint now, const std::string& group) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return;
  }
  for (auto& [node, report] : found->second.quiet) {
    report.first_at = now;
  }
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
