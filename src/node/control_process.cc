#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <random>

#include "core/base/work_meter.h"
#include "net/http_client.h"
#include "net/listener.h"
#include "net/listener_probe.h"
#include "net/peer_transport.h"
#include "node/client_limits.h"
#include "node/clock.h"
#include "node/control_api.h"
#include "node/dialect.h"
#include "node/fleet_change_logger.h"
#include "node/fleet_process.h"
#include "node/leader_search_logger.h"
#include "node/logging.h"
#include "node/rejected_client_logger.h"
#include "node/replica_storage.h"
#include "wire/codec.h"

namespace larchlever::node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kOrderTimeout = std::chrono::milliseconds(800);
constexpr auto kOrderConnectTimeout = std::chrono::milliseconds(400);
constexpr auto kMemberProbeTimeout = std::chrono::milliseconds(300);
/// How often a seed logs that the fleet is not formed yet.
constexpr Duration kFormationLogInterval = seconds(1);
/// If ticks are further apart than this, the process was paused. A dozen ticks, and a small fraction of the time after
/// which a node counts as lost.
constexpr Duration kProcessPauseThreshold = milliseconds(250);
/// A process has read all that had arrived in its sockets this long after a pause, many times over.
constexpr Duration kPauseSettleTime = seconds(1);
/// How often the leader logs what its time went into.
constexpr Duration kLoadLogInterval = seconds(1);
/// Kinds of work listed in one log line, those that took the most time.
constexpr size_t kMaxLoggedWorkKinds = 4;
/// Minimum time between two saves of the fleet state to disk.
constexpr Duration kStateSaveInterval = milliseconds(400);
/// Delay before a failed data folder is opened again; a full disk may have space by then.
constexpr auto kReopenInterval = std::chrono::milliseconds(500);
/// How long a stopping leader waits for another replica to take over leadership.
constexpr auto kLeadershipHandoverTimeout = std::chrono::milliseconds(1500);

std::string_view operation_name(const Dialect& dialect, fleet::OrderKind kind) {
  switch (kind) {
    case fleet::OrderKind::kJoin:
      return "join";
    case fleet::OrderKind::kOpen:
      return "open";
    case fleet::OrderKind::kLeave:
      return "leave";
    case fleet::OrderKind::kStage:
      return dialect.stage_operation;
  }
  return "";
}

std::string order_body(const Dialect& dialect, const fleet::InstanceOrder& order) {
  json::object body;
  body["operation"] = operation_name(dialect, order.kind);
  body["fencing_token"] = order.fencing_token;
  body["group"] = order.group;
  body["epoch"] = order.epoch;
  if (order.kind == fleet::OrderKind::kJoin) {
    body["model"] = order.model;
    body["members"] = json::array(order.members.begin(), order.members.end());
  }
  if (order.kind == fleet::OrderKind::kStage) {
    body["model"] = order.model;
  }
  return json::serialize(body);
}

/// Kind of work that a message causes, and how many rows it holds.
std::pair<const char*, int64_t> classify_message(const wire::Envelope& envelope) {
  if (envelope.__isset.raft) {
    return {"consensus", 1};
  }
  if (envelope.__isset.slot_report) {
    const auto& report = envelope.slot_report;
    return {"entry_reports", static_cast<int64_t>(report.requests.size() + report.loads.size() +
                                                  report.server_ends.size() + report.answered_requests.size())};
  }
  if (envelope.__isset.registrations) {
    return {"registrations", static_cast<int64_t>(envelope.registrations.reports.size())};
  }
  if (envelope.__isset.fleet_heartbeat) {
    return {envelope.fleet_heartbeat.serves_requests ? "entry_heartbeats" : "replica_heartbeats", 1};
  }
  if (envelope.__isset.fleet_update) {
    return {"updates", 1};
  }
  return {"calls", 1};
}

