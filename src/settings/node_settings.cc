#include "settings/node_settings.h"

#include <fstream>
#include <sstream>

#include "settings/ini_document.h"

namespace larchlever::settings {

namespace {

constexpr int64_t kMinuteMs = 60'000;

Duration duration_from_ms(int64_t value_ms) { return milliseconds(value_ms); }

void read_node(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader node_section("node", document.find_section("node"), errors);
  settings.name = node_section.read_required_string("name");
  settings.zone = node_section.read_required_string("zone");
  settings.peer_address = node_section.read_address("peer_address", true);
  settings.service_address = node_section.read_address("service_address", true);
  settings.admin_address = node_section.read_address("admin_address", true);
  settings.data_folder = node_section.read_string("data_folder", "");
  settings.unready_before_drain =
      std::chrono::milliseconds(node_section.read_integer("unready_before_drain_ms", 3000, 0, kMinuteMs));
  settings.drain_timeout =
      std::chrono::milliseconds(node_section.read_integer("drain_timeout_ms", 600'000, 0, 60 * kMinuteMs));
  node_section.report_unknown_keys();
}

void read_control_nodes(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  const auto* section = document.find_section("control_nodes");
  SectionReader control_nodes_section("control_nodes", section, errors);
  if (section == nullptr || section->values.empty()) {
    control_nodes_section.add_error(
        "", "", "missing; list the nodes with a data folder, one 'NAME = IP:PORT' (peer address) a line");
    return;
  }
  for (const auto& [name, value] : section->values) {
    settings.control_nodes[name] = control_nodes_section.read_address(name, true);
    settings.controller.control_nodes.push_back(name);
  }
  if (!settings.data_folder.empty() && !settings.control_nodes.contains(settings.name)) {
    control_nodes_section.add_error(settings.name, "",
                                    "this node has a data folder but is not listed; add it, or remove data_folder");
  }
  if (settings.data_folder.empty() && settings.control_nodes.contains(settings.name)) {
    control_nodes_section.add_error(settings.name, settings.control_nodes[settings.name],
                                    "this node is listed but has no [node] data_folder; set one, or remove the line");
  }
}

void read_platform(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader platform_section("platform", document.find_section("platform"), errors);
  settings.membership_list = platform_section.read_address("membership_list", false);
  for (auto& kind : platform_section.read_list("kinds_without_fences")) {
    settings.kinds_without_fences.insert(std::move(kind));
  }
  platform_section.report_unknown_keys();
}

void read_control(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& control = settings.controller.control;
  SectionReader reader("control", document.find_section("control"), errors);
  control.heartbeat_interval = duration_from_ms(reader.read_integer("heartbeat_ms", 250, 20, 10'000));
  control.configuration_lease = duration_from_ms(reader.read_integer("configuration_lease_ms", 1500, 100, kMinuteMs));
  control.serve_lease = duration_from_ms(reader.read_integer("serve_lease_ms", 1000, 100, kMinuteMs));
  control.presence_bound = duration_from_ms(reader.read_integer("presence_bound_ms", 2000, 100, kMinuteMs));
  control.node_timeout = duration_from_ms(reader.read_integer("node_timeout_ms", 2500, 100, 10 * kMinuteMs));
  control.node_removal_timeout = duration_from_ms(reader.read_integer("node_forget_ms", 10'000, 1000, 60 * kMinuteMs));
  control.replica_timeout = duration_from_ms(reader.read_integer("replica_timeout_ms", 8000, 1000, 60 * kMinuteMs));
  control.planning_interval = duration_from_ms(reader.read_integer("planning_interval_ms", 500, 50, kMinuteMs));
  control.drain_timeout =
      duration_from_ms(reader.read_integer("group_drain_timeout_ms", 600'000, 1000, 60 * kMinuteMs));
  control.snapshot_interval_entries = reader.read_integer("snapshot_interval_entries", 20'000, 10, 10'000'000);
  control.snapshot_trailing_entries = reader.read_integer("snapshot_trailing_entries", 2000, 0, 1'000'000);
  if (control.configuration_lease < 2 * control.heartbeat_interval) {
    reader.add_error("configuration_lease_ms", std::to_string(control.configuration_lease.count() / 1000),
                     "shorter than two heartbeats, so leases would expire; raise it or lower heartbeat_ms");
  }
  if (control.serve_lease < 2 * control.heartbeat_interval) {
    reader.add_error("serve_lease_ms", std::to_string(control.serve_lease.count() / 1000),
                     "shorter than two heartbeats, so leases would expire; raise it or lower heartbeat_ms");
  }
  reader.report_unknown_keys();
}

void read_consensus(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& raft = settings.controller.raft;
  SectionReader reader("consensus", document.find_section("consensus"), errors);
  raft.heartbeat_interval = duration_from_ms(reader.read_integer("heartbeat_ms", 100, 10, 10'000));
  raft.election_timeout_min = duration_from_ms(reader.read_integer("election_timeout_min_ms", 1000, 50, kMinuteMs));
  raft.election_timeout_max = duration_from_ms(reader.read_integer("election_timeout_max_ms", 1700, 60, 2 * kMinuteMs));
  raft.restart_check_timeout = raft.election_timeout_min + raft.election_timeout_min / 5;
  if (raft.election_timeout_max <= raft.election_timeout_min) {
    reader.add_error("election_timeout_max_ms", std::to_string(raft.election_timeout_max.count() / 1000),
                     "must be above election_timeout_min_ms, or candidates will split the vote; raise it");
  }
  if (raft.election_timeout_min < 3 * raft.heartbeat_interval) {
    reader.add_error("election_timeout_min_ms", std::to_string(raft.election_timeout_min.count() / 1000),
                     "must be at least three times heartbeat_ms; raise it");
  }
  reader.report_unknown_keys();
}

void read_requests(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  auto& requests = settings.requests;
  SectionReader reader("requests", document.find_section("requests"), errors);
  const auto read_timeout = [&reader](const char* key, std::chrono::milliseconds default_value) {
    return std::chrono::milliseconds(reader.read_integer(key, default_value.count(), 10, 60 * kMinuteMs));
  };
  requests.request_timeout = read_timeout("request_timeout_ms", requests.request_timeout);
  requests.queue_timeout = read_timeout("queue_timeout_ms", requests.queue_timeout);
  requests.claim_timeout = read_timeout("claim_timeout_ms", requests.claim_timeout);
  requests.first_byte_timeout = read_timeout("first_byte_timeout_ms", requests.first_byte_timeout);
  requests.inter_byte_timeout = read_timeout("between_bytes_timeout_ms", requests.inter_byte_timeout);
  requests.max_attempts = static_cast<int>(reader.read_integer("most_attempts", 3, 1, 10));
  requests.retry_budget_percent = static_cast<int>(reader.read_integer("retry_budget_percent", 20, 0, 100));
  requests.max_body_bytes = static_cast<size_t>(reader.read_integer("largest_body_bytes", 8 << 20, 1024, 1 << 30));
  requests.max_header_bytes = static_cast<size_t>(reader.read_integer("largest_head_bytes", 16 << 10, 1024, 1 << 20));
  requests.max_connections = static_cast<size_t>(reader.read_integer("most_connections", 20'000, 1, 1'000'000));
  settings.controller.queue_limit =
      static_cast<size_t>(reader.read_integer("queue_limit_per_tenant", 256, 1, 1'000'000));
  const auto policy = reader.read_choice("routing_policy", "prefix_affinity",
                                         {"round_robin", "least_load", "power_of_two", "prefix_affinity"});
  settings.controller.routing_policy = *routing::parse_routing_policy(policy);
  reader.report_unknown_keys();
}

void read_log(const IniDocument& document, NodeSettings& settings, std::vector<std::string>& errors) {
  SectionReader reader("log", document.find_section("log"), errors);
  settings.log_level = reader.read_choice("level", "info", {"debug", "info", "warn", "error", "off"});
  settings.log_file = reader.read_string("file", "");
  reader.report_unknown_keys();
}

}  // namespace

std::optional<NodeSettings> parse_node_settings(const std::string& text, std::vector<std::string>& errors) {
  const size_t errors_before = errors.size();
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
  read_control_nodes(document, settings, errors);
  read_platform(document, settings, errors);
  read_control(document, settings, errors);
  read_consensus(document, settings, errors);
  read_requests(document, settings, errors);
  read_log(document, settings, errors);
  return errors.size() > errors_before ? std::nullopt : std::optional(std::move(settings));
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
