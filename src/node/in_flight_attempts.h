#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "node/entry_state.h"
#include "node/relayed_request.h"

namespace larchlever::node {

/// Tracks the request attempts in flight at each target and cancels those that cannot complete. A cancelled attempt is
/// retried elsewhere or fails, as its request allows. Runs on one executor; not thread-safe.
class InFlightAttempts {
 public:
  explicit InFlightAttempts(EntryState& state) : state_(state) {}

  /// Mark the start and the end of one attempt, which `request.cancellation` cancels.
  void add_attempt(const RelayedRequest& request, const fleet::DispatchTarget& target);
  void remove_attempt(const RelayedRequest& request, const fleet::DispatchTarget& target);
  /// Records a failed attempt. If it shows that the target is dead, all other attempts there are cancelled too.
  void note_failure(const fleet::DispatchTarget& target, TimePoint now);
  /// Cancels attempts at groups that have stalled. Call every few ticks.
  void cancel_stalled(TimePoint now);
  /// Cancels attempts at a group that the leader found to be stalled.
  void cancel_at_failed_group(TimePoint now, const std::string& group);
  /// Cancels attempts at a target whose server restarted, since they cannot complete.
  void cancel_at_restarted_server(const std::string& target_key);
  /// Cancels attempts that may be repeated and that wait for a server whose link is lost, as far as the retry budget
  /// covers their retries.
  void cancel_at_lost_link(TimePoint now, const std::string& server_address);
  /// Cancels attempts past their deadline. Call after this process was paused: timers do not count time during which
  /// the machine was suspended.
  void cancel_overdue(TimePoint now);

 private:
  struct Attempt {
    TimePoint deadline;
    std::string service;
    /// Empty if the attempt is relayed by another entry.
    std::string server_address;
    bool is_repeatable = false;
  };
  /// Attempts at one target.
  using Attempts = std::map<std::shared_ptr<net::Cancellation>, Attempt>;

  /// Cancels attempts at a dead target, as far as the retry budget covers their retries. The rest keep waiting.
  void cancel_at_target(const fleet::DispatchTarget& target, TimePoint now, std::string_view cause);
  Attempts attempts_at(const std::string& target_key) const;

  EntryState& state_;
  std::map<std::string, Attempts> attempts_by_target_;
};

}  // namespace larchlever::node
