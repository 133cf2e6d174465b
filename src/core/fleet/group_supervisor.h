#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/document/configuration_document.h"
#include "core/fleet/demand_tracker.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/group_planner.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/weight_load_limiter.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

enum class OrderKind { kJoin, kOpen, kLeave, kStage };

/// One order to one instance. Epochs and fencing tokens increase with every leadership, so an order of an earlier
/// leader that is executed late is either rejected or affects only a group that no longer exists.
struct InstanceOrder {
  OrderKind kind = OrderKind::kJoin;
  std::string instance_id;
  std::string address;
  std::string group;
  int64_t epoch = 0;
  int64_t fencing_token = 0;
  std::string model;
  std::vector<std::string> members;
};

/// Outcome of an order. `status` is the HTTP status, or 0 when no response arrived; the order may then still be
/// executed later.
struct InstanceOrderResult {
  InstanceOrder order;
  int status = 0;
};

/// Why a group entered its phase.
enum class GroupChangeReason {
  kPlanned,                 ///< The planner requested the group.
  kAllReady,                ///< Every member reported that it is ready.
  kHeadOpen,                ///< The head reported that it is open.
  kFormationFailed,         ///< A member was lost or did not become ready in time.
  kEntriesReportedFailure,  ///< Entries reported that the head failed or stalled.
  kSilentTooLong,           ///< Streams were silent for longer than those of a sound group ever are.
  kMemberLost,              ///< A member is gone, replaced or silent, or reports another group.
  kMemberLeaving,           ///< A member is shutting down.
  kPreempted,               ///< The servers are needed for another model.
  kDrained,                 ///< No requests are in flight, or the drain timed out.
  kReleased                 ///< The members are free.
};
const char* to_string(GroupChangeReason reason);

/// One state change of a group, for the log.
struct GroupDecision {
  wire::EngineGroup group;
  GroupChangeReason reason = GroupChangeReason::kPlanned;
};

/// Epochs hold the leader's term above this bit and a sequence number below it, so that the epochs of each leadership
/// exceed those of all earlier ones.
constexpr int kEpochTermShift = 20;
constexpr int64_t kEpochSequenceMask = (int64_t{1} << kEpochTermShift) - 1;

/// Name of a spare group: a group of one spare instance that is never opened. Each spare is in one, where it loads or
/// keeps weights. The group's epoch makes the spare reject late orders of its previous groups, and the group's name
/// tells a new leader that the instance is free.
std::string spare_group_name(int64_t term, int64_t epoch);
bool is_spare_group(const std::string& name);

/// True when `instance` (may be null) reports that it is ready as a member of `group`.
bool reports_ready(const wire::Instance* instance, const wire::EngineGroup& group);

/// Forms groups of instances according to the plans of GroupPlanner, opens them, and dissolves those that lost a
/// member.
///
/// Guarantees, even if orders are lost or executed late:
/// - A group is opened only after every member reported that it is ready under the group's name and epoch.
/// - An instance is assigned to another group only after one of these events:
///   - The head of its old group confirmed that it left. If orders to the head are unanswered, it must also report a
///     higher epoch, so that those orders can no longer open the old group.
///   - The head reported itself broken, or another instance replaced it at its address.
///   - Another member confirmed longer than the stall time ago that it left. A head that lost a member makes no
///     progress and is broken by then.
///
/// Single-threaded, deterministic. Holds soft state of one leadership.
class GroupSupervisor {
 public:
  explicit GroupSupervisor(const FleetOptions& options) : options_(options), limiter_(options.load_window) {}

  /// Starts a leadership in `term` with the groups of the previous leader. Assumes that their weight loads may have
  /// just begun.
  void start(TimePoint now, int64_t term, const std::vector<wire::EngineGroup>& inherited);
  /// Replaces the inherited groups by those of a newer state copy. Only valid before the first `tick`.
  void inherit(TimePoint now, const std::vector<wire::EngineGroup>& inherited);
  /// Adds groups that earlier leaders released; instances that still report one of them are free. Names from state
  /// copies of any age are valid, since a released group never exists again.
  void add_released_groups(const std::vector<std::string>& names);
  /// The group failed and is to be dissolved.
  void note_failure(const std::string& group, GroupChangeReason reason = GroupChangeReason::kEntriesReportedFailure);
  /// Sets the number of in-flight requests per group, over all entries.
  void note_loads(std::map<std::string, int> in_flight) { in_flight_ = std::move(in_flight); }
  /// Enables the rate limit on weight loads, which does not apply before the first request.
  void note_traffic() { limiter_.note_first_request(); }
  /// Groups with members in evacuated zones are kept, so that they can serve as soon as the zone is restored. Until
  /// then they do not count as capacity, and no server of the zone joins another group.
  void set_evacuations(const wire::ZoneEvacuations& evacuations) { evacuations_ = evacuations; }
  /// Measured demand, by which servers are divided among models.
  DemandTracker& demand() { return demand_; }
  /// Handles the outcome of an order.
  void order_result(TimePoint now, const InstanceOrderResult& result);
  /// Advances the state of every group. Returns true when subscribers must be notified of a change.
  bool tick(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);

