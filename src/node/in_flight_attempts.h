#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "node/entry_state.h"
#include "node/relay_attempt.h"

namespace larchlever::node {

/// Tracks the request attempts in flight at each target.
///
/// Two cases are kept apart. An attempt that certainly cannot complete is cancelled. An attempt whose target is merely
/// silent is suspected: it goes on, and its request may look for another target beside it (see
/// RelayAttempt::on_suspected), because a sound server may be silent for a second and then go on. Runs on one executor;
/// not thread-safe.
class InFlightAttempts {
 public:
  explicit InFlightAttempts(EntryState& state) : state_(state) {}

  /// Mark the start and the end of one attempt, which must not move in between.
  void add_attempt(RelayAttempt& attempt);
  void remove_attempt(RelayAttempt& attempt);
  /// Records a failed attempt. If it suggests that the target is dead, all other attempts there are suspected.
  void note_failure(const fleet::DispatchTarget& target, TimePoint now,
                    fleet::FailureEvidence evidence = fleet::FailureEvidence::kConnection);
  /// Suspects attempts at groups that have stalled, and attempts that wait too long. Call every few ticks.
  void suspect_silent(TimePoint now);
  /// Suspects attempts at a group that the leader found to be stalled.
  void suspect_at_failed_group(TimePoint now, const std::string& group);
  /// Suspects attempts that wait for a server whose link is lost.
  void suspect_at_lost_link(TimePoint now, const std::string& server_address);
  /// Cancels attempts at a target whose server restarted, since they cannot complete.
  void cancel_at_restarted_server(const std::string& target_key);
  /// Cancels attempts past their deadline. Call after this process was paused: timers do not count time during which
  /// the machine was suspended.
  void cancel_overdue(TimePoint now);
  /// This process was paused until now and read no responses, so silence counts from now on.
  void restart_silence_timers(TimePoint now);

 private:
  std::vector<RelayAttempt*> attempts_at(const std::string& target_key) const;
  std::vector<RelayAttempt*> all_attempts() const;
  void suspect_at_target(TimePoint now, const std::string& target_key, std::string_view cause);
  static void suspect(TimePoint now, RelayAttempt& attempt, std::string_view cause);

  EntryState& state_;
  std::map<std::string, std::set<RelayAttempt*>> attempts_by_target_;
};

}  // namespace larchlever::node
