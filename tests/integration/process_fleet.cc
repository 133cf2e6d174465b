#include "process_fleet.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <csignal>
#include <sstream>

namespace larchlever::integration {

namespace asio = boost::asio;
namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

constexpr const char* kZones[] = {"ljubljana", "celje", "koper"};

constexpr const char* kEmulatorSettings = R"(
[fleet]
membership_lag_ms = 500
weight_transfers_at_once = 8
weight_transfer_ms = 150
[zone ljubljana]
domains = 2
machines_per_domain = 3
step_us = 4000
[zone celje]
domains = 2
machines_per_domain = 3
step_us = 4000
[zone koper]
domains = 1
machines_per_domain = 3
kind = basic
step_us = 4000
[service forms]
zone = ljubljana
ports = 0, 0, 0
)";

/// Number of emulated machines in all zones.
constexpr int kMachineCount = 15;

constexpr const char* kTemplateSettings = R"(
[template census]
model = census
version = 1
adapters = letters
machines_per_group = 2
[tenant north]
template = census
zones = ljubljana
adapters = letters
share_percent = 40
max_concurrent = 64
[tenant south]
template = census
zones = celje, koper
share_percent = 40
max_concurrent = 64
)";

/// Returns the value of `key=` in the last line of `text` with this event.
std::string last_event_field(const std::string& text, const std::string& event, const std::string& key) {
  const size_t line = text.rfind("event=" + event + " ");
  if (line == std::string::npos) {
    return "";
  }
  const size_t start = text.find(" " + key + "=", line);
  const size_t end = text.find_first_of(" \n", start + key.size() + 2);
  return start == std::string::npos || end == std::string::npos
             ? ""
             : text.substr(start + key.size() + 2, end - start - key.size() - 2);
}

}  // namespace

ProcessFleet::ProcessFleet(const ProcessFleetOptions& options) : options_(options) {
  std::string pattern = (fs::temp_directory_path() / "larchlever-test-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
}

ProcessFleet::~ProcessFleet() {
  for (auto& [name, process] : processes_) {
    if (process.pid > 0) {
      ::kill(process.pid, SIGKILL);
      ::waitpid(process.pid, nullptr, 0);
    }
  }
  if (emulator_pid_ > 0) {
    ::kill(emulator_pid_, SIGKILL);
    ::waitpid(emulator_pid_, nullptr, 0);
  }
  print_logs_on_failure(folder_);
  asio::post(client_.context(), asio::use_future([this] { proxies_.clear(); })).get();
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::vector<std::string> ProcessFleet::node_names() const {
  std::vector<std::string> names;
  for (int node = 1; node <= options_.nodes; ++node) {
    names.push_back("n" + std::to_string(node));
  }
  return names;
}

CommandResult ProcessFleet::run_command(const std::vector<std::string>& arguments) {
  const fs::path output = folder_ / "command.out";
  CommandResult result;
  const int pid = spawn_program(arguments, output);
  int status = 0;
  if (pid > 0 && ::waitpid(pid, &status, 0) == pid && WIFEXITED(status)) {
    result.exit_code = WEXITSTATUS(status);
  }
  result.output = read_file(output);
  return result;
}

std::string ProcessFleet::admin_address_list() const {
  std::string list;
  for (const auto& [node, address] : admin_addresses_) {
    list += (list.empty() ? "" : ",") + address;
  }
  return list;
}

CommandResult ProcessFleet::run_operator_command(const std::vector<std::string>& arguments) {
  std::vector<std::string> arguments_with_nodes = arguments;
  arguments_with_nodes.push_back("--node=" + admin_address_list());
  return run_command(arguments_with_nodes);
}

void ProcessFleet::start_emulator() {
  write_file(folder_ / "stand-ins.ini", kEmulatorSettings);
  const fs::path output = folder_ / "stand-ins.log";
  emulator_pid_ = spawn_program({"emulate", "--settings=" + (folder_ / "stand-ins.ini").string()}, output);
  ASSERT_TRUE(wait_until([&] { return read_file(output).find("membership list at ") != std::string::npos; }));
  const std::string text = read_file(output);
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("membership list at ")) {
      membership_endpoint_ = line.substr(19);
    } else if (line.starts_with("service forms at ")) {
      service_ports_ = line.substr(17);
    }
  }
}

void ProcessFleet::write_settings(const std::string& node) {
  const int number = std::stoi(node.substr(1));
  const fs::path log = folder_ / (node + "-" + std::to_string(processes_[node].start_count) + ".log");
  processes_[node].log = log;
  std::ostringstream text;
  text << "[node]\nname = " << node << "\nzone = " << kZones[(number - 1) % 3]
       << "\npeer_address = 127.0.0.1:0\nservice_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\n"
       << "unready_before_drain_ms = 300\n";
  if (number <= options_.nodes_with_disk) {
    text << "data_folder = " << (folder_ / ("data-" + node)).string() << "\n";
  }
  text << "[control_nodes]\n";
  for (int control = 1; control <= options_.nodes_with_disk; ++control) {
    text << "n" << control << " = " << proxy_addresses_[{node, "n" + std::to_string(control)}] << "\n";
  }
  text << "[platform]\nmembership_list = " << membership_endpoint_
       << "\nkinds_without_fences = basic\n[log]\nfile = " << log.string() << "\n"
       << options_.node_settings;
  write_file(folder_ / (node + ".ini"), text.str());
}

