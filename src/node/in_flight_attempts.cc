#include "node/in_flight_attempts.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// A group has stalled if it makes no progress on this entry's requests for the base time, plus a time per request in
/// flight there. A group that gets many requests at once reads all their prompts first.
constexpr Duration kBaseStallTime = milliseconds(900);
constexpr Duration kStallTimePerRequest = milliseconds(100);
/// How often a suspicion is repeated while the target is silent: the first time, the retry budget may have been used
/// up.
constexpr Duration kSuspicionInterval = milliseconds(500);

std::string to_text(Duration duration) { return std::to_string(duration / milliseconds(1)); }

}  // namespace

void InFlightAttempts::add_attempt(RelayAttempt& attempt) { attempts_by_target_[attempt.target.key].insert(&attempt); }

void InFlightAttempts::remove_attempt(RelayAttempt& attempt) {
  const auto found = attempts_by_target_.find(attempt.target.key);
  if (found == attempts_by_target_.end()) {
    return;
  }
  found->second.erase(&attempt);
  if (found->second.empty()) {
    attempts_by_target_.erase(found);
  }
}

std::vector<RelayAttempt*> InFlightAttempts::attempts_at(const std::string& target_key) const {
  const auto found = attempts_by_target_.find(target_key);
  return found == attempts_by_target_.end() ? std::vector<RelayAttempt*>()
                                            : std::vector<RelayAttempt*>(found->second.begin(), found->second.end());
}

std::vector<RelayAttempt*> InFlightAttempts::all_attempts() const {
  std::vector<RelayAttempt*> result;
  for (const auto& [key, attempts] : attempts_by_target_) {
    result.insert(result.end(), attempts.begin(), attempts.end());
  }
  return result;
}

void InFlightAttempts::suspect(TimePoint now, RelayAttempt& attempt, std::string_view cause) {
  attempt.suspected_at = now;
  if (attempt.on_suspected) {
    attempt.on_suspected(cause);
  }
}

void InFlightAttempts::suspect_at_target(TimePoint now, const std::string& target_key, std::string_view cause) {
  for (auto* attempt : attempts_at(target_key)) {
    suspect(now, *attempt, cause);
  }
}

void InFlightAttempts::note_failure(const fleet::DispatchTarget& target, TimePoint now,
                                    fleet::FailureEvidence evidence) {
  if (!state_.dispatcher.note_failure(now, target, evidence)) {
    return;
  }
  ++state_.counters.stalls;
  if (!target.group.empty()) {
    suspect_at_target(now, target.key, "another attempt failed there");
  }
}

void InFlightAttempts::suspect_silent(TimePoint now) {
  for (const auto& target : state_.dispatcher.stalled_groups(now, kBaseStallTime, kStallTimePerRequest)) {
    ++state_.counters.stalls;
    log_event("", "group_stalled",
              {{"group", target.group},
               {"requests", std::to_string(target.in_flight)},
               {"silent_ms", to_text(state_.dispatcher.silence_at(now, target.key))}});
    state_.dispatcher.avoid_target(now, target.key);
    suspect_at_target(now, target.key, "group stalled");
  }
  for (const auto& [key, attempts] : attempts_by_target_) {
    for (auto* attempt : attempts) {
      const bool waits = attempt->awaiting_since != TimePoint::max();
      const bool is_due = attempt->suspected_at ? now - *attempt->suspected_at >= kSuspicionInterval
                                                : waits && now - attempt->awaiting_since > attempt->max_silence;
      if (waits && is_due) {
        suspect(now, *attempt, "response paused");
      }
    }
  }
}

void InFlightAttempts::suspect_at_failed_group(TimePoint now, const std::string& group) {
  const auto target = state_.dispatcher.target_of_group(now, group);
  if (!target) {
    return;  // The target is already avoided, or no longer exists.
  }
  ++state_.counters.stalls;
  log_event("", "group_failed",
            {{"group", group},
             {"requests", std::to_string(attempts_at(target->key).size())},
             {"silent_ms", to_text(state_.dispatcher.silence_at(now, target->key))}});
  state_.dispatcher.avoid_target(now, target->key);
  suspect_at_target(now, target->key, "group failed");
}

void InFlightAttempts::suspect_at_lost_link(TimePoint now, const std::string& server_address) {
  for (auto* attempt : all_attempts()) {
    if (attempt->target.server.address == server_address) {
      suspect(now, *attempt, "link lost");
    }
  }
}

void InFlightAttempts::cancel_at_restarted_server(const std::string& target_key) {
  const auto lost_attempts = attempts_at(target_key);
  if (lost_attempts.empty()) {
    return;
  }
  log_event("", "server_started_again", {{"target", target_key}, {"requests", std::to_string(lost_attempts.size())}});
  for (auto* attempt : lost_attempts) {
    attempt->cancellation->cancel("server restarted");
  }
}

void InFlightAttempts::cancel_overdue(TimePoint now) {
  for (auto* attempt : all_attempts()) {
    if (attempt->deadline <= now) {
      attempt->cancellation->cancel("overdue after a pause of this process");
    }
  }
}

void InFlightAttempts::restart_silence_timers(TimePoint now) {
  for (auto* attempt : all_attempts()) {
    if (attempt->awaiting_since != TimePoint::max()) {
      attempt->begin_wait(now);
    }
  }
}

}  // namespace larchlever::node
