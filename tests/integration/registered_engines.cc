#include "registered_engines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json.hpp>

#include "core/base/http_status.h"
#include "net/listener.h"
#include "node/clock.h"
#include "node/dialect.h"
#include "server_reports.h"

namespace larchlever::integration {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr int kPort = 9000;
/// Servers that return under their id have called this often in their first life, as after some minutes.
constexpr int64_t kCallsBeforeTest = 1000;
constexpr auto kReportTimeout = std::chrono::seconds(1);
constexpr auto kReporterPause = std::chrono::milliseconds(20);

fleet::OrderKind kind_of(const std::string& operation) {
  if (operation == "join") {
    return fleet::OrderKind::kJoin;
  }
  if (operation == "open") {
    return fleet::OrderKind::kOpen;
  }
  return operation == "leave" ? fleet::OrderKind::kLeave : fleet::OrderKind::kStage;
}

std::string text_of(const json::object& body, const char* key) {
  const auto* value = body.if_contains(key);
  return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

std::string name_of(wire::MembershipState::type state) {
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

std::string registration_of(const wire::Instance& instance, int slots, int64_t cold_left_ms,
                            std::optional<int64_t> born_ms) {
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
  if (born_ms) {
    body["born"] = *born_ms;
  }
  const auto& membership = instance.membership;
  if (!membership.group.empty()) {
    body["group"] = json::object{{"name", membership.group},
                                 {"epoch", membership.epoch},
                                 {"rank", membership.rank},
                                 {"state", name_of(membership.state)}};
  }
  return json::serialize(body);
}

}  // namespace

/// One server: its state in a group under a lock, since reports are made on another thread than calls are served on.
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
  ~Server() override { destroy_on_its_thread(engines_.client_, server_); }

  asio::awaitable<void> handle(net::HttpExchange& exchange) override {
    if (exchange.request().path() == dialect_.engine_order_path) {
      co_await take_order(exchange);
    } else {
      co_await serve(exchange);
    }
  }

  std::string id() {
    const std::lock_guard lock(mutex_);
    return instance_.id();
  }
  /// Starts again when its time has come after an end.
  void restart_if_due() {
    {
      const std::lock_guard lock(mutex_);
      if (!down_until_ || node::monotonic_now() < *down_until_) {
        return;
      }
      ++starts_;
      const bool keeps_id = engines_.options_.keeps_id;
      instance_ = simulation::SimulatedInstance(keeps_id ? first_id_ : first_id_ + "-" + std::to_string(starts_),
                                                instance_.address(), instance_.domain(), instance_.staged());
      born_ms_ = unix_milliseconds();
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
  /// True when this server leads an open group of the model; it then turns every request away from now on.
  bool ask_for_rest(const std::string& model, const std::string& retry_after) {
    const std::lock_guard lock(mutex_);
    instance_.advance(node::monotonic_now());
    if (down_until_ || !instance_.is_open_head() || instance_.model() != model) {
      return false;
    }
    rest_asked_ = retry_after;
    return true;
  }
  /// True when this server leads an open group of the model; it then names this limit in every answer from now on.
  bool name_limit(const std::string& model, const std::string& per_second) {
    const std::lock_guard lock(mutex_);
    instance_.advance(node::monotonic_now());
    if (down_until_ || !instance_.is_open_head() || instance_.model() != model) {
      return false;
    }
    limits_.set(per_second);
    has_named_limit_ = true;
    return true;
  }
  bool has_named_limit() {
    const std::lock_guard lock(mutex_);
    return has_named_limit_;
  }
  void lift_limit() { limits_.set(""); }
  LimitedHead limited_head() const { return {arrivals_.all(), limits_.phases()}; }
  /// The group of which this server is a member; empty for none, and while it is down.
  std::string group() {
    const std::lock_guard lock(mutex_);
    return down_until_ ? std::string() : instance_.membership().group;
  }
  bool is_in_group() { return !group().empty(); }
  bool has_restarted() {
    const std::lock_guard lock(mutex_);
    return !down_until_ && starts_ > 1;
  }
  /// A start begins with empty accelerators: who holds weights was ordered to join a group since.
  bool holds_weights() {
    const std::lock_guard lock(mutex_);
    return !instance_.model().empty();
  }
  /// The next report, when one is due.
  std::optional<std::string> report() {
    const std::lock_guard lock(mutex_);
    const TimePoint now = node::monotonic_now();
    if (down_until_) {
      return std::nullopt;
    }
    instance_.advance(now);
    if (now < next_report_ && !instance_.has_unreported_changes()) {
      return std::nullopt;
    }
    next_report_ = now + engines_.options_.heartbeat_interval;
    auto instance = instance_.take_report();
    instance.zone = zone_;
    const int64_t cold_left_ms = std::max<int64_t>(0, (cold_until_ - now) / std::chrono::milliseconds(1));
    if (!engines_.options_.keeps_id) {
      return registration_of(instance, 8, cold_left_ms, std::nullopt);
    }
    instance.call_number += starts_ == 1 ? kCallsBeforeTest : 0;
    return registration_of(instance, 8, cold_left_ms, born_ms_);
  }
  const std::string& zone() const { return zone_; }
  std::vector<Arrival> arrivals() const { return arrivals_.all(); }
  /// Told with the next report, which is due at once.
  void turn_cold(std::chrono::milliseconds time) {
    const std::lock_guard lock(mutex_);
    cold_until_ = node::monotonic_now() + time;
    next_report_ = TimePoint{};
  }

 private:
  void listen() {
    asio::post(engines_.client_.context(), asio::use_future([this] {
                 std::string error;
                 EXPECT_TRUE(net::listen_on(*server_, instance_.address(), error)) << error;
               }))
        .get();
  }

  std::string rest_asked() {
    const std::lock_guard lock(mutex_);
    return rest_asked_;
  }

  /// As when the process dies: every connection is dropped, and new ones are refused.
  void end() {
    const std::lock_guard lock(mutex_);
    if (down_until_) {
      return;
    }
    down_until_ = node::monotonic_now() + engines_.options_.restart_time;
    server_->close_all();
    const std::lock_guard record(engines_.record_mutex_);
    engines_.ends_.push_back(std::chrono::steady_clock::now());
  }

  asio::awaitable<void> take_order(net::HttpExchange& exchange) {
    const auto body = json::parse(exchange.request().body).as_object();
    fleet::InstanceOrder order;
    order.kind = kind_of(text_of(body, "operation"));
    order.group = text_of(body, "group");
    order.epoch = body.at("epoch").to_number<int64_t>();
    order.model = text_of(body, "model");
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

  asio::awaitable<void> serve(net::HttpExchange& exchange) {
    net::HttpResponse head;
    head.headers.add(dialect_.request_id_header,
                     std::string(exchange.request().headers.find(dialect_.request_id_header)));
    if (!is_open_head()) {
      ++engines_.misdirected_;
      head.status = http_status::kMisdirectedRequest;
      head.headers.add(dialect_.not_run_header, "1");
      co_await exchange.respond(std::move(head));
      co_return;
    }
    const std::string limit = limits_.for_answer();
    arrivals_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), false, !limit.empty());
    if (!limit.empty()) {
      head.headers.add(dialect_.limit_header, limit);
    }
    const std::string rest = rest_asked();
    if (!rest.empty()) {
      engines_.turned_away_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), true);
      head.status = http_status::kServiceUnavailable;
      head.headers.add(dialect_.not_run_header, "1");
      head.headers.add("Retry-After", rest);
      co_await exchange.respond(std::move(head));
      co_return;
    }
    const bool ends_server =
        !engines_.options_.ending_body.empty() && exchange.request().body == engines_.options_.ending_body;
    if (ends_server) {
      const std::lock_guard record(engines_.record_mutex_);
      engines_.ending_arrivals_.push_back(std::chrono::steady_clock::now());
    }
    const bool breaks_off =
        !engines_.options_.breaking_body.empty() && exchange.request().body == engines_.options_.breaking_body;
    int events = engines_.options_.events;
    if (breaks_off) {
      const auto& before_breaks = engines_.options_.events_before_breaks;
      const size_t number = engines_.broken_off_.all().size();
      events = number < before_breaks.size() ? before_breaks[number] : 0;
      engines_.broken_off_.add(std::string(exchange.request().headers.find(dialect_.request_id_header)), false);
    }
    ++engines_.served_;
    head.headers.add(dialect_.signature_header, "signed-" + id());
    head.headers.add("Content-Type", "text/event-stream");
    co_await exchange.begin_stream(head);
    asio::steady_timer timer(engines_.client_.context());
    const auto await = asio::as_tuple(asio::use_awaitable);
    for (int event = 1; event <= events; ++event) {
      timer.expires_after(engines_.options_.event_pause);
      co_await timer.async_wait(await);
      const std::string piece = "id: " + std::to_string(event) + "\ndata: token\n\n";
      if (!co_await exchange.write_piece(piece)) {
        co_return;
      }
      if (ends_server) {
        end();
        co_return;
      }
    }
    if (!breaks_off) {
      co_await exchange.end_stream();
    }
  }

