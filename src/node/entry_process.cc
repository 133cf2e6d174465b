#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <random>
#include <set>

#include "core/base/http_status.h"
#include "net/http_server.h"
#include "net/listener.h"
#include "net/peer_transport.h"
#include "node/client_limits.h"
#include "node/clock.h"
#include "node/fleet_process.h"
#include "node/leader_search_logger.h"
#include "node/link_prober.h"
#include "node/logging.h"
#include "node/rejected_client_logger.h"
#include "node/request_relay.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwaitWithError = asio::as_tuple(asio::use_awaitable);
constexpr auto kTickInterval = std::chrono::milliseconds(25);
/// If ticks are further apart than this, the process was paused. Ten ticks, and well below the time after which a
/// silent group counts as stalled.
constexpr Duration kProcessPauseThreshold = milliseconds(250);
/// How long a stopping entry still accepts new connections. The load balancer probes once a second and removes an entry
/// after two failed probes.
constexpr auto kLoadBalancerDelay = std::chrono::milliseconds(2500);
/// A stopping entry closes a connection only after it has been idle for this long, unless its last response already
/// announced the close. A caller that reuses the connection sooner is told in its next response.
constexpr auto kIdleBeforeClose = std::chrono::seconds(1);
/// Responses that callers have not read yet may use one part in this many of the machine's memory.
constexpr size_t kResponseBufferDivisor = 16;
/// The platform may allow the process much less memory than the machine has. This fits into 256 MB.
constexpr size_t kMaxDefaultResponseBufferBytes = 16U << 20U;
/// Part of the grace period reserved for the final shutdown.
constexpr auto kShutdownReserve = std::chrono::milliseconds(500);
/// Part of that reserve for the responses to requests that were cut off.
constexpr auto kFinalResponseTime = std::chrono::milliseconds(250);

size_t response_buffer_bytes(const settings::FleetSettings& settings) {
  if (settings.answer_buffer_bytes > 0) {
    return settings.answer_buffer_bytes;
  }
  const auto pages = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PHYS_PAGES)));
  const auto page_size = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PAGESIZE)));
  return std::min(pages * page_size / kResponseBufferDivisor, kMaxDefaultResponseBufferBytes);
}

/// Readiness probe for the load balancer: whether this entry accepts new connections.
class ReadinessHandler : public net::HttpHandler {
 public:
  explicit ReadinessHandler(std::function<bool()> is_ready) : is_ready_(std::move(is_ready)) {}

  asio::awaitable<void> handle(net::HttpExchange& exchange) override {
    net::HttpResponse response;
    response.status = is_ready_() ? http_status::kOk : http_status::kServiceUnavailable;
    response.headers.add("Content-Type", "text/plain");
    response.body = response.status == http_status::kOk ? "ready\n" : "not ready\n";
    co_await exchange.respond(std::move(response));
  }

 private:
  std::function<bool()> is_ready_;
};

/// Passes requests that other entries received from their callers to the relay.
class PeerRequestHandler : public net::HttpHandler {
 public:
  explicit PeerRequestHandler(RequestRelay& relay) : relay_(relay) {}

  asio::awaitable<void> handle(net::HttpExchange& exchange) override { co_await relay_.handle_for_peer(exchange); }

 private:
  RequestRelay& relay_;
};

