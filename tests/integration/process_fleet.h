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

struct FleetOptions {
  int nodes = 5;
  int disks = 3;
  /// Extra lines for every node's settings file.
  std::string node_settings;
};

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

/// Real processes on loopback: nodes, stand-ins, and a fault proxy on every link from a node to a control node. All
/// ports are free ones taken by the processes themselves. Ends only what it started.
class ProcessFleet {
 public:
  explicit ProcessFleet(const FleetOptions& options);
  ~ProcessFleet();

  /// Starts everything and applies the example templates. Fails the test when that does not work in time.
  void start();
  void kill_node(const std::string& node, int signal);
  /// Waits for a process that was told to end; its exit code.
  int wait_for_exit(const std::string& node);
  void start_node(const std::string& node);
  void wipe_data(const std::string& node);

  CommandResult command(const std::vector<std::string>& arguments);
  CommandResult operate(const std::vector<std::string>& arguments);
  net::FetchResult fetch(const std::string& node, const net::HttpRequest& request);
  net::FetchResult fetch_endpoint(const std::string& endpoint, const net::HttpRequest& request);
  net::HttpRequest model_request(const std::string& prompt, int tokens, bool stream, const std::string& key = "");
  bool fault(const std::string& machine, const std::string& action);
  /// The same for every machine.
  void fault_everywhere(const std::string& action);
  /// Runs callers until they are done; history and executions are then compared.
  std::vector<std::string> run_load(load::LoadOptions options, load::LoadReport& report,
                                    const std::function<void()>& meanwhile = {},
                                    load::NotRunScope scope = load::NotRunScope::kRequest);
  std::vector<load::ExecutionRecord> executions();

  std::string leader();
  int serving_groups();
  /// Whether a serving group counts on the machine.
  bool serves_with(const std::string& machine);
  /// "node/identity" of every voter; empty while the replica set holds one that no node carries.
  std::vector<std::string> voters();
  const std::string& service(const std::string& node) const { return services_.at(node); }
  const std::string& admin(const std::string& node) const { return admins_.at(node); }
  std::string peer(const std::string& node) const { return peers_.at(node); }
  std::vector<std::string> node_names() const;
  void set_link_faults(const std::string& from, const std::string& to, const load::ProxyFaults& faults);
  /// Faults on all links between the node and the others, seen from the node.
  void cut_off(const std::string& node, bool outgoing, bool incoming);
  void heal_links();

 private:
  struct Process {
    int pid = -1;
    std::filesystem::path log;
    int starts = 0;
  };

  template <typename Result>
  Result on_context(boost::asio::awaitable<Result> work) {
    return boost::asio::co_spawn(callers_.context(), std::move(work), boost::asio::use_future).get();
  }
  void write_settings(const std::string& node);
  void start_stand_ins();
  void read_addresses(const std::string& node);
  std::string admin_list() const;

  FleetOptions options_;
  std::filesystem::path folder_;
  BlockingClient callers_;
  std::map<std::string, Process> processes_;
  int stand_ins_ = -1;
  std::string membership_;
  std::string service_ports_;
  std::map<std::string, std::string> services_;
  std::map<std::string, std::string> admins_;
  std::map<std::string, std::string> peers_;
  std::map<std::pair<std::string, std::string>, std::unique_ptr<load::FaultProxy>> proxies_;
  std::map<std::pair<std::string, std::string>, std::string> proxy_addresses_;
};

}  // namespace larchlever::integration
