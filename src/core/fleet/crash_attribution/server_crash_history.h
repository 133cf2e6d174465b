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

/// How certain it is that a server crashed.
enum class CrashCertainty {
  kConfirmed,
  /// The server does not respond, even if connections to its address are accepted. A later report of the same
  /// incarnation refutes the crash.
  kLikely
};

/// Number of server ends that block a request or a part of prompts.
constexpr size_t kServerEndsToBlock = 3;

/// A report of a server that was in transit when the server crashed arrives within this time.
constexpr Duration kReportTransitTime = milliseconds(300);

/// What a crash is attributed to.
enum class CauseKind {
  kRequest,
  /// A part of a prompt, which may occur in many requests.
  kPromptPart
};

/// A server crashed while it ran a request.
struct ServerCrash {
  /// Fingerprint of the request, or of a part of its prompt.
  requests::RequestFingerprint cause;
  /// The crashed incarnation: id, and birth if known (see incarnation_name).
  std::string instance_id;
  TimePoint at{};
  CrashCertainty certainty = CrashCertainty::kConfirmed;
  CauseKind kind = CauseKind::kRequest;
  /// The request that had the part in its prompt, if `cause` is one.
  requests::RequestFingerprint request_of_part{};
};

/// Whether two reports refer to the same crash of a server.
bool is_same_crash(const ServerCrash& left, const ServerCrash& right);

/// Records which servers crashed while they ran which requests, or requests with which parts in their prompts.
/// Everything that ran on a crashed server is recorded, so that what was present at each crash can be identified.
///
/// Load pattern: one request crashes every server that runs it and is repeated at any entry, while many other requests
/// run on the same servers by chance. Two rules separate cause from chance: a request that a server answered is
/// removed, and a crash that is attributed to a known cause does not count against others. A request is no explanation
/// for crashes under a part, since repetitions of one request with a harmful part look like a harmful request.
///
/// Keeps the `kMaxSuspects` requests with the latest crashes, about a megabyte at most. Single-threaded, deterministic.
class ServerCrashHistory {
 public:
  /// Records a crash, once per server. Returns the number of crashes that now count against the request.
  size_t note(const ServerCrash& crash);
  /// Number of crashes that count against the request.
  size_t count(requests::RequestFingerprint request) const;
  bool is_suspect(requests::RequestFingerprint request) const { return suspects_.contains(request); }
  /// Time of the last crash of a server that ran the request; `TimePoint::min()` if there was none.
  TimePoint last_crash(requests::RequestFingerprint request) const;
  /// The incarnation sent a report that arrived at `reported_at`: removes its likely crashes from before. Returns the
  /// requests that lost a crash.
  std::vector<requests::RequestFingerprint> retract(const std::string& incarnation, TimePoint reported_at);
  /// The request did not crash the server that ran it.
  void forget(requests::RequestFingerprint request) { erase(request); }
  /// The request or part is known to crash servers: its recorded crashes no longer count against others, now or later.
  void mark_as_cause(requests::RequestFingerprint request);
  /// Removes crashes older than ten minutes.
  void forget_old(TimePoint now);
  /// The most recent crashes, at most `max_crashes`.
  std::vector<ServerCrash> newest_crashes(size_t max_crashes) const;
  size_t size() const { return suspects_.size(); }

 private:
  struct SuspectRequest {
    std::vector<ServerCrash> crashes;
    TimePoint last_crash_at{};
  };

  void erase(requests::RequestFingerprint request);
  bool is_explained(const ServerCrash& crash) const;
  /// Removes crashes from the records of others, as far as the crashes of `cause` explain them.
  void remove_explained(const ServerCrash& cause);

  std::map<requests::RequestFingerprint, SuspectRequest> suspects_;
  /// The suspects by the time of their last crash, oldest first.
  std::set<std::pair<TimePoint, requests::RequestFingerprint>> by_last_crash_;
  std::vector<ServerCrash> explained_crashes_;
};

}  // namespace larchlever::fleet
