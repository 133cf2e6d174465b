#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/crash_attribution/server_crash_history.h"
#include "core/requests/recently_answered.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Number of server ends that block a request.
constexpr size_t kServerEndsToBlock = 3;

/// An entry's view of requests that terminate the servers that run them. Combines the server ends that this entry
/// observed, which it reports to the leader, with the decisions that the leader published from the reports of all
/// entries.
///
/// While the leader's decision is pending, or there is no leader, the entry's own observations decide: three server
/// ends observed here block a request. A request that a server answered recently is not blamed for a server end: when
/// several servers end at once for another reason, popular requests are running on many of them. If the leader blocks
/// such a request, the entry reports that it was answered. Single-threaded, deterministic.
class BlockedRequests {
 public:
  enum class Verdict {
    kAllowed,   ///< May be sent like any other request.
    kTrialDue,  ///< Blocked, but the leader may grant one trial attempt.
    kBlocked
  };

  /// Replaces the published rows with the latest ones from the leader.
  void update(TimePoint now, const std::vector<wire::BlockedRequest>& rows);
  Verdict verdict_for(TimePoint now, requests::RequestFingerprint request) const;
  /// Minimum time for which the request stays blocked; zero if it is not blocked.
  Duration remaining_block_time(TimePoint now, requests::RequestFingerprint request) const;

  /// A server terminated while it ran a request of this entry. Returns the number of server ends that count against the
  /// request here.
  size_t note_server_end(const ServerCrash& end);
  /// A server ran the request and answered it.
  void note_answered(TimePoint now, requests::RequestFingerprint request);
  /// Removes and returns what was not reported to the leader yet.
  std::vector<wire::RequestServerEnd> take_unreported_ends(TimePoint now);
  std::vector<int64_t> take_answered_requests();
  /// The most recent server ends observed here, for a newly elected leader.
  std::vector<wire::RequestServerEnd> recent_ends(TimePoint now) const;
  bool has_unreported() const { return !unreported_ends_.empty() || !unreported_answered_.empty(); }

 private:
  struct ReceivedRow {
    wire::BlockedRequest row;
    /// When this version of the row first arrived.
    TimePoint received_at{};
  };

  /// Discards the server ends of the request and queues a report that it was answered.
  void report_answered(requests::RequestFingerprint request);

  ServerCrashHistory server_ends_;
  requests::RecentlyAnsweredRequests recently_answered_;
  std::map<requests::RequestFingerprint, ReceivedRow> rows_;
  std::vector<ServerCrash> unreported_ends_;
  /// Fingerprints.
  std::vector<int64_t> unreported_answered_;
};

}  // namespace larchlever::fleet