  std::vector<InstanceOrder> take_orders();
  /// Returns the group changes since the last call, in order.
  std::vector<GroupDecision> take_decisions() { return std::exchange(decisions_, {}); }
  std::vector<wire::EngineGroup> snapshot() const;
  /// Names of released groups that instances still report, for the next leader.
  std::vector<std::string> released_groups(const InstanceDirectory& directory) const;
  /// The group with this name, unless it is unknown or being dissolved.
  const wire::EngineGroup* find_live_group(const std::string& name) const;
  /// The group that owns the instance; null when it is free.
  const wire::EngineGroup* owner_of(const std::string& instance_id) const;

 private:
  struct GroupRecord {
    wire::EngineGroup group;
    /// When the group entered its phase.
    TimePoint since{};
    /// An order to open may have been sent, so the head may be open even if its last report says otherwise.
    bool may_be_open = false;
    bool failure_reported = false;
    GroupChangeReason failure_reason = GroupChangeReason::kEntriesReportedFailure;
    /// Formed by an earlier leader, which may since have assigned the head to a group unknown to this leader.
    bool is_inherited = false;
    /// Drained so that another model can use the servers.
    bool is_preempted = false;
    /// When members other than the head confirmed that they left.
    std::map<std::string, TimePoint> member_leave_times;
    bool head_leave_confirmed = false;
    /// Orders to join or open that were sent to the head and not answered: it may still execute them.
    int unanswered_head_orders = 0;
    /// Epoch of the spare group that the head is ordered into after it left, which fences those orders; 0 for none.
    int64_t fence_epoch = 0;
    bool head_fenced = false;
  };

  struct WeightLoadCounts {
    size_t in_progress = 0;
    size_t finished = 0;
  };

