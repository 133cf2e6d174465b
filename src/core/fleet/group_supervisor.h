#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/document/configuration_document.h"
#include "core/fleet/fleet_options.h"
#include "core/fleet/instance_directory.h"
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

/// Epochs carry the leader's term above this bit, so that every leadership's epochs exceed those of the ones before.
constexpr int kEpochTermShift = 20;
constexpr int64_t kEpochNumberMask = (int64_t{1} << kEpochTermShift) - 1;

/// True when `instance` (may be null) says that it is ready as a member of `group`.
bool reports_ready(const wire::Instance* instance, const wire::EngineGroup& group);

/// Forms groups of instances for the models of the engine services, opens them, and dissolves those that lost a member.
///
/// Guarantees, whatever is lost or carried out late:
/// - a group is opened only after every member reported that it is ready under the group's name and epoch;
/// - an instance is given to another group only after its old head confirmed that it left (and, where orders to it are
///   unanswered, that it saw a higher epoch, so that they can no longer open it), or reported itself broken,
/// or
///   is replaced at its address, or one of its members confirmed that it left longer than the stall time ago (a head
///   that misses a member stands still and is broken by then).
///
/// Single-threaded, deterministic; holds soft state of one leadership.
class GroupSupervisor {
 public:
  explicit GroupSupervisor(const FleetOptions& options) : options_(options) {}

  /// A leadership begins in `term` with the previous leader's groups. Their loads may have started just now.
  void start(TimePoint now, int64_t term, const std::vector<wire::EngineGroup>& inherited);
  /// Takes the groups of a newer copy instead of those it started with. Only before the first `tick`.
  void inherit(TimePoint now, const std::vector<wire::EngineGroup>& inherited);
  /// An entry saw a group's head fail or stand still.
  void note_failure(TimePoint now, const std::string& group);
  /// Requests in flight per group, over all entries.
  void note_loads(std::map<std::string, int> in_flight) { in_flight_ = std::move(in_flight); }
  /// Before the first request, loads are not rationed by their rate.
  void note_traffic() { traffic_seen_ = true; }
  void order_result(TimePoint now, const InstanceOrderResult& result);
  /// Advances every group; true when subscribers must learn of it.
  bool tick(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);

  std::vector<InstanceOrder> take_orders();
  std::vector<wire::EngineGroup> snapshot() const;
  /// The group that owns an instance; null when it is free.
  const wire::EngineGroup* owner_of(const std::string& instance_id) const;

 private:
  struct Record {
    wire::EngineGroup group;
    TimePoint since{};
    /// An order to open may have been sent, so the head may be open whatever it last reported.
    bool may_be_open = false;
    bool failed = false;
    /// When a member that is not the head confirmed that it left.
    TimePoint member_left_at = TimePoint::max();
    bool head_left = false;
    /// Orders to join or open that the head may still carry out: sent, and not answered.
    int unanswered_head_orders = 0;
    /// Epoch of the group of its own that the head was given after it left, to fence those orders; 0 for none.
    int64_t fence_epoch = 0;
    bool head_fenced = false;
  };

  bool advance(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_joining(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_opening(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_open(TimePoint now, Record& record, const InstanceDirectory& directory);
  bool advance_draining(TimePoint now, Record& record);
  void order_leave(TimePoint now, const Record& record, const InstanceDirectory& directory);
  /// Gives a head that left an epoch above its old group's, so that late orders cannot open that group again.
  void fence_head(TimePoint now, Record& record, const InstanceDirectory& directory);
  int64_t next_epoch() { return (term_ << kEpochTermShift) + next_number_++; }
  bool is_dissolved(TimePoint now, const Record& record, const InstanceDirectory& directory) const;
  void set_phase(TimePoint now, Record& record, wire::GroupPhase::type phase);
  /// Takes over groups that instances report and no predecessor told of, as after the loss of all control replicas.
  bool adopt_unknown(TimePoint now, const document::ConfigurationDocument& document,
                     const InstanceDirectory& directory);
  /// A record of the group that `instance` reports, with every member found; the head is empty when it is not known.
  Record reported_group(const wire::Instance& instance, const InstanceDirectory& directory) const;
  /// All members of the group are known and its head is open: nothing but the memory of it was lost.
  static bool is_intact(const wire::EngineGroup& group, const document::ConfigurationDocument& document,
                        const InstanceDirectory& directory);
  bool form_groups(TimePoint now, const document::ConfigurationDocument& document, const InstanceDirectory& directory);
  /// The instances of one service: who is free, by fabric domain, and how many each model holds.
  struct ServiceView {
    std::map<std::string, std::vector<const wire::Instance*>> free_by_domain;
    std::map<std::string, size_t> held;
    /// Per model, how many of its servers stand in each domain.
    std::map<std::string, std::map<std::string, size_t>> serving_by_model;
    size_t servers = 0;
  };
  ServiceView view_of(const std::string& service, const InstanceDirectory& directory) const;
  bool form_one(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                const InstanceDirectory& directory);
  /// The model that a domain mostly serves or holds; the largest one where that is even.
  static const document::ModelSpec* main_model(const document::EngineSpec& engine, const ServiceView& view,
                                               const std::string& domain);
  /// Has free instances load the weights that their domain's next repair will need.
  void stage_spares(TimePoint now, const std::string& service, const document::EngineSpec& engine,
                    const InstanceDirectory& directory);
  bool may_load(TimePoint now, const document::EngineSpec& engine, const InstanceDirectory& directory, size_t loads);
  size_t loads_under_way(const InstanceDirectory& directory) const;
  void send(TimePoint now, const InstanceOrder& order, const InstanceDirectory& directory);
  InstanceOrder order_for(OrderKind kind, const Record& record, const std::string& instance_id) const;

  FleetOptions options_;
  int64_t term_ = 0;
  int64_t next_number_ = 1;
  TimePoint started_{};
  bool traffic_seen_ = false;
  /// The previous leader's last loads have left the window by then.
  TimePoint cold_loads_after_{};
  std::map<std::string, Record> records_;
  /// Groups known to be dissolved whose names instances may still report.
  std::set<std::string> dissolved_;
  std::map<std::string, int> in_flight_;
  std::map<std::string, TimePoint> sent_at_;
  /// Spare instances that were ordered to load a model, and when.
  std::map<std::string, TimePoint> staging_;
  std::deque<TimePoint> load_starts_;
  std::vector<InstanceOrder> orders_;
};

}  // namespace larchlever::fleet
