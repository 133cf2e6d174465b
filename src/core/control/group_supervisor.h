#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/control/control_options.h"
#include "core/control/control_state.h"
#include "core/control/engine_order.h"
#include "core/control/presence_table.h"
#include "core/placement/planner.h"

namespace larchlever::control {

/// Input of a planning pass, which refers to `state`. No machine is marked present yet.
placement::PlanningInput make_planning_input(const ControlState& state);

struct GroupStats {
  uint64_t groups_created = 0;
  uint64_t groups_lost = 0;
  uint64_t groups_drained = 0;
  uint64_t orders_sent = 0;
  uint64_t orders_fenced = 0;
  uint64_t planning_passes = 0;
};

/// Drives the life cycle of every group on the leader: plans, loads, opens, monitors, drains and releases groups.
///
/// Guarantees: a serve lease is granted only if every member was seen alive within the presence bound, with the group's
/// incarnation and epoch. A machine is released only after all serve leases on its group have expired, and its engine
/// has confirmed the release or its old incarnation is dead.
///
/// Soft state of one term, reset by `start`. Single-threaded, deterministic.
class GroupSupervisor {
 public:
  explicit GroupSupervisor(const ControlOptions& options) : options_(options) {}

  /// Starts a term. Until `old_leases_until`, leases granted by the predecessor may be valid: no machine is released
  /// and no order is sent.
  void start(TimePoint now, TimePoint old_leases_until);

  struct Actions {
    std::vector<wire::Command> proposals;
    std::vector<EngineOrder> orders;
  };
  /// Advances every group, and returns the commands to propose and the orders to send. Call only when every earlier
  /// proposal of this leader has been applied or abandoned.
  Actions tick(TimePoint now, int64_t term, const ControlState& state, const PresenceTable& presence);
  void on_order_result(const OrderResult& result);

  /// Sets the machines that the platform reports as leaving. Their groups get no further leases, and so no new
  /// requests.
  void set_leaving_machines(std::set<std::string> machines) {
    leaving_machines_ = std::move(machines);
    leases_valid_until_ = TimePoint::min();
  }

  /// Grants each serving group with all members present a serve lease, including the clock drift margin, and returns
  /// the leases. The result is cached for a few milliseconds or until the state changes, since hundreds of nodes send
  /// heartbeats each second.
  const std::vector<wire::GroupLease>& grant_leases(TimePoint now, const ControlState& state,
                                                    const PresenceTable& presence);

  const placement::Plan& last_plan() const { return last_plan_; }
  const GroupStats& stats() const { return stats_; }

 private:
  using OrderKey = std::pair<std::string, int32_t>;  ///< Machine and epoch.

  struct OrderProgress {
    TimePoint sent_at = TimePoint::min();
    bool done = false;
  };

  void advance_group(TimePoint now, const wire::Group& group, const ControlState& state, const PresenceTable& presence,
                     Actions& actions);
  void load_group(TimePoint now, const wire::Group& group, const ControlState& state, Actions& actions);
  void release_group(TimePoint now, const wire::Group& group, const ControlState& state, const PresenceTable& presence,
                     Actions& actions);
  void run_planner(const ControlState& state, const PresenceTable& presence, TimePoint now, Actions& actions);
  bool has_lost_member(TimePoint now, const wire::Group& group, const ControlState& state,
                       const PresenceTable& presence) const;
  bool all_loaded(const wire::Group& group, const PresenceTable& presence) const;
  bool is_drained(TimePoint now, const wire::Group& group, const PresenceTable& presence);
  bool have_leases_expired(TimePoint now, int64_t group_id) const;
  /// Whether at `at` every member has been seen within the presence bound with the group's incarnation, id and epoch,
  /// and no member is leaving.
  bool are_all_members_present(TimePoint at, const wire::Group& group, const PresenceTable& presence) const;
  /// Sends the order unless it is confirmed or was sent recently; returns whether it is confirmed.
  bool send_order(TimePoint now, OrderKind kind, const wire::Group& group, size_t rank, const ControlState& state,
                  Actions& actions);
  void propose_transition(const wire::Group& group, wire::GroupState::type to, Actions& actions);

  ControlOptions options_;
  TimePoint term_started_at_{};
  TimePoint old_leases_until_{};
  TimePoint next_plan_at_{};
  int64_t term_ = 0;
  int loads_in_progress_ = 0;
  /// When the last serve lease granted on each group expires, by group id.
  std::map<int64_t, TimePoint> granted_until_;
  std::set<std::string> leaving_machines_;
  /// When each draining group was first found without leases, by group id.
  std::map<int64_t, TimePoint> draining_since_;
  std::map<OrderKey, OrderProgress> load_orders_;
  std::map<OrderKey, OrderProgress> release_orders_;
  /// The cached list of leases, when it expires, and the log index that it was computed at.
  std::vector<wire::GroupLease> leases_;
  TimePoint leases_valid_until_ = TimePoint::min();
  int64_t leases_applied_index_ = -1;
  placement::Plan last_plan_;
  GroupStats stats_;
};

}  // namespace larchlever::control
