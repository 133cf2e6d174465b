#include "fleet_node_processes.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace larchlever::integration {

namespace fs = std::filesystem;
namespace json = boost::json;

namespace {

constexpr int kPeerPort = 7340;
constexpr int kRelayPort = 7355;
constexpr int kControlPort = 8229;
constexpr int kCallerPort = 8227;
/// Callers wait for this much longer than the deadline in their request.
constexpr auto kDeadlineMargin = std::chrono::seconds(1);
constexpr int kReadyPort = 8220;
constexpr auto kAbandonedRequestDeadline = std::chrono::seconds(4);
/// Added to the node number to get the last octet of the address of an entry; control replicas use their number alone.
constexpr int kEntryAddressOffset = 100;
constexpr int kEngineAddressOffset = 150;
constexpr const char* kZones[] = {"north", "south", "west"};
constexpr auto kCallTimeout = std::chrono::seconds(2);

constexpr auto kModelDeadline = std::chrono::seconds(3);
constexpr auto kModelCallTimeout = std::chrono::seconds(5);
/// Deadline of requests with an API key.
constexpr auto kKeyedCallTimeout = std::chrono::seconds(2);

/// Returns 0 if there is no response.
int status_of(const net::FetchResult& result) { return result.response ? result.response->status : 0; }

std::string with_port(const std::string& address, int port) { return address + ":" + std::to_string(port); }

int node_number(const std::string& node) { return std::stoi(node.substr(1)); }

bool is_control(const std::string& node) { return node.front() == 'c'; }

json::value engine_model(const char* name, int size, double fraction) {
  return {{"name", name}, {"size", size}, {"fraction", fraction}, {"pace", 1}, {"load_s", 1}, {"warm_s", 1}};
}

std::string make_document(int64_t version, const FleetNodeOptions& options, const json::array& api_keys) {
  const json::value forms_route = {{"name", "forms"},
                                   {"host", "forms.example"},
                                   {"path_prefix", "/forms/"},
                                   {"type", "idempotent"},
                                   {"timeout_ms", options.forms_timeout.count()},
                                   {"target_latency_ms", 300},
                                   {"priority", 1},
                                   {"service", "forms"},
                                   {"max_attempts", options.forms_max_attempts},
                                   {"public", true}};
  const json::value engine_route = {{"name", "chat"},
                                    {"host", kResumableHost},
                                    {"path_prefix", "/chat/"},
                                    {"type", "streaming"},
                                    {"timeout_ms", options.chat_timeout.count()},
                                    {"target_latency_ms", 500},
                                    {"priority", 1},
                                    {"service", "engines"},
                                    {"max_attempts", 2},
                                    {"public", true},
                                    {"sticky", true},
                                    {"resumable", true},
                                    {"target_gap_ms", 300}};
  auto orders_route = forms_route;
  orders_route.as_object()["name"] = "orders";
  orders_route.as_object()["host"] = "orders.example";
  orders_route.as_object()["type"] = "non_idempotent";
  auto office_route = forms_route;
  office_route.as_object()["name"] = "office-forms";
  office_route.as_object()["host"] = "office.example";
  office_route.as_object()["public"] = false;
  auto region_bound_forms_route = forms_route;
  region_bound_forms_route.as_object()["name"] = "forms-at-home";
  region_bound_forms_route.as_object()["host"] = "forms-north.example";
  region_bound_forms_route.as_object()["allowed_regions"] = json::array{"region-north"};
  auto region_bound_chat_route = engine_route;
  region_bound_chat_route.as_object()["name"] = "chat-at-home";
  region_bound_chat_route.as_object()["host"] = "chat-north.example";
  region_bound_chat_route.as_object()["allowed_regions"] = json::array{"region-north"};
  auto non_resumable_chat_route = engine_route;
  non_resumable_chat_route.as_object()["name"] = "chat-once";
  non_resumable_chat_route.as_object()["host"] = kNonResumableHost;
  non_resumable_chat_route.as_object()["resumable"] = false;
  const json::value engine = {{"slots", 8},
                              {"kv_capacity", 1000000},
                              {"models", json::array{engine_model("large", 4, 0.6), engine_model("small", 2, 0.4)}},
                              {"step_ms", 1},
                              {"read_per_s", 100000},
                              {"loads_per_s", 4},
                              {"loads_at_once", 6},
                              {"cached_prefixes", 1},
                              {"form_ms", 100}};
  return json::serialize(
      json::value{{"version", version},
                  {"routes", json::array{forms_route, orders_route, office_route, engine_route,
                                         region_bound_forms_route, region_bound_chat_route, non_resumable_chat_route}},
                  {"services",
                   {{{"name", "forms"}, {"health_path", "/healthz"}, {"max_connections", 100}},
                    {{"name", "engines"}, {"health_path", "/healthz"}, {"max_connections", 100}, {"engine", engine}}}},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 4194304},
                    {"header_timeout_ms", options.header_timeout.count()},
                    {"idle_timeout_ms", 15000}}},
                  {"tenants",
                   {{{"name", "office"}, {"api_keys", api_keys}},
                    {{"name", "archive"}, {"api_keys", json::array{FleetNodeProcesses::kArchiveKey}}}}}});
}

