#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/node/node_controller.h"

namespace larchlever::settings {

/// Limits and timeouts for callers' requests.
struct RequestSettings {
  std::chrono::milliseconds request_timeout{120'000};
  /// Longest time that a request waits for a group, budget or claim before it fails as not run.
  std::chrono::milliseconds queue_timeout{10'000};
  std::chrono::milliseconds claim_timeout{3'000};
  std::chrono::milliseconds first_byte_timeout{30'000};
  std::chrono::milliseconds inter_byte_timeout{15'000};
  int max_attempts = 3;
  /// Retries allowed per 100 requests of a tenant.
  int retry_budget_percent = 20;
  size_t max_body_bytes = 8U << 20U;
  size_t max_header_bytes = 16U << 10U;
  size_t max_connections = 20'000;
};

/// Settings of a node, read from its INI file.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string peer_address;
  std::string service_address;
  std::string admin_address;
  /// Empty if the node stores nothing on disk and therefore cannot be a control replica.
  std::string data_folder;
  /// Peer addresses of the nodes that can become leader, by node name.
  std::map<std::string, std::string> control_nodes;
  /// Address of the platform's membership list; empty if there is none.
  std::string membership_list;
  /// Engine kinds, as given in the membership list, that do not check fencing tokens.
  std::set<std::string> kinds_without_fences;
  node::NodeControllerOptions controller;
  RequestSettings requests;
  std::string log_level = "info";
  std::string log_file;
  std::chrono::milliseconds drain_timeout{600'000};
  /// How long a stopping node still accepts requests after it starts to report that it is not ready.
  std::chrono::milliseconds unready_before_drain{3'000};
};

/// Parses and validates the text of a settings file. If it is invalid, returns nothing and adds all problems to
/// `errors`.
std::optional<NodeSettings> parse_node_settings(const std::string& text, std::vector<std::string>& errors);

/// Reads a whole file. On failure returns nothing and adds the reason to `errors`.
std::optional<std::string> read_text_file(const std::string& path, std::vector<std::string>& errors);

}  // namespace larchlever::settings
