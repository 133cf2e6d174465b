#pragma once

#include <map>
#include <memory>
#include <string>

#include "node/entry_state.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// The sendings that this entry waits for, by target, and the decisions to give them up because they cannot come back:
/// each is then sent elsewhere or ended, as its request allows. One executor; not thread-safe.
class InFlightAttempts {
 public:
  explicit InFlightAttempts(EntryState& state) : state_(state) {}

  /// Brackets one sending, which `request.cancellation` ends.
  void add_attempt(const RelayedRequest& request, const fleet::Target& target);
  void remove_attempt(const RelayedRequest& request, const fleet::Target& target);
  /// A sending to the target failed. Where that shows that the target is dead, nothing else there will come back.
  void note_failure(const fleet::Target& target, TimePoint now);
  /// Gives up what waits at groups that stand still. To be called every few ticks.
  void cancel_stalled(TimePoint now);
  /// The leader found that the group stands still.
  void cancel_at_failed_group(TimePoint now, const std::string& group);
  /// The target's server started again: nothing of what is under way there comes back.
  void cancel_at_restarted_server(const std::string& target_key);
  /// Ends what is past its deadline. To be called after this process stood still: timers did not count that time where
  /// the machine was suspended.
  void cancel_overdue(TimePoint now);

 private:
  /// Sendings to one target, and when each is due.
  using AttemptDeadlines = std::map<std::shared_ptr<net::Cancellation>, TimePoint>;

  /// Cancels what waits at a dead target, as far as the retry budget lets it be sent elsewhere; the rest waits on.
  void cancel_at_target(const fleet::Target& target, TimePoint now);
  AttemptDeadlines attempts_at(const std::string& target_key) const;

  EntryState& state_;
  std::map<std::string, AttemptDeadlines> attempts_by_target_;
};

}  // namespace larchlever::node