net::HttpRequest make_forms_request(const std::string& request_id, const std::string& body,
                                    std::chrono::milliseconds timeout) {
  net::HttpRequest request;
  request.method = body.empty() ? "GET" : "POST";
  request.target = "/forms/1";
  request.body = body;
  request.headers.add("Host", "forms.example");
  request.headers.add("Larchlever-Request-Id", request_id);
  request.headers.add("Larchlever-Deadline-Ms", std::to_string(timeout.count()));
  return request;
}

/// Lowers the limit on descriptors that processes started meanwhile inherit; 0 leaves it as it is.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(int max_descriptors) {
    ::getrlimit(RLIMIT_NOFILE, &previous_);
    rlimit lowered = previous_;
    lowered.rlim_cur = max_descriptors > 0 ? static_cast<rlim_t>(max_descriptors) : previous_.rlim_cur;
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &previous_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit previous_{};
};

std::vector<std::string> numbered_names(char prefix, int count) {
  std::vector<std::string> result;
  for (int number = 1; number <= count; ++number) {
    result.push_back(prefix + std::to_string(number));
  }
  return result;
}

}  // namespace

FleetNodeOptions FleetNodeOptions::with_three_replicas(int entries) {
  FleetNodeOptions options;
  options.control_replicas = 3;
  options.entries = entries;
  options.tolerated_losses = 1;
  return options;
}

net::HttpRequest make_order(const std::string& id) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/forms/1";
  request.headers.add("Host", "orders.example");
  request.headers.add("Larchlever-Request-Id", id);
  request.headers.add("Larchlever-Deadline-Ms", "3000");
  return request;
}

net::HttpRequest make_stream_request(const std::string& host, const std::string& model, const std::string& id,
                                     std::chrono::milliseconds deadline) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/chat/1";
  request.headers.add("Host", host);
  request.headers.add("Larchlever-Request-Id", id);
  request.headers.add("Larchlever-Deadline-Ms", std::to_string(deadline.count()));
  request.headers.add("Larchlever-Model", model);
  request.headers.add("Larchlever-Tokens", "100,25");
  request.body = "{\"n\":\"" + id + "\"}";
  return request;
}

std::string make_stream_body(int events) {
  std::string text;
  for (int event = 1; event <= events; ++event) {
    text += "id: " + std::to_string(event) + "\ndata: token\n\n";
  }
  return text;
}

