#include "node/node_process.h"

#include "net/listener.h"
#include "node/logging.h"

namespace larchlever::node {

namespace asio = boost::asio;

namespace {

constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);

net::HttpServerOptions server_options(const settings::RequestSettings& requests) {
  net::HttpServerOptions options;
  options.body_limit_bytes = requests.max_body_bytes;
  options.head_limit_bytes = requests.max_header_bytes;
  options.max_connections = requests.max_connections;
  return options;
}

}  // namespace

NodeProcess::NodeProcess(asio::any_io_executor executor, settings::NodeSettings settings)
    : settings_(std::move(settings)),
      executor_(executor),
      runtime_(executor, settings_),
      caller_api_(runtime_),
      caller_server_(executor, server_options(settings_.requests), caller_api_),
      admin_api_(runtime_, caller_api_, caller_server_),
      admin_server_(executor, net::HttpServerOptions(), admin_api_) {}

bool NodeProcess::start(std::string& error) {
  const auto service = net::listen_on(caller_server_, settings_.service_address, error);
  const auto admin = service ? net::listen_on(admin_server_, settings_.admin_address, error) : std::nullopt;
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
  const auto await_with_error = asio::as_tuple(asio::use_awaitable);
  asio::steady_timer timer(executor_);
  caller_api_.set_ready(false);
  log_event(settings_.name, "draining", {{"requests", std::to_string(caller_api_.active_requests())}});
  // The load balancer reacts with a delay; requests that it still sends are served.
  timer.expires_after(settings_.unready_before_drain);
  co_await timer.async_wait(await_with_error);
  caller_server_.stop_accepting();
  const TimePoint deadline = NodeRuntime::now() + settings_.drain_timeout;
  caller_api_.begin_shutdown(deadline);
  while (caller_api_.active_requests() > 0 && NodeRuntime::now() < deadline) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(await_with_error);
  }
  runtime_.begin_leaving();
  while (!runtime_.controller().may_stop(NodeRuntime::now()) && NodeRuntime::now() < deadline) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(await_with_error);
  }
  log_event(settings_.name, "drained", {{"requests_left", std::to_string(caller_api_.active_requests())}});
}

void NodeProcess::stop() {
  caller_server_.close_all();
  admin_server_.close_all();
  runtime_.stop();
}

}  // namespace larchlever::node
