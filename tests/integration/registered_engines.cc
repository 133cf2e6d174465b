#include "registered_engines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <random>

#include "core/base/http_status.h"
#include "core/base/scope_exit.h"
#include "net/listener.h"
#include "node/clock.h"
#include "node/dialect.h"
#include "server_reports.h"

namespace larchlever::integration {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int kEnginePort = 9000;
/// Added to the call numbers of a server before its first restart, as if it had been running for some minutes. Used
/// with `keeps_id_on_restart`.
constexpr int64_t kFirstLifeCallNumberOffset = 1000;
constexpr auto kReportTimeout = std::chrono::seconds(1);
constexpr auto kSilencePollInterval = std::chrono::milliseconds(10);
constexpr auto kReportPollInterval = std::chrono::milliseconds(20);

fleet::OrderKind order_kind(const std::string& operation) {
  if (operation == "join") {
    return fleet::OrderKind::kJoin;
  }
  if (operation == "open") {
    return fleet::OrderKind::kOpen;
  }
  return operation == "leave" ? fleet::OrderKind::kLeave : fleet::OrderKind::kStage;
}

std::string string_field(const json::object& body, const char* key) {
  const auto* value = body.if_contains(key);
  return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

std::string membership_state_name(wire::MembershipState::type state) {
  switch (state) {
    case wire::MembershipState::JOINING:
      return "joining";
    case wire::MembershipState::READY:
      return "ready";
    case wire::MembershipState::OPEN:
      return "open";
    case wire::MembershipState::CLOSING:
      return "closing";
    case wire::MembershipState::BROKEN:
      return "broken";
    default:
      return "none";
  }
}

int64_t unix_milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string registration_body(const wire::Instance& instance, int slots, int64_t cold_left_ms,
                              std::optional<int64_t> start_time_ms) {
  json::object body{{"service", instance.service_name},
                    {"address", instance.address},
                    {"zone", instance.zone},
                    {"version", "v1"},
                    {"domain", instance.domain},
                    {"slots", slots},
                    {"state", "ready"},
                    {"cold_left_ms", cold_left_ms},
                    {"call_seq", instance.call_number},
                    {"staged", json::value_from(instance.staged_models)}};
  if (!instance.model.empty()) {
    body["models"] = json::array{json::object{{"name", instance.model}, {"version", 1}}};
  }
  if (start_time_ms) {
    body["born"] = *start_time_ms;
  }
  const auto& membership = instance.membership;
  if (!membership.group.empty()) {
    body["group"] = json::object{{"name", membership.group},
                                 {"epoch", membership.epoch},
                                 {"rank", membership.rank},
                                 {"state", membership_state_name(membership.state)}};
  }
  return json::serialize(body);
}

}  // namespace

/// One engine server. Its group state is guarded by a lock, since reports are made on a different thread than the one
/// that handles requests.
class RegisteredEngines::Server : public net::HttpHandler {
 public:
  Server(RegisteredEngines& engines, const std::string& id, const std::string& address, const std::string& domain,
         const std::string& zone)
      : engines_(engines),
        dialect_(*node::find_dialect("larchlever")),
        zone_(zone),
        first_id_(id),
        instance_(id, address, domain, {}),
        server_(std::make_unique<net::HttpServer>(engines.client_.context().get_executor(), net::HttpServerOptions(),
                                                  *this)) {
    listen();
  }
  ~Server() override { destroy_server_on_client_thread(engines_.client_, server_); }

  asio::awaitable<void> handle(net::HttpExchange& exchange) override {
    const auto path = exchange.request().path();
    const bool is_request = path != dialect_.engine_order_path && path != dialect_.engine_report_path;
    engines_.received_count_ += is_request ? 1 : 0;
    co_await wait_while_silent();
    if (exchange.request().path() == dialect_.engine_order_path) {
      co_await handle_order(exchange);
    } else if (exchange.request().path() == dialect_.engine_report_path) {
      co_await exchange.respond(net::HttpResponse());
    } else {
      co_await serve(exchange);
    }
  }

