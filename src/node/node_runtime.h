#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/node/node_controller.h"
#include "core/requests/endpoint_selector.h"
#include "net/http_client.h"
#include "net/peer_transport.h"
#include "node/storage_worker.h"
#include "settings/node_settings.h"

namespace larchlever::node {

/// Counters of orders to engines and of polls of their state.
struct RuntimeStats {
  uint64_t order_failures = 0;
  uint64_t polls = 0;
  uint64_t poll_failures = 0;
  /// Polls answered by another machine, or by one that is not where the platform lists it.
  uint64_t poll_mismatches = 0;
};

/// Runs a NodeController in real time: clock, peer connections, data folder, orders to engines and polls of them, and
/// the platform's membership list. Callers of `admit`, `claim` and `operator_request` wait here for the controller's
/// result.
///
/// Runs on one executor that must be served by a single thread; the data folder has its own thread.
class NodeRuntime {
 public:
  NodeRuntime(boost::asio::any_io_executor executor, const settings::NodeSettings& settings);
  ~NodeRuntime();
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  /// Binds the peer address and opens the data folder. `service_address` is the address at which callers reach this
  /// node. Returns false with `error` set if the node cannot run.
  bool start(const std::string& service_address, std::string& error);
  /// Stops immediately and drops all in-flight work, as a crash would.
  void stop();
  void begin_leaving();

  static TimePoint now();
  static int64_t wall_clock_ms();

  /// Result of waiting for admission.
  enum class AdmissionResult { kAdmitted, kQueueFull, kDeadlineExceeded, kCallerDisconnected };
  /// Waits for admission under the tenant's concurrency limit. `cancelled` is checked at each wake-up.
  boost::asio::awaitable<AdmissionResult> admit(std::string tenant, int priority, TimePoint deadline,
                                                const std::function<bool()>& cancelled);
  void release_admission(const std::string& tenant, Duration service_time);
  boost::asio::awaitable<ClaimOutcome> claim(wire::Claim claim, TimePoint deadline);
  void record_claim_outcome(wire::ClaimResolution resolution);
  boost::asio::awaitable<wire::OperatorReply> operator_request(wire::OperatorRequest request,
                                                               std::chrono::milliseconds timeout);

  NodeController& controller() { return *controller_; }
  net::HttpClient& client() { return client_; }
  requests::EndpointSelector& endpoints() { return endpoints_; }
  const settings::NodeSettings& settings() const { return settings_; }
  const net::PeerStats& peer_stats() const { return transport_.stats(); }
  const RuntimeStats& stats() const { return stats_; }
  storage::StorageStats storage_stats() const;
  std::string peer_address() const { return peer_address_; }
  void set_peer_address(const std::string& node, const std::string& endpoint) {
    transport_.set_address(node, endpoint);
  }
  const std::string& replica_failure() const { return replica_failure_; }
  boost::asio::any_io_executor executor() { return executor_; }

 private:
  template <typename Result>
  struct PendingResult {
    explicit PendingResult(const boost::asio::any_io_executor& executor) : timer(executor) {}
    boost::asio::steady_timer timer;
    std::optional<Result> result;
  };
  template <typename Result>
  using PendingResults = std::map<int64_t, std::shared_ptr<PendingResult<Result>>>;

  bool open_data_folder(std::string& error);
  void start_worker(std::unique_ptr<storage::DataFolder> folder);
  void renew_identity();
  void process_outputs();
  void on_written(std::vector<consensus::RaftOutput> batches);
  void log_state_changes();
  boost::asio::awaitable<void> tick_loop();
  boost::asio::awaitable<void> poll_loop();
  boost::asio::awaitable<void> poll_machine(wire::WatchTarget target);
  boost::asio::awaitable<void> membership_loop();
  boost::asio::awaitable<void> send_order(control::EngineOrder order);
  void complete_admissions();

  boost::asio::any_io_executor executor_;
  settings::NodeSettings settings_;
  net::PeerTransport transport_;
  net::HttpClient client_;
  storage::FileSystem file_system_;
  std::unique_ptr<NodeController> controller_;
  std::unique_ptr<StorageWorker> worker_;
  requests::EndpointSelector endpoints_;
  std::map<std::string, wire::Machine> listed_machines_;
  std::map<std::string, bool> polls_in_flight_;
  std::string peer_address_;
  std::string replica_failure_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  uint64_t next_admission_ticket_ = 1;
  std::map<uint64_t, std::shared_ptr<PendingResult<AdmissionResult>>> pending_admissions_;
  PendingResults<ClaimOutcome> pending_claims_;
  PendingResults<wire::OperatorReply> pending_operator_requests_;
  std::string last_leader_;
  bool had_lease_ = false;
  bool was_leader_ = false;
  RuntimeStats stats_;
};

}  // namespace larchlever::node
