#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/fleet_options.h"

namespace larchlever::settings {

enum class FleetRole { kEntry, kControl };

/// Everything that a node of a registered fleet reads from its INI file. Every time that the operators' bounds fix is
/// derived from them here, in one place.
struct FleetSettings {
  std::string name;
  FleetRole role = FleetRole::kEntry;
  std::string zone;
  std::string peer_address;
  /// Where callers connect, and where the balancer asks for readiness; entries only.
  std::string caller_address;
  std::string ready_address;
  /// Where instances and operators call; control replicas only.
  std::string control_address;
  std::string metrics_address;
  std::string data_folder;
  /// Control addresses that the settings name, and the peer addresses derived from them.
  std::vector<std::string> seed_control_addresses;
  std::vector<std::string> seed_peer_addresses;
  /// True only when the whole fleet starts for the first time, on empty disks.
  bool first_start = false;
  /// Names the headers and calls that callers and engines speak; see node/dialect.h.
  std::string dialect = "larchlever";
  /// A stopping process is killed after this time.
  Duration stop_grace_period = seconds(8);
  /// Bytes of answers that an entry holds for callers that have not read them yet; 0 for a part of the machine's
  /// memory.
  size_t answer_buffer_bytes = 0;
  std::string log_level = "info";
  fleet::FleetOptions options;

  /// First start, and this replica is one of the seeds, which settle among them who makes the first log.
  bool may_found_cluster() const;
};

/// Reads and checks a whole settings text. Returns nothing when there are faults; all of them are in `errors`.
std::optional<FleetSettings> parse_fleet_settings(const std::string& text, std::vector<std::string>& errors);

}  // namespace larchlever::settings