  std::string id() {
    const std::lock_guard lock(mutex_);
    return instance_.id();
  }
  /// Restarts the server if it has crashed and its downtime is over.
  void restart_if_due() {
    {
      const std::lock_guard lock(mutex_);
      if (!down_until_ || node::monotonic_now() < *down_until_) {
        return;
      }
      ++start_count_;
      const bool keeps_id = engines_.options_.keeps_id_on_restart;
      instance_ = simulation::SimulatedInstance(keeps_id ? first_id_ : first_id_ + "-" + std::to_string(start_count_),
                                                instance_.address(), instance_.domain(), instance_.staged());
      start_time_ms_ = unix_milliseconds();
      next_report_ = TimePoint{};
      down_until_.reset();
    }
    listen();
  }
  bool is_open_head() {
    const std::lock_guard lock(mutex_);
    instance_.advance(node::monotonic_now());
    return !down_until_ && instance_.is_open_head();
  }
  /// If this server is the head of an open group of the model, rejects every request from now on and returns true.
  bool reject_with_retry_after(const std::string& model, const std::string& retry_after) {
    const std::lock_guard lock(mutex_);
    instance_.advance(node::monotonic_now());
    if (down_until_ || !instance_.is_open_head() || instance_.model() != model) {
      return false;
    }
    current_retry_after_ = retry_after;
    return true;
  }
  /// If this server is the head of an open group of the model, announces this rate limit in every response from now on
  /// and returns true.
  bool announce_rate_limit(const std::string& model, const std::string& per_second) {
    const std::lock_guard lock(mutex_);
    instance_.advance(node::monotonic_now());
    if (down_until_ || !instance_.is_open_head() || instance_.model() != model) {
      return false;
    }
    rate_limits_.set(per_second);
    has_announced_limit_ = true;
    return true;
  }
  bool has_announced_limit() {
    const std::lock_guard lock(mutex_);
    return has_announced_limit_;
  }
  void withdraw_rate_limit() { rate_limits_.set(""); }
  RateLimitedHead rate_limit_history() const { return {arrivals_.all(), rate_limits_.phases()}; }
  /// Name of the group of this server; empty if it has none or is down.
  std::string group() {
    const std::lock_guard lock(mutex_);
    return down_until_ ? std::string() : instance_.membership().group;
  }
  bool is_in_group() { return !group().empty(); }
  bool has_restarted() {
    const std::lock_guard lock(mutex_);
    return !down_until_ && start_count_ > 1;
  }
  /// A restarted server has no weights until it is ordered to join a group.
  bool holds_weights() {
    const std::lock_guard lock(mutex_);
    return !instance_.model().empty();
  }
  /// The next registration report, if one is due.
  std::optional<std::string> report() {
    const std::lock_guard lock(mutex_);
    const TimePoint now = node::monotonic_now();
    if (down_until_ || now < silent_until_) {
      return std::nullopt;
    }
    instance_.advance(now);
    if (now < next_report_ && !instance_.has_unreported_changes()) {
      return std::nullopt;
    }
    next_report_ = now + engines_.options_.heartbeat_interval;
    auto instance = instance_.take_report();
    instance.zone = zone_;
    if (engines_.options_.reported_address) {
      instance.address = engines_.options_.reported_address(instance.address);
    }
    const int64_t cold_left_ms = std::max<int64_t>(0, (cold_until_ - now) / std::chrono::milliseconds(1));
    if (!engines_.options_.keeps_id_on_restart) {
      return registration_body(instance, 8, cold_left_ms, std::nullopt);
    }
    instance.call_number += start_count_ == 1 ? kFirstLifeCallNumberOffset : 0;
    return registration_body(instance, 8, cold_left_ms, start_time_ms_);
  }
  const std::string& zone() const { return zone_; }
  std::vector<Arrival> arrivals() const { return arrivals_.all(); }
  /// Makes the next report due at once, in which the server says that it is cold.
  void report_cold_for(std::chrono::milliseconds time) {
    const std::lock_guard lock(mutex_);
    cold_until_ = node::monotonic_now() + time;
    next_report_ = TimePoint{};
  }
  void silence_for(Duration time) {
    const std::lock_guard lock(mutex_);
    silent_until_ = std::max(silent_until_, node::monotonic_now() + time);
  }
  int running_stream_count() const { return running_stream_count_; }
  /// Crashes the server from another thread than the one that handles requests.
  void crash_from_outside() {
    asio::post(engines_.client_.context(), asio::use_future([this] { crash(); })).get();
  }

