#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::simulation {

/// Average cost of the nodes of one role, per node and second of virtual time.
struct RoleCost {
  std::string role;
  int nodes = 0;
  double bytes_sent = 0;
  double bytes_received = 0;
  double messages_sent = 0;
  double processor_percent = 0;
};

struct ScaleResult {
  int nodes = 0;
  int machines = 0;
  int groups = 0;
  std::vector<RoleCost> roles;
  double change_in_force_p50_ms = -1;
  double change_in_force_p99_ms = -1;
  /// Latency of a change made just after one entry was partitioned from all other nodes.
  double change_with_cut_off_entry_ms = -1;
  double leader_loss_to_change_ms = -1;
  double zone_loss_to_steady_ms = -1;
  double snapshot_bytes = 0;
  double resident_mb_per_node = 0;
};

/// Simulates `nodes` nodes and `machines` machines in virtual time and measures what each role sends, receives and
/// computes. The nodes run the daemon's own controllers inside this process; messages pass through the daemon's codec.
ScaleResult run_scale(int nodes, int machines, int zones, double measured_seconds);

/// Formats the results as CSV, one line per fleet size and role.
std::string format_scale_csv(const std::vector<ScaleResult>& results);

}  // namespace larchlever::simulation
