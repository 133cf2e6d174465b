#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/server_ends.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// The leader's decision which requests are sent to no server any more, since they end those that run them.
///
/// Load pattern: a caller sends one request again and again to all entries; each time it ends a server, and cuts all
/// that runs beside it. Entries report every end with the requests that ran there. The third end under one request
/// blocks it everywhere. It may be wrongly blocked, or its cause be mended at the servers: after a while one copy is
/// tried, alone, and if its server answers the request is free again.
///
/// Limits: three ends, since a request that only ran beside the harmful one is cut once or twice before that one is
/// known; two trials, so that a harmful request ends five servers in an hour however often it comes; 1,024 blocked
/// requests, those blocked last, some 20 KB in a copy of the state. Blocks outlast a leadership as rows of the
/// published state. Single-threaded, deterministic.
class RequestBlocker {
 public:
  /// A leadership begins with the rows of the state it inherits; the wait for a trial begins anew.
  void start(TimePoint now, const std::vector<wire::BlockedRequest>& inherited);
  /// Adds rows of a copy that arrived later.
  void add_inherited(TimePoint now, const std::vector<wire::BlockedRequest>& rows);
  /// A server ended while it ran the request. True when the rows changed; so with all that follow.
  bool note_server_end(const ServerEnd& end);
  /// An incarnation of a server was heard: ends of it that were only likely are none, and who was blocked for them is
  /// free.
  bool note_incarnation_alive(TimePoint now, const std::string& incarnation);
  /// A server ran the request and answered.
  bool note_answered(requests::RequestFingerprint request);
  /// Whether a request whose answer was lost may be sent again. One under which servers ended goes to one server at a
  /// time, whichever entries ask: copies that end their servers at once would otherwise all go on to second ones.
  bool grant_retry(TimePoint now, requests::RequestFingerprint request);
  /// Grants the trial of a blocked request that is due, once.
  bool grant_trial(TimePoint now, requests::RequestFingerprint request);
  bool tick(TimePoint now);
  std::vector<wire::BlockedRequest> rows() const;

 private:
  enum class Phase { kWaiting, kTrialDue, kTrialRunning };
  struct BlockState {
    int trials = 0;
    Phase phase = Phase::kWaiting;
    /// When the phase began.
    TimePoint since{};
    /// An earlier leadership counted the ends that it rests on, so those counted here say nothing against it.
    bool is_inherited = false;
  };

  BlockState& block(TimePoint now, requests::RequestFingerprint request, int trials);
  static Duration wait_time(const BlockState& blocked);
  static void set_phase(TimePoint now, BlockState& blocked, Phase phase);

  ServerEnds ends_;
  std::map<requests::RequestFingerprint, BlockState> blocked_;
  /// Repeats of requests under which servers ended: when the last one was granted, until it is answered.
  std::map<requests::RequestFingerprint, TimePoint> granted_retries_;
  /// Incarnations that likely ended, and when: what each report of a server is compared with.
  std::map<std::string, TimePoint> likely_ended_at_;
};

}  // namespace larchlever::fleet
