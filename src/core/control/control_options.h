#pragma once

#include "core/base/time.h"

namespace larchlever::control {

/// Periods and bounds of the control plane. Every node of a fleet must run with the same values.
struct ControlOptions {
  /// How often a node reports to the leader and renews its leases.
  Duration heartbeat_interval = milliseconds(250);
  /// How long a node may dispatch by the configuration it holds, counted from when it asked.
  Duration configuration_lease = milliseconds(1500);
  /// How long a node may dispatch to a group, counted from when it asked.
  Duration serve_lease = milliseconds(1000);
  /// A machine not provably seen for this long counts as lost.
  Duration presence_bound = milliseconds(2000);
  /// A node silent for this long watches no machines any more.
  Duration node_timeout = milliseconds(2500);
  /// A node silent for this long ended, as far as its requests in progress are concerned.
  Duration node_removal_timeout = seconds(10);
  /// A voter silent for this long is replaced when another disk is free.
  Duration replica_timeout = seconds(8);
  /// Voters that a repair never goes below, whatever is lost.
  size_t minimum_voters = 1;
  Duration planning_interval = milliseconds(500);
  /// An order to an engine that is not answered in this time is sent again.
  Duration order_retry_interval = milliseconds(1000);
  /// Longest wait for requests in flight when a group drains.
  Duration drain_timeout = seconds(600);
  /// Longest wait of an operator's answer for the change to be in force.
  Duration in_force_timeout = seconds(5);
  size_t watchers_per_machine = 2;
  /// Log entries applied between two snapshots, and how many stay for replicas that lag.
  int64_t snapshot_interval_entries = 20'000;
  int64_t snapshot_trailing_entries = 2'000;

  Duration longest_lease() const { return configuration_lease > serve_lease ? configuration_lease : serve_lease; }
};

}  // namespace larchlever::control