 private:
  void listen() {
    asio::post(engines_.client_.context(), asio::use_future([this] {
                 std::string error;
                 EXPECT_TRUE(net::listen_on(*server_, instance_.address(), error)) << error;
               }))
        .get();
  }

  std::string current_retry_after() {
    const std::lock_guard lock(mutex_);
    return current_retry_after_;
  }

  /// Drops every connection and refuses new ones, as if the process had died.
  void crash() {
    const std::lock_guard lock(mutex_);
    if (down_until_) {
      return;
    }
    down_until_ = node::monotonic_now() + engines_.options_.restart_delay;
    server_->close_all();
    const std::lock_guard record(engines_.record_mutex_);
    engines_.crash_times_.push_back(std::chrono::steady_clock::now());
  }

  bool is_silent() {
    const std::lock_guard lock(mutex_);
    return node::monotonic_now() < silent_until_;
  }

  /// Returns early if the engines are being destroyed.
  asio::awaitable<void> wait_while_silent() {
    asio::steady_timer timer(engines_.client_.context());
    const auto await = asio::as_tuple(asio::use_awaitable);
    while (is_silent() && !engines_.stopped_) {
      timer.expires_after(kSilencePollInterval);
      co_await timer.async_wait(await);
    }
  }

  asio::awaitable<void> handle_order(net::HttpExchange& exchange) {
    const auto body = json::parse(exchange.request().body).as_object();
    fleet::InstanceOrder order;
    order.kind = order_kind(string_field(body, "operation"));
    order.group = string_field(body, "group");
    order.epoch = body.at("epoch").to_number<int64_t>();
    order.model = string_field(body, "model");
    if (const auto* members = body.if_contains("members")) {
      order.members = json::value_to<std::vector<std::string>>(*members);
    }
    net::HttpResponse response;
    {
      const std::lock_guard lock(mutex_);
      response.status = instance_.execute_order(node::monotonic_now(), order, engines_.options_.join_time);
    }
    co_await exchange.respond(std::move(response));
  }

