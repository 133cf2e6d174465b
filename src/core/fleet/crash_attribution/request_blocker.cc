#include "core/fleet/crash_attribution/request_blocker.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "core/fleet/crash_attribution/blocked_requests.h"

namespace larchlever::fleet {

namespace {

/// Delays before the first and the second trial. A retrying caller has given up by the first one; the second one is for
/// requests that are sent again after a repair.
constexpr std::array kTrialDelays{Duration(seconds(30)), Duration(std::chrono::minutes(2))};
/// After the last trial, the request stays blocked for this long and is then removed.
constexpr Duration kFinalBlockTime = std::chrono::hours(1);
/// A trial without a result counts as failed after this time, which is longer than callers wait for an answer.
constexpr Duration kTrialTimeout = seconds(15);
constexpr size_t kMaxBlockedRequests = 1024;
/// A retry without a result counts as harmless after this time: a harmful request terminates its server within half a
/// second.
constexpr Duration kRetryTimeout = seconds(1);
/// A live server reports every one or two seconds; one that has not reported for this long has terminated.
constexpr Duration kServerReportTimeout = seconds(30);

}  // namespace

Duration RequestBlocker::wait_time(const BlockState& blocked) {
  const auto trials = static_cast<size_t>(blocked.trials);
  return trials < kTrialDelays.size() ? kTrialDelays.at(trials) : kFinalBlockTime;
}

void RequestBlocker::set_phase(TimePoint now, BlockState& blocked, Phase phase) {
  blocked.phase = phase;
  blocked.phase_started_at = now;
}

void RequestBlocker::start(TimePoint now, const std::vector<wire::BlockedRequest>& inherited) {
  server_ends_ = ServerCrashHistory();
  suspect_parts_ = SuspectParts();
  blocked_.clear();
  granted_retries_.clear();
  likely_ended_at_.clear();
  add_inherited(now, inherited);
}

void RequestBlocker::add_inherited(TimePoint now, const std::vector<wire::BlockedRequest>& rows) {
  for (const auto& row : rows) {
    const requests::RequestFingerprint request(row.fingerprint);
    if (blocked_.contains(request)) {
      continue;
    }
    if (row.is_suspect) {
      suspect_parts_.inherit(now, request);
      continue;
    }
    BlockState& blocked = block(now, request, row.is_prompt_part ? CauseKind::kPromptPart : CauseKind::kRequest);
    blocked.trials = row.trials;
    blocked.server_ends = static_cast<size_t>(std::max(0, row.server_ends));
    blocked.is_inherited = true;
  }
}

RequestBlocker::BlockState& RequestBlocker::block(TimePoint now, requests::RequestFingerprint request, CauseKind kind) {
  if (blocked_.size() >= kMaxBlockedRequests) {
    const auto oldest = std::min_element(blocked_.begin(), blocked_.end(), [](const auto& left, const auto& right) {
      return left.second.phase_started_at < right.second.phase_started_at;
    });
    blocked_.erase(oldest);
  }
  BlockState& blocked = blocked_[request];
  blocked = BlockState();
  blocked.kind = kind;
  blocked.server_ends = server_ends_.count(request);
  set_phase(now, blocked, Phase::kWaiting);
  return blocked;
}

bool RequestBlocker::block_parts(TimePoint now) {
  bool changed = false;
  while (const auto part = suspect_parts_.take_cause(now, server_ends_)) {
    block(now, *part, CauseKind::kPromptPart);
    server_ends_.mark_as_cause(*part);
    unblock_explained_requests();
    suspect_parts_.remove_cleared(now, server_ends_);
    changed = true;
  }
  return changed;
}

void RequestBlocker::unblock_explained_requests() {
  std::erase_if(blocked_, [this](const auto& item) {
    const auto& [request, blocked] = item;
    return blocked.kind == CauseKind::kRequest && is_refutable(blocked) &&
           server_ends_.count(request) < kServerEndsToBlock;
  });
}

bool RequestBlocker::note_incarnation_alive(TimePoint now, const std::string& incarnation) {
  const auto ended = likely_ended_at_.find(incarnation);
  if (ended == likely_ended_at_.end()) {
    return false;
  }
  const bool refutes_all_ends = ended->second + kReportTransitTime < now;
  if (refutes_all_ends) {
    likely_ended_at_.erase(ended);
  }
  suspect_parts_.retract_likely_crashes(incarnation);
  bool changed = false;
  for (const auto request : server_ends_.retract(incarnation, now)) {
    const auto blocked = blocked_.find(request);
    const bool was_blocked_by_its_end = blocked != blocked_.end() && is_refutable(blocked->second);
    if (was_blocked_by_its_end && server_ends_.count(request) < kServerEndsToBlock) {
      blocked_.erase(blocked);
      changed = true;
    }
  }
  return changed;
}

bool RequestBlocker::note_server_end(const ServerCrash& end) {
  const bool is_part = end.kind == CauseKind::kPromptPart;
  suspect_parts_.count_crash(end);
  if (is_part && suspect_parts_.is_known_sound(end.at, end.cause)) {
    return false;
  }
  if (end.certainty == CrashCertainty::kLikely) {
    TimePoint& ended_at = likely_ended_at_.try_emplace(end.instance_id, end.at).first->second;
    ended_at = std::max(ended_at, end.at);
  }
  const size_t count = server_ends_.note(end);
  const auto known = blocked_.find(end.cause);
  if (known != blocked_.end()) {
    server_ends_.mark_as_cause(end.cause);
    const bool was_trial = known->second.phase == Phase::kTrialRunning;
    if (was_trial) {
      set_phase(end.at, known->second, Phase::kWaiting);
    }
    return was_trial;
  }
  if (is_part) {
    return count > 0 && suspect_parts_.note_crash(end, server_ends_);
  }
  if (count < kServerEndsToBlock) {
    return false;
  }
  block(end.at, end.cause, CauseKind::kRequest);
  server_ends_.mark_as_cause(end.cause);
  return true;
}

bool RequestBlocker::note_answered(TimePoint now, requests::RequestFingerprint request) {
  const auto blocked = blocked_.find(request);
  const bool was_suspect = suspect_parts_.is_suspect(request);
  const bool was_blocked = blocked != blocked_.end();
  const bool is_part = was_suspect || (was_blocked && blocked->second.kind == CauseKind::kPromptPart);
  server_ends_.forget(request);
  granted_retries_.erase(request);
  if (is_part) {
    suspect_parts_.note_answered(now, request);
  }
  if (was_blocked) {
    blocked_.erase(blocked);
  }
  return was_suspect || was_blocked;
}

bool RequestBlocker::grant_retry(TimePoint now, requests::RequestFingerprint request) {
  if (blocked_.contains(request)) {
    return false;
  }
  if (!server_ends_.is_suspect(request) && !suspect_parts_.is_suspect(request)) {
    return true;
  }
  if (suspect_parts_.awaits_reports(now, request)) {
    return false;
  }
  if (server_ends_.count(request) >= kServerEndsToBlock) {
    return false;  // A part that is blocked unless an entry objects.
  }
  const auto [granted, is_first] = granted_retries_.try_emplace(request, now);
  if (!is_first && now - granted->second < kRetryTimeout) {
    return false;
  }
  granted->second = now;
  return true;
}

bool RequestBlocker::grant_trial(TimePoint now, requests::RequestFingerprint request) {
  const auto found = blocked_.find(request);
  if (found == blocked_.end() || found->second.phase != Phase::kTrialDue) {
    return false;
  }
  ++found->second.trials;
  set_phase(now, found->second, Phase::kTrialRunning);
  return true;
}

bool RequestBlocker::advance(TimePoint now, BlockState& blocked, bool& is_expired) {
  const Duration age = now - blocked.phase_started_at;
  const bool has_trials_left = static_cast<size_t>(blocked.trials) < kTrialDelays.size();
  const bool is_wait_over = blocked.phase == Phase::kWaiting && age >= wait_time(blocked);
  const bool was_not_sent_again = blocked.phase == Phase::kTrialDue && age >= kFinalBlockTime;
  is_expired = (is_wait_over && !has_trials_left) || was_not_sent_again;
  if (is_expired) {
    return true;
  }
  if (is_wait_over) {
    set_phase(now, blocked, Phase::kTrialDue);
    return true;
  }
  if (blocked.phase == Phase::kTrialRunning && age >= kTrialTimeout) {
    set_phase(now, blocked, Phase::kWaiting);
    return true;
  }
  return false;
}

bool RequestBlocker::tick(TimePoint now) {
  server_ends_.forget_old(now);
  std::erase_if(granted_retries_, [now](const auto& item) { return now - item.second >= kRetryTimeout; });
  std::erase_if(likely_ended_at_, [now](const auto& item) { return now - item.second > kServerReportTimeout; });
  bool changed = suspect_parts_.remove_cleared(now, server_ends_);
  changed = suspect_parts_.update_published(now, server_ends_) || changed;
  changed = block_parts(now) || changed;
  for (auto item = blocked_.begin(); item != blocked_.end();) {
    bool is_expired = false;
    changed = advance(now, item->second, is_expired) || changed;
    item = is_expired ? blocked_.erase(item) : std::next(item);
  }
  return changed;
}

std::vector<wire::BlockedRequest> RequestBlocker::rows() const {
  std::vector<wire::BlockedRequest> result;
  result.reserve(blocked_.size());
  for (const auto& [request, blocked] : blocked_) {
    wire::BlockedRequest row;
    row.fingerprint = request.value();
    row.trials = blocked.trials;
    row.trial_due = blocked.phase == Phase::kTrialDue;
    row.wait_ms = wait_time(blocked) / milliseconds(1);
    if (blocked.kind == CauseKind::kPromptPart) {
      row.__set_is_prompt_part(true);
    }
    row.__set_server_ends(static_cast<int32_t>(blocked.server_ends));
    result.push_back(row);
  }
  for (const auto part : suspect_parts_.published()) {
    wire::BlockedRequest row;
    row.fingerprint = part.value();
    row.__set_is_prompt_part(true);
    row.__set_is_suspect(true);
    result.push_back(row);
  }
  return result;
}

}  // namespace larchlever::fleet
