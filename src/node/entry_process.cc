#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <random>

#include "core/base/http_status.h"
#include "net/http_server.h"
#include "net/listener.h"
#include "net/peer_transport.h"
#include "node/clock.h"
#include "node/fleet_process.h"
#include "node/logging.h"
#include "node/request_relay.h"
#include "node/search_reporter.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kTickInterval = std::chrono::milliseconds(25);
/// A tick that comes this much later than the one before tells that this process stood still: ten ticks, and well below
/// the time after which a silent group counts as stalled.
constexpr Duration kOwnPause = milliseconds(250);
/// How long a stopping entry still gets new connections: the balancer asks once a second and wants two misses.
constexpr auto kBalancerReaction = std::chrono::milliseconds(2500);
/// A stopping entry closes a connection whose last answer did not say so only once it has rested for this long: a
/// caller that uses it again at once is told with the next answer.
constexpr auto kRestBeforeClose = std::chrono::seconds(1);
/// Part of the machine's memory that answers may take which their callers have not read yet.
constexpr size_t kAnswerBufferPart = 16;
/// Kept back of the grace, for closing down.
constexpr auto kStopReserve = std::chrono::milliseconds(500);

size_t answer_buffers_of(const settings::FleetSettings& settings) {
  if (settings.answer_buffers > 0) {
    return settings.answer_buffers;
  }
  const auto pages = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PHYS_PAGES)));
  const auto page_size = static_cast<size_t>(std::max<int64_t>(0, ::sysconf(_SC_PAGESIZE)));
  return pages * page_size / kAnswerBufferPart;
}

/// Answers the balancer's question whether this entry wants new connections.
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

/// Serves callers, and keeps its copy of configuration and fleet fresh through the subscription.
class EntryProcess : public FleetProcess {
 public:
  EntryProcess(asio::any_io_executor executor, const settings::FleetSettings& settings)
      : executor_(executor),
        settings_(settings),
        identity_(make_fleet_identity(settings)),
        state_(settings.options, identity_, settings.seed_peers, std::random_device()()),
        search_(settings.name),
        transport_(executor, [this](wire::Envelope envelope) { receive(envelope); }),
        slots_(executor, state_, [this](wire::Envelope envelope) { send(std::move(envelope)); }),
        lease_(executor, state_),
        relay_(executor, *find_dialect(settings.dialect), state_, slots_, lease_, answer_buffers_of(settings)),
        callers_(executor, net::HttpServerOptions(), relay_),
        readiness_([this] { return is_ready(); }),
        balancer_(executor, net::HttpServerOptions(), readiness_) {}
  ~EntryProcess() override { stop(); }

  bool start(std::string& error) override {
    const auto [host, port] = net::split_endpoint(settings_.peer_address);
    if (!transport_.listen(host, static_cast<uint16_t>(std::stoi(port)), error) ||
        !net::listen_on(callers_, settings_.caller_address, error) ||
        !net::listen_on(balancer_, settings_.ready_address, error)) {
      return false;
    }
    asio::co_spawn(executor_, tick_loop(), asio::detached);
    log_event(settings_.name, "started",
              {{"role", "entry"}, {"zone", settings_.zone}, {"peer", settings_.peer_address}});
    return true;
  }

  void reload(const settings::FleetSettings& settings) override {
    state_.subscription.add_peers(settings.seed_peers);
    log_event(settings_.name, "settings_reloaded", {{"seeds", std::to_string(settings.seeds.size())}});
  }

  asio::awaitable<void> drain() override;

  void stop() override {
    *alive_ = false;
    callers_.close_all();
    balancer_.close_all();
    transport_.close_all();
  }

 private:
  bool is_ready() const { return !leaving_ && state_.subscription.has_lease(monotonic_now()); }
  asio::awaitable<void> tick_loop();
  void tick();
  void receive(const wire::Envelope& envelope);
  void send(wire::Envelope envelope);
  void adopt_document();
  void adopt_evacuations();

