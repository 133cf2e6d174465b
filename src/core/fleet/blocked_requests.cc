#include "core/fleet/blocked_requests.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

/// How long an entry's own sight blocks a request. The leader decides within a fraction of a second; an election takes
/// one to two.
constexpr Duration kOwnBlock = seconds(10);
/// Ends told to a new leader. Blocks stand in the state that it inherits; these are of requests that are not blocked
/// yet.
constexpr size_t kMostRecent = 64;
/// Unreported ends kept while nobody leads.
constexpr size_t kMostUnreported = 1024;

wire::RequestServerEnd report_of(TimePoint now, const ServerCrash& end) {
  wire::RequestServerEnd report;
  report.fingerprint = end.request.value();
  report.instance_id = end.instance_id;
  report.age_ms = (now - end.at) / milliseconds(1);
  report.__set_is_likely(end.certainty == CrashCertainty::kLikely);
  return report;
}

std::vector<wire::RequestServerEnd> reports_of(TimePoint now, const std::vector<ServerCrash>& ends) {
  std::vector<wire::RequestServerEnd> reports;
  reports.reserve(ends.size());
  for (const auto& end : ends) {
    reports.push_back(report_of(now, end));
  }
  return reports;
}

}  // namespace

void BlockedRequests::update(TimePoint now, const std::vector<wire::BlockedRequest>& rows) {
  std::map<requests::RequestFingerprint, Row> next;
  for (const auto& row : rows) {
    const requests::RequestFingerprint request(row.fingerprint);
    const auto known = rows_.find(request);
    const bool is_same = known != rows_.end() && known->second.row == row;
    next[request] = {row, is_same ? known->second.seen : now};
    if (known == rows_.end() && recently_answered_.contains(now, request)) {
      object(request);
    }
  }
  for (const auto& [request, row] : rows_) {
    if (!next.contains(request)) {
      ends_.forget(request);  // Freed: what was seen of it before is settled.
    }
  }
  rows_ = std::move(next);
}

BlockedRequests::Verdict BlockedRequests::judge(TimePoint now, requests::RequestFingerprint request) const {
  const auto found = rows_.find(request);
  if (found != rows_.end()) {
    return found->second.row.trial_due ? Verdict::kTrialDue : Verdict::kBlocked;
  }
  const bool blocked_here = ends_.count(request) >= kEndsThatBlock && now - ends_.last_crash(request) < kOwnBlock;
  return blocked_here ? Verdict::kBlocked : Verdict::kFree;
}

Duration BlockedRequests::time_left(TimePoint now, requests::RequestFingerprint request) const {
  const auto found = rows_.find(request);
  if (found != rows_.end()) {
    const Duration wait = milliseconds(found->second.row.wait_ms);
    return std::max(Duration::zero(), found->second.seen + wait - now);
  }
  return judge(now, request) == Verdict::kBlocked ? ends_.last_crash(request) + kOwnBlock - now : Duration::zero();
}

size_t BlockedRequests::note_end(const ServerCrash& end) {
  if (recently_answered_.contains(end.at, end.request)) {
    return 0;
  }
  if (unreported_.size() < kMostUnreported) {
    unreported_.push_back(end);
  }
  ends_.forget_old(end.at);
  if (end.certainty == CrashCertainty::kLikely) {
    return ends_.count(end.request);  // The leader hears the servers' reports, which may show the contrary.
  }
  const size_t count = ends_.note(end);
  if (count >= kEndsThatBlock) {
    ends_.mark_as_cause(end.request);
  }
  return count;
}

void BlockedRequests::note_answered(TimePoint now, requests::RequestFingerprint request) {
  recently_answered_.note(now, request);
  if (ends_.is_suspect(request) || rows_.contains(request)) {
    object(request);
  }
}

void BlockedRequests::object(requests::RequestFingerprint request) {
  ends_.forget(request);
  std::erase_if(unreported_, [request](const ServerCrash& end) { return end.request == request; });
  answered_.push_back(request.value());
}

std::vector<wire::RequestServerEnd> BlockedRequests::take_ends(TimePoint now) {
  return reports_of(now, std::exchange(unreported_, {}));
}

std::vector<int64_t> BlockedRequests::take_answered() { return std::exchange(answered_, {}); }

std::vector<wire::RequestServerEnd> BlockedRequests::recent_ends(TimePoint now) const {
  return reports_of(now, ends_.newest_crashes(kMostRecent));
}

}  // namespace larchlever::fleet