void ProcessFleet::read_addresses_from_log(const std::string& node) {
  const auto& log = processes_[node].log;
  ASSERT_TRUE(wait_until([&] { return !last_event_field(read_file(log), "started", "data").empty(); })) << node;
  const std::string text = read_file(log);
  service_addresses_[node] = last_event_field(text, "started", "service");
  admin_addresses_[node] = last_event_field(text, "started", "admin");
  peer_addresses_[node] = last_event_field(text, "started", "peer");
  asio::post(client_.context(), asio::use_future([this, node] {
               for (auto& [link, proxy] : proxies_) {
                 if (link.second == node) {
                   proxy->set_upstream(peer_addresses_[node]);
                 }
               }
             }))
      .get();
}

void ProcessFleet::start_node(const std::string& node) {
  ++processes_[node].start_count;
  write_settings(node);
  processes_[node].pid =
      spawn_program({"serve", "--settings=" + (folder_ / (node + ".ini")).string()}, folder_ / (node + "-output.log"));
  read_addresses_from_log(node);
}

void ProcessFleet::start() {
  start_emulator();
  asio::post(client_.context(), asio::use_future([this] {
               for (const auto& node : node_names()) {
                 for (int control = 1; control <= options_.nodes_with_disk; ++control) {
                   const std::pair<std::string, std::string> link(node, "n" + std::to_string(control));
                   proxies_[link] = std::make_unique<load::FaultProxy>(client_.context().get_executor());
                   proxy_addresses_[link] = proxies_[link]->listen();
                 }
               }
             }))
      .get();
  write_settings("n1");
  const auto bootstrapped = run_command({"bootstrap", "--settings=" + (folder_ / "n1.ini").string()});
  ASSERT_EQ(bootstrapped.exit_code, 0) << bootstrapped.output;
  for (const auto& node : node_names()) {
    start_node(node);
  }
  write_file(folder_ / "templates.ini",
             std::string(kTemplateSettings) +
                 "[service forms]\npath_prefix = /forms\nzones = ljubljana\nendpoints = " + service_ports_ + "\n");
  // A change is validated against the machines known at that time, and the result is stored under its command id. So
  // wait until all machines are known.
  const std::string all_machines = "machines " + std::to_string(kMachineCount) + " ";
  ASSERT_TRUE(wait_until([&] {
    return run_operator_command({"status"}).output.find(all_machines) != std::string::npos;
  })) << run_operator_command({"status"}).output;
  CommandResult applied;
  const std::string file = (folder_ / "templates.ini").string();
  ASSERT_TRUE(wait_until([&] {
    applied = run_operator_command({"apply", file, "--operator_name=test", "--command_id=templates"});
    return applied.exit_code == 0;
  })) << applied.output;
  ASSERT_TRUE(wait_until([&] { return serving_group_count() >= 4; })) << run_operator_command({"groups"}).output;
  const int expected_voters =
      options_.nodes_with_disk % 2 == 1 ? options_.nodes_with_disk : options_.nodes_with_disk - 1;
  ASSERT_TRUE(wait_until([&] { return static_cast<int>(voters().size()) == expected_voters; }));
}

void ProcessFleet::kill_node(const std::string& node, int signal) {
  auto& process = processes_[node];
  ::kill(process.pid, signal);
  if (signal == SIGKILL) {
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
  }
}

int ProcessFleet::wait_for_exit(const std::string& node) {
  int status = 0;
  ::waitpid(processes_[node].pid, &status, 0);
  processes_[node].pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void ProcessFleet::wipe_data(const std::string& node) { fs::remove_all(folder_ / ("data-" + node)); }

net::FetchResult ProcessFleet::fetch_endpoint(const std::string& endpoint, const net::HttpRequest& request) {
  return client_.fetch(endpoint, request);
}

net::FetchResult ProcessFleet::fetch(const std::string& node, const net::HttpRequest& request) {
  return fetch_endpoint(service_addresses_.at(node), request);
}

net::HttpRequest ProcessFleet::model_request(const std::string& prompt, int tokens, bool stream,
                                             const std::string& key) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers.add("Larchlever-Tenant", "north");
  if (!key.empty()) {
    request.headers.add("Idempotency-Key", key);
  }
  json::object message{{"role", "user"}, {"content", prompt}};
  request.body = json::serialize(json::object{{"model", "census"},
                                              {"max_tokens", tokens},
                                              {"stream", stream},
                                              {"user", prompt},
                                              {"messages", json::array{message}}});
  return request;
}