  bool advance(TimePoint now, GroupRecord& record, const InstanceDirectory& directory);
  bool advance_joining(TimePoint now, GroupRecord& record, const InstanceDirectory& directory);
  bool advance_opening(TimePoint now, GroupRecord& record, const InstanceDirectory& directory);
  bool advance_open(TimePoint now, GroupRecord& record, const InstanceDirectory& directory);
  bool advance_draining(TimePoint now, GroupRecord& record);
  /// Marks all members of a failed group as suspected: each may be the crashed one until it reports again.
  void suspect_members(TimePoint now, const GroupRecord& record);
  void clear_suspected_members(TimePoint now, const InstanceDirectory& directory);
  /// No entry has requests in flight at the group.
  bool is_idle(const GroupRecord& record) const;
  /// Removes members from `member_leave_times` that rejoined through an order executed late: the head may be complete
  /// again.
  static void remove_rejoined_members(GroupRecord& record, const InstanceDirectory& directory);
  void send_leave_orders(TimePoint now, const GroupRecord& record, const InstanceDirectory& directory);
  /// The head reported to this leader that it is not in the group.
  static bool head_reports_it_left(const GroupRecord& record, const InstanceDirectory& directory);
  /// Orders a head that left into a spare group with a higher epoch, so that late orders cannot open its old group
  /// again. The head of an inherited group is fenced only after it reported its group: it may lead another group by
  /// now, which an order to join would break up.
  void fence_head(TimePoint now, GroupRecord& record, const InstanceDirectory& directory);
  int64_t next_epoch() { return (term_ << kEpochTermShift) + next_epoch_sequence_++; }
  /// The members may be assigned to other groups, by the guarantees of the class.
  bool is_dissolved(TimePoint now, const GroupRecord& record, const InstanceDirectory& directory) const;
  void set_phase(TimePoint now, GroupRecord& record, wire::GroupPhase::type phase, GroupChangeReason reason);
  /// Adopts groups that instances report but no previous leader published, as after the loss of all control replicas.
  bool adopt_unknown_groups(TimePoint now, const document::ConfigurationDocument& document,
                            const InstanceDirectory& directory);
  /// Records the current incarnations and zones of the group's members.
  static void fill_member_details(wire::EngineGroup& group, const InstanceDirectory& directory);
  /// Builds the record of the group that `instance` reports from all instances that report it. The head's id is empty
  /// when no instance reports rank 0.
  GroupRecord build_reported_group(const wire::Instance& instance, const InstanceDirectory& directory) const;
  /// All members of the group are known and its head is open: the group still works, only its record was lost.
  static bool is_intact(const wire::EngineGroup& group, const document::ConfigurationDocument& document,
                        const InstanceDirectory& directory);
  void add_record(GroupRecord record);
  std::map<std::string, GroupRecord>::iterator erase_record(std::map<std::string, GroupRecord>::iterator item);
  bool form_groups(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);
  bool plan_service(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                    const InstanceDirectory& directory);
  bool preempt_groups(TimePoint now, const GroupPlanner& planner);
  PlannerInput planner_input(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                             const InstanceDirectory& directory);
  /// Needs by measured demand, or by the configured fractions until enough demand was measured.
  std::vector<ModelNeed> model_needs(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                                     size_t servers);
  std::string form_group(TimePoint now, const std::string& service, const GroupPlan& plan,
                         const InstanceDirectory& directory);
  /// Orders spares that keep their weights into spare groups.
  void assign_spares_to_spare_groups(TimePoint now, const std::vector<const PlannedServer*>& spares,
                                     const InstanceDirectory& directory);
  void stage_weights(TimePoint now, const document::EngineSpec& engine, const std::vector<StagingPlan>& plans,
                     const InstanceDirectory& directory);
  void send_staging_order(TimePoint now, const StagingPlan& plan, const InstanceDirectory& directory);
  bool may_start_load(const StagingPlan& plan, const document::EngineSpec& engine,
                      const WeightLoadCounts& counts) const;
  void remove_finished_stagings(TimePoint now, const document::EngineSpec& engine, const InstanceDirectory& directory);
  /// Counts the loads that the load limits depend on. Iterates over all instances, so the result is reused for many
  /// plans.
  WeightLoadCounts count_loads(const InstanceDirectory& directory) const;
  size_t count_loads_in_progress(const InstanceDirectory& directory) const;
  void send(TimePoint now, const InstanceOrder& order, const InstanceDirectory& directory);
  /// An order to join a spare group of `model`, whose weights the instance holds or is to load.
  InstanceOrder spare_group_order(const std::string& instance_id, const std::string& model, int64_t epoch) const;
  InstanceOrder group_order(OrderKind kind, const GroupRecord& record, const std::string& instance_id) const;

  FleetOptions options_;
  int64_t term_ = 0;
  int64_t next_epoch_sequence_ = 1;
  TimePoint leadership_started_at_{};
  TimePoint next_planning_at_{};
  WeightLoadLimiter limiter_;
  DemandTracker demand_;
  std::map<std::string, GroupRecord> records_;
  /// Name of the group that each instance belongs to.
  std::map<std::string, std::string> owning_group_names_;
  /// Names of released groups, which instances may still report.
  std::set<std::string> released_group_names_;
  std::map<std::string, int> in_flight_;
  wire::ZoneEvacuations evacuations_;
  /// When each order was last sent, by kind, instance and group.
  std::map<std::string, TimePoint> order_sent_at_;
  /// Members of failed groups, with the time of the failure.
  std::map<std::string, TimePoint> suspected_members_;
  /// Domains where groups were preempted for a model: no other model may take the servers meanwhile.
  struct DomainReservation {
    std::string model;
    TimePoint until{};
  };
  std::map<std::string, DomainReservation> reservations_;
  /// A weight load that an instance was ordered to make and has not reported yet.
  struct PendingStaging {
    std::string model;
    TimePoint since{};
    bool into_accelerators = false;
    /// Birth of the incarnation that received the order; 0 when it is unknown.
    int64_t born_ms = 0;
  };
  std::map<std::string, PendingStaging> pending_stagings_;
  /// Epochs of the spare groups that spares were ordered into and do not report yet.
  std::map<std::string, int64_t> spare_group_epochs_;
  std::vector<InstanceOrder> orders_;
  std::vector<GroupDecision> decisions_;
};

}  // namespace larchlever::fleet
