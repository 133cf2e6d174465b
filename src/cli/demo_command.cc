#include <unistd.h>

#include <boost/asio.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "cli/region_bootstrap.h"
#include "emulator/emulated_fleet.h"
#include "node/logging.h"
#include "node/node_process.h"
#include "settings/change_file.h"
#include "settings/node_settings.h"

namespace larchlever::cli {

namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace {

constexpr int kNodeCount = 9;
constexpr int kControlNodeCount = 5;
constexpr int kZoneCount = 3;
constexpr auto kAwaitWithErrorTuple = asio::as_tuple(asio::use_awaitable);
constexpr const char* kZoneNames[kZoneCount] = {"ljubljana", "celje", "koper"};

constexpr const char* kFleetSettingsText = R"(
[fleet]
membership_lag_ms = 1000
weight_transfers_at_once = 6
weight_transfer_ms = 500

[zone ljubljana]
domains = 2
machines_per_domain = 3
kind = fenced

[zone celje]
domains = 2
machines_per_domain = 2
kind = fenced

[zone koper]
domains = 1
machines_per_domain = 3
kind = basic

[service forms]
zone = ljubljana
ports = 0, 0, 0
)";

constexpr const char* kChangeFileText = R"(
[template census]
model = census
version = 1
adapters = letters, codes
machines_per_group = 2
repeat = unsafe

[tenant ljubljana-office]
template = census
zones = ljubljana
adapters = letters, codes
share_percent = 40
max_concurrent = 64

[tenant coast-office]
template = census
zones = celje, koper
adapters = letters
share_percent = 40
max_concurrent = 32

[parameter fleet]
placement_policy = spare_aware
downtime_weight = 70
)";

std::string loopback_address(int port_block, int node) {
  const int port = FLAGS_port_base == 0 ? 0 : FLAGS_port_base + 100 * port_block + node;
  return "127.0.0.1:" + std::to_string(port);
}

