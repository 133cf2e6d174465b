#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "announced_rate_limits.h"
#include "child_process.h"
#include "fleet_node_processes.h"
#include "net/http_server.h"
#include "server_arrivals.h"
#include "simulation/simulated_instance.h"

namespace larchlever::integration {

/// Engine servers on loopback that register at control replicas, form groups as ordered, and answer requests at the
/// heads of open groups with a stream of events. Group membership is simulated by `SimulatedInstance`. Unlike a real
/// engine, a server also checks that no request reaches it unless it is an open head.
class RegisteredEngines {
 public:
  struct Options {
    int domains = 2;
    int servers_per_domain = 4;
    std::chrono::milliseconds join_time{300};
    std::chrono::milliseconds heartbeat_interval{400};
    int events = 5;
    std::chrono::milliseconds event_pause{10};
    /// A request with this body crashes the server that runs it, after the first event. Empty for none.
    std::string crash_body;
    /// The same for requests that list this part of their prompt. Empty for none.
    std::string crash_prompt_part;
    /// A request with this body gets a stream that is aborted by closing the connection. Empty for none. Element i of
    /// `events_before_aborts` is the number of events sent before the i-th abort; aborts beyond the list send none.
    std::string abort_body;
    std::vector<int> events_before_aborts;
    /// A request with one of these bodies gets one event and then an event that does not end: the bytes that belong to
    /// its body here, again and again with `event_pause` in between, until the connection closes. A request that
    /// resumes a stream gets its rest.
    std::map<std::string, std::string> endless_events;
    /// A crashed server restarts after this time, under a new id, with the staged models that its host still holds.
    std::chrono::milliseconds restart_delay{3000};
    /// A restarted server keeps its id, and its reports contain its start time.
    bool keeps_id_on_restart = false;
    /// A head that leaves its group closes the connections of the streams that it runs.
    bool ends_streams_on_leave = false;
    /// Zones assigned to the domains in turn.
    std::vector<std::string> zones = {"a"};
    /// Returns the address that a server reports instead of the one that it listens on, such as that of a proxy. May be
    /// empty.
    std::function<std::string(const std::string& listen_address)> reported_address;
  };

  using Timestamp = std::chrono::steady_clock::time_point;

  /// Runs the engines of a fleet, at the first engine addresses of this fleet.
  RegisteredEngines(const Options& options, const FleetNodeProcesses& fleet);
  /// `addresses` holds one loopback address per server. Heartbeats go to `control_replica_endpoints`.
  RegisteredEngines(const Options& options, const std::vector<std::string>& addresses,
                    std::vector<std::string> control_replica_endpoints);
  ~RegisteredEngines();
  RegisteredEngines(const RegisteredEngines&) = delete;
  RegisteredEngines& operator=(const RegisteredEngines&) = delete;

  /// Number of servers that are heads of open groups now.
  int open_group_count();
  /// Number of running servers that are members of a group.
  int count_servers_in_groups();
  /// Number of running servers in groups whose head is open.
  int count_servers_in_serving_groups();
  /// Number of servers that restarted after a crash, and of those that have loaded weights since then.
  int count_restarted_servers();
  int count_restarted_servers_with_weights();
  uint64_t served_count() const { return served_count_; }
  /// Number of requests that have arrived, also at servers that are silent and handle them later.
  uint64_t received_count() const { return received_count_; }
  /// Number of requests rejected because they reached a server that was not the head of an open group.
  uint64_t misdirected() const { return misdirected_; }
  /// Arrival times of requests that crash servers, at open heads, in order.
  std::vector<Timestamp> crash_request_arrivals();
  /// Times of the crashes that these requests caused, in order.
  std::vector<Timestamp> crash_times();
  /// Requests with `abort_body` that reached open heads.
  std::vector<Arrival> aborted_stream_arrivals() const { return aborted_streams_.all(); }
  /// Requests that reached open heads in the zone.
  std::vector<Arrival> arrivals_in(const std::string& zone);
  /// The servers in the zone report themselves as cold for `time` from now on.
  void report_cold_for(const std::string& zone, std::chrono::milliseconds time);
  /// From now on one head of an open group of `model` rejects every request with this value of `Retry-After`.
  void make_one_head_reject(const std::string& model, const std::string& retry_after);
  /// From now on up to `max_heads` heads of open groups of `model` announce this rate limit in their responses.
  void announce_rate_limit_at_heads(const std::string& model, const std::string& per_second,
                                    size_t max_heads = SIZE_MAX);
  /// The heads announce no rate limit any more.
  void withdraw_rate_limits();
  /// The requests that reached a head that has announced rate limits, and these limits. `announces_limit` is unset for
  /// requests before the first announcement.
  struct RateLimitedHead {
    std::vector<Arrival> arrivals;
    std::vector<RateLimitPhase> limits;
  };
  std::vector<RateLimitedHead> rate_limited_heads();
  /// For `time` from now on, no server writes anything: streams pause, responses and reports are held back. Connections
  /// stay open and new ones are accepted. Afterwards the servers send and serve what they held back.
  void silence_all(std::chrono::milliseconds time);
  /// The same at this share of the heads of open groups, rounded up, chosen at random.
  void silence_open_heads(double share, std::chrono::milliseconds time, uint64_t seed);
  /// Ends a member of the group that runs most streams, other than its head, until `restart_delay` has passed. The head
  /// is silent for as long. Returns the number of streams that the head runs.
  int crash_member_of_busiest_group();
  /// Number of streams that servers run now.
  int running_stream_count();
  /// Names of the groups whose head is open now.
  std::set<std::string> open_groups();
  /// Number of streams ended because of `ends_streams_on_leave` before their callers had closed the connection.
  uint64_t streams_ended_by_leave() const { return streams_ended_by_leave_; }
  /// Requests that `make_one_head_reject` caused to be rejected.
  std::vector<Arrival> rejected_arrivals() const { return rejected_arrivals_.all(); }

 private:
  class Server;

  void report_until_stopped();

  Options options_;
  std::vector<std::string> control_endpoints_;
  BlockingClient client_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::atomic<uint64_t> served_count_ = 0;
  std::atomic<uint64_t> received_count_ = 0;
  std::atomic<uint64_t> misdirected_ = 0;
  std::atomic<uint64_t> streams_ended_by_leave_ = 0;
  std::mutex record_mutex_;
  std::vector<Timestamp> crash_request_arrivals_;
  std::vector<Timestamp> crash_times_;
  ArrivalRecord rejected_arrivals_;
  ArrivalRecord aborted_streams_;
  std::atomic<bool> stopped_ = false;
  std::thread reporter_;
};

}  // namespace larchlever::integration
