#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "consensus/raft_node.h"
#include "core/base/time.h"
#include "core/control/control_options.h"
#include "core/document/home_regions.h"

namespace larchlever::fleet {

/// Times and bounds of a fleet whose back ends register themselves. Derived from the settings; see
/// settings/fleet_settings.h.
struct FleetOptions {
  /// How often a control replica reports to the leader.
  Duration heartbeat_interval = milliseconds(100);
  /// How often an entry reports to the control replica that it subscribes to.
  Duration entry_heartbeat_interval = milliseconds(250);
  /// A heartbeat unanswered for this long is sent to another control replica.
  Duration heartbeat_timeout = milliseconds(600);
  /// An entry leaves a control replica that has not heard its leader for this long: about what an election takes.
  Duration publisher_timeout = milliseconds(1500);
  /// A node not heard for this long is not waited for and takes no share of budgets.
  Duration node_timeout = milliseconds(1200);
  /// How long a node may serve keyed requests by what it holds, counted from when it asked.
  Duration document_lease = milliseconds(4500);
  /// A registered instance not heard for this long is called silent.
  Duration instance_timeout = milliseconds(2800);
  /// A head that lost a member stands still for this long and is broken then.
  Duration stall_time = seconds(5);
  /// An order without a confirmed effect is sent again after this time.
  Duration order_retry_interval = milliseconds(800);
  /// Longest wait for nodes to confirm that they know an instance is leaving.
  Duration confirmation_timeout = milliseconds(600);
  /// A control call that no leader answered in this time is given up.
  Duration call_timeout = milliseconds(900);
  /// Window over which loads of weights are limited.
  Duration load_window = seconds(5);
  /// Zones that the settings name, each with its region where they tell it; servers and control replicas may stand in
  /// others.
  document::ZoneRegions zones;
  /// No change is acknowledged before the log has this many voters.
  size_t minimum_voters = 1;
  /// Replication of the log and repair of its voters.
  consensus::RaftOptions raft;
  control::ControlOptions control;
  /// Retries that one service may get in a window, over all nodes.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  Duration retry_window = seconds(10);
};

}  // namespace larchlever::fleet
