#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/crash_attribution/server_crash_history.h"
#include "core/requests/request_fingerprint.h"

namespace larchlever::fleet {

/// Result of a probe connection to a server's address. A proxy may answer in place of the server.
enum class ProbeResult {
  kRefused,   ///< The connection was refused.
  kClosed,    ///< Accepted, then closed before anything was sent.
  kOpen,      ///< Accepted and kept open.
  kTimedOut,  ///< No reply in time; the network may be partitioned.
};

/// A request whose response was lost.
struct LostRequest {
  // NOLINTNEXTLINE(google-explicit-constructor,hicpp-explicit-conversions): a request without parts.
  LostRequest(requests::RequestFingerprint request) : fingerprint(request) {}
  LostRequest(requests::RequestFingerprint request, std::vector<requests::RequestFingerprint> parts)
      : fingerprint(request), prompt_parts(std::move(parts)) {}

  bool operator==(const LostRequest&) const = default;

  requests::RequestFingerprint fingerprint;
  /// Parts of its prompt that other requests may share.
  std::vector<requests::RequestFingerprint> prompt_parts;
};

/// A server that crashed, and the requests that ran there at that time.
struct CrashedServer {
  TimePoint at{};
  CrashCertainty certainty = CrashCertainty::kConfirmed;
  std::vector<LostRequest> requests;
};

/// What follows from a lost response.
struct LostResponseOutcome {
  /// The caller must start to probe the server at the times of `CrashDetector::next_probe_time`.
  bool starts_probing = false;
  /// The request ran on a server that is already known to have crashed.
  std::optional<CrashedServer> crash;
};

/// Decides, after responses of a server were lost, whether the server crashed or only connections failed.
///
/// Load pattern: a request crashes the servers that run it. A server's port closes some milliseconds after the
/// connections of its process, or is held by a proxy and never refuses, or the whole machine stops responding. A single
/// probe at the time of the loss therefore misses most crashes. Responses are also lost without a crash: connections
/// are reset, bytes are corrupted, heads cut the streams of a member.
///
/// The first evidence decides:
/// - Crash confirmed: the server refuses a connection, or a later incarnation is reported.
/// - Crash likely: all connections are closed or time out for `kCrashConfirmationTime`.
/// - No crash: the server makes progress with another request, later than data that was in transit at the time of the
///   loss.
/// - A connection that stays open proves nothing, since a proxy in front of a crashed server keeps it open as well. The
///   crash is then likely until the server's next report.
///
/// Limits: seven probes within two seconds of a server that seems to be down, three of one that listens. Requests whose
/// responses are lost later than the first one by more than the transit time are not blamed: the server was already
/// down when they arrived.
///
/// Single-threaded, deterministic.
class CrashDetector {
 public:
  /// The response to the request was lost at this incarnation of a server.
  LostResponseOutcome note_lost_response(TimePoint now, const std::string& incarnation, LostRequest request);
  /// The server made progress with a request, which clears it of suspicion unless the data may have been in transit.
  void note_progress(TimePoint now, const std::string& incarnation);
  /// Records the result of a probe. Returns the crash when the probe decides that the server crashed.
  std::optional<CrashedServer> note_probe(TimePoint now, const std::string& incarnation, ProbeResult result);
  /// A later incarnation of the server was reported.
  std::optional<CrashedServer> note_restart(const std::string& incarnation);
  /// Returns a likely crash, once, when probing stopped because the server keeps connections open and the server made
  /// no progress since. Its next report shows whether it crashed.
  std::optional<CrashedServer> take_suspected_crash(const std::string& incarnation);
  /// Responses were lost there, and no evidence shows that the server is alive.
  bool is_suspected(const std::string& incarnation) const { return suspicions_.contains(incarnation); }
  /// The server was not probed yet.
  bool awaits_first_probe(const std::string& incarnation) const;
  /// The last probe failed, and it is not decided yet whether the server crashed.
  bool seems_down(const std::string& incarnation) const;
  /// Time of the next probe; nullopt when no more probes are needed.
  std::optional<TimePoint> next_probe_time(const std::string& incarnation) const;

 private:
  struct Suspicion {
    TimePoint lost_at{};
    std::vector<LostRequest> requests;
    size_t probes = 0;
    /// Start of the current series of failed probes.
    std::optional<TimePoint> down_since;
    /// The server accepted a connection later than a crashed process could have.
    bool port_stays_open = false;
    bool is_decided = false;
    CrashCertainty certainty = CrashCertainty::kLikely;
  };

  std::optional<CrashedServer> decide(Suspicion& suspicion, CrashCertainty certainty);
  void remove_old_suspicions(TimePoint now);

  std::map<std::string, Suspicion> suspicions_;
};

}  // namespace larchlever::fleet