  /// Sends pieces of an event until the connection closes.
  asio::awaitable<void> send_without_end(net::HttpExchange& exchange, std::string piece) {
    asio::steady_timer timer(engines_.client_.context());
    while (co_await exchange.write_piece(piece)) {
      timer.expires_after(engines_.options_.event_pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  bool crashes(const net::HttpRequest& request) const {
    const auto& options = engines_.options_;
    const auto parts = request.headers.find(dialect_.prompt_parts_header);
    return (!options.crash_body.empty() && request.body == options.crash_body) ||
           (!options.crash_prompt_part.empty() &&
            parts.find(options.crash_prompt_part + ":") != std::string_view::npos);
  }

  asio::awaitable<void> serve(net::HttpExchange& exchange) {
    net::HttpResponse response_head;
    response_head.headers.add(dialect_.request_id_header,
                              std::string(exchange.request().headers.find(dialect_.request_id_header)));
    if (!is_open_head()) {
      ++engines_.misdirected_;
      response_head.status = http_status::kMisdirectedRequest;
      response_head.headers.add(dialect_.not_run_header, "1");
      co_await exchange.respond(std::move(response_head));
      co_return;
    }
    const std::string limit = rate_limits_.for_next_response();
    arrivals_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), false, !limit.empty());
    if (!limit.empty()) {
      response_head.headers.add(dialect_.limit_header, limit);
    }
    const std::string retry_after_header = current_retry_after();
    if (!retry_after_header.empty()) {
      engines_.rejected_arrivals_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), true);
      response_head.status = http_status::kServiceUnavailable;
      response_head.headers.add(dialect_.not_run_header, "1");
      response_head.headers.add("Retry-After", retry_after_header);
      co_await exchange.respond(std::move(response_head));
      co_return;
    }
    const bool crashes_server = crashes(exchange.request());
    if (crashes_server) {
      const std::lock_guard record(engines_.record_mutex_);
      engines_.crash_request_arrivals_.push_back(std::chrono::steady_clock::now());
    }
    const bool aborts_stream =
        !engines_.options_.abort_body.empty() && exchange.request().body == engines_.options_.abort_body;
    int events = engines_.options_.events;
    if (aborts_stream) {
      const auto& events_by_server = engines_.options_.events_before_aborts;
      const size_t number = engines_.aborted_streams_.all().size();
      events = number < events_by_server.size() ? events_by_server[number] : 0;
      engines_.aborted_streams_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), false);
    }
    const auto endless_event = engines_.options_.endless_events.find(exchange.request().body);
    const bool is_endless = endless_event != engines_.options_.endless_events.end() &&
                            !exchange.request().headers.contains(dialect_.last_event_id_header);
    ++engines_.served_count_;
    response_head.headers.add(dialect_.signature_header, "signed-" + id());
    response_head.headers.add("Content-Type", "text/event-stream");
    const std::string group_at_start = group();
    ++running_stream_count_;
    const ScopeExit count_end([this] { --running_stream_count_; });
    if (engines_.options_.ends_streams_on_leave) {
      exchange.notify_on_disconnect([] {});  // Enables `caller_disconnected()`.
    }
    co_await exchange.begin_stream(response_head);
    asio::steady_timer timer(engines_.client_.context());
    const auto await = asio::as_tuple(asio::use_awaitable);
    for (int event = 1; event <= events; ++event) {
      timer.expires_after(engines_.options_.event_pause);
      co_await timer.async_wait(await);
      co_await wait_while_silent();
      if (engines_.options_.ends_streams_on_leave && group() != group_at_start) {
        engines_.streams_ended_by_leave_ += exchange.caller_disconnected() ? 0 : 1;
        co_return;
      }
      const std::string piece = "id: " + std::to_string(event) + "\ndata: token\n\n";
      if (!co_await exchange.write_piece(piece)) {
        co_return;
      }
      if (crashes_server) {
        crash();
        co_return;
      }
      if (is_endless) {
        co_await send_without_end(exchange, endless_event->second);
        co_return;
      }
    }
    if (!aborts_stream) {
      co_await wait_while_silent();
      co_await exchange.end_stream();
    }
  }

  RegisteredEngines& engines_;
  const node::Dialect& dialect_;
  std::string zone_;
  ArrivalRecord arrivals_;
  std::mutex mutex_;
  std::string first_id_;
  int start_count_ = 1;
  int64_t start_time_ms_ = unix_milliseconds();
  /// Time of the restart; set while the server is down.
  std::optional<TimePoint> down_until_;
  simulation::SimulatedInstance instance_;
  TimePoint next_report_{};
  TimePoint cold_until_{};
  TimePoint silent_until_{};
  std::atomic<int> running_stream_count_ = 0;
  std::string current_retry_after_;
  AnnouncedRateLimits rate_limits_;
  bool has_announced_limit_ = false;
  std::unique_ptr<net::HttpServer> server_;
};

RegisteredEngines::RegisteredEngines(const Options& options, const FleetNodeProcesses& fleet)
    : RegisteredEngines(options, fleet.engine_addresses(options.domains * options.servers_per_domain),
                        fleet.control_endpoints()) {}

RegisteredEngines::RegisteredEngines(const Options& options, const std::vector<std::string>& addresses,
                                     std::vector<std::string> control_replica_endpoints)
    : options_(options), control_endpoints_(std::move(control_replica_endpoints)) {
  for (size_t number = 0; number < addresses.size(); ++number) {
    const size_t domain = number / static_cast<size_t>(options_.servers_per_domain);
    servers_.push_back(std::make_unique<Server>(
        *this, "i" + std::to_string(number + 1), addresses[number] + ":" + std::to_string(kEnginePort),
        "d" + std::to_string(domain), options_.zones[domain % options_.zones.size()]));
  }
  reporter_ = std::thread([this] { report_until_stopped(); });
}

RegisteredEngines::~RegisteredEngines() {
  stopped_ = true;
  reporter_.join();
  servers_.clear();
}

int RegisteredEngines::open_group_count() {
  int count = 0;
  for (const auto& server : servers_) {
    count += server->is_open_head() ? 1 : 0;
  }
  return count;
}

std::vector<RegisteredEngines::Timestamp> RegisteredEngines::crash_request_arrivals() {
  const std::lock_guard record(record_mutex_);
  return crash_request_arrivals_;
}

std::vector<RegisteredEngines::Timestamp> RegisteredEngines::crash_times() {
  const std::lock_guard record(record_mutex_);
  return crash_times_;
}

std::vector<Arrival> RegisteredEngines::arrivals_in(const std::string& zone) {
  std::vector<Arrival> result;
  for (const auto& server : servers_) {
    if (server->zone() == zone) {
      const auto arrivals = server->arrivals();
      result.insert(result.end(), arrivals.begin(), arrivals.end());
    }
  }
  return result;
}

