#include "settings/node_settings.h"

#include <fstream>
#include <sstream>

#include "settings/ini_document.h"

namespace larchlever::settings {

namespace {

constexpr int64_t kMinute = 60'000;

Duration to_duration(int64_t value_ms) { return milliseconds(value_ms); }

void read_node(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader node("node", document.find("node"), errors);
  settings.name = node.required_text("name");
  settings.zone = node.required_text("zone");
  settings.peer_address = node.address("peer_address", true);
  settings.service_address = node.address("service_address", true);
  settings.admin_address = node.address("admin_address", true);
  settings.data_folder = node.text("data_folder", "");
  settings.unready_before_drain = std::chrono::milliseconds(node.integer("unready_before_drain_ms", 3000, 0, kMinute));
  settings.drain_timeout = std::chrono::milliseconds(node.integer("drain_timeout_ms", 600'000, 0, 60 * kMinute));
  node.finish();
}

void read_peers(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  const auto* section = document.find("control_nodes");
  SectionReader peers("control_nodes", section, errors);
  if (section == nullptr || section->values.empty()) {
    peers.fault("", "", "missing; list the nodes with a data folder, one 'NAME = IP:PORT' (peer address) a line");
    return;
  }
  for (const auto& [name, value] : section->values) {
    settings.control_nodes[name] = peers.address(name, true);
    settings.controller.control_nodes.push_back(name);
  }
  if (!settings.data_folder.empty() && !settings.control_nodes.contains(settings.name)) {
    peers.fault(settings.name, "", "this node has a data folder but is not listed; add it, or remove data_folder");
  }
  if (settings.data_folder.empty() && settings.control_nodes.contains(settings.name)) {
    peers.fault(settings.name, settings.control_nodes[settings.name],
                "this node is listed but has no [node] data_folder; set one, or remove the line");
  }
}

void read_platform(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader platform("platform", document.find("platform"), errors);
  settings.membership_list = platform.address("membership_list", false);
  for (auto& kind : platform.list("kinds_without_fences")) {
    settings.kinds_without_fences.insert(std::move(kind));
  }
  platform.finish();
}

void read_control(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& control = settings.controller.control;
  SectionReader reader("control", document.find("control"), errors);
  control.heartbeat_interval = to_duration(reader.integer("heartbeat_ms", 250, 20, 10'000));
  control.configuration_lease = to_duration(reader.integer("configuration_lease_ms", 1500, 100, kMinute));
  control.serve_lease = to_duration(reader.integer("serve_lease_ms", 1000, 100, kMinute));
  control.presence_bound = to_duration(reader.integer("presence_bound_ms", 2000, 100, kMinute));
  control.node_timeout = to_duration(reader.integer("node_timeout_ms", 2500, 100, 10 * kMinute));
  control.node_removal_timeout = to_duration(reader.integer("node_forget_ms", 10'000, 1000, 60 * kMinute));
  control.replica_timeout = to_duration(reader.integer("replica_timeout_ms", 8000, 1000, 60 * kMinute));
  control.planning_interval = to_duration(reader.integer("planning_interval_ms", 500, 50, kMinute));
  control.drain_timeout = to_duration(reader.integer("group_drain_timeout_ms", 600'000, 1000, 60 * kMinute));
  control.snapshot_interval_entries = reader.integer("snapshot_interval_entries", 20'000, 10, 10'000'000);
  control.snapshot_trailing_entries = reader.integer("snapshot_trailing_entries", 2000, 0, 1'000'000);
  if (control.configuration_lease < 2 * control.heartbeat_interval) {
    reader.fault("configuration_lease_ms", std::to_string(control.configuration_lease.count() / 1000),
                 "shorter than two heartbeats, so leases would lapse; raise it or lower heartbeat_ms");
  }
  if (control.serve_lease < 2 * control.heartbeat_interval) {
    reader.fault("serve_lease_ms", std::to_string(control.serve_lease.count() / 1000),
                 "shorter than two heartbeats, so leases would lapse; raise it or lower heartbeat_ms");
  }
  reader.finish();
}

void read_consensus(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& raft = settings.controller.raft;
  SectionReader reader("consensus", document.find("consensus"), errors);
  raft.heartbeat_interval = to_duration(reader.integer("heartbeat_ms", 100, 10, 10'000));
  raft.election_timeout_min = to_duration(reader.integer("election_timeout_min_ms", 1000, 50, kMinute));
  raft.election_timeout_max = to_duration(reader.integer("election_timeout_max_ms", 1700, 60, 2 * kMinute));
  raft.restart_check_timeout = raft.election_timeout_min + raft.election_timeout_min / 5;
  if (raft.election_timeout_max <= raft.election_timeout_min) {
    reader.fault("election_timeout_max_ms", std::to_string(raft.election_timeout_max.count() / 1000),
                 "must exceed election_timeout_min_ms, else candidates collide; raise it");
  }
  if (raft.election_timeout_min < 3 * raft.heartbeat_interval) {
    reader.fault("election_timeout_min_ms", std::to_string(raft.election_timeout_min.count() / 1000),
                 "must be at least three times heartbeat_ms; raise it");
  }
  reader.finish();
}

void read_requests(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& requests = settings.requests;
  SectionReader reader("requests", document.find("requests"), errors);
  const auto time = [&reader](const char* key, std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(reader.integer(key, fallback.count(), 10, 60 * kMinute));
  };
  requests.request_timeout = time("request_timeout_ms", requests.request_timeout);
  requests.queue_timeout = time("queue_timeout_ms", requests.queue_timeout);
  requests.claim_timeout = time("claim_timeout_ms", requests.claim_timeout);
  requests.first_byte_timeout = time("first_byte_timeout_ms", requests.first_byte_timeout);
  requests.between_bytes_timeout = time("between_bytes_timeout_ms", requests.between_bytes_timeout);
  requests.most_attempts = static_cast<int>(reader.integer("most_attempts", 3, 1, 10));
  requests.retry_budget_percent = static_cast<int>(reader.integer("retry_budget_percent", 20, 0, 100));
  requests.largest_body = static_cast<size_t>(reader.integer("largest_body_bytes", 8 << 20, 1024, 1 << 30));
  requests.largest_head = static_cast<size_t>(reader.integer("largest_head_bytes", 16 << 10, 1024, 1 << 20));
  requests.most_connections = static_cast<size_t>(reader.integer("most_connections", 20'000, 1, 1'000'000));
  settings.controller.queue_limit = static_cast<size_t>(reader.integer("queue_limit_per_tenant", 256, 1, 1'000'000));
  const auto policy = reader.choice("routing_policy", "prefix_affinity",
                                    {"round_robin", "least_load", "power_of_two", "prefix_affinity"});
  settings.controller.routing_policy = *routing::parse_routing_policy(policy);
  reader.finish();
}

void read_log(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader reader("log", document.find("log"), errors);
  settings.log_level = reader.choice("level", "info", {"debug", "info", "warn", "error", "off"});
  settings.log_file = reader.text("file", "");
  reader.finish();
}

}  // namespace

std::optional<NodeSettings> parse_node_settings(const std::string& text, std::vector<std::string>& errors) {
  const size_t faults_before = errors.size();
  const IniDocument document = IniDocument::parse(text, errors);
  static const std::set<std::string> sections = {"node",      "control_nodes", "platform", "control",
                                                 "consensus", "requests",      "log"};
  for (const auto& section : document.sections()) {
    if (!sections.contains(section.name)) {
      errors.push_back("[" + section.name + "]: unknown section; remove it or correct its spelling");
    }
  }
  NodeSettings settings;
  read_node(document, settings, errors);
  read_peers(document, settings, errors);
  read_platform(document, settings, errors);
  read_control(document, settings, errors);
  read_consensus(document, settings, errors);
  read_requests(document, settings, errors);
  read_log(document, settings, errors);
  return errors.size() > faults_before ? std::nullopt : std::optional(std::move(settings));
}

std::optional<std::string> read_text_file(const std::string& path, std::vector<std::string>& errors) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    errors.push_back("cannot read '" + path + "'; check the path and its permissions");
    return std::nullopt;
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace larchlever::settings