  RegisteredEngines& engines_;
  const node::Dialect& dialect_;
  std::string zone_;
  ArrivalRecord arrivals_;
  std::mutex mutex_;
  std::string first_id_;
  int starts_ = 1;
  int64_t born_ms_ = unix_milliseconds();
  /// While the server is down, when it starts again.
  std::optional<TimePoint> down_until_;
  simulation::SimulatedInstance instance_;
  TimePoint next_report_{};
  TimePoint cold_until_{};
  std::string rest_asked_;
  NamedLimits limits_;
  bool has_named_limit_ = false;
  std::unique_ptr<net::HttpServer> server_;
};

RegisteredEngines::RegisteredEngines(const Options& options, const FleetNodeProcesses& fleet)
    : RegisteredEngines(options, fleet.engine_addresses(options.domains * options.servers_per_domain),
                        fleet.control_endpoints()) {}

RegisteredEngines::RegisteredEngines(const Options& options, const std::vector<std::string>& addresses,
                                     std::vector<std::string> controls)
    : options_(options), controls_(std::move(controls)) {
  for (size_t number = 0; number < addresses.size(); ++number) {
    const size_t domain = number / static_cast<size_t>(options_.servers_per_domain);
    servers_.push_back(std::make_unique<Server>(
        *this, "i" + std::to_string(number + 1), addresses[number] + ":" + std::to_string(kPort),
        "d" + std::to_string(domain), options_.zones[domain % options_.zones.size()]));
  }
  reporter_ = std::thread([this] { keep_reporting(); });
}