/// Runs a FleetController in real time: clock, peer connections, data folder, control calls and orders to engines.
class ControlProcess : public FleetProcess {
 public:
  ControlProcess(asio::any_io_executor executor, const settings::FleetSettings& settings)
      : executor_(executor),
        settings_(settings),
        dialect_(*find_dialect(settings.dialect)),
        identity_(make_fleet_identity(settings)),
        controller_(settings.options, identity_, settings.seed_peer_addresses, std::random_device()()),
        transport_(executor, [this](const wire::Envelope& envelope) { receive(envelope); }),
        storage_(
            executor, settings.data_folder,
            [this](std::vector<consensus::RaftOutput> batches) { on_written(std::move(batches)); },
            [this](const std::string& reason) { on_storage_failure(reason); }),
        client_(executor),
        search_logger_(settings.name),
        change_logger_(settings.name),
        api_(
            executor,
            [this](wire::ControlCall call, fleet::IsCallerWaiting is_caller_waiting) {
              return controller_.submit_call(monotonic_now(), std::move(call), std::move(is_caller_waiting));
            },
            [this] { return recent_pause(monotonic_now()); }),
        server_(executor, make_server_options(settings, DescriptorShare::kMainListener), api_,
                make_body_budget(settings)) {}
  ~ControlProcess() override { stop(); }

  bool start(std::string& error) override;
  void reload(const settings::FleetSettings& settings) override {
    controller_.add_peers(settings.seed_peer_addresses);
    log_event(settings_.name, "settings_reloaded", {{"seeds", std::to_string(settings.seed_control_addresses.size())}});
  }
  asio::awaitable<void> drain() override;
  void stop() override {
    *alive_ = false;
    server_.close_all();
    transport_.close_all();
    storage_.close();
  }

 private:
  void start_replica(ReplicaStorage::OpenedReplica opened) {
    log_event(settings_.name, "replica_started",
              {{"replica", std::to_string(opened.replica_id.value())},
               {"entries", std::to_string(opened.persisted.entries.size())}});
    if (const auto copy = wire::decode<wire::FleetState>(opened.state_copy)) {
      controller_.restore_state(*copy);
    }
    controller_.start_replica(monotonic_now(), opened.replica_id, opened.boot, std::move(opened.persisted));
  }
  /// Starts from the contents of the opened folder. This may be the first start of a whole fleet.
  void start_from_folder(ReplicaStorage::OpenedReplica opened) {
    // A seed that was stopped before the fleet was formed continues to form it, even if the settings have changed
    // since.
    const bool is_forming = !opened.holds_log() && (settings_.may_found_cluster() || opened.formation);
    const std::string choice = opened.formation.value_or("");
    start_replica(std::move(opened));
    if (is_forming) {
      controller_.begin_cluster_formation(monotonic_now(), choice);
    }
  }
  void store_founder_choice(const std::string& choice);
  void create_cluster();
  void log_formation_progress();
  void save_state();
  void on_written(std::vector<consensus::RaftOutput> batches);
  void on_storage_failure(const std::string& reason);
  asio::awaitable<void> reopen_storage();
  void renew_identity();
  void process_outputs();
  void receive(const wire::Envelope& envelope);
  /// Runs `work` and adds its time to the totals of this kind.
  template <typename Work>
  void measure(std::string_view kind, int64_t rows, const Work& work) {
    const TimePoint started_at = monotonic_now();
    work();
    work_meter_.add(kind, monotonic_now() - started_at, rows);
  }
  /// Handles a pause of this process: messages that arrived meanwhile have not been read yet.
  void note_pause(TimePoint now, Duration pause);
  /// Length of a pause that has just ended, whether `note_pause` knows of it already or not.
  Duration recent_pause(TimePoint now) const;
  void log_load(TimePoint now);
  void run_tick(TimePoint now);
  void log_state_changes();
  asio::awaitable<void> tick_loop();
  asio::awaitable<void> send_order(fleet::InstanceOrder order);
  asio::awaitable<void> probe_member(fleet::MemberProbe probe);