/// Serves callers, and keeps its copy of the configuration and fleet state up to date through the subscription.
class EntryProcess : public FleetProcess {
 public:
  EntryProcess(asio::any_io_executor executor, const settings::FleetSettings& settings)
      : executor_(executor),
        settings_(settings),
        identity_(make_fleet_identity(settings)),
        state_(settings.options, identity_, settings.seed_peer_addresses, std::random_device()()),
        search_logger_(settings.name),
        transport_(executor, [this](wire::Envelope envelope) { receive(envelope); }),
        slot_requester_(executor, state_, [this](wire::Envelope envelope) { send(std::move(envelope)); }),
        lease_gate_(executor, state_),
        request_relay_(executor, *find_dialect(settings.dialect), state_, slot_requester_, lease_gate_,
                       RequestRelay::Options{response_buffer_bytes(settings), settings.outbound_address,
                                             settings.peer_address, !settings.relay_address.empty()}),
        link_prober_(executor, *find_dialect(settings.dialect), state_, request_relay_.client(),
                     request_relay_.in_flight_attempts()),
        relay_handler_(request_relay_),
        body_budget_(make_body_budget(settings)),
        relay_server_(executor, make_server_options(settings, DescriptorShare::kRelayListener), relay_handler_,
                      body_budget_),
        caller_server_(executor, make_server_options(settings, DescriptorShare::kMainListener), request_relay_,
                       body_budget_),
        readiness_handler_([this] { return is_ready(); }),
        readiness_server_(executor, make_server_options(settings, DescriptorShare::kReadinessListener),
                          readiness_handler_, body_budget_) {
    state_.dispatcher.set_relay_available(!settings.relay_address.empty());
    state_.dispatcher.retry_budget().start(monotonic_now());
  }
  ~EntryProcess() override { stop(); }

  bool start(std::string& error) override {
    const auto [host, port] = net::split_endpoint(settings_.peer_address);
    if (!transport_.listen(host, static_cast<uint16_t>(std::stoi(port)), error) ||
        (!settings_.relay_address.empty() && !net::listen_on(relay_server_, settings_.relay_address, error)) ||
        !net::listen_on(caller_server_, settings_.caller_address, error) ||
        !net::listen_on(readiness_server_, settings_.ready_address, error)) {
      return false;
    }
    asio::co_spawn(executor_, tick_loop(), asio::detached);
    log_event(settings_.name, "started",
              {{"role", "entry"}, {"zone", settings_.zone}, {"peer", settings_.peer_address}});
    return true;
  }

  void reload(const settings::FleetSettings& settings) override {
    state_.subscription.add_peers(settings.seed_peer_addresses);
    log_event(settings_.name, "settings_reloaded", {{"seeds", std::to_string(settings.seed_control_addresses.size())}});
  }

  asio::awaitable<void> drain() override;

  void stop() override {
    *alive_ = false;
    caller_server_.close_all();
    relay_server_.close_all();
    readiness_server_.close_all();
    transport_.close_all();
  }

 private:
  /// The grace period is over: gives the requests that are left their final responses.
  asio::awaitable<void> answer_remaining_requests(TimePoint shutdown_began_at);
  bool is_ready() const { return !is_draining_ && state_.subscription.has_lease(monotonic_now()); }
  asio::awaitable<void> tick_loop();
  void tick();
  void receive(const wire::Envelope& envelope);
  void send(wire::Envelope envelope);
  void apply_document();
  /// Applies the number of entries that share budgets.
  void apply_entry_count();
  void apply_evacuations();

