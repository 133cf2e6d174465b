#pragma once

#include "core/base/time.h"

namespace larchlever::control {

/// Intervals and timeouts of the control plane. All nodes of a fleet must use the same values.
struct ControlOptions {
  /// Interval at which a node sends a heartbeat to the leader, which renews its leases.
  Duration heartbeat_interval = milliseconds(250);
  /// How long a node may dispatch with its configuration, counted from when it sent the heartbeat.
  Duration configuration_lease = milliseconds(1500);
  /// How long a node may dispatch to a group, counted from when it sent the heartbeat.
  Duration serve_lease = milliseconds(1000);
  /// A machine counts as lost when it is not proven to have been alive for this long.
  Duration presence_bound = milliseconds(2000);
  /// A node without a heartbeat for this long is assigned no machines to poll.
  Duration node_timeout = milliseconds(2500);
  /// A node without a heartbeat for this long counts as ended, and the outcome of its in-flight requests as unknown.
  Duration node_removal_timeout = seconds(10);
  /// A voter without contact for this long is replaced if another node with a disk is available.
  Duration replica_timeout = seconds(8);
  /// A repair never reduces the number of voters below this.
  size_t minimum_voters = 1;
  Duration planning_interval = milliseconds(500);
  /// Interval at which an unanswered order to an engine is sent again.
  Duration order_retry_interval = milliseconds(1000);
  /// Maximum wait for in-flight requests when a group drains.
  Duration drain_timeout = seconds(600);
  /// Maximum time that the reply to an operator waits for the change to be in force on all nodes.
  Duration in_force_timeout = seconds(5);
  size_t watchers_per_machine = 2;
  /// Log entries between two snapshots, and entries kept before a snapshot for lagging replicas.
  int64_t snapshot_interval_entries = 20'000;
  int64_t snapshot_trailing_entries = 2'000;

  Duration longest_lease() const { return configuration_lease > serve_lease ? configuration_lease : serve_lease; }
};

}  // namespace larchlever::control
