#include "core/fleet/crash_attribution/request_blocker.h"

#include <algorithm>
#include <array>

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
  blocked_.clear();
  granted_retries_.clear();
  likely_ended_at_.clear();
  add_inherited(now, inherited);
}

void RequestBlocker::add_inherited(TimePoint now, const std::vector<wire::BlockedRequest>& rows) {
  for (const auto& row : rows) {
    const requests::RequestFingerprint request(row.fingerprint);
    if (!blocked_.contains(request)) {
      block(now, request, row.trials).is_inherited = true;
    }
  }
}

RequestBlocker::BlockState& RequestBlocker::block(TimePoint now, requests::RequestFingerprint request, int trials) {
  if (blocked_.size() >= kMaxBlockedRequests) {
    const auto oldest = std::min_element(blocked_.begin(), blocked_.end(), [](const auto& left, const auto& right) {
      return left.second.phase_started_at < right.second.phase_started_at;
    });
    blocked_.erase(oldest);
  }
  BlockState& blocked = blocked_[request];
  blocked.trials = trials;
  set_phase(now, blocked, Phase::kWaiting);
  return blocked;
}

bool RequestBlocker::note_incarnation_alive(TimePoint now, const std::string& incarnation) {
  if (!likely_ended_at_.contains(incarnation)) {
    return false;
  }
  bool changed = false;
  for (const auto request : server_ends_.retract(incarnation, now)) {
    const auto blocked = blocked_.find(request);
    const bool was_blocked_by_its_end =
        blocked != blocked_.end() && blocked->second.trials == 0 && !blocked->second.is_inherited;
    if (was_blocked_by_its_end && server_ends_.count(request) < kServerEndsToBlock) {
      blocked_.erase(blocked);
      changed = true;
    }
  }
  return changed;
}

bool RequestBlocker::note_server_end(const ServerCrash& end) {
  if (end.certainty == CrashCertainty::kLikely) {
    likely_ended_at_[end.instance_id] = end.at;
  }
  const size_t count = server_ends_.note(end);
  const auto known = blocked_.find(end.request);
  if (known != blocked_.end()) {
    server_ends_.mark_as_cause(end.request);
    const bool was_trial = known->second.phase == Phase::kTrialRunning;
    if (was_trial) {
      set_phase(end.at, known->second, Phase::kWaiting);
    }
    return was_trial;
  }
  if (count < kServerEndsToBlock) {
    return false;
  }
  block(end.at, end.request, 0);
  server_ends_.mark_as_cause(end.request);
  return true;
}

bool RequestBlocker::note_answered(requests::RequestFingerprint request) {
  server_ends_.forget(request);
  granted_retries_.erase(request);
  return blocked_.erase(request) > 0;
}

bool RequestBlocker::grant_retry(TimePoint now, requests::RequestFingerprint request) {
  if (blocked_.contains(request)) {
    return false;
  }
  if (!server_ends_.is_suspect(request)) {
    return true;
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

bool RequestBlocker::tick(TimePoint now) {
  server_ends_.forget_old(now);
  std::erase_if(granted_retries_, [now](const auto& item) { return now - item.second >= kRetryTimeout; });
  std::erase_if(likely_ended_at_, [now](const auto& item) { return now - item.second > kServerReportTimeout; });
  bool changed = false;
  for (auto item = blocked_.begin(); item != blocked_.end();) {
    BlockState& blocked = item->second;
    const Duration age = now - blocked.phase_started_at;
    const bool has_trials_left = static_cast<size_t>(blocked.trials) < kTrialDelays.size();
    const bool is_wait_over = blocked.phase == Phase::kWaiting && age >= wait_time(blocked);
    if (is_wait_over && !has_trials_left) {
      item = blocked_.erase(item);
      changed = true;
      continue;
    }
    if (is_wait_over) {
      set_phase(now, blocked, Phase::kTrialDue);
      changed = true;
    } else if (blocked.phase == Phase::kTrialDue && age >= kFinalBlockTime) {
      item = blocked_.erase(item);  // The request was not sent again.
      changed = true;
      continue;
    } else if (blocked.phase == Phase::kTrialRunning && age >= kTrialTimeout) {
      set_phase(now, blocked, Phase::kWaiting);
      changed = true;
    }
    ++item;
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
    result.push_back(row);
  }
  return result;
}

}  // namespace larchlever::fleet
