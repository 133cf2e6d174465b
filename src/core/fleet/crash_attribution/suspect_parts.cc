#include "core/fleet/crash_attribution/suspect_parts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace larchlever::fleet {

namespace {

/// Servers must have crashed under this many different requests with a part. If they crashed under repetitions of one
/// request, the request is the cause.
constexpr size_t kMinRequests = 2;
/// Requests kept for each suspect, to compare how many have it.
constexpr size_t kMaxRequestsPerSuspect = 64;

/// A cause must have been present at one in this many of the crashes since its first one.
constexpr size_t kMaxCrashesPerCauseCrash = 3;
/// Crashes of one event, such as the failure of a zone, are noticed within this time.
constexpr Duration kSameEventTime = seconds(1);
constexpr size_t kMaxRecentCrashes = 1024;

}  // namespace

void SuspectParts::inherit(TimePoint now, requests::RequestFingerprint part) {
  if (suspects_.size() >= kMaxSuspects || is_known_sound(now, part)) {
    return;
  }
  const auto [suspect, is_new] = suspects_.try_emplace(part);
  if (is_new) {
    suspect->second.first_crash_at = now;
    suspect->second.inherited_at = now;
    suspect->second.published_at = now;
    published_.insert(part);
  }
}

bool SuspectParts::awaits_reports(TimePoint now, requests::RequestFingerprint part) const {
  const auto suspect = suspects_.find(part);
  return suspect != suspects_.end() && suspect->second.inherited_at &&
         now - *suspect->second.inherited_at < kReportTime;
}

void SuspectParts::count_crash(const ServerCrash& crash) {
  const bool is_known = std::any_of(recent_crashes_.rbegin(), recent_crashes_.rend(),
                                    [&crash](const ServerCrash& known) { return is_same_crash(known, crash); });
  if (is_known) {
    return;
  }
  recent_crashes_.push_back(crash);
  if (recent_crashes_.size() > kMaxRecentCrashes) {
    recent_crashes_.pop_front();
  }
}

void SuspectParts::retract_likely_crashes(const std::string& incarnation) {
  std::erase_if(recent_crashes_, [&incarnation](const ServerCrash& crash) {
    return crash.instance_id == incarnation && crash.certainty == CrashCertainty::kLikely;
  });
}

size_t SuspectParts::count_crashes_since(TimePoint from) const {
  return static_cast<size_t>(std::count_if(recent_crashes_.begin(), recent_crashes_.end(),
                                           [from](const ServerCrash& crash) { return crash.at >= from; }));
}

bool SuspectParts::note_crash(const ServerCrash& crash, const ServerCrashHistory& crashes) {
  const auto known = suspects_.find(crash.cause);
  const bool is_new = known == suspects_.end();
  if (is_new && suspects_.size() >= kMaxSuspects) {
    drop_least_suspected(crashes);
  }
  Suspect& suspect = is_new ? suspects_[crash.cause] : known->second;
  suspect.first_crash_at = is_new ? crash.at : std::min(suspect.first_crash_at, crash.at);
  if (suspect.requests.size() < kMaxRequestsPerSuspect) {
    suspect.requests.insert(crash.request_of_part);
  }
  return explains_crashes(crash.cause, suspect, crashes) && published_.insert(crash.cause).second;
}

void SuspectParts::note_answered(TimePoint now, requests::RequestFingerprint part) {
  forget(part);
  sound_.add(now, part);
}

void SuspectParts::forget(requests::RequestFingerprint part) {
  suspects_.erase(part);
  published_.erase(part);
}

bool SuspectParts::explains_crashes(requests::RequestFingerprint part, const Suspect& suspect,
                                    const ServerCrashHistory& crashes) const {
  const size_t all_crashes = count_crashes_since(suspect.first_crash_at - kSameEventTime);
  return crashes.count(part) * kMaxCrashesPerCauseCrash >= all_crashes;
}

bool SuspectParts::is_kept_for_reports(TimePoint now, const Suspect& suspect) {
  return suspect.inherited_at && now - *suspect.inherited_at < kInheritedSuspicionTime;
}

bool SuspectParts::update_published(TimePoint now, const ServerCrashHistory& crashes) {
  bool changed = false;
  for (auto& [part, suspect] : suspects_) {
    const bool should_publish = is_kept_for_reports(now, suspect) || explains_crashes(part, suspect, crashes);
    if (!should_publish) {
      suspect.published_at.reset();
      changed = published_.erase(part) > 0 || changed;
      continue;
    }
    suspect.published_at = suspect.published_at.value_or(now);
    changed = published_.insert(part).second || changed;
  }
  return changed;
}

void SuspectParts::drop_least_suspected(const ServerCrashHistory& crashes) {
  const auto least = std::min_element(suspects_.begin(), suspects_.end(), [&](const auto& left, const auto& right) {
    return std::pair(crashes.count(left.first), crashes.last_crash(left.first)) <
           std::pair(crashes.count(right.first), crashes.last_crash(right.first));
  });
  forget(least->first);
}

bool SuspectParts::remove_cleared(TimePoint now, const ServerCrashHistory& crashes) {
  bool was_published = false;
  std::erase_if(suspects_, [&](const auto& item) {
    const auto& [part, suspect] = item;
    const bool is_cleared = crashes.count(part) == 0 && !is_kept_for_reports(now, suspect);
    was_published = (is_cleared && published_.erase(part) > 0) || was_published;
    return is_cleared;
  });
  return was_published;
}

bool SuspectParts::is_cause(TimePoint now, requests::RequestFingerprint part, const Suspect& suspect,
                            const ServerCrashHistory& crashes) const {
  const bool may_be_objected_to = !suspect.published_at || now - *suspect.published_at < kObjectionTime;
  if (may_be_objected_to || suspect.requests.size() < kMinRequests || crashes.count(part) < kServerEndsToBlock) {
    return false;
  }
  return explains_crashes(part, suspect, crashes);
}

std::optional<requests::RequestFingerprint> SuspectParts::take_cause(TimePoint now, const ServerCrashHistory& crashes) {
  auto cause = suspects_.end();
  for (auto item = suspects_.begin(); item != suspects_.end(); ++item) {
    auto& [part, suspect] = *item;
    const bool is_candidate = is_cause(now, part, suspect, crashes);
    if (!is_candidate) {
      continue;
    }
    const auto is_more_likely = [&] {
      const size_t count = crashes.count(part);
      const size_t best_count = crashes.count(cause->first);
      return count > best_count || (count == best_count && suspect.requests.size() < cause->second.requests.size());
    };
    if (cause == suspects_.end() || is_more_likely()) {
      cause = item;
    }
  }
  if (cause == suspects_.end()) {
    return std::nullopt;
  }
  const auto part = cause->first;
  forget(part);
  return part;
}

}  // namespace larchlever::fleet