void RegisteredEngines::report_cold_for(const std::string& zone, std::chrono::milliseconds time) {
  for (const auto& server : servers_) {
    if (server->zone() == zone) {
      server->report_cold_for(time);
    }
  }
}

void RegisteredEngines::make_one_head_reject(const std::string& model, const std::string& retry_after) {
  const bool found = std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
    return server->reject_with_retry_after(model, retry_after);
  });
  EXPECT_TRUE(found) << "no open group of " << model;
}

void RegisteredEngines::announce_rate_limit_at_heads(const std::string& model, const std::string& per_second,
                                                     size_t max_heads) {
  size_t heads = 0;
  for (const auto& server : servers_) {
    if (heads < max_heads && server->announce_rate_limit(model, per_second)) {
      ++heads;
    }
  }
  EXPECT_GT(heads, 0U) << "no open group of " << model;
}

void RegisteredEngines::withdraw_rate_limits() {
  for (const auto& server : servers_) {
    if (server->has_announced_limit()) {
      server->withdraw_rate_limit();
    }
  }
}

std::vector<RegisteredEngines::RateLimitedHead> RegisteredEngines::rate_limited_heads() {
  std::vector<RateLimitedHead> result;
  for (const auto& server : servers_) {
    if (server->has_announced_limit()) {
      result.push_back(server->rate_limit_history());
    }
  }
  return result;
}

void RegisteredEngines::silence_all(std::chrono::milliseconds time) {
  for (const auto& server : servers_) {
    server->silence_for(time);
  }
}

void RegisteredEngines::silence_open_heads(double share, std::chrono::milliseconds time, uint64_t seed) {
  std::vector<Server*> heads;
  for (const auto& server : servers_) {
    if (server->is_open_head()) {
      heads.push_back(server.get());
    }
  }
  std::mt19937_64 random(seed);
  std::shuffle(heads.begin(), heads.end(), random);
  heads.resize(static_cast<size_t>(std::ceil(share * static_cast<double>(heads.size()))));
  for (auto* head : heads) {
    head->silence_for(time);
  }
}

int RegisteredEngines::crash_member_of_busiest_group() {
  const auto busiest = std::max_element(servers_.begin(), servers_.end(), [](const auto& left, const auto& right) {
    return left->running_stream_count() < right->running_stream_count();
  });
  const auto& head = *busiest;
  const auto member = std::find_if(servers_.begin(), servers_.end(), [&](const auto& server) {
    return server != head && server->is_in_group() && server->group() == head->group();
  });
  if (member == servers_.end()) {
    ADD_FAILURE() << "the busiest group has no other member";
    return 0;
  }
  head->silence_for(options_.restart_delay);
  (*member)->crash_from_outside();
  return head->running_stream_count();
}

int RegisteredEngines::running_stream_count() {
  int count = 0;
  for (const auto& server : servers_) {
    count += server->running_stream_count();
  }
  return count;
}

std::set<std::string> RegisteredEngines::open_groups() {
  std::set<std::string> result;
  for (const auto& server : servers_) {
    if (server->is_open_head()) {
      result.insert(server->group());
    }
  }
  return result;
}

int RegisteredEngines::count_servers_in_groups() {
  return static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& server) { return server->is_in_group(); }));
}

int RegisteredEngines::count_servers_in_serving_groups() {
  std::set<std::string> serving;
  for (const auto& server : servers_) {
    if (server->is_open_head()) {
      serving.insert(server->group());
    }
  }
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                        [&](const auto& server) { return serving.contains(server->group()); }));
}

int RegisteredEngines::count_restarted_servers() {
  return static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& server) { return server->has_restarted(); }));
}

int RegisteredEngines::count_restarted_servers_with_weights() {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return server->has_restarted() && server->holds_weights();
  }));
}

void RegisteredEngines::report_until_stopped() {
  ReportSender reports(control_endpoints_, kReportTimeout);
  while (!stopped_) {
    for (const auto& server : servers_) {
      server->restart_if_due();
      if (const auto report = server->report()) {
        reports.send(client_, server->id(), *report);
      }
    }
    std::this_thread::sleep_for(kReportPollInterval);
  }
}

}  // namespace larchlever::integration
