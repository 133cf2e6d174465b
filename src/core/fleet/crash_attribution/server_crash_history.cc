#include "core/fleet/crash_attribution/server_crash_history.h"

#include <algorithm>

namespace larchlever::fleet {

namespace {

/// Two reports of a crash of one instance within this time refer to the same crash: a server takes some seconds to
/// restart, and entries notice a crash within milliseconds of one another.
constexpr Duration kSameCrashWindow = seconds(2);
/// A caller that repeats its request does so within minutes.
constexpr Duration kRetentionTime = std::chrono::minutes(10);
/// About a megabyte at some 250 bytes each.
constexpr size_t kMaxSuspects = 4096;
/// Limit of recorded crashes that are attributed to a harmful request; each such request has a handful.
constexpr size_t kMaxExplainedCrashes = 1024;

/// Whether a crash that is attributed to `known` does not count against `crash.cause`.
bool explains(const ServerCrash& known, const ServerCrash& crash) {
  const bool is_narrower = known.kind == CauseKind::kRequest && crash.kind == CauseKind::kPromptPart;
  return known.cause != crash.cause && !is_narrower && is_same_crash(known, crash);
}

bool contains_crash(const std::vector<ServerCrash>& crashes, const ServerCrash& crash) {
  return std::any_of(crashes.begin(), crashes.end(),
                     [&crash](const ServerCrash& known) { return is_same_crash(known, crash); });
}

}  // namespace

bool is_same_crash(const ServerCrash& left, const ServerCrash& right) {
  const Duration apart = left.at > right.at ? left.at - right.at : right.at - left.at;
  return left.instance_id == right.instance_id && apart < kSameCrashWindow;
}

size_t ServerCrashHistory::note(const ServerCrash& crash) {
  if (is_explained(crash)) {
    return count(crash.cause);
  }
  if (!suspects_.contains(crash.cause) && suspects_.size() >= kMaxSuspects) {
    erase(by_last_crash_.begin()->second);
  }
  SuspectRequest& suspect = suspects_[crash.cause];
  if (!contains_crash(suspect.crashes, crash)) {
    suspect.crashes.push_back(crash);
  }
  by_last_crash_.erase({suspect.last_crash_at, crash.cause});
  suspect.last_crash_at = std::max(suspect.last_crash_at, crash.at);
  by_last_crash_.insert({suspect.last_crash_at, crash.cause});
  return suspect.crashes.size();
}

size_t ServerCrashHistory::count(requests::RequestFingerprint request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? 0 : found->second.crashes.size();
}

TimePoint ServerCrashHistory::last_crash(requests::RequestFingerprint request) const {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? TimePoint::min() : found->second.last_crash_at;
}

std::vector<requests::RequestFingerprint> ServerCrashHistory::retract(const std::string& incarnation,
                                                                      TimePoint reported_at) {
  const auto is_refuted = [&](const ServerCrash& crash) {
    return crash.instance_id == incarnation && crash.certainty == CrashCertainty::kLikely &&
           crash.at + kReportTransitTime < reported_at;
  };
  std::vector<requests::RequestFingerprint> affected;
  std::vector<requests::RequestFingerprint> cleared;
  for (auto& [request, suspect] : suspects_) {
    if (std::erase_if(suspect.crashes, is_refuted) > 0) {
      affected.push_back(request);
    }
    if (suspect.crashes.empty()) {
      cleared.push_back(request);
    }
  }
  for (const auto request : cleared) {
    erase(request);
  }
  return affected;
}

void ServerCrashHistory::erase(requests::RequestFingerprint request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    by_last_crash_.erase({found->second.last_crash_at, request});
    suspects_.erase(found);
  }
}

bool ServerCrashHistory::is_explained(const ServerCrash& crash) const {
  return std::any_of(explained_crashes_.begin(), explained_crashes_.end(),
                     [&crash](const ServerCrash& known) { return explains(known, crash); });
}

void ServerCrashHistory::mark_as_cause(requests::RequestFingerprint request) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return;
  }
  const auto crashes = found->second.crashes;
  for (const auto& crash : crashes) {
    if (!contains_crash(explained_crashes_, crash) || crash.kind == CauseKind::kPromptPart) {
      explained_crashes_.push_back(crash);
    }
    remove_explained(crash);
  }
  if (explained_crashes_.size() > kMaxExplainedCrashes) {
    explained_crashes_.erase(explained_crashes_.begin(), explained_crashes_.end() - kMaxExplainedCrashes);
  }
}

void ServerCrashHistory::remove_explained(const ServerCrash& cause) {
  std::vector<requests::RequestFingerprint> cleared;
  for (auto& [other, suspect] : suspects_) {
    std::erase_if(suspect.crashes, [&cause](const ServerCrash& crash) { return explains(cause, crash); });
    if (suspect.crashes.empty()) {
      cleared.push_back(other);
    }
  }
  for (const auto other : cleared) {
    erase(other);
  }
}

void ServerCrashHistory::forget_old(TimePoint now) {
  while (!by_last_crash_.empty() && now - by_last_crash_.begin()->first > kRetentionTime) {
    erase(by_last_crash_.begin()->second);
  }
  std::erase_if(explained_crashes_, [now](const ServerCrash& crash) { return now - crash.at > kRetentionTime; });
}

std::vector<ServerCrash> ServerCrashHistory::newest_crashes(size_t max_crashes) const {
  std::vector<ServerCrash> result;
  for (auto item = by_last_crash_.rbegin(); item != by_last_crash_.rend(); ++item) {
    const auto& crashes = suspects_.at(item->second).crashes;
    if (result.size() + crashes.size() > max_crashes) {
      break;
    }
    result.insert(result.end(), crashes.begin(), crashes.end());
  }
  return result;
}

}  // namespace larchlever::fleet
