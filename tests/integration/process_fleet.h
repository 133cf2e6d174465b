#pragma once

#include <boost/asio.hpp>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "load/fault_proxy.h"
#include "load/load_generator.h"

namespace larchlever::integration {

struct ProcessFleetOptions {
  int nodes = 5;
  int nodes_with_disk = 3;
  /// Further lines in the settings file of every node.
  std::string node_settings;
};

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

/// Runs nodes and the emulator of machines as processes on loopback, with a fault proxy on every link from a node to a
/// control node. The processes choose free ports. Only processes started here are ended.
class ProcessFleet {
 public:
  explicit ProcessFleet(const ProcessFleetOptions& options);
  ~ProcessFleet();

  /// Starts all processes and applies the example templates. Fails the test if this takes too long.
  void start();
  void kill_node(const std::string& node, int signal);
  /// Waits until a node that got a signal has exited and returns its exit code.
  int wait_for_exit(const std::string& node);
  void start_node(const std::string& node);
  void wipe_data(const std::string& node);

  CommandResult run_command(const std::vector<std::string>& arguments);
  CommandResult run_operator_command(const std::vector<std::string>& arguments);
  net::FetchResult fetch(const std::string& node, const net::HttpRequest& request);
  net::FetchResult fetch_endpoint(const std::string& endpoint, const net::HttpRequest& request);
  net::HttpRequest model_request(const std::string& prompt, int tokens, bool stream, const std::string& key = "");
  bool inject_fault(const std::string& machine, const std::string& action);
  /// Injects the fault at every machine.
  void inject_fault_everywhere(const std::string& action);
  /// Runs the load generator until it is done, and `during_load` meanwhile. Returns the violations found by comparing
  /// the history of the callers with the executions on the machines.
  std::vector<std::string> run_load_and_check(load::LoadOptions options, load::LoadReport& report,
                                              const std::function<void()>& during_load = {},
                                              load::NotRunScope scope = load::NotRunScope::kRequest);
  std::vector<load::ExecutionRecord> executions();

  std::string leader();
  int serving_group_count();
  /// Whether the machine belongs to a serving group.
  bool has_serving_group_with(const std::string& machine);
  /// "node/identity" of every voter; empty while the replica set has a voter that runs on no node.
  std::vector<std::string> voters();
  const std::string& service_address(const std::string& node) const { return service_addresses_.at(node); }
  const std::string& admin_address(const std::string& node) const { return admin_addresses_.at(node); }
  std::string peer_address(const std::string& node) const { return peer_addresses_.at(node); }
  std::vector<std::string> node_names() const;
  void set_link_faults(const std::string& from, const std::string& to, const load::ProxyFaults& faults);
  /// Drops traffic on all links between the node and the others; directions are seen from the node.
  void partition_node(const std::string& node, bool outgoing, bool incoming);
  void clear_link_faults();

 private:
  struct Process {
    int pid = -1;
    std::filesystem::path log;
    int start_count = 0;
  };

  template <typename Result>
  Result run_on_client_thread(boost::asio::awaitable<Result> work) {
    return boost::asio::co_spawn(client_.context(), std::move(work), boost::asio::use_future).get();
  }
  void write_settings(const std::string& node);
  void start_emulator();
  void read_addresses_from_log(const std::string& node);
  std::string admin_address_list() const;

  ProcessFleetOptions options_;
  std::filesystem::path folder_;
  BlockingClient client_;
  std::map<std::string, Process> processes_;
  int emulator_pid_ = -1;
  std::string membership_endpoint_;
  std::string service_ports_;
  std::map<std::string, std::string> service_addresses_;
  std::map<std::string, std::string> admin_addresses_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<load::FaultProxy>> proxies_;
  std::map<std::pair<std::string, std::string>, std::string> proxy_addresses_;
};

}  // namespace larchlever::integration