FleetNodeProcesses::FleetNodeProcesses(const FleetNodeOptions& options) : options_(options) {
  std::string pattern = (fs::temp_directory_path() / "larchlever-fleet-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
}

FleetNodeProcesses::~FleetNodeProcesses() {
  for (const auto& node : all_nodes()) {
    if (processes_.contains(node)) {
      kill(node);
    }
  }
  print_logs_on_failure(folder_);
  if (testing::Test::HasFailure() && std::getenv("LARCHLEVER_KEEP_LOGS") != nullptr) {
    std::cerr << "complete logs are kept in " << folder_ << "\n";
    return;
  }
  std::error_code ignored;
  fs::remove_all(folder_, ignored);
}

std::vector<std::string> FleetNodeProcesses::control_replicas() const {
  return numbered_names('c', options_.control_replicas);
}

std::vector<std::string> FleetNodeProcesses::entries() const { return numbered_names('e', options_.entries); }

std::vector<std::string> FleetNodeProcesses::all_nodes() const {
  auto result = control_replicas();
  for (const auto& entry : entries()) {
    result.push_back(entry);
  }
  return result;
}

std::string FleetNodeProcesses::address(const std::string& node) const {
  // Each test process uses a range of loopback addresses of its own, so that tests can run in parallel.
  const int process = ::getpid();
  const int last_octet = node_number(node) + (is_control(node) ? 0 : kEntryAddressOffset);
  return "127." + std::to_string(64 + process / 250 % 128) + "." + std::to_string(1 + process % 250) + "." +
         std::to_string(last_octet);
}

std::string FleetNodeProcesses::control_endpoint(const std::string& node) const {
  return with_port(address(node), kControlPort);
}

std::vector<std::string> FleetNodeProcesses::control_endpoints() const {
  std::vector<std::string> endpoints;
  for (const auto& node : control_replicas()) {
    endpoints.push_back(control_endpoint(node));
  }
  return endpoints;
}

std::string FleetNodeProcesses::relay_endpoint(const std::string& entry) const {
  return with_port(address(entry), kRelayPort);
}

std::string FleetNodeProcesses::caller_endpoint(const std::string& entry) const {
  return with_port(address(entry), kCallerPort);
}

fs::path FleetNodeProcesses::write_settings(const std::string& node, bool first_start) {
  std::ostringstream text;
  text << "[node]\nname = " << node << "\nzone = " << kZones[(node_number(node) - 1) % std::size(kZones)]
       << "\npeer_address = " << with_port(address(node), kPeerPort) << "\n";
  if (is_control(node)) {
    text << "role = control\ncontrol_address = " << control_endpoint(node)
         << "\ndata_folder = " << (folder_ / ("data-" + node)).string() << "\n";
  } else {
    text << "role = entry\ncaller_address = " << caller_endpoint(node)
         << "\nrelay_address = " << with_port(address(node), kRelayPort)
         << "\nready_address = " << with_port(address(node), kReadyPort) << "\n"
         << (options_.binds_entries_to_own_address ? "outbound_address = " + address(node) + "\n" : "")
         << options_.entry_settings;
  }
  text << "[cluster]\nseeds = ";
  for (int seed = 1; seed <= options_.seeds; ++seed) {
    text << (seed > 1 ? "," : "") << control_endpoint("c" + std::to_string(seed));
  }
  text << "\nzones = ";
  for (const auto* zone : kZones) {
    text << (zone == kZones[0] ? "" : ", ") << zone << ":region-" << zone;
  }
  text << "\npeer_port = " << kPeerPort << "\nfirst_start = " << (first_start ? "true" : "false")
       << "\ntolerated_losses = " << options_.tolerated_losses << "\n[bounds]\n"
       << options_.bounds_settings << "\n[admission]\n"
       << options_.admission_settings;
  fs::path path = folder_ / (node + ".ini");
  write_file(path, text.str());
  return path;
}

fs::path FleetNodeProcesses::log_path(const std::string& node, int start) const {
  return folder_ / (node + "-" + std::to_string(start) + ".log");
}

void FleetNodeProcesses::spawn(const std::string& node, const std::vector<std::string>& arguments,
                               const std::vector<std::string>& environment, OutputTarget output) {
  if (!fs::exists(folder_ / (node + ".ini"))) {
    write_settings(node);
  }
  Process& process = processes_[node];
  ++process.start_count;
  const DescriptorLimit limit_during_spawn(options_.max_descriptors);
  process.pid = spawn_program(arguments, log_path(node, process.start_count), environment, output);
}

void FleetNodeProcesses::start(const std::string& node) { spawn(node, {"fleet-node", settings_flag(node)}, {}); }

std::string FleetNodeProcesses::settings_flag(const std::string& node) const {
  return "--settings=" + (folder_ / (node + ".ini")).string();
}

void FleetNodeProcesses::start_with_full_output_pipe(const std::string& node) {
  spawn(node, {"fleet-node", settings_flag(node)}, {}, OutputTarget::kFullPipe);
}

void FleetNodeProcesses::start_without_standard_descriptors(const std::string& node) {
  spawn(node, {"fleet-node", settings_flag(node)}, {}, OutputTarget::kClosed);
}

void FleetNodeProcesses::start_with_settings_from_environment(const std::string& node) {
  spawn(node, {"fleet-node"}, {"LARCHLEVER_CONFIG=" + (folder_ / (node + ".ini")).string()});
}

void FleetNodeProcesses::start_all() {
  for (const auto& node : all_nodes()) {
    start(node);
  }
}

testing::AssertionResult FleetNodeProcesses::start_serving(std::chrono::milliseconds timeout) {
  start_all();
  if (!put_document(kFirstDocumentVersion, timeout)) {
    return testing::AssertionFailure() << "no control replica accepted the first document";
  }
  if (!wait_until_entries_ready(timeout)) {
    return testing::AssertionFailure() << "not every entry became ready with the first document";
  }
  return testing::AssertionSuccess();
}

void FleetNodeProcesses::signal(const std::string& node, int number) { ::kill(processes_[node].pid, number); }

int FleetNodeProcesses::terminate(const std::string& node) {
  Process& process = processes_[node];
  int status = 0;
  ::kill(process.pid, SIGTERM);
  ::waitpid(process.pid, &status, 0);
  process.pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void FleetNodeProcesses::kill(const std::string& node) {
  Process& process = processes_[node];
  if (process.pid > 0) {
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
  }
}

size_t FleetNodeProcesses::read_status_bytes(const std::string& node, const std::string& field) const {
  const std::string status = read_file("/proc/" + std::to_string(process_id(node)) + "/status");
  const size_t line = status.find(field + ":");
  return line == std::string::npos ? 0 : std::strtoull(status.c_str() + line + field.size() + 1, nullptr, 10) * 1024;
}

size_t FleetNodeProcesses::resident_bytes(const std::string& node) const { return read_status_bytes(node, "VmRSS"); }

size_t FleetNodeProcesses::peak_resident_bytes(const std::string& node) const {
  return read_status_bytes(node, "VmHWM");
}

size_t FleetNodeProcesses::open_descriptors(const std::string& node) const {
  std::error_code ended;
  const fs::directory_iterator descriptors("/proc/" + std::to_string(process_id(node)) + "/fd", ended);
  return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
}

void FleetNodeProcesses::wipe_data(const std::string& node) { fs::remove_all(folder_ / ("data-" + node)); }

bool FleetNodeProcesses::is_running(const std::string& node) {
  Process& process = processes_[node];
  if (process.pid > 0 && ::waitpid(process.pid, nullptr, WNOHANG) == process.pid) {
    process.pid = -1;
  }
  return process.pid > 0;
}

std::string FleetNodeProcesses::log(const std::string& node) const {
  std::string text;
  for (int start = 1; start <= processes_.at(node).start_count; ++start) {
    text += read_file(log_path(node, start));
  }
  return text;
}

net::FetchResult FleetNodeProcesses::call_control(const std::string& node, const std::string& method,
                                                  const std::string& path, const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.target = path;
  request.body = body;
  request.headers.add("Content-Type", "application/json");
  return client_.fetch(control_endpoint(node), request, kCallTimeout);
}

net::FetchResult FleetNodeProcesses::call_model(BlockingClient& client, const std::string& entry,
                                                const std::string& model, const std::string& request_id,
                                                const std::string& body, const std::string& prompt_parts) const {
  auto request = make_stream_request(kResumableHost, model, request_id, kModelDeadline);
  if (!prompt_parts.empty()) {
    request.headers.add("Larchlever-Prompt-Parts", prompt_parts);
  }
  request.body = body;
  return client.fetch(caller_endpoint(entry), request, kModelCallTimeout);
}

net::FetchResult FleetNodeProcesses::call_forms(BlockingClient& client, const std::string& entry,
                                                const std::string& request_id, const std::string& body,
                                                std::chrono::milliseconds timeout) const {
  return client.fetch(caller_endpoint(entry), make_forms_request(request_id, body, timeout), timeout + kDeadlineMargin);
}

net::FetchResult FleetNodeProcesses::call_forms_with_key(BlockingClient& client, const std::string& entry,
                                                         const std::string& request_id, const std::string& key) const {
  auto request = make_forms_request(request_id, "", kKeyedCallTimeout);
  request.headers.set("Host", "office.example");
  request.headers.add("Larchlever-Key", key);
  return client.fetch(caller_endpoint(entry), request, kKeyedCallTimeout + kDeadlineMargin);
}

net::FetchResult FleetNodeProcesses::call_forms_for(BlockingClient& client, const std::string& entry,
                                                    const std::string& request_id,
                                                    std::chrono::milliseconds patience) const {
  return client.fetch(caller_endpoint(entry), make_forms_request(request_id, "", kAbandonedRequestDeadline), patience);
}

std::vector<std::string> FleetNodeProcesses::engine_addresses(int count) const {
  std::vector<std::string> result;
  const std::string first = address("c1");
  for (int number = 0; number < count; ++number) {
    result.push_back(first.substr(0, first.rfind('.') + 1) + std::to_string(kEngineAddressOffset + number));
  }
  return result;
}

bool FleetNodeProcesses::is_ready(const std::string& node) {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/readyz";
  return status_of(client_.fetch(with_port(address(node), kReadyPort), request, kCallTimeout)) == 200;
}

bool FleetNodeProcesses::put_document(int64_t version, std::chrono::milliseconds timeout) {
  return put_content(make_document(version, options_, json::array{kOfficeKey}), timeout);
}

bool FleetNodeProcesses::put_document_without_keys(int64_t version, std::chrono::milliseconds timeout) {
  return put_content(make_document(version, options_, json::array{}), timeout);
}

bool FleetNodeProcesses::put_content(const std::string& document, std::chrono::milliseconds timeout) {
  const auto targets = control_replicas();
  size_t next = 0;
  return wait_until(
      [&] {
        const auto& target = targets[next++ % targets.size()];
        return status_of(call_control(target, "PUT", "/v1/configuration", document)) == 200;
      },
      timeout);
}

int64_t FleetNodeProcesses::document_version_at(const std::string& node) {
  const auto fetch_result = call_control(node, "GET", "/v1/configuration");
  if (status_of(fetch_result) != 200) {
    return 0;
  }
  return json::parse(fetch_result.response->body).as_object().at("version").to_number<int64_t>();
}

bool FleetNodeProcesses::wait_until_entries_ready(std::chrono::milliseconds timeout) {
  return wait_until(
      [this] {
        const auto list = entries();
        return std::all_of(list.begin(), list.end(), [this](const auto& entry) { return is_ready(entry); });
      },
      timeout);
}

}  // namespace larchlever::integration
