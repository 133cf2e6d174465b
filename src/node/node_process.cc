#include "node/node_process.h"

#include "net/listener.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kDrainPoll = std::chrono::milliseconds(20);

net::HttpServerOptions server_options(const settings::RequestSettings& requests) {
  net::HttpServerOptions options;
  options.largest_body = requests.largest_body;
  options.largest_head = requests.largest_head;
  options.most_connections = requests.most_connections;
  return options;
}

}  // namespace

NodeProcess::NodeProcess(asio::any_io_executor executor, settings::NodeSettings settings)
    : settings_(std::move(settings)),
      executor_(executor),
      runtime_(executor, settings_),
      front_(runtime_),
      callers_(executor, server_options(settings_.requests), front_),
      admin_(runtime_, front_, callers_),
      operators_(executor, net::HttpServerOptions(), admin_) {}

bool NodeProcess::start(std::string& error) {
  const auto service = net::listen_on(callers_, settings_.service_address, error);
  const auto admin = service ? net::listen_on(operators_, settings_.admin_address, error) : std::nullopt;
  if (!admin || !runtime_.start(*service, error)) {
    return false;
  }
  service_address_ = *service;
  admin_address_ = *admin;
  log_event(settings_.name, "started",
            {{"zone", settings_.zone},
             {"service", service_address_},
             {"admin", admin_address_},
             {"peer", runtime_.peer_address()},
             {"data", settings_.data_folder.empty() ? "none" : settings_.data_folder}});
  return true;
}

asio::awaitable<void> NodeProcess::drain() {
  const auto await = asio::as_tuple(asio::use_awaitable);
  asio::steady_timer timer(executor_);
  front_.set_ready(false);
  log_event(settings_.name, "draining", {{"requests", std::to_string(front_.active())}});
  // The balancer reacts late: what it still sends here is served.
  timer.expires_after(settings_.unready_before_drain);
  co_await timer.async_wait(await);
  callers_.stop_accepting();
  const TimePoint deadline = NodeRuntime::now() + settings_.drain_timeout;
  while (front_.active() > 0 && NodeRuntime::now() < deadline) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(await);
  }
  runtime_.begin_leaving();
  while (!runtime_.controller().may_stop(NodeRuntime::now()) && NodeRuntime::now() < deadline) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(await);
  }
  log_event(settings_.name, "drained", {{"requests_left", std::to_string(front_.active())}});
}

void NodeProcess::stop() {
  callers_.close_all();
  operators_.close_all();
  runtime_.stop();
}

}  // namespace larchlever::node
