#include "node/in_flight_attempts.h"

#include "node/logging.h"

namespace larchlever::node {

namespace {

/// A group has stalled if it makes no progress on this entry's requests for the base time, plus a time per request in
/// flight there. A group that gets many requests at once reads all their prompts first.
constexpr Duration kBaseStallTime = milliseconds(900);
constexpr Duration kStallTimePerRequest = milliseconds(100);

std::string to_text(Duration duration) { return std::to_string(duration / milliseconds(1)); }

}  // namespace

void InFlightAttempts::add_attempt(const RelayedRequest& request, const fleet::DispatchTarget& target) {
  attempts_by_target_[target.key][request.cancellation] = {request.deadline, target.service, target.server.address,
                                                           request.route->is_retry_safe()};
}

void InFlightAttempts::remove_attempt(const RelayedRequest& request, const fleet::DispatchTarget& target) {
  auto& attempts = attempts_by_target_[target.key];
  attempts.erase(request.cancellation);
  if (attempts.empty()) {
    attempts_by_target_.erase(target.key);
  }
}

InFlightAttempts::Attempts InFlightAttempts::attempts_at(const std::string& target_key) const {
  const auto found = attempts_by_target_.find(target_key);
  return found == attempts_by_target_.end() ? Attempts() : found->second;
}

void InFlightAttempts::note_failure(const fleet::DispatchTarget& target, TimePoint now) {
  if (!state_.dispatcher.note_failure(now, target)) {
    return;
  }
  ++state_.counters.stalls;
  if (!target.group.empty()) {
    cancel_at_target(target, now, "another attempt failed there");
  }
}

void InFlightAttempts::cancel_at_target(const fleet::DispatchTarget& target, TimePoint now, std::string_view cause) {
  int retry_allowance = state_.dispatcher.retry_budget().remaining(now, target.service);
  for (const auto& [cancellation, attempt] : attempts_at(target.key)) {
    if (retry_allowance-- <= 0) {
      return;
    }
    cancellation->cancel(cause);
  }
}

void InFlightAttempts::cancel_stalled(TimePoint now) {
  for (const auto& target : state_.dispatcher.stalled_groups(now, kBaseStallTime, kStallTimePerRequest)) {
    ++state_.counters.stalls;
    log_event("", "group_stalled",
              {{"group", target.group},
               {"requests", std::to_string(target.in_flight)},
               {"silent_ms", to_text(state_.dispatcher.silence_at(now, target.key))}});
    state_.dispatcher.avoid_target(now, target.key);
    cancel_at_target(target, now, "group stalled");
  }
}

void InFlightAttempts::cancel_at_failed_group(TimePoint now, const std::string& group) {
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
  cancel_at_target(*target, now, "group failed");
}

void InFlightAttempts::cancel_at_restarted_server(const std::string& target_key) {
  const auto lost_attempts = attempts_at(target_key);
  if (lost_attempts.empty()) {
    return;
  }
  log_event("", "server_started_again", {{"target", target_key}, {"requests", std::to_string(lost_attempts.size())}});
  for (const auto& [cancellation, attempt] : lost_attempts) {
    cancellation->cancel("server restarted");
  }
}

void InFlightAttempts::cancel_at_lost_link(TimePoint now, const std::string& server_address) {
  const auto attempts_snapshot = attempts_by_target_;
  std::map<std::string, int> retry_allowances;
  for (const auto& [key, attempts] : attempts_snapshot) {
    for (const auto& [cancellation, attempt] : attempts) {
      if (attempt.server_address != server_address || !attempt.is_repeatable) {
        continue;
      }
      const auto allowance =
          retry_allowances
              .try_emplace(attempt.service, state_.dispatcher.retry_budget().remaining(now, attempt.service))
              .first;
      if (allowance->second-- > 0) {
        cancellation->cancel("link lost");
      }
    }
  }
}

void InFlightAttempts::cancel_overdue(TimePoint now) {
  const auto attempts_snapshot = attempts_by_target_;
  for (const auto& [key, attempts] : attempts_snapshot) {
    for (const auto& [cancellation, attempt] : attempts) {
      if (attempt.deadline <= now) {
        cancellation->cancel("overdue after a pause of this process");
      }
    }
  }
}

}  // namespace larchlever::node
