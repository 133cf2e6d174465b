#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/server_ends.h"
#include "core/requests/recently_answered.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// A request under which this many servers ended is sent to no further one.
constexpr size_t kServerEndsToBlock = 3;

/// An entry's knowledge of requests that end servers: what it saw itself, to be reported to the leader, and what the
/// leader decided from the words of all entries.
///
/// While the leader's decision is on its way, or nobody leads, the entry's own sight decides: three ends seen here are
/// enough. A request that a server answered here of late ends none: where several servers end at once for another
/// reason, popular requests run at many of them. An entry that is told of the block of such a request objects to it.
/// Single-threaded, deterministic.
class BlockedRequests {
 public:
  enum class Verdict {
    kAllowed,   ///< To be sent as any other.
    kTrialDue,  ///< Blocked, but the leader may grant one sending.
    kBlocked
  };

  /// Takes the leader's rows.
  void update(TimePoint now, const std::vector<wire::BlockedRequest>& rows);
  Verdict verdict_for(TimePoint now, requests::RequestFingerprint request) const;
  /// How long from now the request is blocked at least; zero for one that is not.
  Duration remaining_block_time(TimePoint now, requests::RequestFingerprint request) const;

  /// A server ended while this entry's request ran there. Returns how many ends count against the request here.
  size_t note_server_end(const ServerEnd& end);
  /// A server ran the request and answered.
  void note_answered(TimePoint now, requests::RequestFingerprint request);
  /// What the leader was not told yet; called once for each report.
  std::vector<wire::RequestServerEnd> take_unreported_ends(TimePoint now);
  std::vector<int64_t> take_answered_requests();
  /// The newest ends known here, for a leader that has just begun.
  std::vector<wire::RequestServerEnd> recent_ends(TimePoint now) const;
  bool has_unreported() const { return !unreported_ends_.empty() || !unreported_answered_.empty(); }

 private:
  struct ReceivedRow {
    wire::BlockedRequest row;
    TimePoint received_at{};
  };

  void report_answered(requests::RequestFingerprint request);

  ServerEnds ends_;
  requests::RecentlyAnswered recently_answered_;
  std::map<requests::RequestFingerprint, ReceivedRow> rows_;
  std::vector<ServerEnd> unreported_ends_;
  std::vector<int64_t> unreported_answered_;
};

}  // namespace larchlever::fleet
