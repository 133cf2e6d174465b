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

/// What a planning pass looks at, borrowed from `state`, with no machine marked present yet.
placement::PlanningInput planning_input(const ControlState& state);

struct GroupStats {
  uint64_t groups_created = 0;
  uint64_t groups_lost = 0;
  uint64_t groups_drained = 0;
  uint64_t orders_sent = 0;
  uint64_t orders_fenced = 0;
  uint64_t planning_passes = 0;
};

/// Leads every group through its life on the lease-holding leader: plans, loads, opens, watches, drains, releases.
///
/// Guarantees: a serve lease is granted only while every member was seen alive, under the incarnation and in the epoch
/// of the group, within the presence bound; a machine is released only after every serve lease on its group has run
/// out, and then only when its engine confirmed the release or its old incarnation is dead.
///
/// Soft state of one leadership: `start` forgets everything. Single-threaded, deterministic.
class GroupSupervisor {
 public:
  explicit GroupSupervisor(const ControlOptions& options) : options_(options) {}

  /// A leadership begins. Until `old_leases_until` leases of the predecessor may be alive: nothing is released and no
  /// order leaves before.
  void start(TimePoint now, TimePoint old_leases_until);

  struct Actions {
    std::vector<wire::Command> proposals;
    std::vector<EngineOrder> orders;
  };
  /// Looks at every group and returns what to propose and which orders to send. Call only when every earlier proposal
  /// of this leader has been applied, or was given up.
  Actions tick(TimePoint now, int64_t term, const ControlState& state, const PresenceTable& presence);
  void on_order_result(const OrderResult& result);

  /// Machines that the platform calls leaving: their groups get no lease, hence no new work, from now on.
  void set_leaving(std::set<std::string> machines) {
    leaving_ = std::move(machines);
    leases_valid_until_ = TimePoint::min();
  }

  /// Grants every open group for one serve lease (drift included) and lists the grants. The list is worked out anew
  /// when it is older than a few milliseconds or a machine's state may have changed: hundreds of nodes ask each second.
  const std::vector<wire::GroupLease>& grant_leases(TimePoint now, const ControlState& state,
                                                    const PresenceTable& presence);

  const placement::Plan& last_plan() const { return last_plan_; }
  const GroupStats& stats() const { return stats_; }

 private:
  using OrderKey = std::pair<std::string, int32_t>;  ///< machine, epoch

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
  /// Every member was seen at `at` within the presence bound, as what the group needs it to be, and none is leaving.
  bool are_all_members_present(TimePoint at, const wire::Group& group, const PresenceTable& presence) const;
  bool send_order(TimePoint now, OrderKind kind, const wire::Group& group, size_t rank, const ControlState& state,
                  Actions& actions);
  void propose_transition(const wire::Group& group, wire::GroupState::type to, Actions& actions);

  ControlOptions options_;
  TimePoint term_started_at_{};
  TimePoint old_leases_until_{};
  TimePoint next_plan_at_{};
  int64_t term_ = 0;
  int loads_in_progress_ = 0;
  std::map<int64_t, TimePoint> granted_until_;
  std::set<std::string> leaving_;
  std::map<int64_t, TimePoint> draining_since_;
  std::map<OrderKey, OrderProgress> load_orders_;
  std::map<OrderKey, OrderProgress> release_orders_;
  std::vector<wire::GroupLease> leases_;
  TimePoint leases_valid_until_ = TimePoint::min();
  int64_t leases_applied_index_ = -1;
  placement::Plan last_plan_;
  GroupStats stats_;
};

}  // namespace larchlever::control
