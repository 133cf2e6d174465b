#pragma once

#include <map>
#include <memory>
#include <string>

#include "node/entry_state.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// The sendings that this entry waits for, by target, and the decisions to give them up because they cannot come back:
/// each is then sent elsewhere or ended, as its request allows. One executor; not thread-safe.
class SendingsUnderWay {
 public:
  explicit SendingsUnderWay(EntryState& state) : state_(state) {}

  /// Brackets one sending, which `request.cancellation` ends.
  void begin(const RelayedRequest& request, const fleet::DispatchTarget& target);
  void end(const RelayedRequest& request, const fleet::DispatchTarget& target);
  /// A sending to the target failed. Where that shows that the target is dead, nothing else there will come back.
  void note_failure(const fleet::DispatchTarget& target, TimePoint now);
  /// Gives up what waits at groups that stand still. To be called every few ticks.
  void abandon_stalled(TimePoint now);
  /// The leader found that the group stands still.
  void abandon_failed(TimePoint now, const std::string& group);
  /// The target's server started again: nothing of what is under way there comes back.
  void abandon_lost(const std::string& target_key);
  /// Ends what is past its deadline. To be called after this process stood still: timers did not count that time where
  /// the machine was suspended.
  void abandon_overdue(TimePoint now);

 private:
  /// Sendings to one target, and when each is due.
  using Sendings = std::map<std::shared_ptr<net::Cancellation>, TimePoint>;

  /// Cancels what waits at a dead target, as far as the retry budget lets it be sent elsewhere; the rest waits on.
  void cancel_all_at(const fleet::DispatchTarget& target, TimePoint now);
  Sendings sendings_at(const std::string& target_key) const;

  EntryState& state_;
  std::map<std::string, Sendings> by_target_;
};

}  // namespace larchlever::node