RegisteredEngines::~RegisteredEngines() {
  stopped_ = true;
  reporter_.join();
  servers_.clear();
}

int RegisteredEngines::open_groups() {
  int count = 0;
  for (const auto& server : servers_) {
    count += server->is_open_head() ? 1 : 0;
  }
  return count;
}

std::vector<RegisteredEngines::Moment> RegisteredEngines::ending_arrivals() {
  const std::lock_guard record(record_mutex_);
  return ending_arrivals_;
}

std::vector<RegisteredEngines::Moment> RegisteredEngines::ends() {
  const std::lock_guard record(record_mutex_);
  return ends_;
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

void RegisteredEngines::turn_cold(const std::string& zone, std::chrono::milliseconds time) {
  for (const auto& server : servers_) {
    if (server->zone() == zone) {
      server->turn_cold(time);
    }
  }
}

void RegisteredEngines::ask_one_head_for_rest(const std::string& model, const std::string& retry_after) {
  const bool found = std::any_of(servers_.begin(), servers_.end(),
                                 [&](const auto& server) { return server->ask_for_rest(model, retry_after); });
  EXPECT_TRUE(found) << "no open group of " << model;
}

void RegisteredEngines::name_limit_at_heads(const std::string& model, const std::string& per_second,
                                            size_t most_heads) {
  size_t heads = 0;
  for (const auto& server : servers_) {
    if (heads < most_heads && server->name_limit(model, per_second)) {
      ++heads;
    }
  }
  EXPECT_GT(heads, 0U) << "no open group of " << model;
}

void RegisteredEngines::lift_limits() {
  for (const auto& server : servers_) {
    if (server->has_named_limit()) {
      server->lift_limit();
    }
  }
}

std::vector<RegisteredEngines::LimitedHead> RegisteredEngines::limited_heads() {
  std::vector<LimitedHead> result;
  for (const auto& server : servers_) {
    if (server->has_named_limit()) {
      result.push_back(server->limited_head());
    }
  }
  return result;
}

int RegisteredEngines::servers_in_groups() {
  return static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& server) { return server->is_in_group(); }));
}

int RegisteredEngines::servers_in_serving_groups() {
  std::set<std::string> serving;
  for (const auto& server : servers_) {
    if (server->is_open_head()) {
      serving.insert(server->group());
    }
  }
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(),
                                        [&](const auto& server) { return serving.contains(server->group()); }));
}

int RegisteredEngines::restarted_servers() {
  return static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(), [](const auto& server) { return server->has_restarted(); }));
}

int RegisteredEngines::restarted_servers_with_weights() {
  return static_cast<int>(std::count_if(servers_.begin(), servers_.end(), [](const auto& server) {
    return server->has_restarted() && server->holds_weights();
  }));
}

void RegisteredEngines::keep_reporting() {
  ReportSender reports(controls_, kReportTimeout);
  while (!stopped_) {
    for (const auto& server : servers_) {
      server->restart_if_due();
      if (const auto report = server->report()) {
        reports.send(client_, server->id(), *report);
      }
    }
    std::this_thread::sleep_for(kReporterPause);
  }
}

}  // namespace larchlever::integration