bool ProcessFleet::inject_fault(const std::string& machine, const std::string& action) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/emulator/fault?machine=" + machine + "&action=" + action;
  const auto result = fetch_endpoint(membership_endpoint_, request);
  return result.response && result.response->status == 200;
}

void ProcessFleet::inject_fault_everywhere(const std::string& action) {
  for (const std::string zone : {"ljubljana", "celje", "koper"}) {
    for (const std::string machine : {"-d1-m1", "-d1-m2", "-d1-m3", "-d2-m1", "-d2-m2", "-d2-m3"}) {
      inject_fault(zone + machine, action);
    }
  }
}

std::vector<load::ExecutionRecord> ProcessFleet::executions() {
  std::string error;
  auto result =
      run_on_client_thread([](net::HttpClient& client, std::string endpoint,
                              std::string& fetch_error) -> asio::awaitable<std::vector<load::ExecutionRecord>> {
        auto list = co_await load::fetch_executions(client, endpoint, fetch_error);
        co_return list;
      }(client_.client(), membership_endpoint_, error));
  EXPECT_EQ(error, "");
  return result;
}

std::vector<std::string> ProcessFleet::run_load_and_check(load::LoadOptions options, load::LoadReport& report,
                                                          const std::function<void()>& during_load,
                                                          load::NotRunScope scope) {
  if (options.nodes.empty()) {
    for (const auto& [node, address] : service_addresses_) {
      options.nodes.push_back(address);
    }
  }
  options.tenants = {"north", "south"};
  options.model = "census";
  load::LoadGenerator generator(client_.context().get_executor(), options);
  auto done = asio::co_spawn(client_.context(), generator.run(), asio::use_future);
  if (during_load) {
    during_load();
  }
  done.get();
  report = generator.report();
  return load::find_history_faults(generator.history(), executions(), scope);
}

namespace {

json::value parse_output(const CommandResult& result) {
  boost::system::error_code error;
  const auto value = json::parse(result.output, error);
  return error ? json::value() : value;
}

}  // namespace

int ProcessFleet::serving_group_count() {
  const auto list = parse_output(run_operator_command({"groups", "--output=json"}));
  int serving = 0;
  if (list.is_array()) {
    for (const auto& group : list.as_array()) {
      serving += group.at("state").as_string() == "serving" ? 1 : 0;
    }
  }
  return serving;
}

bool ProcessFleet::has_serving_group_with(const std::string& machine) {
  const auto list = parse_output(run_operator_command({"groups", "--output=json"}));
  if (!list.is_array()) {
    return true;
  }
  return std::any_of(list.as_array().begin(), list.as_array().end(), [&machine](const json::value& group) {
    return group.at("state").as_string() == "serving" &&
           std::string(group.at("machines").as_string()).find(machine) != std::string::npos;
  });
}

std::vector<std::string> ProcessFleet::voters() {
  const auto status = parse_output(run_operator_command({"status", "--output=json"}));
  std::vector<std::string> voters;
  if (!status.is_object()) {
    return voters;
  }
  for (const auto& node : status.at("nodes").as_array()) {
    if (node.at("replica").as_string() == "voter") {
      voters.emplace_back(std::string(node.at("node").as_string()) + "/" +
                          std::string(node.at("identity").as_string()));
    }
  }
  // A replica set with a voter that runs on no node is still being repaired.
  return static_cast<size_t>(status.at("voters").to_number<int64_t>()) == voters.size() ? voters
                                                                                        : std::vector<std::string>();
}

std::string ProcessFleet::leader() {
  const std::string output = run_operator_command({"status"}).output;
  const std::string prefix = "leader ";
  return output.starts_with(prefix) ? output.substr(prefix.size(), output.find(' ', prefix.size()) - prefix.size())
                                    : "";
}

void ProcessFleet::set_link_faults(const std::string& from, const std::string& to, const load::ProxyFaults& faults) {
  asio::post(client_.context(), asio::use_future([this, from, to, faults] {
               const auto found = proxies_.find({from, to});
               if (found != proxies_.end()) {
                 found->second->set_faults(faults);
               }
             }))
      .get();
}

void ProcessFleet::partition_node(const std::string& node, bool outgoing, bool incoming) {
  for (const auto& other : node_names()) {
    load::ProxyFaults faults_from_node;
    faults_from_node.drop_upstream = outgoing;
    faults_from_node.drop_downstream = incoming;
    set_link_faults(node, other, faults_from_node);
    load::ProxyFaults faults_to_node;
    faults_to_node.drop_upstream = incoming;
    faults_to_node.drop_downstream = outgoing;
    set_link_faults(other, node, faults_to_node);
  }
}

void ProcessFleet::clear_link_faults() {
  asio::post(client_.context(), asio::use_future([this] {
               for (auto& [link, proxy] : proxies_) {
                 proxy->set_faults({});
                 proxy->reset_all();
               }
             }))
      .get();
}

}  // namespace larchlever::integration
