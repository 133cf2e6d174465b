#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/node/node_controller.h"

namespace larchlever::settings {

/// Limits and times of the callers' side.
struct RequestSettings {
  std::chrono::milliseconds request_timeout{120'000};
  /// Longest wait for a group, a budget or a claim before a request is given up as not run.
  std::chrono::milliseconds queue_timeout{10'000};
  std::chrono::milliseconds claim_timeout{3'000};
  std::chrono::milliseconds first_byte_timeout{30'000};
  std::chrono::milliseconds inter_byte_timeout{15'000};
  int max_attempts = 3;
  /// Retries allowed per hundred requests of a tenant.
  int retry_budget_percent = 20;
  size_t max_body_bytes = 8U << 20U;
  size_t max_header_bytes = 16U << 10U;
  size_t max_connections = 20'000;
};

/// Everything a node reads from its INI file.
struct NodeSettings {
  std::string name;
  std::string zone;
  std::string peer_address;
  std::string service_address;
  std::string admin_address;
  /// Empty on a node without a disk.
  std::string data_folder;
  /// Addresses of the nodes that may lead, by node name.
  std::map<std::string, std::string> control_nodes;
  /// The platform's membership list; empty for none.
  std::string membership_list;
  /// Kinds of engines that do not check fences, as the membership list names them.
  std::set<std::string> kinds_without_fences;
  node::NodeControllerOptions controller;
  RequestSettings requests;
  std::string log_level = "info";
  std::string log_file;
  std::chrono::milliseconds drain_timeout{600'000};
  /// How long a stopping node still accepts requests after it reports itself as not ready.
  std::chrono::milliseconds unready_before_drain{3'000};
};

/// Reads and checks a whole settings text. Returns nothing when there are faults; all of them are in `errors`.
std::optional<NodeSettings> parse_node_settings(const std::string& text, std::vector<std::string>& errors);

/// Reads a file; on failure the reason, with its remedy, goes to `errors`.
std::optional<std::string> read_text_file(const std::string& path, std::vector<std::string>& errors);

}  // namespace larchlever::settings