  asio::any_io_executor executor_;
  settings::FleetSettings settings_;
  fleet::PeerIdentity identity_;
  EntryState state_;
  LeaderSearchLogger search_logger_;
  net::PeerTransport transport_;
  SlotRequester slot_requester_;
  LeaseGate lease_gate_;
  RequestRelay request_relay_;
  LinkProber link_prober_;
  PeerRequestHandler relay_handler_;
  /// Bodies of requests of all listeners.
  std::shared_ptr<requests::BodyBudget> body_budget_;
  net::HttpServer relay_server_;
  net::HttpServer caller_server_;
  ReadinessHandler readiness_handler_;
  net::HttpServer readiness_server_;
  RejectedClientLogger rejected_callers_logger_{settings_.name, "callers"};
  RejectedClientLogger rejected_peers_logger_{settings_.name, "relay"};
  RejectedClientLogger rejected_probes_logger_{settings_.name, "readiness"};
  int64_t document_version_ = 0;
  int64_t evacuation_revision_ = 0;
  /// Number of entries that share budgets.
  int entry_count_ = 0;
  bool had_lease_ = false;
  bool is_draining_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

void EntryProcess::send(wire::Envelope envelope) {
  envelope.from_node = identity_.peer_address;
  envelope.from_incarnation = identity_.incarnation.value();
  transport_.send(envelope);
}

void EntryProcess::receive(const wire::Envelope& envelope) {
  if (envelope.__isset.slot_answer) {
    slot_requester_.receive(envelope.slot_answer);
    for (const auto& group : envelope.slot_answer.failed_groups) {
      request_relay_.in_flight_attempts().suspect_at_failed_group(monotonic_now(), group);
    }
  }
  if (!envelope.__isset.fleet_update) {
    return;
  }
  const bool changed = state_.subscription.receive(monotonic_now(), envelope);
  if (changed) {
    apply_evacuations();
    for (const auto& target : state_.dispatcher.update_state(state_.subscription.state())) {
      request_relay_.in_flight_attempts().cancel_at_restarted_server(target);
      request_relay_.blocked_request_guard().note_server_restarted(target);
    }
    state_.blocked_request_tracker.update(monotonic_now(), state_.subscription.state().blocked_requests);
    apply_document();
  }
  state_.relay_peers.update(state_.subscription.relay_peers());
  if (!envelope.fleet_update.loads.empty()) {
    state_.dispatcher.update_loads(monotonic_now(), state_.subscription.loads());
  }
  apply_entry_count();
  state_.dispatcher.retry_budget().note_no_requests_until(state_.subscription.no_document_until());
  if (changed) {
    tick();  // Acknowledge the update without waiting for the next tick.
  }
}

void EntryProcess::apply_entry_count() {
  const int count = state_.subscription.serving_nodes();
  if (count != entry_count_) {
    entry_count_ = count;
    log_event(settings_.name, "entry_count_changed", {{"entries", std::to_string(count)}});
  }
  state_.dispatcher.set_serving_nodes(count);
}

void EntryProcess::apply_document() {
  if (state_.subscription.document_version() == document_version_) {
    return;
  }
  const auto parsed = document::parse_document(state_.subscription.document());
  if (parsed.document == nullptr) {
    log_warning(settings_.name, "document_unreadable", {{"reason", parsed.error.message}});
    return;
  }
  document_version_ = state_.subscription.document_version();
  state_.routes = std::make_shared<document::RouteTable>(parsed.document);
  state_.dispatcher.update_services(parsed.document->services);
  std::set<std::string> route_names;
  for (const auto& route : parsed.document->routes) {
    route_names.insert(route.name);
  }
  state_.shutdown_admission.retain_routes(route_names);
  const auto& limits = parsed.document->limits;
  net::HttpServerOptions options;
  options.head_limit_bytes = limits.max_header_bytes;
  options.body_limit_bytes = limits.max_body_bytes;
  options.head_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.header_timeout);
  options.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout);
  // A caller that reads nothing for this long is treated as disconnected.
  options.write_timeout = options.idle_timeout;
  options.max_connections = max_connections(settings_, DescriptorShare::kMainListener);
  caller_server_.set_options(options);
  options.max_connections = max_connections(settings_, DescriptorShare::kRelayListener);
  relay_server_.set_options(options);
  log_event(settings_.name, "document_in_force", {{"version", std::to_string(document_version_)}});
}

void EntryProcess::apply_evacuations() {
  const auto& evacuations = state_.subscription.evacuations();
  if (evacuations.revision == evacuation_revision_) {
    return;
  }
  evacuation_revision_ = evacuations.revision;
  state_.dispatcher.update_evacuations(evacuations);
  log_event(settings_.name, "evacuations_in_force",
            {{"revision", std::to_string(evacuations.revision)}, {"zones", join_items(evacuations.zones)}});
}