  asio::any_io_executor executor_;
  settings::FleetSettings settings_;
  fleet::PeerIdentity identity_;
  EntryState state_;
  SearchReporter search_;
  net::PeerTransport transport_;
  SlotRequester slots_;
  LeaseGate lease_;
  RequestRelay relay_;
  net::HttpServer callers_;
  ReadinessHandler readiness_;
  net::HttpServer balancer_;
  int64_t document_version_ = 0;
  int64_t evacuation_revision_ = 0;
  bool had_lease_ = false;
  bool leaving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

void EntryProcess::send(wire::Envelope envelope) {
  envelope.from_node = identity_.peer_address;
  envelope.from_incarnation = identity_.incarnation.value();
  transport_.send(envelope);
}

void EntryProcess::receive(const wire::Envelope& envelope) {
  if (envelope.__isset.slot_answer) {
    slots_.receive(envelope.slot_answer);
    for (const auto& group : envelope.slot_answer.failed_groups) {
      relay_.sendings().abandon_failed(monotonic_now(), group);
    }
  }
  if (!envelope.__isset.fleet_update) {
    return;
  }
  const bool changed = state_.subscription.receive(monotonic_now(), envelope);
  if (changed) {
    adopt_evacuations();
    for (const auto& target : state_.dispatcher.update_state(state_.subscription.state())) {
      relay_.sendings().abandon_lost(target);
      relay_.blocks().started_again(target);
    }
    state_.blocked.update(monotonic_now(), state_.subscription.state().blocked_requests);
    adopt_document();
  }
  if (!envelope.fleet_update.loads.empty()) {
    state_.dispatcher.update_loads(monotonic_now(), state_.subscription.loads());
  }
  state_.dispatcher.set_serving_nodes(state_.subscription.serving_nodes());
  if (changed) {
    tick();  // Confirms what was learned without waiting for the next tick.
  }
}

void EntryProcess::adopt_document() {
  if (state_.subscription.document_version() == document_version_) {
    return;
  }
  const auto parsed = document::parse_document(state_.subscription.document());
  if (parsed.document == nullptr) {
    log_problem(settings_.name, "document_unreadable", {{"reason", parsed.error.message}});
    return;
  }
  document_version_ = state_.subscription.document_version();
  state_.routes = std::make_shared<document::RouteTable>(parsed.document);
  state_.dispatcher.update_services(parsed.document->services);
  const auto& limits = parsed.document->limits;
  net::HttpServerOptions options;
  options.largest_head = limits.max_header_bytes;
  options.largest_body = limits.max_body_bytes;
  options.head_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.header_timeout);
  options.idle_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout);
  options.write_timeout = options.idle_timeout;  // Who takes nothing for so long is as good as gone.
  callers_.set_options(options);
  log_event(settings_.name, "document_in_force", {{"version", std::to_string(document_version_)}});
}

void EntryProcess::adopt_evacuations() {
  const auto& evacuations = state_.subscription.evacuations();
  if (evacuations.revision == evacuation_revision_) {
    return;
  }
  evacuation_revision_ = evacuations.revision;
  state_.dispatcher.update_evacuations(evacuations);
  log_event(settings_.name, "evacuations_in_force",
            {{"revision", std::to_string(evacuations.revision)}, {"zones", joined(evacuations.zones)}});
}

void EntryProcess::tick() {
  const TimePoint now = monotonic_now();
  slots_.tick(now);
  wire::FleetHeartbeat content;
  content.leaving = leaving_;
  content.wants_loads = slots_.decides_alone(now);
  if (auto heartbeat = state_.subscription.tick(now, content)) {
    send(std::move(*heartbeat));
  }
  search_.tick(now, state_.subscription);
  const bool has_lease = state_.subscription.has_lease(now);
  if (has_lease != had_lease_) {
    had_lease_ = has_lease;
    lease_.set_lease(now, has_lease);
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
    if (now - last_tick > kOwnPause) {
      // Answers that arrived meanwhile wait in the sockets. Judged before they are read, healthy groups would count as
      // stalled and their whole answers would be cut.
      state_.dispatcher.note_own_pause(now);
      relay_.sendings().abandon_overdue(now);
      log_problem(settings_.name, "stood_still", {{"for_ms", std::to_string((now - last_tick) / milliseconds(1))}});
    }
    last_tick = now;
    tick();
    relay_.sendings().abandon_stalled(monotonic_now());
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwait);
  }
}

asio::awaitable<void> EntryProcess::drain() {
  asio::steady_timer timer(executor_);
  const TimePoint deadline = monotonic_now() + settings_.stop_grace - kStopReserve;
  leaving_ = true;
  callers_.begin_draining();
  log_event(settings_.name, "draining", {{"requests", std::to_string(callers_.stats().active_requests)}});
  // The balancer reacts late: what it still sends here is served.
  timer.expires_after(kBalancerReaction);
  co_await timer.async_wait(kAwait);
  callers_.stop_accepting();
  while (callers_.stats().open_connections > 0 && monotonic_now() < deadline) {
    callers_.close_idle(kRestBeforeClose);
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwait);
  }
  log_event(settings_.name, "drained", {{"requests_left", std::to_string(callers_.stats().active_requests)}});
}

}  // namespace

std::unique_ptr<FleetProcess> make_entry_process(asio::any_io_executor executor,
                                                 const settings::FleetSettings& settings) {
  return std::make_unique<EntryProcess>(std::move(executor), settings);
}

}  // namespace larchlever::node
