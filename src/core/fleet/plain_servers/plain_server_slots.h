#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/plain_servers/server_speed.h"

namespace larchlever::fleet {

/// One incarnation of a plain server that may get requests.
struct PlainServer {
  std::string incarnation;
  std::string service;
  /// Requests that it runs at a time; 0 if unknown.
  int slots = 0;
};

/// A server that a request may be sent to.
struct PlainServerCandidate {
  std::string incarnation;
  /// Requests in flight of all entries.
  int in_flight = 0;
  /// Its rate limit allows a request now.
  bool may_send = true;
};

/// A request for a slot of a plain server.
struct PlainServerRequest {
  std::string entry;
  /// In the entry's order of preference.
  std::vector<PlainServerCandidate> candidates;
  /// Objective for the response time, and what is left of it; zero if there is none.
  Duration objective{};
  Duration remaining_time{};
};

/// The server chosen for a request.
struct PlainServerChoice {
  /// Empty if no server has room.
  std::string incarnation;
  /// Zero if nothing is known of the server.
  Duration expected{};
  /// The response is expected after the objective, although another server could meet it once it has room.
  bool is_late = false;
  /// The request finds out whether a slow server is faster now.
  bool is_trial = false;
};

/// A server began or ceased to count as slow, for the log.
struct PlainServerSpeedChange {
  std::string incarnation;
  std::string service;
  bool is_slow = false;
  /// Typical response times of the server, and of the servers of its service, in milliseconds.
  double typical_ms = 0;
  double service_ms = 0;
};

/// Chooses the plain server of each request, by the slots in use over all entries and by learned response times.
///
/// Load that it answers: many entries with less than one request each in flight at a server. An entry alone can neither
/// count the slots in use nor learn the speed, so a slow server would get as many requests as a fast one.
///
/// A server gets no more requests than it has slots. The server with the shortest expected response time is chosen;
/// those about as fast share the requests by free slots. A slower server that got no request for a while gets a single
/// one as a trial, to find out whether it is faster now. Single-threaded, deterministic.
class PlainServerSlots {
 public:
  /// Sets all servers; what is known of others is forgotten.
  void set_servers(const std::vector<PlainServer>& servers);
  void clear();
  bool knows(const std::string& incarnation) const { return servers_.contains(incarnation); }
  /// Slots of the server; 0 if it is not known.
  int slots_of(const std::string& incarnation) const {
    const auto found = servers_.find(incarnation);
    return found == servers_.end() ? 0 : found->second.server.slots;
  }
  /// Incarnations of the service's servers.
  std::vector<std::string> servers_of(const std::string& service) const;
  /// Expected response time for a request of `entry` with `in_flight` others at the server; zero if nothing is known.
  Duration expected_response(TimePoint now, const std::string& incarnation, const std::string& entry,
                             int in_flight) const;
  /// Records response times that an entry measured while `in_flight` requests were at the server.
  void note_response_times(TimePoint now, const std::string& incarnation, const ResponseTimeSample& sample,
                           int in_flight);
  PlainServerChoice choose(TimePoint now, const PlainServerRequest& request) const;
  /// Records that the chosen server gets the request.
  void note_grant(TimePoint now, const PlainServerChoice& choice);
  void forget_entry(const std::string& entry);
  /// Servers that began or ceased to count as slow. Reviews them at intervals, so that the number of changes is bounded
  /// by the number of servers per interval.
  std::vector<PlainServerSpeedChange> take_speed_changes(TimePoint now);

 private:
  struct TrackedServer {
    PlainServer server;
    PlainServerSpeed speed;
    TimePoint last_grant_at = TimePoint::min();
    bool is_slow = false;
  };
  /// A candidate with room.
  struct Option {
    const PlainServerCandidate* candidate = nullptr;
    const TrackedServer* tracked = nullptr;
    double expected_ms = 0;
    /// Share of the slots that other requests use.
    double load_share = 0;
  };

  static double load_share(const TrackedServer& tracked, int in_flight);
  static bool has_room(const TrackedServer& tracked, int in_flight);
  std::vector<Option> options_with_room(TimePoint now, const PlainServerRequest& request) const;
  bool is_trial_due(TimePoint now, const Option& option) const;
  /// Whether even an idle server of the request is not expected to meet the objective.
  bool is_objective_unreachable(TimePoint now, const PlainServerRequest& request) const;
  /// Typical response time of the servers of each service, in milliseconds.
  std::map<std::string, double> typical_ms_by_service() const;

  /// By incarnation.
  std::map<std::string, TrackedServer> servers_;
  /// Requests granted since the last trial, by service.
  std::map<std::string, int> grants_since_trial_;
  TimePoint next_review_ = TimePoint::min();
};

}  // namespace larchlever::fleet
