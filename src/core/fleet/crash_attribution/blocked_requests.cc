#include "core/fleet/crash_attribution/blocked_requests.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

/// How long the observations of an entry alone block a request. The leader normally decides within a fraction of a
/// second; an election takes one to two seconds.
constexpr Duration kLocalBlockTime = seconds(10);
/// Maximum server ends reported to a new leader. Blocked requests are part of the state that it inherits; these server
/// ends concern requests that are not blocked yet.
constexpr size_t kMaxRecentEnds = 64;
/// Maximum unreported server ends kept while there is no leader.
constexpr size_t kMaxUnreportedEnds = 1024;

wire::RequestServerEnd make_report(TimePoint now, const ServerCrash& end) {
  wire::RequestServerEnd report;
  report.fingerprint = end.cause.value();
  report.instance_id = end.instance_id;
  report.age_ms = (now - end.at) / milliseconds(1);
  report.__set_is_likely(end.certainty == CrashCertainty::kLikely);
  if (end.kind == CauseKind::kPromptPart) {
    report.__set_request_of_part(end.request_of_part.value());
  }
  return report;
}

std::vector<wire::RequestServerEnd> make_reports(TimePoint now, const std::vector<ServerCrash>& ends) {
  std::vector<wire::RequestServerEnd> reports;
  reports.reserve(ends.size());
  for (const auto& end : ends) {
    reports.push_back(make_report(now, end));
  }
  return reports;
}

}  // namespace

void BlockedRequests::update(TimePoint now, const std::vector<wire::BlockedRequest>& rows) {
  std::map<requests::RequestFingerprint, ReceivedRow> updated_rows;
  for (const auto& row : rows) {
    const requests::RequestFingerprint request(row.fingerprint);
    const auto known = rows_.find(request);
    const bool is_unchanged = known != rows_.end() && known->second.row == row;
    updated_rows[request] = {row, is_unchanged ? known->second.received_at : now};
    const CauseKind kind = row.is_prompt_part ? CauseKind::kPromptPart : CauseKind::kRequest;
    if (known == rows_.end() && recently_answered(kind).contains(now, request)) {
      report_answered(request);
    }
  }
  for (const auto& [request, row] : rows_) {
    if (!updated_rows.contains(request)) {
      server_ends_.forget(request);  // Unblocked: earlier server ends no longer count.
    }
  }
  rows_ = std::move(updated_rows);
}

BlockedRequests::Verdict BlockedRequests::verdict_for(TimePoint now, requests::RequestFingerprint request) const {
  const auto found = rows_.find(request);
  if (found != rows_.end() && found->second.row.is_suspect) {
    return Verdict::kSuspected;
  }
  if (found != rows_.end()) {
    return found->second.row.trial_due ? Verdict::kTrialDue : Verdict::kBlocked;
  }
  const bool is_blocked_locally =
      server_ends_.count(request) >= kServerEndsToBlock && now - server_ends_.last_crash(request) < kLocalBlockTime;
  return is_blocked_locally ? Verdict::kBlocked : Verdict::kAllowed;
}

Duration BlockedRequests::remaining_block_time(TimePoint now, requests::RequestFingerprint request) const {
  const auto found = rows_.find(request);
  if (found != rows_.end()) {
    const Duration wait = milliseconds(found->second.row.wait_ms);
    return std::max(Duration::zero(), found->second.received_at + wait - now);
  }
  return verdict_for(now, request) == Verdict::kBlocked ? server_ends_.last_crash(request) + kLocalBlockTime - now
                                                        : Duration::zero();
}

int BlockedRequests::server_ends(requests::RequestFingerprint request) const {
  const auto found = rows_.find(request);
  return found == rows_.end() ? 0 : found->second.row.server_ends;
}

size_t BlockedRequests::note_server_end(const ServerCrash& end) {
  if (recently_answered(end.kind).contains(end.at, end.cause)) {
    return 0;
  }
  if (unreported_ends_.size() < kMaxUnreportedEnds) {
    unreported_ends_.push_back(end);
  }
  server_ends_.forget_old(end.at);
  if (end.certainty == CrashCertainty::kLikely) {
    return server_ends_.count(end.cause);  // The leader also gets the servers' reports, which may refute it.
  }
  const size_t count = server_ends_.note(end);
  if (count >= kServerEndsToBlock) {
    server_ends_.mark_as_cause(end.cause);
  }
  return count;
}

void BlockedRequests::note_answered(TimePoint now, requests::RequestFingerprint cause, CauseKind kind) {
  recently_answered(kind).add(now, cause);
  if (server_ends_.is_suspect(cause) || rows_.contains(cause)) {
    report_answered(cause);
  }
}

void BlockedRequests::report_answered(requests::RequestFingerprint request) {
  server_ends_.forget(request);
  std::erase_if(unreported_ends_, [request](const ServerCrash& end) { return end.cause == request; });
  unreported_answered_.push_back(request.value());
}

std::vector<wire::RequestServerEnd> BlockedRequests::take_unreported_ends(TimePoint now) {
  return make_reports(now, std::exchange(unreported_ends_, {}));
}

std::vector<int64_t> BlockedRequests::take_answered_requests() { return std::exchange(unreported_answered_, {}); }

std::vector<wire::RequestServerEnd> BlockedRequests::recent_ends(TimePoint now) const {
  return make_reports(now, server_ends_.newest_crashes(kMaxRecentEnds));
}

std::vector<int64_t> BlockedRequests::recently_answered_rows(TimePoint now) {
  std::vector<int64_t> result;
  for (const auto& [cause, received] : rows_) {
    const CauseKind kind = received.row.is_prompt_part ? CauseKind::kPromptPart : CauseKind::kRequest;
    if (recently_answered(kind).contains(now, cause)) {
      result.push_back(cause.value());
    }
  }
  return result;
}

}  // namespace larchlever::fleet