/// Peer address of a node. With --port_base=0 picks a free port, because control nodes need the peer addresses of all
/// others before any of them starts.
std::string peer_address(int node) {
  if (FLAGS_port_base != 0) {
    return loopback_address(2, node);
  }
  asio::io_context context;
  asio::ip::tcp::acceptor port_probe(context, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(port_probe.local_endpoint().port());
}

std::string node_name(int node) { return "n" + std::to_string(node); }

settings::NodeSettings node_settings(int node, const std::map<std::string, std::string>& control_nodes,
                                     const fs::path& data_root, const std::string& membership_list) {
  settings::NodeSettings settings;
  settings.name = node_name(node);
  settings.zone = kZoneNames[(node - 1) % kZoneCount];
  settings.control_nodes = control_nodes;
  for (const auto& [name, endpoint] : control_nodes) {
    settings.controller.control_nodes.push_back(name);
  }
  const auto peer = control_nodes.find(settings.name);
  settings.peer_address = peer == control_nodes.end() ? peer_address(node) : peer->second;
  settings.service_address = loopback_address(0, node);
  settings.admin_address = loopback_address(1, node);
  if (peer != control_nodes.end()) {
    settings.data_folder = data_root / settings.name;
  }
  settings.membership_list = membership_list;
  settings.kinds_without_fences = {"basic"};
  return settings;
}

std::string change_file_text(const emulator::EmulatedFleet& fleet) {
  std::string text = kChangeFileText;
  text += "\n[service forms]\npath_prefix = /forms\nzones = ljubljana\nendpoints = ";
  for (const auto& endpoint : fleet.service_endpoints("forms")) {
    text += endpoint + ", ";
  }
  return text + "\n";
}

class Demo {
 public:
  explicit Demo(asio::io_context& context) : context_(context) {}

  bool start(std::string& error) {
    std::vector<std::string> errors;
    auto fleet = emulator::parse_emulated_fleet_settings(kFleetSettingsText, errors);
    fleet_ = std::make_unique<emulator::EmulatedFleet>(context_.get_executor(), std::move(*fleet));
    if (!fleet_->start(error)) {
      return false;
    }
    data_folder_ = FLAGS_data.empty() ? fs::temp_directory_path() / ("larchlever-demo-" + std::to_string(::getpid()))
                                      : fs::path(FLAGS_data);
    std::map<std::string, std::string> control_nodes;
    for (int node = 1; node <= kControlNodeCount; ++node) {
      control_nodes[node_name(node)] = peer_address(node);
    }
    for (int node = 1; node <= kNodeCount; ++node) {
      auto settings = node_settings(node, control_nodes, data_folder_, fleet_->membership_endpoint());
      if (node == 1 && !bootstrap_region(settings, error)) {
        return false;
      }
      nodes_.push_back(std::make_unique<node::NodeProcess>(context_.get_executor(), std::move(settings)));
      if (!nodes_.back()->start(error)) {
        return false;
      }
    }
    return true;
  }

  asio::awaitable<void> apply_configuration() {
    std::vector<std::string> errors;
    const auto writes = settings::parse_change_file(change_file_text(*fleet_), errors);
    auto& runtime = nodes_.back()->runtime();
    wire::OperatorRequest get_request;
    get_request.action = wire::OperatorAction::GET;
    const auto current = co_await runtime.operator_request(get_request, std::chrono::seconds(30));
    wire::OperatorRequest apply_request;
    apply_request.action = wire::OperatorAction::APPLY;
    apply_request.change.operator_name = "demo";
    apply_request.change.command_id = "demo-" + std::to_string(node::NodeRuntime::wall_clock_ms());
    apply_request.change.writes = *writes;
    for (const auto& write : *writes) {
      wire::KeyRevision revision;
      revision.key = write.key;
      for (const auto& record : current.records) {
        revision.revision = record.key == write.key ? record.revision : revision.revision;
      }
      apply_request.change.reads.push_back(std::move(revision));
    }
    apply_request.__isset.change = true;
    const auto reply = co_await runtime.operator_request(apply_request, std::chrono::seconds(30));
    if (reply.answer.verdict != wire::Verdict::ACCEPTED || reply.leader.empty()) {
      std::cout << "the example templates were not accepted: " << reply.answer.message << std::endl;
      co_return;
    }
    co_await wait_for_groups();
    print_addresses();
  }

  void stop() {
    for (auto& node : nodes_) {
      node->stop();
    }
    if (FLAGS_data.empty()) {
      std::error_code ignored;
      fs::remove_all(data_folder_, ignored);
    }
  }

 private:
  asio::awaitable<void> wait_for_groups() {
    asio::steady_timer timer(context_);
    while (nodes_.back()->runtime().controller().entry().router().count_leased_groups(node::NodeRuntime::now()) < 3) {
      timer.expires_after(std::chrono::milliseconds(50));
      co_await timer.async_wait(kAwaitWithErrorTuple);
    }
  }

  void print_addresses() const {
    std::cout << "larchlever demo: " << kNodeCount << " nodes in front of " << fleet_->machines().size()
              << " emulated machines, data in " << data_folder_.string() << "\n";
    for (const auto& node : nodes_) {
      std::cout << "  " << node->settings().name << "  zone " << node->settings().zone << "  service http://"
                << node->service_address() << "  admin " << node->admin_address() << "\n";
    }
    std::cout << "  membership list and fault injection http://" << fleet_->membership_endpoint() << "\nready"
              << std::endl;
  }

  asio::io_context& context_;
  fs::path data_folder_;
  std::unique_ptr<emulator::EmulatedFleet> fleet_;
  std::vector<std::unique_ptr<node::NodeProcess>> nodes_;
};

}  // namespace

int run_demo() {
  node::configure_logging("warn", "");
  asio::io_context context(1);
  Demo demo(context);
  std::string error;
  if (!demo.start(error)) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitFailed;
  }
  asio::co_spawn(context, demo.apply_configuration(), asio::detached);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  asio::steady_timer run_timer(context);
  if (FLAGS_seconds > 0) {
    run_timer.expires_after(std::chrono::seconds(FLAGS_seconds));
    run_timer.async_wait([&](boost::system::error_code) { context.stop(); });
  }
  context.run();
  demo.stop();
  return kExitSuccess;
}

}  // namespace larchlever::cli
