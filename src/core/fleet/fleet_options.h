#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "consensus/raft_node.h"
#include "core/base/time.h"
#include "core/control/control_options.h"
#include "core/document/allowed_regions.h"

namespace larchlever::fleet {

/// Parts of admission control that are off unless the settings turn them on.
struct AdmissionOptions {
  /// Requests that compete for the same servers are admitted by the shares of their tenants (core/fair_share).
  bool fair_shares = false;
  /// The sizes of answers are predicted from earlier answers (core/engine/answer_size_estimator.h).
  bool learned_costs = false;
  /// The speeds of groups and plain servers are learned from what entries observe (core/fleet/server_speeds.h).
  bool observed_speeds = false;
  /// The leader counts the slots of plain servers over all entries and chooses the server of each request.
  bool plain_server_slots = false;
  /// Requests whose turn would come too late are refused at once and told when to return
  /// (core/fleet/turn_forecast.h).
  bool turn_forecasts = false;
};

/// Timeouts and limits of a fleet whose back ends register themselves. Derived from the settings; see
/// settings/fleet_settings.h.
struct FleetOptions {
  /// How often a control replica reports to the leader.
  Duration heartbeat_interval = milliseconds(100);
  /// How often an entry reports to the control replica that it subscribes to.
  Duration entry_heartbeat_interval = milliseconds(250);
  /// An entry whose heartbeats are unanswered for this long switches to another control replica.
  Duration heartbeat_timeout = milliseconds(600);
  /// An entry leaves a control replica that has had no contact with the leader for this long: about the duration of an
  /// election.
  Duration publisher_timeout = milliseconds(1500);
  /// A node without heartbeats for this long is not waited for and gets no share of budgets.
  Duration node_timeout = milliseconds(1200);
  /// How long a node may serve keyed requests by the configuration document that it holds, counted from when it sent
  /// the request that confirmed the document.
  Duration document_lease = milliseconds(4500);
  /// A registered instance without reports for this long is marked silent.
  Duration instance_timeout = milliseconds(2800);
  /// A head that lost a member makes no progress for this long and then reports itself broken.
  Duration stall_time = seconds(5);
  /// An order whose effect is not confirmed is sent again after this time.
  Duration order_retry_interval = milliseconds(800);
  /// Longest wait for nodes to confirm that they know of an instance's deregistration.
  Duration confirmation_timeout = milliseconds(600);
  /// A control call that no leader answered within this time is abandoned.
  Duration call_timeout = milliseconds(900);
  /// Sliding window of the rate limit on weight loads.
  Duration load_window = seconds(5);
  /// Zones named in the settings, each with its region if configured. Servers and control replicas may be in other
  /// zones.
  document::ZoneRegions zones;
  /// No change is acknowledged before the log has this many voters.
  size_t minimum_voters = 1;
  /// Replication of the log and replacement of its voters.
  consensus::RaftOptions raft;
  control::ControlOptions control;
  /// Retry budget of one service per window, over all nodes: a ratio of its requests plus a fixed number.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  Duration retry_window = seconds(10);
  AdmissionOptions admission;
};

}  // namespace larchlever::fleet
