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
enum class Certainty {
  kProved,
  /// It answers nothing, whoever takes connections at its address. Its own later report shows the contrary.
  kLikely
};

/// A server ended while it ran a request.
struct ServerEnd {
  requests::RequestFingerprint request;
  /// The incarnation that ended: an id, and the birth where the server tells one.
  std::string instance_id;
  TimePoint at{};
  Certainty certainty = Certainty::kProved;
};

/// Which servers ended under which requests: everything that ran at a server when it ended is noted, so that the one
/// request that was there each time stands out.
///
/// Load pattern: one request ends every server that runs it and comes again at any entry, beside many that run there by
/// chance. Chance is told from cause in two ways: who was answered by a server has survived and is forgotten, and an
/// end that is explained by a request that is known to end servers does not count against others.
/// Limits: `kMostSuspects` requests are remembered, those seen last, so that thousands of different ones cost at most
/// about a megabyte. Single-threaded, deterministic.
class ServerEnds {
 public:
  /// Notes an end, once per server. Returns how many now count against the request.
  size_t note(const ServerEnd& end);
  /// How many ends count against the request.
  size_t count(requests::RequestFingerprint request) const;
  bool is_suspect(requests::RequestFingerprint request) const { return suspects_.contains(request); }
  /// When a server last ended under the request; `TimePoint::min()` for never.
  TimePoint last_end(requests::RequestFingerprint request) const;
  /// The incarnation was heard at `heard`: it did not end before, where that was only likely. Returns the requests that
  /// have one end less.
  std::vector<requests::RequestFingerprint> refute(const std::string& incarnation, TimePoint heard);
  /// The request did not end the server that ran it.
  void forget(requests::RequestFingerprint request) { erase(request); }
  /// The request is known to end servers: its ends are not counted against others, earlier or later ones.
  void explain(requests::RequestFingerprint request);
  /// Forgets what is older than ten minutes.
  void forget_old(TimePoint now);
  /// The newest ends, at most `most`.
  std::vector<ServerEnd> newest(size_t most) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    std::vector<ServerEnd> ends;
    TimePoint last{};
  };

  void erase(requests::RequestFingerprint request);
  bool is_explained(const ServerEnd& end) const;

  std::map<requests::RequestFingerprint, Suspect> suspects_;
  /// The suspects by their last end, the longest ago first.
  std::set<std::pair<TimePoint, requests::RequestFingerprint>> by_age_;
  std::vector<ServerEnd> explained_;
};

}  // namespace larchlever::fleet