void EntryProcess::tick() {
  const TimePoint now = monotonic_now();
  slot_requester_.tick(now);
  wire::FleetHeartbeat content;
  content.leaving = is_draining_;
  content.wants_loads = slot_requester_.decides_locally(now);
  if (!settings_.relay_address.empty()) {
    content.__set_relay_address(settings_.relay_address);
    content.reaches_no_server = state_.dispatcher.links().reaches_no_server();
  }
  if (auto heartbeat = state_.subscription.tick(now, content)) {
    send(std::move(*heartbeat));
  }
  search_logger_.tick(now, state_.subscription);
  state_.answer_sizes.tick(now, settings_.name);
  rejected_callers_logger_.tick(now, caller_server_.stats());
  rejected_peers_logger_.tick(now, relay_server_.stats());
  rejected_probes_logger_.tick(now, readiness_server_.stats());
  const bool has_lease = state_.subscription.has_lease(now);
  if (has_lease != had_lease_) {
    had_lease_ = has_lease;
    lease_gate_.note_lease_change(now, has_lease);
    log_event(settings_.name, has_lease ? "document_lease_gained" : "document_lease_lost",
              {{"version", std::to_string(document_version_)}, {"leader", state_.subscription.leader()}});
  }
}

asio::awaitable<void> EntryProcess::tick_loop() {
  const auto alive = alive_;
  asio::steady_timer timer(executor_);
  TimePoint last_tick = monotonic_now();
  while (*alive) {
    const TimePoint now = monotonic_now();
    if (now - last_tick > kProcessPauseThreshold) {
      // Responses that arrived during the pause are still in the socket buffers. Without this correction, healthy
      // groups would count as stalled and their complete responses would be cut.
      state_.dispatcher.restart_silence_timers(now);
      state_.dispatcher.links().restart_silence_timers(now);
      request_relay_.in_flight_attempts().restart_silence_timers(now);
      request_relay_.in_flight_attempts().cancel_overdue(now);
      log_warning(settings_.name, "stood_still", {{"for_ms", std::to_string((now - last_tick) / milliseconds(1))}});
    }
    last_tick = now;
    tick();
    link_prober_.tick(now);
    request_relay_.in_flight_attempts().suspect_silent(monotonic_now());
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

asio::awaitable<void> EntryProcess::answer_remaining_requests(TimePoint shutdown_began_at) {
  const TimePoint now = monotonic_now();
  request_relay_.active_requests().cut_off(now, shutdown_began_at);
  slot_requester_.stop_waiting();
  asio::steady_timer timer(executor_);
  while (caller_server_.stats().active_requests + relay_server_.stats().active_requests > 0 &&
         monotonic_now() < now + kFinalResponseTime) {
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
}

asio::awaitable<void> EntryProcess::drain() {
  asio::steady_timer timer(executor_);
  const TimePoint began_at = monotonic_now();
  const TimePoint deadline = began_at + settings_.stop_grace_period - kShutdownReserve;
  is_draining_ = true;
  state_.shutdown_admission.begin(began_at + kLoadBalancerDelay, deadline);
  caller_server_.begin_draining();
  relay_server_.begin_draining();
  log_event(settings_.name, "draining", {{"requests", std::to_string(caller_server_.stats().active_requests)}});
  // The load balancer reacts with a delay; requests that it still sends are served if they end in time.
  timer.expires_after(kLoadBalancerDelay);
  co_await timer.async_wait(kAwaitWithError);
  caller_server_.stop_accepting();
  relay_server_.stop_accepting();
  while (caller_server_.stats().open_connections + relay_server_.stats().active_requests > 0 &&
         monotonic_now() < deadline) {
    caller_server_.close_idle_connections(kIdleBeforeClose);
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitWithError);
  }
  co_await answer_remaining_requests(began_at);
  log_event(settings_.name, "drained", {{"requests_left", std::to_string(caller_server_.stats().active_requests)}});
}

}  // namespace

std::unique_ptr<FleetProcess> make_entry_process(asio::any_io_executor executor,
                                                 const settings::FleetSettings& settings) {
  return std::make_unique<EntryProcess>(std::move(executor), settings);
}

}  // namespace larchlever::node
