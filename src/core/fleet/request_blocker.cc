#include "core/fleet/request_blocker.h"

#include <algorithm>
#include <array>

#include "core/fleet/blocked_requests.h"

namespace larchlever::fleet {

namespace {

/// Waits before the first and the second trial. A caller that retries has given up by the first; the second is for
/// whoever is called again after a repair.
constexpr std::array kTrialWaits{Duration(seconds(30)), Duration(std::chrono::minutes(2))};
/// After the last trial the request stays blocked for this long, then nothing is known of it any more.
constexpr Duration kLastWait = std::chrono::hours(1);
/// A trial that brought no word for this long has failed: longer than callers wait for an answer.
constexpr Duration kTrialPatience = seconds(15);
constexpr size_t kMostBlocked = 1024;
/// A repeat that brought no word for this long harms nobody: a harmful request ends its server within half a second.
constexpr Duration kRepeatPatience = seconds(1);
/// A server that lives reports each second or two; one that is not heard for this long has ended.
constexpr Duration kReportPatience = seconds(30);

}  // namespace

Duration RequestBlocker::wait_of(const Blocked& blocked) {
  const auto trials = static_cast<size_t>(blocked.trials);
  return trials < kTrialWaits.size() ? kTrialWaits.at(trials) : kLastWait;
}

void RequestBlocker::set_phase(TimePoint now, Blocked& blocked, Phase phase) {
  blocked.phase = phase;
  blocked.since = now;
}

void RequestBlocker::start(TimePoint now, const std::vector<wire::BlockedRequest>& inherited) {
  ends_ = ServerCrashHistory();
  blocked_.clear();
  repeats_.clear();
  likely_ended_.clear();
  inherit(now, inherited);
}

void RequestBlocker::inherit(TimePoint now, const std::vector<wire::BlockedRequest>& rows) {
  for (const auto& row : rows) {
    const requests::RequestFingerprint request(row.fingerprint);
    if (!blocked_.contains(request)) {
      block(now, request, row.trials).is_inherited = true;
    }
  }
}

RequestBlocker::Blocked& RequestBlocker::block(TimePoint now, requests::RequestFingerprint request, int trials) {
  if (blocked_.size() >= kMostBlocked) {
    const auto oldest = std::min_element(blocked_.begin(), blocked_.end(), [](const auto& left, const auto& right) {
      return left.second.since < right.second.since;
    });
    blocked_.erase(oldest);
  }
  Blocked& blocked = blocked_[request];
  blocked.trials = trials;
  set_phase(now, blocked, Phase::kWaiting);
  return blocked;
}

bool RequestBlocker::note_heard(TimePoint now, const std::string& incarnation) {
  if (!likely_ended_.contains(incarnation)) {
    return false;
  }
  bool changed = false;
  for (const auto request : ends_.retract(incarnation, now)) {
    const auto blocked = blocked_.find(request);
    const bool was_blocked_for_it =
        blocked != blocked_.end() && blocked->second.trials == 0 && !blocked->second.is_inherited;
    if (was_blocked_for_it && ends_.count(request) < kEndsThatBlock) {
      blocked_.erase(blocked);
      changed = true;
    }
  }
  return changed;
}

bool RequestBlocker::note_end(const ServerCrash& end) {
  if (end.certainty == CrashCertainty::kLikely) {
    likely_ended_[end.instance_id] = end.at;
  }
  const size_t count = ends_.note(end);
  const auto known = blocked_.find(end.request);
  if (known != blocked_.end()) {
    ends_.mark_as_cause(end.request);
    const bool was_trial = known->second.phase == Phase::kTrialRunning;
    if (was_trial) {
      set_phase(end.at, known->second, Phase::kWaiting);
    }
    return was_trial;
  }
  if (count < kEndsThatBlock) {
    return false;
  }
  block(end.at, end.request, 0);
  ends_.mark_as_cause(end.request);
  return true;
}

bool RequestBlocker::note_answered(requests::RequestFingerprint request) {
  ends_.forget(request);
  repeats_.erase(request);
  return blocked_.erase(request) > 0;
}

bool RequestBlocker::grant_repeat(TimePoint now, requests::RequestFingerprint request) {
  if (blocked_.contains(request)) {
    return false;
  }
  if (!ends_.is_suspect(request)) {
    return true;
  }
  const auto [granted, is_first] = repeats_.try_emplace(request, now);
  if (!is_first && now - granted->second < kRepeatPatience) {
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
  ends_.forget_old(now);
  std::erase_if(repeats_, [now](const auto& item) { return now - item.second >= kRepeatPatience; });
  std::erase_if(likely_ended_, [now](const auto& item) { return now - item.second > kReportPatience; });
  bool changed = false;
  for (auto item = blocked_.begin(); item != blocked_.end();) {
    Blocked& blocked = item->second;
    const Duration age = now - blocked.since;
    const bool has_trials = static_cast<size_t>(blocked.trials) < kTrialWaits.size();
    const bool is_over = blocked.phase == Phase::kWaiting && age >= wait_of(blocked);
    if (is_over && !has_trials) {
      item = blocked_.erase(item);
      changed = true;
      continue;
    }
    if (is_over) {
      set_phase(now, blocked, Phase::kTrialDue);
      changed = true;
    } else if (blocked.phase == Phase::kTrialDue && age >= kLastWait) {
      item = blocked_.erase(item);  // Nobody sent it any more.
      changed = true;
      continue;
    } else if (blocked.phase == Phase::kTrialRunning && age >= kTrialPatience) {
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
    row.wait_ms = wait_of(blocked) / milliseconds(1);
    result.push_back(row);
  }
  return result;
}

}  // namespace larchlever::fleet
