#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
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

/// Engine servers on loopback that register themselves at control replicas, form groups as they are ordered and answer
/// requests at the heads of open groups with a stream of events. Groups behave as SimulatedInstance does; what a test
/// of the whole path needs of real engines beyond that is the check that no request runs at a server that is not an
/// open head.
class RegisteredEngines {
 public:
  struct Options {
    int domains = 2;
    int servers_per_domain = 4;
    std::chrono::milliseconds join_time{300};
    std::chrono::milliseconds heartbeat_interval{400};
    int events = 5;
    std::chrono::milliseconds event_pause{10};
    /// A request with this body ends the server that runs it, after its first event; empty for none does.
    std::string crash_body;
    /// A stream whose request has this body is broken off, by dropping its connection; empty for none is. One after the
    /// other brings so many events before; those beyond the list bring none.
    std::string abort_body;
    std::vector<int> events_before_aborts;
    /// A server that ended starts again after this time, under another id, with what its host holds.
    std::chrono::milliseconds restart_delay{3000};
    /// It starts again under the id that it had, and its reports tell when it was born.
    bool keeps_id_on_restart = false;
    /// Zones of the domains, in turn.
    std::vector<std::string> zones = {"a"};
  };

  using Timestamp = std::chrono::steady_clock::time_point;

  /// `addresses` are loopback addresses, one a server; `controls` where heartbeats go.
  /// Engines of a fleet, at the first addresses that it has for them.
  RegisteredEngines(const Options& options, const FleetNodeProcesses& fleet);
  RegisteredEngines(const Options& options, const std::vector<std::string>& addresses,
                    std::vector<std::string> control_replica_endpoints);
  ~RegisteredEngines();
  RegisteredEngines(const RegisteredEngines&) = delete;
  RegisteredEngines& operator=(const RegisteredEngines&) = delete;

  /// Servers that lead an open group now.
  int open_group_count();
  /// Servers that are up and members of a group.
  int count_servers_in_groups();
  /// Servers that are up and members of a group whose head is open.
  int count_servers_in_serving_groups();
  /// Servers that started again after an end, and those of them that were given weights since.
  int count_restarted_servers();
  int count_restarted_servers_with_weights();
  uint64_t served_count() const { return served_count_; }
  /// Requests that reached a server which led no open group; each was turned away.
  uint64_t misdirected() const { return misdirected_; }
  /// When requests with `crash_body` reached open heads, in order.
  std::vector<Timestamp> crash_request_arrivals();
  /// When servers ended under them, in order.
  std::vector<Timestamp> crash_times();
  /// Requests with `abort_body` that reached open heads.
  std::vector<Arrival> aborted_stream_arrivals() const { return aborted_streams_.all(); }
  /// Requests that reached open heads of the zone.
  std::vector<Arrival> arrivals_in(const std::string& zone);
  /// The servers of the zone say from now on that they are cold, for `time`.
  void report_cold_for(const std::string& zone, std::chrono::milliseconds time);
  /// From now on one head of an open group of `model` turns every request away and asks for rest with `retry_after`.
  void make_one_head_reject(const std::string& model, const std::string& retry_after);
  /// From now on every head of an open group of `model`, or just one, names this limit in its answers.
  void announce_rate_limit_at_heads(const std::string& model, const std::string& per_second,
                                    size_t max_heads = SIZE_MAX);
  /// They name none any more.
  void withdraw_rate_limits();
  /// What reached a head that named limits, and which; a request that came before has `announces_limit` unset.
  struct RateLimitedHead {
    std::vector<Arrival> arrivals;
    std::vector<RateLimitPhase> limits;
  };
  std::vector<RateLimitedHead> rate_limited_heads();
  /// What that head turned away.
  std::vector<Arrival> rejected_arrivals() const { return rejected_arrivals_.all(); }

 private:
  class Server;

  void report_until_stopped();

  Options options_;
  std::vector<std::string> control_endpoints_;
  BlockingClient client_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::atomic<uint64_t> served_count_ = 0;
  std::atomic<uint64_t> misdirected_ = 0;
  std::mutex record_mutex_;
  std::vector<Timestamp> crash_request_arrivals_;
  std::vector<Timestamp> crash_times_;
  ArrivalRecord rejected_arrivals_;
  ArrivalRecord aborted_streams_;
  std::atomic<bool> stopped_ = false;
  std::thread reporter_;
};

}  // namespace larchlever::integration