  asio::any_io_executor executor_;
  settings::FleetSettings settings_;
  const Dialect& dialect_;
  fleet::PeerIdentity identity_;
  fleet::FleetController controller_;
  net::PeerTransport transport_;
  ReplicaStorage storage_;
  net::HttpClient client_;
  LeaderSearchLogger search_logger_;
  FleetChangeLogger change_logger_;
  ControlApi api_;
  net::HttpServer server_;
  RejectedClientLogger rejected_clients_logger_{settings_.name, "control"};
  /// Term and version of the fleet state that was last saved to disk.
  std::pair<int64_t, int64_t> saved_state_version_{0, 0};
  TimePoint next_state_save_{};
  bool was_leader_ = false;
  /// What this process did since the last line of `log_load`, or since its last pause.
  WorkMeter work_meter_;
  TimePoint work_measured_since_{};
  TimePoint last_tick_ = monotonic_now();
  TimePoint last_pause_end_{};
  Duration last_pause_{};
  TimePoint next_formation_log_{};
  int64_t logged_document_version_ = 0;
  int64_t logged_evacuation_revision_ = 0;
  size_t logged_voter_count_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

bool ControlProcess::start(std::string& error) {
  const auto [host, port] = net::split_endpoint(settings_.peer_address);
  // Bind all addresses before the data folder is touched, so that a failed start leaves nothing behind.
  if (!transport_.listen(host, static_cast<uint16_t>(std::stoi(port)), error) ||
      !net::listen_on(server_, settings_.control_address, error)) {
    return false;
  }
  auto opened = storage_.open(error);
  if (opened) {
    start_from_folder(std::move(*opened));
  } else {
    on_storage_failure(error);
  }
  asio::co_spawn(executor_, tick_loop(), asio::detached);
  log_event(settings_.name, "started",
            {{"role", "control"},
             {"zone", settings_.zone},
             {"peer", settings_.peer_address},
             {"forms_cluster", controller_.formation() != nullptr ? "yes" : "no"}});
  return true;
}

void ControlProcess::on_written(std::vector<consensus::RaftOutput> batches) {
  for (auto& batch : batches) {
    controller_.handle_storage_synced(monotonic_now(), std::move(batch));
  }
  process_outputs();
}

void ControlProcess::on_storage_failure(const std::string& reason) {
  log_warning(settings_.name, "replica_stopped", {{"reason", reason}});
  controller_.stop_replica();
  asio::co_spawn(executor_, reopen_storage(), asio::detached);
}

asio::awaitable<void> ControlProcess::reopen_storage() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  while (*alive) {
    timer.expires_after(kReopenInterval);
    co_await timer.async_wait(kAwaitWithError);
    if (!*alive) {
      co_return;
    }
    storage_.close();
    std::string error;
    auto opened = storage_.open(error);
    if (opened) {
      start_from_folder(std::move(*opened));
      co_return;
    }
    log_warning(settings_.name, "data_folder_unusable", {{"reason", error}});
  }
}

void ControlProcess::store_founder_choice(const std::string& choice) {
  std::string error;
  if (!storage_.store_formation(choice, error)) {
    log_warning(settings_.name, "founder_not_stored", {{"founder", choice}, {"reason", error}});
    return;  // The controller repeats the request at the next tick.
  }
  log_event(settings_.name, "founder_chosen", {{"founder", choice}});
  controller_.founder_choice_stored();
}

void ControlProcess::create_cluster() {
  std::string error;
  auto opened = storage_.create_first_log(settings_.peer_address, settings_.zone, error);
  if (!opened) {
    on_storage_failure(error);
    return;
  }
  log_event(settings_.name, "cluster_founded", {{"replica", std::to_string(opened->replica_id.value())}});
  start_replica(std::move(*opened));
}

void ControlProcess::log_formation_progress() {
  const TimePoint now = monotonic_now();
  const auto* formation = controller_.formation();
  if (formation == nullptr || now < next_formation_log_) {
    return;
  }
  const bool is_first = next_formation_log_ == TimePoint{};
  next_formation_log_ = now + kFormationLogInterval;
  if (!is_first) {
    log_warning(settings_.name, "cluster_not_formed",
                {{"seeds_heard", join_items(formation->reachable_seeds(now))},
                 {"needed", std::to_string(formation->majority())},
                 {"founder", formation->founder_choice()},
                 {"remedy", "start the missing seeds, or correct their addresses in the settings"}});
  }
}

void ControlProcess::renew_identity() {
  std::string error;
  auto opened = storage_.renew_identity(error);
  if (!opened) {
    on_storage_failure(error);
    return;
  }
  log_warning(settings_.name, "replica_identity_renewed", {{"reason", "the disk had lost acknowledged log entries"}});
  start_replica(std::move(*opened));
}

