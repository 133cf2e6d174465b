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

/// One order to one instance. Epoch and fence rise with every leadership, so that an order of an earlier leader that is
/// carried out late is refused or touches only a group that exists no more.
struct InstanceOrder {
  OrderKind kind = OrderKind::kJoin;
  std::string instance_id;
  std::string address;
  std::string group;
  int64_t epoch = 0;
  int64_t fence = 0;
  std::string model;
  std::vector<std::string> members;
};

/// What came of an order; `status` is 0 when no answer arrived, in which case it may still be carried out, also late.
struct InstanceOrderResult {
  InstanceOrder order;
  int status = 0;
};

/// Why a group entered its phase.
enum class GroupReason {
  kPlanned,        ///< The planner asked for it.
  kAllReady,       ///< Every member reported that it is ready.
  kHeadOpen,       ///< The head reported that it is open.
  kNotComplete,    ///< A member was lost, or did not get ready in time.
  kEntriesReport,  ///< Entries saw its head fail or stand still.
  kMemberLost,     ///< A member is gone, replaced, silent, or reports another group.
  kMemberLeaves,   ///< A member is about to stop.
  kGivenUp,        ///< Its servers are wanted for another model.
  kDrained,        ///< Nothing is in flight any more, or for too long.
  kReleased        ///< Its members are free.
};
const char* to_string(GroupReason reason);

/// One change of a group, to be logged.
struct GroupDecision {
  wire::EngineGroup group;
  GroupReason reason = GroupReason::kPlanned;
};

/// Epochs carry the leader's term above this bit, so that every leadership's epochs exceed those of the ones before.
constexpr int kEpochTermShift = 20;
constexpr int64_t kEpochNumberMask = (int64_t{1} << kEpochTermShift) - 1;

/// Groups of one instance that are never opened. Every spare is in one: it loads or keeps weights there, it refuses
/// late orders of the groups it was in before, and a new leader knows it for free by the group's name alone.
std::string holding_group_name(int64_t term, int64_t epoch);
bool is_holding_group(const std::string& name);

/// True when `instance` (may be null) says that it is ready as a member of `group`.
bool reports_ready(const wire::Instance* instance, const wire::EngineGroup& group);

/// Forms groups of instances for the models of the engine services as GroupPlanner plans them, opens them, and
/// dissolves those that lost a member.
///
/// Guarantees, whatever is lost or carried out late:
/// - a group is opened only after every member reported that it is ready under the group's name and epoch;
/// - an instance is given to another group only after its old head confirmed that it left (and, where orders to it are
///   unanswered, that it saw a higher epoch, so that they can no longer open it), or reported itself broken, or is
///   replaced at its address, or one of its members confirmed that it left longer than the stall time ago (a head that
///   misses a member stands still and is broken by then).
///
/// Single-threaded, deterministic; holds soft state of one leadership.
class GroupSupervisor {
 public:
  explicit GroupSupervisor(const FleetOptions& options) : options_(options), limiter_(options.load_window) {}

  /// A leadership begins in `term` with the previous leader's groups. Their loads may have started just now.
  void start(TimePoint now, int64_t term, const std::vector<wire::EngineGroup>& inherited);
  /// Takes the groups of a newer copy instead of those it started with. Only before the first `tick`.
  void inherit(TimePoint now, const std::vector<wire::EngineGroup>& inherited);
  /// Groups that an earlier leadership released: who still reports one of them is free. Holds of copies of any age,
  /// since a group that was released never comes back.
  void inherit_released(const std::vector<std::string>& names);
  /// An entry saw a group's head fail or stand still.
  void note_failure(const std::string& group);
  /// Requests in flight per group, over all entries.
  void note_loads(std::map<std::string, int> in_flight) { in_flight_ = std::move(in_flight); }
  /// Before the first request, loads are not rationed by their rate.
  void note_traffic() { limiter_.note_first_request(); }
  /// Groups with members in evacuated zones are kept as they are, so that they serve at once when the zone is restored;
  /// until then they count for nothing, and no server there joins another.
  void set_evacuations(const wire::ZoneEvacuations& evacuations) { evacuations_ = evacuations; }
  /// The demand that groups are shared out by.
  DemandTracker& demand() { return demand_; }
  void order_result(TimePoint now, const InstanceOrderResult& result);
  /// Advances every group; true when subscribers must learn of it.
  bool tick(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);

  std::vector<InstanceOrder> take_orders();
  /// What was decided about groups since the last call, in order.
  std::vector<GroupDecision> take_decisions() { return std::exchange(decisions_, {}); }
  std::vector<wire::EngineGroup> snapshot() const;
  /// Names of released groups that instances still report, for the next leadership.
  std::vector<std::string> released_groups(const InstanceDirectory& directory) const;
  /// The group that owns an instance; null when it is free.
  const wire::EngineGroup* owner_of(const std::string& instance_id) const;

 private:
  struct Record {
    wire::EngineGroup group;
    TimePoint since{};
    /// An order to open may have been sent, so the head may be open whatever it last reported.
    bool may_be_open = false;
    bool failed = false;
    /// An earlier leadership formed it, and may since have given its head to a group that nobody told us of.
    bool is_inherited = false;
    /// Drained so that another model gets its servers.
    bool is_given_up = false;
    /// Members other than the head that confirmed that they left, and when.
    std::map<std::string, TimePoint> members_left;
    bool head_left = false;
    /// Orders to join or open that the head may still carry out: sent, and not answered.
    int unanswered_head_orders = 0;
    /// Epoch of the group of its own that the head was given after it left, to fence those orders; 0 for none.
    int64_t fence_epoch = 0;
    bool head_fenced = false;
  };

