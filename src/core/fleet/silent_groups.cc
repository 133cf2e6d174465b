#include "core/fleet/silent_groups.h"

#include <algorithm>
#include <utility>

namespace larchlever::fleet {

namespace {

/// Entries that were told of a suspicion avoid the group for two seconds and repeat their reports meanwhile.
constexpr Duration kEchoTime = milliseconds(2500);
/// Heartbeats that arrive within this time after a suspicion may have been sent before the group fell silent.
constexpr Duration kHeartbeatDelay = milliseconds(300);
/// How often the members of a suspected group are probed, and the least time between the probes of two groups.
constexpr Duration kProbeInterval = milliseconds(500);
constexpr Duration kMinGroupProbeSpacing = milliseconds(10);

}  // namespace

SuspicionEvent SilentGroups::make_event(TimePoint now, SuspicionStep step, const std::string& group,
                                        const Record& record) {
  return {step, group, record.cause, now - record.silent_since, record.entries};
}

bool SilentGroups::is_echo(TimePoint now, const Record& record, SuspicionCause cause) {
  return cause == SuspicionCause::kEntriesReportSilence && now - record.cleared_at < kEchoTime;
}

std::optional<SuspicionEvent> SilentGroups::suspect(TimePoint now, const std::string& group, SuspicionCause cause,
                                                    TimePoint silent_since, const std::vector<std::string>& entries) {
  const auto [item, is_new] = records_.try_emplace(group);
  Record& record = item->second;
  if (!is_new && (record.stage != Stage::kCleared || is_echo(now, record, cause))) {
    return std::nullopt;
  }
  record.stage = Stage::kSuspected;
  record.cause = cause;
  record.entries = entries;
  record.suspected_at = now;
  record.silent_since = silent_since;
  record.next_probe_at = now;
  return make_event(now, SuspicionStep::kSuspected, group, record);
}

SuspicionEvent SilentGroups::clear_suspicion(TimePoint now, const std::string& group, Record& record) {
  record.stage = Stage::kCleared;
  record.cleared_at = now;
  return make_event(now, SuspicionStep::kCleared, group, record);
}

std::optional<SuspicionEvent> SilentGroups::review(TimePoint now, const std::string& group,
                                                   const SuspectedGroupState& state) {
  const auto found = records_.find(group);
  if (found == records_.end() || found->second.stage == Stage::kGivenUp) {
    return std::nullopt;
  }
  Record& record = found->second;
  if (record.stage == Stage::kCleared) {
    record.is_on_trial = record.is_on_trial && state.last_progress <= record.cleared_at;
    if (!record.is_on_trial && now - record.cleared_at >= kEchoTime) {
      records_.erase(found);
    }
    return std::nullopt;
  }
  if (state.has_silent_member) {
    return give_up(now, group, SuspicionCause::kMemberSilent, state.last_progress, record.entries);
  }
  if (state.are_streams_moving || state.last_progress > record.suspected_at) {
    record.is_on_trial = false;
    return clear_suspicion(now, group, record);
  }
  const bool have_members_reported = state.all_members_reported_at > record.suspected_at + kHeartbeatDelay;
  if (!state.has_requests && !record.is_on_trial && have_members_reported) {
    record.is_on_trial = true;
    return clear_suspicion(now, group, record);
  }
  if (now - record.silent_since > kMaxSoundSilence) {
    record.stage = Stage::kGivenUp;
    return make_event(now, SuspicionStep::kGivenUp, group, record);
  }
  return std::nullopt;
}

std::optional<SuspicionEvent> SilentGroups::give_up(TimePoint now, const std::string& group, SuspicionCause cause,
                                                    TimePoint last_progress, const std::vector<std::string>& entries) {
  const auto [item, is_new] = records_.try_emplace(group);
  Record& record = item->second;
  if (!is_new && record.stage == Stage::kGivenUp) {
    return std::nullopt;
  }
  if (is_new || record.stage == Stage::kCleared) {
    record.silent_since = last_progress == TimePoint::min() ? now : last_progress;
  }
  record.stage = Stage::kGivenUp;
  record.cause = cause;
  record.entries = entries;
  return make_event(now, SuspicionStep::kGivenUp, group, record);
}

std::vector<std::string> SilentGroups::take_groups_to_probe(TimePoint now) {
  if (now < next_group_probe_at_) {
    return {};
  }
  const auto due = std::find_if(records_.begin(), records_.end(), [now](const auto& item) {
    return item.second.stage == Stage::kSuspected && item.second.next_probe_at <= now;
  });
  if (due == records_.end()) {
    return {};
  }
  due->second.next_probe_at = now + kProbeInterval;
  next_group_probe_at_ = now + kMinGroupProbeSpacing;
  return {due->first};
}

std::optional<SuspicionEvent> SilentGroups::note_probe(TimePoint now, const std::string& group,
                                                       MemberProbeResult result) {
  const auto found = records_.find(group);
  const bool is_suspected = found != records_.end() && found->second.stage == Stage::kSuspected;
  if (!is_suspected || result != MemberProbeResult::kRefused) {
    return std::nullopt;
  }
  return give_up(now, group, SuspicionCause::kMemberRefused, found->second.silent_since, found->second.entries);
}

void SilentGroups::retain(const std::set<std::string>& groups) {
  std::erase_if(records_, [&groups](const auto& item) { return !groups.contains(item.first); });
}

void SilentGroups::note_own_pause(TimePoint now, Duration pause) {
  for (auto& [group, record] : records_) {
    record.silent_since = std::min(now, record.silent_since + pause);
  }
}

std::vector<std::string> SilentGroups::groups_to_review() const {
  std::vector<std::string> result;
  for (const auto& [group, record] : records_) {
    if (record.stage != Stage::kGivenUp) {
      result.push_back(group);
    }
  }
  return result;
}

}  // namespace larchlever::fleet
