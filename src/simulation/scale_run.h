#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace larchlever::simulation {

/// Cost of one role, per node and second of virtual time.
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
  /// With one entry cut off from everybody since just before the change.
  double change_with_cut_off_entry_ms = -1;
  double leader_loss_to_change_ms = -1;
  double zone_loss_to_steady_ms = -1;
  double snapshot_bytes = 0;
  double resident_mb_per_node = 0;
};

/// Runs `nodes` hollow nodes (the daemon's own controllers, sharing this process) before `machines` machines in virtual
/// time, over the daemon's codec, and measures what each role sends, receives and computes.
ScaleResult run_scale(int nodes, int machines, int zones, double measured_seconds);

/// The results as CSV, one line per size and role.
std::string format_scale_csv(const std::vector<ScaleResult>& results);

}  // namespace larchlever::simulation