  struct LoadCounts {
    size_t under_way = 0;
    size_t finished = 0;
  };

  bool advance(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_joining(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_opening(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_open(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_draining(TimePoint now, Record& record);
  /// The group failed: until a member is heard again, it may be the one that died.
  void suspect_members(TimePoint now, const Record& record);
  void clear_suspects(TimePoint now, const InstanceDirectory& directory);
  /// No entry has anything in flight there.
  bool is_idle(const Record& record) const;
  /// An order to join that was carried out late took a member back that had left: the head may lack nobody.
  static void forget_returned_members(Record& record, const InstanceDirectory& directory);
  void order_leave(TimePoint now, const Record& record, const InstanceDirectory& directory);
  /// The head's own word under this leadership that it is not in the group.
  static bool head_says_it_left(const Record& record, const InstanceDirectory& directory);
  /// Gives a head that left an epoch above its old group's, so that late orders cannot open that group again. The head
  /// of an inherited group is left alone until it has said where it is: it may lead another group by now, which an
  /// order to join breaks off.
  void fence_head(TimePoint now, Record& record, const InstanceDirectory& directory);
  int64_t next_epoch() { return (term_ << kEpochTermShift) + next_number_++; }
  bool is_dissolved(TimePoint now, const Record& record, const InstanceDirectory& directory) const;
  void set_phase(TimePoint now, Record& record, wire::GroupPhase::type phase, GroupReason reason);
  /// Takes over groups that instances report and no predecessor told of, as after the loss of all control replicas.
  bool adopt_unknown(TimePoint now, const document::ConfigurationDocument& document,
                     const InstanceDirectory& directory);
  /// The group is formed of its members as they are now.
  static void note_members(wire::EngineGroup& group, const InstanceDirectory& directory);
  /// A record of the group that `instance` reports, with every member found; the head is empty when it is not known.
  Record reported_group(const wire::Instance& instance, const InstanceDirectory& directory) const;
  /// All members of the group are known and its head is open: nothing but the memory of it was lost.
  static bool is_intact(const wire::EngineGroup& group, const document::ConfigurationDocument& document,
                        const InstanceDirectory& directory);
  void add_record(Record record);
  std::map<std::string, Record>::iterator erase_record(std::map<std::string, Record>::iterator item);
  bool form_groups(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);
  bool plan_service(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                    const InstanceDirectory& directory);
  bool give_up_groups(TimePoint now, const GroupPlanner& planner);
  PlannerInput planner_input(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                             const InstanceDirectory& directory);
  /// By measured demand; by the configured fractions until enough of it was seen.
  std::vector<ModelNeed> needs_of(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                                  size_t servers);
  std::string form_group(TimePoint now, const std::string& service, const GroupPlan& plan,
                         const InstanceDirectory& directory);
  /// Puts spares that keep their weights into holding groups.
  void hold_spares(TimePoint now, const std::vector<const PlannedServer*>& spares, const InstanceDirectory& directory);
  void stage_weights(TimePoint now, const document::EngineSpec& engine, const std::vector<StagingPlan>& plans,
                     const InstanceDirectory& directory);
  void order_staging(TimePoint now, const StagingPlan& plan, const InstanceDirectory& directory);
  bool is_worth_a_load(const StagingPlan& plan, const document::EngineSpec& engine, const LoadCounts& counts) const;
  void forget_finished_stagings(TimePoint now, const document::EngineSpec& engine, const InstanceDirectory& directory);
  /// Counts that the limits of loads depend on. Taken once for many plans: they cost a look at every instance.
  LoadCounts count_loads(const InstanceDirectory& directory) const;
  size_t loads_under_way(const InstanceDirectory& directory) const;
  void send(TimePoint now, const InstanceOrder& order, const InstanceDirectory& directory);
  /// An order to join a holding group, with weights that the instance has or is to load.
  InstanceOrder holding_order(const std::string& instance_id, const std::string& model, int64_t epoch) const;
  InstanceOrder order_for(OrderKind kind, const Record& record, const std::string& instance_id) const;

  FleetOptions options_;
  int64_t term_ = 0;
  int64_t next_number_ = 1;
  TimePoint started_{};
  TimePoint next_planning_{};
  WeightLoadLimiter limiter_;
  DemandTracker demand_;
  std::map<std::string, Record> records_;
  /// The group that each instance belongs to.
  std::map<std::string, std::string> owners_;
  /// Groups known to be dissolved whose names instances may still report.
  std::set<std::string> dissolved_;
  std::map<std::string, int> in_flight_;
  wire::ZoneEvacuations evacuations_;
  std::map<std::string, TimePoint> sent_at_;
  /// Members of groups that failed, and when.
  std::map<std::string, TimePoint> suspects_;
  /// Domains where servers were given up for a model, so that no other takes them in the meantime.
  struct Reservation {
    std::string model;
    TimePoint until{};
  };
  std::map<std::string, Reservation> reservations_;
  /// Weights that instances were ordered to load onto their hosts and did not report yet.
  struct Staging {
    std::string model;
    TimePoint since{};
    bool into_accelerators = false;
    /// Birth of the incarnation that was ordered; 0 when it does not tell.
    int64_t born_ms = 0;
  };
  std::map<std::string, Staging> staging_;
  /// Epochs of the holding groups that spares were ordered into and do not report yet.
  std::map<std::string, int64_t> holding_epochs_;
  std::vector<InstanceOrder> orders_;
  std::vector<GroupDecision> decisions_;
};

}  // namespace larchlever::fleet
