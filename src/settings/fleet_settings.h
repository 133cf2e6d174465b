#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/fleet_options.h"

namespace larchlever::settings {

enum class FleetRole { kEntry, kControl };

/// Settings of one node of a registered fleet, read from its INI file. All durations that follow from the operators'
/// `[bounds]` are derived in `parse_fleet_settings`.
struct FleetSettings {
  std::string name;
  FleetRole role = FleetRole::kEntry;
  std::string zone;
  std::string peer_address;
  /// Listen addresses for callers and for the load balancer's readiness checks; entries only.
  std::string caller_address;
  std::string ready_address;
  /// Listen address for requests that other entries ask this one to relay; empty if this entry neither relays requests
  /// nor has its own relayed.
  std::string relay_address;
  /// Listen address for calls from instances and operators; control replicas only.
  std::string control_address;
  std::string metrics_address;
  /// Local IP address from which an entry connects to servers; empty lets the operating system choose.
  std::string outbound_address;
  std::string data_folder;
  /// Control addresses of the configured seed replicas, and their peer addresses: the same hosts with `peer_port`.
  std::vector<std::string> seed_control_addresses;
  std::vector<std::string> seed_peer_addresses;
  /// Set only for the very first start of the whole fleet, on empty disks.
  bool first_start = false;
  /// Name of the set of HTTP headers and paths used with callers and engines; see node/dialect.h.
  std::string dialect = "larchlever";
  /// Time after which the platform kills a stopping process.
  Duration stop_grace_period = seconds(8);
  /// Limit on the response bytes that an entry buffers for slow callers; 0 selects a share of the machine's memory.
  size_t answer_buffer_bytes = 0;
  /// Memory that the process may use; 0 if it may use the machine's.
  size_t memory_bytes = 0;
  /// Limit on the bodies of requests that are being received or served; 0 selects a share of the memory.
  size_t request_buffer_bytes = 0;
  /// Descriptors that the process may open; 0 leaves it to the limit that the operating system sets.
  size_t max_descriptors = 0;
  std::string log_level = "info";
  fleet::FleetOptions options;

  /// True for a seed control replica at the first start. The seeds elect one of them to create the replicated log.
  bool may_found_cluster() const;
};

/// Parses and validates the text of a settings file. If it is invalid, returns nothing and adds all problems to
/// `errors`.
std::optional<FleetSettings> parse_fleet_settings(const std::string& text, std::vector<std::string>& errors);

}  // namespace larchlever::settings
