#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/crash_attribution/server_crash_history.h"
#include "core/requests/recently_answered.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// An entry's view of requests, and of parts of prompts, that terminate the servers that run them. Combines the server
/// ends that this entry observed, which it reports to the leader, with the decisions that the leader published from the
/// reports of all entries.
///
/// While the leader's decision is pending, or there is no leader, the entry's own observations decide: three server
/// ends observed here block a request. A request that a server answered recently is not blamed for a server end: when
/// several servers end at once for another reason, popular requests are running on many of them. If the leader blocks
/// such a request or suspects such a part, the entry reports that it was answered. Single-threaded, deterministic.
class BlockedRequests {
 public:
  enum class Verdict {
    kAllowed,    ///< May be sent like any other request.
    kSuspected,  ///< A part that may be sent if the leader permits it.
    kTrialDue,   ///< Blocked, but the leader may grant one trial attempt.
    kBlocked
  };

  /// Replaces the published rows with the latest ones from the leader.
  void update(TimePoint now, const std::vector<wire::BlockedRequest>& rows);
  Verdict verdict_for(TimePoint now, requests::RequestFingerprint request) const;
  /// Minimum time for which the request stays blocked; zero if it is not blocked.
  Duration remaining_block_time(TimePoint now, requests::RequestFingerprint request) const;

  /// Number of servers known to have ended under it when it was blocked; 0 if it is not blocked by the leader.
  int server_ends(requests::RequestFingerprint request) const;

  /// A server terminated while it ran a request of this entry. Returns the number of server ends that count against the
  /// request here.
  size_t note_server_end(const ServerCrash& end);
  /// A server answered the request, or a request with this part.
  void note_answered(TimePoint now, requests::RequestFingerprint cause, CauseKind kind = CauseKind::kRequest);
  /// Whether a request with the part was answered here recently.
  bool is_sound_part(TimePoint now, requests::RequestFingerprint part) { return answered_parts_.contains(now, part); }
  /// Removes and returns what was not reported to the leader yet.
  std::vector<wire::RequestServerEnd> take_unreported_ends(TimePoint now);
  std::vector<int64_t> take_answered_requests();
  /// The most recent server ends observed here, for a newly elected leader.
  std::vector<wire::RequestServerEnd> recent_ends(TimePoint now) const;
  /// What the leader suspects or blocks although it was answered here recently, for a newly elected leader: its
  /// predecessor may have been lost before the report that it was answered arrived.
  std::vector<int64_t> recently_answered_rows(TimePoint now);
  bool has_unreported() const { return !unreported_ends_.empty() || !unreported_answered_.empty(); }

 private:
  struct ReceivedRow {
    wire::BlockedRequest row;
    /// When this version of the row first arrived.
    TimePoint received_at{};
  };

  requests::RecentlyAnsweredRequests& recently_answered(CauseKind kind) {
    return kind == CauseKind::kRequest ? answered_requests_ : answered_parts_;
  }
  /// Discards the server ends of the request and queues a report that it was answered.
  void report_answered(requests::RequestFingerprint request);

  ServerCrashHistory server_ends_;
  requests::RecentlyAnsweredRequests answered_requests_;
  /// A part that begins to crash servers is suspected once its answers are older than this.
  requests::RecentlyAnsweredRequests answered_parts_{seconds(10)};
  std::map<requests::RequestFingerprint, ReceivedRow> rows_;
  std::vector<ServerCrash> unreported_ends_;
  /// Fingerprints.
  std::vector<int64_t> unreported_answered_;
};

}  // namespace larchlever::fleet