void ControlProcess::process_outputs() {
  auto outputs = controller_.take_outputs();
  for (const auto& envelope : outputs.envelopes) {
    transport_.send(envelope);
  }
  for (auto& batch : outputs.storage_batches) {
    storage_.submit(std::move(batch));
  }
  if (outputs.founder_choice) {
    store_founder_choice(*outputs.founder_choice);
  }
  if (outputs.create_log) {
    create_cluster();
  }
  for (auto& order : outputs.orders) {
    asio::co_spawn(executor_, send_order(std::move(order)), asio::detached);
  }
  for (const auto& decision : outputs.decisions) {
    change_logger_.log_group_change(decision);
  }
  for (auto& probe : outputs.member_probes) {
    asio::co_spawn(executor_, probe_member(std::move(probe)), asio::detached);
  }
  for (const auto& event : outputs.suspicion_events) {
    change_logger_.log_suspicion(event);
  }
  for (const auto& change : outputs.plain_speed_changes) {
    change_logger_.log_speed_change(change);
  }
  for (const auto& [instance, report_error] : outputs.malformed_reports) {
    change_logger_.log_malformed_report(monotonic_now(), instance, report_error);
  }
  for (const auto& decision : outputs.zone_calls) {
    change_logger_.log_zone_call(decision);
  }
  for (const auto& reply : outputs.replies) {
    api_.complete(reply);
  }
}

void ControlProcess::save_state() {
  const TimePoint now = monotonic_now();
  const auto& state = controller_.subscription().state();
  const std::pair state_version(state.term, state.version);
  if (state_version == saved_state_version_ || now < next_state_save_) {
    return;
  }
  saved_state_version_ = state_version;
  next_state_save_ = now + kStateSaveInterval;
  storage_.submit_state_copy(wire::encode(state));
}

void ControlProcess::log_state_changes() {
  const bool leads = controller_.is_leader(monotonic_now());
  const auto* raft = controller_.raft();
  if (leads != was_leader_) {
    was_leader_ = leads;
    log_event(settings_.name, leads ? "leadership_begun" : "leadership_ended",
              {{"term", std::to_string(raft == nullptr ? 0 : raft->term())}});
  }
  if (controller_.log().document_version() != logged_document_version_) {
    logged_document_version_ = controller_.log().document_version();
    log_event(settings_.name, "document_committed", {{"version", std::to_string(logged_document_version_)}});
  }
  const auto& evacuations = controller_.log().evacuations();
  if (evacuations.revision != logged_evacuation_revision_) {
    logged_evacuation_revision_ = evacuations.revision;
    log_event(settings_.name, "evacuations_committed",
              {{"revision", std::to_string(evacuations.revision)}, {"zones", join_items(evacuations.zones)}});
  }
  if (raft != nullptr && raft->replicas().voters.size() != logged_voter_count_) {
    logged_voter_count_ = raft->replicas().voters.size();
    log_event(settings_.name, "voters_changed", {{"voters", std::to_string(logged_voter_count_)}});
  }
}

void ControlProcess::receive(const wire::Envelope& envelope) {
  const auto [kind, rows] = classify_message(envelope);
  measure(kind, rows, [this, &envelope] {
    controller_.receive(monotonic_now(), envelope);
    process_outputs();
  });
}

void ControlProcess::note_pause(TimePoint now, Duration pause) {
  // Messages that arrived during the pause have not been read yet. Without this correction, every node and instance
  // would count as lost at once.
  controller_.note_own_pause(now, pause);
  last_pause_end_ = now;
  last_pause_ = pause;
  const Duration busy = work_meter_.busy();
  log_warning(settings_.name, "stood_still",
              {{"for_ms", std::to_string(pause / milliseconds(1))},
               {"leads", was_leader_ ? "yes" : "no"},
               {"busy_ms", std::to_string(busy / milliseconds(1))},
               {"measured_ms", std::to_string((now - work_measured_since_) / milliseconds(1))},
               {"work", format_work(work_meter_.take_totals(), kMaxLoggedWorkKinds)}});
  work_measured_since_ = now;
}

Duration ControlProcess::recent_pause(TimePoint now) const {
  const Duration since_tick = now - last_tick_;
  if (since_tick > kProcessPauseThreshold) {
    return since_tick;  // Sockets may be read before the first tick after a pause.
  }
  return now - last_pause_end_ < kPauseSettleTime ? last_pause_ : Duration::zero();
}

void ControlProcess::log_load(TimePoint now) {
  const Duration measured = now - work_measured_since_;
  if (measured < kLoadLogInterval) {
    return;
  }
  const int64_t busy_percent = work_meter_.busy() * 100 / measured;
  const auto totals = work_meter_.take_totals();
  work_measured_since_ = now;
  if (was_leader_) {
    log_event(settings_.name, "leader_load",
              {{"busy_percent", std::to_string(busy_percent)}, {"work", format_work(totals, kMaxLoggedWorkKinds)}});
  }
}

