#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/server_crash_history.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::fleet {

/// What a connection to a server's address shows, whoever stands behind it.
enum class ProbeResult {
  kRefused,   ///< Nobody listens there.
  kClosed,    ///< It is taken, and closed before anything was sent.
  kOpen,      ///< It is taken and stays open.
  kTimedOut,  ///< No word comes back in time; the way there may be cut.
};

/// A server that ended, and the requests that ran there at that moment.
struct CrashedServer {
  TimePoint at{};
  CrashCertainty certainty = CrashCertainty::kConfirmed;
  std::vector<requests::RequestFingerprint> requests;
};

/// Answers that were lost, until something shows whether their server ended or only a connection did.
///
/// Load pattern: a request ends the servers that run it. A port closes some milliseconds after the connections of its
/// process, or is held by something in front of it and never refuses, or the whole machine falls silent; so one look at
/// the moment of the loss misses most ends. Beside it, answers are lost where no server ends: connections are reset,
/// bytes are spoilt, heads cut the streams of a member.
/// Evidence, the first that comes decides. The server ended: it refuses a connection; it is reported to have started
/// again; it closes, or leaves without a word, connection after connection for `kCrashConfirmationTime`, which is
/// likely and no proof. It lives: it makes progress with another request later than what was on the way when the answer
/// was lost. A connection that it keeps open shows neither, since a proxy in front of a dead server keeps it open as
/// well: the end is then likely until the server is heard. Limits: seven looks in two seconds at a server that seems to
/// be gone, three at one that listens. Losses that come later than the first by more than the time of the buffers
/// accuse nobody: the server was gone when they arrived. Single-threaded, deterministic.
class CrashDetector {
 public:
  /// The answer of the request was lost at that incarnation of a server. True when it must be looked at from now on, as
  /// `next_probe_time` says.
  bool note_lost_response(TimePoint now, const std::string& incarnation, requests::RequestFingerprint request);
  /// The server made progress with a request.
  void note_progress(TimePoint now, const std::string& incarnation);
  std::optional<CrashedServer> note_probe(TimePoint now, const std::string& incarnation, ProbeResult result);
  /// A later incarnation was reported in place of this one.
  std::optional<CrashedServer> note_restart(const std::string& incarnation);
  /// Once, when the looks at the server are over because it keeps connections open, and it made no progress since: it
  /// likely ended, and its own next report shows whether it did.
  std::optional<CrashedServer> take_suspected_crash(const std::string& incarnation);
  /// Answers were lost there, and nothing shows that the server lives.
  bool is_suspected(const std::string& incarnation) const { return suspicions_.contains(incarnation); }
  /// The server was not looked at yet.
  bool awaits_first_probe(const std::string& incarnation) const;
  /// The last look showed no server, and it is not settled yet whether it ended.
  bool seems_down(const std::string& incarnation) const;
  /// When to look at the server again; nothing once that is not needed.
  std::optional<TimePoint> next_probe_time(const std::string& incarnation) const;

 private:
  struct Suspicion {
    TimePoint lost_at{};
    std::vector<requests::RequestFingerprint> requests;
    size_t probes = 0;
    /// Since when every look has shown no server.
    std::optional<TimePoint> down_since;
    /// It keeps connections open, later than a process that ends would.
    bool port_stays_open = false;
    bool is_decided = false;
  };

  std::optional<CrashedServer> decide(Suspicion& suspicion, CrashCertainty certainty);
  void remove_old_suspicions(TimePoint now);

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace larchlever::fleet
