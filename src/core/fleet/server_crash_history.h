#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::fleet {

/// How sure it is that a server ended.
enum class CrashCertainty {
  kConfirmed,
  /// It answers nothing, whoever takes connections at its address. Its own later report shows the contrary.
  kLikely
};

/// A server ended while it ran a request.
struct ServerCrash {
  requests::RequestFingerprint request;
  /// The incarnation that ended: an id, and the birth where the server tells one.
  std::string instance_id;
  TimePoint at{};
  CrashCertainty certainty = CrashCertainty::kConfirmed;
};

/// Which servers ended under which requests: everything that ran at a server when it ended is noted, so that the one
/// request that was there each time stands out.
///
/// Load pattern: one request ends every server that runs it and comes again at any entry, beside many that run there by
/// chance. Chance is told from cause in two ways: who was answered by a server has survived and is forgotten, and an
/// end that is explained by a request that is known to end servers does not count against others.
/// Limits: `kMaxSuspects` requests are remembered, those seen last, so that thousands of different ones cost at most
/// about a megabyte. Single-threaded, deterministic.
class ServerCrashHistory {
 public:
  /// Notes an end, once per server. Returns how many now count against the request.
  size_t note(const ServerCrash& end);
  /// How many ends count against the request.
  size_t count(requests::RequestFingerprint request) const;
  bool is_suspect(requests::RequestFingerprint request) const { return suspects_.contains(request); }
  /// When a server last ended under the request; `TimePoint::min()` for never.
  TimePoint last_crash(requests::RequestFingerprint request) const;
  /// The incarnation was heard at `heard`: it did not end before, where that was only likely. Returns the requests that
  /// have one end less.
  std::vector<requests::RequestFingerprint> retract(const std::string& incarnation, TimePoint reported_at);
  /// The request did not end the server that ran it.
  void forget(requests::RequestFingerprint request) { erase(request); }
  /// The request is known to end servers: its ends are not counted against others, earlier or later ones.
  void mark_as_cause(requests::RequestFingerprint request);
  /// Forgets what is older than ten minutes.
  void forget_old(TimePoint now);
  /// The newest ends, at most `most`.
  std::vector<ServerCrash> newest_crashes(size_t max_crashes) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct SuspectRequest {
    std::vector<ServerCrash> crashes;
    TimePoint last_crash_at{};
  };

  void erase(requests::RequestFingerprint request);
  bool is_explained(const ServerCrash& end) const;

  std::map<requests::RequestFingerprint, SuspectRequest> suspects_;
  /// The suspects by their last end, the longest ago first.
  std::set<std::pair<TimePoint, requests::RequestFingerprint>> by_last_crash_;
  std::vector<ServerCrash> explained_crashes_;
};

}  // namespace larchlever::fleet