void ControlProcess::run_tick(TimePoint now) {
  measure("tick", 1, [this, now] {
    controller_.tick(now);
    process_outputs();
  });
  measure("change_log", 1, [this] {
    log_state_changes();
    log_formation_progress();
    search_logger_.tick(monotonic_now(), controller_.subscription());
    rejected_clients_logger_.tick(monotonic_now(), server_.stats());
    if (controller_.is_leader(monotonic_now())) {
      change_logger_.log_changes(monotonic_now(), controller_.leader_view());
    }
  });
  measure("state_save", 1, [this] { save_state(); });
}

asio::awaitable<void> ControlProcess::tick_loop() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  last_tick_ = monotonic_now();
  work_measured_since_ = last_tick_;
  while (*alive) {
    const TimePoint now = monotonic_now();
    if (now - last_tick_ > kProcessPauseThreshold) {
      note_pause(now, now - last_tick_);
    }
    last_tick_ = now;
    log_load(now);
    run_tick(now);
    if (controller_.needs_new_identity()) {
      renew_identity();
    }
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

asio::awaitable<void> ControlProcess::send_order(fleet::InstanceOrder order) {
  const auto alive = alive_;
  net::HttpRequest request;
  request.method = "POST";
  request.target = dialect_.engine_order_path;
  request.headers.add("Content-Type", "application/json");
  request.headers.add(dialect_.expect_instance_header, order.instance_id);
  request.body = order_body(dialect_, order);
  net::OpenOptions options;
  options.timeout = kOrderTimeout;
  options.connect_timeout = kOrderConnectTimeout;
  // Orders have no ids by which a late response to an earlier one could be told apart.
  options.require_new_connection = true;
  options.close_after_response = true;
  options.may_send = [this, alive] { return *alive && controller_.may_send_orders(monotonic_now()); };
  auto opened = co_await client_.open(order.address, request, options);
  if (!*alive) {
    co_return;
  }
  fleet::InstanceOrderResult result;
  result.order = std::move(order);
  if (opened.stream != nullptr) {
    result.status = opened.stream->head().status;
    const std::string body = co_await opened.stream->read_some(kOrderTimeout);
    if (!*alive) {
      co_return;
    }
  }
  log_event(settings_.name, "order_answered",
            {{"operation", std::string(operation_name(dialect_, result.order.kind))},
             {"instance", result.order.instance_id},
             {"group", result.order.group},
             {"epoch", std::to_string(result.order.epoch)},
             {"status", std::to_string(result.status)}});
  controller_.handle_order_result(monotonic_now(), result);
}

asio::awaitable<void> ControlProcess::probe_member(fleet::MemberProbe probe) {
  const auto alive = alive_;
  const std::string outbound_address = settings_.outbound_address;
  const auto state = co_await net::probe_listener(probe.address, kMemberProbeTimeout, outbound_address);
  if (!*alive) {
    co_return;
  }
  const auto result = state == net::ListenerState::kRefused ? fleet::MemberProbeResult::kRefused
                                                            : fleet::MemberProbeResult::kInconclusive;
  controller_.handle_member_probe(monotonic_now(), probe, result);
}

asio::awaitable<void> ControlProcess::drain() {
  asio::steady_timer timer(executor_);
  const TimePoint deadline = monotonic_now() + kLeadershipHandoverTimeout;
  controller_.begin_leaving();
  log_event(settings_.name, "draining", {{"leads", was_leader_ ? "yes" : "no"}});
  do {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  } while (controller_.raft() != nullptr && controller_.raft()->is_leader() && monotonic_now() < deadline);
}

}  // namespace

std::unique_ptr<FleetProcess> make_control_process(asio::any_io_executor executor,
                                                   const settings::FleetSettings& settings) {
  return std::make_unique<ControlProcess>(std::move(executor), settings);
}

fleet::PeerIdentity make_fleet_identity(const settings::FleetSettings& settings) {
  fleet::PeerIdentity identity;
  identity.peer_address = settings.peer_address;
  identity.zone = settings.zone;
  identity.control_address = settings.control_address;
  identity.serves_requests = settings.role == settings::FleetRole::kEntry;
  identity.incarnation = Incarnation(
      std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
  return identity;
}

}  // namespace larchlever::node
