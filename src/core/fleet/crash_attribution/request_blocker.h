#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/crash_attribution/server_crash_history.h"
#include "core/fleet/crash_attribution/suspect_parts.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The leader's decision on which requests, and requests with which parts in their prompts, are no longer sent to any
/// server because they terminate the servers that run them. A "server end" is the termination of a server incarnation
/// while it ran a request.
///
/// Failure scenario: a caller repeatedly sends the same request to all entries. Each attempt terminates a server and
/// interrupts every other request running there. Entries report each server end together with the requests that were
/// running. The third server end blocks the request on all entries. The block may be wrong, or the cause may be fixed
/// on the servers, so a single trial attempt is made after a delay; if its server answers, the request is unblocked.
///
/// The same holds for a part of prompts that ever new requests have in common; see `SuspectParts`. Until such a part is
/// known to be the cause or answered, requests with it run on one server at a time.
///
/// Limits: three server ends are required because a harmless request that runs next to the harmful one may be
/// interrupted once or twice before the harmful one is identified. There are at most two trials, so a harmful request
/// terminates at most five servers per hour however often it is sent. At most 1,024 requests are blocked, the most
/// recent ones, which takes about 20 KB in a copy of the state. Blocks survive a change of leader as rows of the
/// published state. Single-threaded, deterministic.
class RequestBlocker {
 public:
  /// Starts a new leadership with the rows of the inherited state. The delay before a trial starts again.
  void start(TimePoint now, const std::vector<wire::BlockedRequest>& inherited);
  /// Adds rows from a copy of the state that arrived after `start`.
  void add_inherited(TimePoint now, const std::vector<wire::BlockedRequest>& rows);
  /// A server ended while it ran the request. Returns true if the rows changed, as do the functions below that return
  /// bool, except `grant_retry`.
  bool note_server_end(const ServerCrash& end);
  /// A server incarnation sent a report. Its server ends that were only likely are withdrawn, and requests that were
  /// blocked because of them are unblocked.
  bool note_incarnation_alive(TimePoint now, const std::string& incarnation);
  /// A server answered the request, or a request with this part.
  bool note_answered(TimePoint now, requests::RequestFingerprint request);
  /// Whether a request whose answer was lost may be retried, or one with a suspected part be sent. Those with server
  /// ends run on one server at a time across all entries; otherwise, several copies could each terminate a further
  /// server at the same time.
  bool grant_retry(TimePoint now, requests::RequestFingerprint request);
  /// Grants the trial of a blocked request, once, if it is due.
  bool grant_trial(TimePoint now, requests::RequestFingerprint request);
  /// Advances phases and removes expired state.
  bool tick(TimePoint now);
  /// All blocked requests, blocked parts and suspected parts, for the published state.
  std::vector<wire::BlockedRequest> rows() const;

 private:
  enum class Phase { kWaiting, kTrialDue, kTrialRunning };
  struct BlockState {
    int trials = 0;
    Phase phase = Phase::kWaiting;
    /// Start of the phase.
    TimePoint phase_started_at{};
    /// The server ends that caused the block were counted under an earlier leader, so those counted here cannot refute
    /// it.
    bool is_inherited = false;
    CauseKind kind = CauseKind::kRequest;
    size_t server_ends = 0;
  };

  BlockState& block(TimePoint now, requests::RequestFingerprint request, CauseKind kind);
  /// Blocks parts that are now known to be causes. Returns true if there are any.
  bool block_parts(TimePoint now);
  /// Unblocks requests whose server ends are explained by a blocked part.
  void unblock_explained_requests();
  /// Whether the block rests on server ends counted by this leader, which later observations may refute.
  static bool is_refutable(const BlockState& blocked) { return blocked.trials == 0 && !blocked.is_inherited; }
  bool advance(TimePoint now, BlockState& blocked, bool& is_expired);
  /// Delay before the next trial, or before the block ends if no trial is left.
  static Duration wait_time(const BlockState& blocked);
  static void set_phase(TimePoint now, BlockState& blocked, Phase phase);

  ServerCrashHistory server_ends_;
  SuspectParts suspect_parts_;
  std::map<requests::RequestFingerprint, BlockState> blocked_;
  /// When the last retry was granted, for requests with server ends that have not been answered since.
  std::map<requests::RequestFingerprint, TimePoint> granted_retries_;
  /// When incarnations likely terminated, for comparison with later reports of the same incarnations.
  std::map<std::string, TimePoint> likely_ended_at_;
};

}  // namespace larchlever::fleet
