#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::fleet {

/// A server as the far end of a network link: its address, IP:PORT, and its zone.
struct LinkedServer {
  std::string address;
  std::string zone;
};

/// What this entry can reach, for the log.
struct LinkSummary {
  /// Servers that cannot be reached on their own evidence.
  std::vector<std::string> lost_servers;
  /// Zones none of whose servers can be reached; "*" stands for all zones.
  std::vector<std::string> lost_scopes;

  bool empty() const { return lost_servers.empty() && lost_scopes.empty(); }
  bool operator==(const LinkSummary&) const = default;
};

/// The links between one entry and the servers, judged by the entry's own connections and probes.
///
/// Load pattern: the links of an entry fail, to all servers, to one zone or to a few servers, while the servers work
/// and other entries reach them. Connections then hang, are reset, or are refused.
///
/// A link is lost if connections to the server fail repeatedly and nothing is received from it. If several servers of a
/// scope (a zone, or all zones) fail or are silent at the same time and none of the scope is heard, the whole scope is
/// presumed lost: that the entry's own links failed is more likely than that these servers failed together. The silence
/// of a single server is no loss. Only bytes from a server end a loss, so lost links are probed. After a loss that
/// follows the last one closely, probes must succeed for a longer time, so that links that come and go carry nothing.
///
/// Single-threaded, deterministic.
class ServerLinks {
 public:
  /// Mark the time during which bytes from the server are expected.
  void begin_wait(TimePoint now, const LinkedServer& server);
  void end_wait(const LinkedServer& server);
  /// Bytes arrived from the server.
  void note_contact(TimePoint now, const LinkedServer& server);
  /// A connection to the server could not be established, or failed before it carried a response.
  void note_failure(TimePoint now, const LinkedServer& server);
  /// This entry was paused until now and read nothing, so silence counts from now on.
  void restart_silence_timers(TimePoint now);
  /// Forgets all other servers.
  void retain_servers(const std::set<std::string>& addresses);
  /// Forgets a server that can no longer be probed.
  void forget_server(const std::string& address);
  /// Looks for silent scopes. Call every few ticks.
  void tick(TimePoint now);

  bool is_lost(const LinkedServer& server) const;
  /// Whether bytes are waited for and no server was heard for a while: possibly the first sign of a loss.
  bool are_doubtful(TimePoint now) const;
  bool has_lost_links() const { return !lost_since_.empty() || !lost_scopes_.empty(); }
  /// Whether failures at the server say nothing about it, because this entry's own links probably caused them.
  bool explains_failure(TimePoint now, const LinkedServer& server) const;
  /// Whether several servers are waited for and none was heard since `since`. The silence of one of them then does not
  /// tell it from the others.
  bool are_all_silent_since(TimePoint since) const;

  /// Servers to probe now; `note_probe` takes the results.
  std::vector<LinkedServer> take_due_probes(TimePoint now);
  /// Whether the server responded to a probe in any way.
  void note_probe(TimePoint now, const LinkedServer& server, bool has_responded);
  /// Servers whose loss was confirmed by a probe since the last call. Requests that wait for them wait in vain.
  std::vector<std::string> take_confirmed_losses();
  /// Servers whose loss has ended since the last call.
  std::vector<std::string> take_regained();
  /// Whether some servers are known and none of them is reached.
  bool reaches_no_server() const;
  LinkSummary summary() const;

 private:
  struct Link {
    std::string zone;
    int waits = 0;
    /// Start of the current period with at least one wait.
    TimePoint waiting_since = TimePoint::min();
    TimePoint last_contact = TimePoint::min();
    /// Number and start of the failures since the last contact.
    int failures = 0;
    TimePoint failing_since = TimePoint::min();
    TimePoint last_failure = TimePoint::min();
    /// Start of the current series of successful probes of a lost link.
    std::optional<TimePoint> probed_well_since;
    TimePoint last_probe = TimePoint::min();
    /// When the last loss of this link ended.
    TimePoint regained_at = TimePoint::min();
  };

  /// A server that fails or is silent, and since when.
  struct Evidence {
    std::string zone;
    TimePoint since{};
  };

  Link& link_of(const LinkedServer& server);
  /// Whether another server failed shortly before `now`.
  bool has_other_failed_at(TimePoint now, const std::string& address) const;
  /// When the server began to fail or to be silent; nothing if it does neither.
  std::optional<TimePoint> evidence_start(TimePoint now, const std::string& address, const Link& link) const;
  bool is_in_lost_scope(const std::string& zone, TimePoint last_contact) const;
  void mark_lost(TimePoint now, const std::string& address, const Link& link);
  void update_hold_time(TimePoint now, const Link& lost_link);
  /// A scope without known servers cannot be probed, so it is not lost.
  void remove_empty_scopes();
  TimePoint newest_contact(const std::string& scope) const;
  void check_scope(TimePoint now, const std::string& scope, const std::vector<Evidence>& evidence);
  /// A server of the zone was heard: the zone is not lost as a whole.
  void reopen_zone(TimePoint now, const std::string& zone);
  void regain(TimePoint now, const std::string& address, Link& link);

  std::map<std::string, Link> links_;
  /// Servers lost on their own evidence, and since when.
  std::map<std::string, TimePoint> lost_since_;
  /// Scopes presumed lost, and since when.
  std::map<std::string, TimePoint> lost_scopes_;
  std::set<std::string> confirmed_losses_;
  std::set<std::string> regained_;
  /// How long probes must succeed before a link is used again.
  Duration hold_time_{};
  TimePoint hold_time_raised_at_ = TimePoint::min();
  TimePoint next_probe_ = TimePoint::min();
  /// A probe succeeded shortly before, so the other lost links are probed quickly.
  TimePoint fast_probing_until_ = TimePoint::min();
};

}  // namespace larchlever::fleet
