#include "core/fleet/group_supervisor.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "core/base/http_status.h"

namespace larchlever::fleet {

namespace {

/// A group that is not ready within this time is dissolved.
constexpr Duration kJoiningTimeout = seconds(60);
/// Longest wait for in-flight requests of a draining group.
constexpr Duration kDrainTimeout = seconds(9);
/// A group drains for at least this time, so that every entry learns of it.
constexpr Duration kMinDrainTime = milliseconds(500);
/// A head that does not confirm within this time that it left may be unreachable; then a member is ordered to leave
/// too.
constexpr Duration kHeadLeaveTimeout = milliseconds(1500);
/// Added to the stall time for clock drift and the latency of responses.
constexpr Duration kStallMargin = milliseconds(700);
/// After a change of leadership, unknown groups are adopted after this time, in which every instance can report.
constexpr Duration kAdoptionDelay = seconds(3);

/// A member of a failed group is not assigned to another group until it reports again, or until this time has passed: a
/// crashed member is marked silent by then.
constexpr Duration kSuspicionTimeout = seconds(5);
/// A plan costs about 2 us per instance: with this interval per instance, planning takes 3 % of a core.
constexpr Duration kPlanningIntervalPerInstance = microseconds(60);
/// Shorter planning intervals are treated as zero: they do not matter beside the interval of the leader's ticks.
constexpr Duration kMinPlanningInterval = milliseconds(40);
/// Suffix of the names of spare groups.
constexpr std::string_view kSpareGroupSuffix = "-single";

bool reports_membership(const wire::Instance& instance, const wire::EngineGroup& group) {
  return instance.membership.group == group.name && instance.membership.epoch == group.epoch;
}

bool reports_membership(const wire::Instance* instance, const wire::EngineGroup& group,
                        wire::MembershipState::type state) {
  return instance != nullptr && reports_membership(*instance, group) && instance->membership.state == state;
}

bool can_take_work(const wire::Instance* instance) {
  return instance != nullptr && instance->state == wire::InstanceState::READY && !instance->silent;
}

/// Returns the member with this rank; null when it is unknown or only another incarnation of it is known. A new
/// incarnation has no state of the group, and if it joins through a late order, it is not the member that was ready
/// when the group was opened.
const wire::Instance* find_member(const wire::EngineGroup& group, size_t rank, const InstanceDirectory& directory) {
  const auto* member = directory.find(group.members[rank]);
  const int64_t born_ms = rank < group.member_born_ms.size() ? group.member_born_ms[rank] : 0;
  const bool is_other = member != nullptr && born_ms != 0 && member->born_ms != 0 && member->born_ms != born_ms;
  return is_other ? nullptr : member;
}

bool is_success(int status) { return status >= 200 && status < 300; }

/// Interval between two plans, so that planning takes a constant fraction of a core for any size of the fleet.
Duration planning_interval(size_t instances) {
  const Duration interval = kPlanningIntervalPerInstance * static_cast<int64_t>(instances);
  return interval > kMinPlanningInterval ? interval : Duration::zero();
}

/// Another instance reports from the address of `id`, so the process of `id` has ended. Rows that come only from a
/// state copy are no evidence: the copy may be older than `id`.
bool is_replaced(const std::string& id, const InstanceDirectory& directory) {
  const auto* instance = directory.find(id);
  if (instance == nullptr) {
    return false;
  }
  return std::any_of(directory.rows().begin(), directory.rows().end(), [&](const auto& item) {
    const auto& other = item.second.instance;
    return other.id != id && item.second.is_confirmed() && other.address == instance->address &&
           other.state != wire::InstanceState::GONE;
  });
}

}  // namespace

const char* to_string(GroupChangeReason reason) {
  switch (reason) {
    case GroupChangeReason::kPlanned:
      return "planned";
    case GroupChangeReason::kAllReady:
      return "all members ready";
    case GroupChangeReason::kHeadOpen:
      return "head open";
    case GroupChangeReason::kFormationFailed:
      return "not complete";
    case GroupChangeReason::kEntriesReportedFailure:
      return "entries report a failure";
    case GroupChangeReason::kSilentTooLong:
      return "silent for too long";
    case GroupChangeReason::kMemberLost:
      return "member lost";
    case GroupChangeReason::kMemberLeaving:
      return "member leaves";
    case GroupChangeReason::kPreempted:
      return "given up for another model";
    case GroupChangeReason::kDrained:
      return "drained";
    case GroupChangeReason::kReleased:
      return "released";
  }
  return "";
}

std::string spare_group_name(int64_t term, int64_t epoch) {
  return "g" + std::to_string(term) + "-" + std::to_string(epoch & kEpochSequenceMask) + std::string(kSpareGroupSuffix);
}

bool is_spare_group(const std::string& name) { return name.ends_with(kSpareGroupSuffix); }

bool reports_ready(const wire::Instance* instance, const wire::EngineGroup& group) {
  return reports_membership(instance, group, wire::MembershipState::READY);
}

void GroupSupervisor::start(TimePoint now, int64_t term, const std::vector<wire::EngineGroup>& inherited) {
  term_ = term;
  next_epoch_sequence_ = 1;
  leadership_started_at_ = now;
  released_group_names_.clear();
  order_sent_at_.clear();
  pending_stagings_.clear();
  spare_group_epochs_.clear();
  orders_.clear();
  decisions_.clear();
  reservations_.clear();
  demand_.start();
  suspected_members_.clear();
  next_planning_at_ = now;
  inherit(now, inherited);
}

void GroupSupervisor::inherit(TimePoint now, const std::vector<wire::EngineGroup>& inherited) {
  records_.clear();
  owning_group_names_.clear();
  limiter_.start(now, !inherited.empty());
  for (const auto& group : inherited) {
    GroupRecord record;
    record.group = group;
    record.since = now;
    record.is_inherited = true;
    record.may_be_open = true;
    record.unanswered_head_orders = 1;  // The orders of the previous leader are unknown.
    if (group.phase == wire::GroupPhase::JOINING) {
      // The previous leader may have assigned these members to another group by orders that are still in transit. If
      // the group were opened under its old epoch, it could lose a member to them. A new group has a higher epoch.
      record.group.phase = wire::GroupPhase::DISSOLVING;
    }
    add_record(std::move(record));
  }
}

void GroupSupervisor::add_released_groups(const std::vector<std::string>& names) {
  released_group_names_.insert(names.begin(), names.end());
}

void GroupSupervisor::add_record(GroupRecord record) {
  for (const auto& member : record.group.members) {
    owning_group_names_[member] = record.group.name;
  }
  records_[record.group.name] = std::move(record);
}

std::map<std::string, GroupSupervisor::GroupRecord>::iterator GroupSupervisor::erase_record(
    std::map<std::string, GroupRecord>::iterator item) {
  std::erase_if(owning_group_names_, [&item](const auto& owner) { return owner.second == item->first; });
  return records_.erase(item);
}

void GroupSupervisor::note_failure(const std::string& group, GroupChangeReason reason) {
  const auto found = records_.find(group);
  if (found != records_.end() && !std::exchange(found->second.failure_reported, true)) {
    found->second.failure_reason = reason;
  }
}

void GroupSupervisor::order_result(TimePoint now, const InstanceOrderResult& result) {
  if (result.status != 0) {
    suspected_members_.erase(result.order.instance_id);
  }
  const auto found = records_.find(result.order.group);
  if (found == records_.end()) {
    return;
  }
  GroupRecord& record = found->second;
  const bool to_head = record.group.members.front() == result.order.instance_id;
  const bool may_open_head = result.order.kind == OrderKind::kJoin || result.order.kind == OrderKind::kOpen;
  if (may_open_head && to_head && result.status != 0) {
    --record.unanswered_head_orders;
  }
  // Conflict: the instance is not in this group. Precondition failed: it has seen a higher epoch or fencing token.
  const bool left = is_success(result.status) || result.status == http_status::kConflict ||
                    result.status == http_status::kPreconditionFailed;
  if (result.order.kind != OrderKind::kLeave || !left) {
    return;  // Joins and opens are confirmed only by reports of the instances, not by responses.
  }
  if (to_head) {
    record.head_leave_confirmed = true;
  } else {
    record.member_leave_times.try_emplace(result.order.instance_id, now);
  }
}

void GroupSupervisor::set_phase(TimePoint now, GroupRecord& record, wire::GroupPhase::type phase,
                                GroupChangeReason reason) {
  record.group.phase = phase;
  record.since = now;
  decisions_.push_back({record.group, reason});
}

InstanceOrder GroupSupervisor::group_order(OrderKind kind, const GroupRecord& record,
                                           const std::string& instance_id) const {
  InstanceOrder order;
  order.kind = kind;
  order.instance_id = instance_id;
  order.group = record.group.name;
  order.epoch = record.group.epoch;
  order.fencing_token = term_;
  order.model = record.group.model;
  order.members = record.group.members;
  return order;
}

InstanceOrder GroupSupervisor::spare_group_order(const std::string& instance_id, const std::string& model,
                                                 int64_t epoch) const {
  InstanceOrder order;
  order.kind = OrderKind::kJoin;
  order.instance_id = instance_id;
  order.group = spare_group_name(term_, epoch);
  order.epoch = epoch;
  order.fencing_token = term_;
  order.model = model;
  order.members = {instance_id};
  return order;
}

void GroupSupervisor::send(TimePoint now, const InstanceOrder& order, const InstanceDirectory& directory) {
  const auto* instance = directory.find(order.instance_id);
  if (instance == nullptr) {
    return;
  }
  const std::string key = std::to_string(static_cast<int>(order.kind)) + order.instance_id + order.group;
  const auto [sent, is_first] = order_sent_at_.try_emplace(key, now);
  if (!is_first && now - sent->second < options_.order_retry_interval) {
    return;
  }
  sent->second = now;
  orders_.push_back(order);
  orders_.back().address = instance->address;
  const auto record = records_.find(order.group);
  const bool may_open_head = order.kind == OrderKind::kJoin || order.kind == OrderKind::kOpen;
  if (may_open_head && record != records_.end() && record->second.group.members.front() == order.instance_id) {
    ++record->second.unanswered_head_orders;
  }
}

bool GroupSupervisor::head_reports_it_left(const GroupRecord& record, const InstanceDirectory& directory) {
  const auto head = directory.rows().find(record.group.members.front());
  return head != directory.rows().end() && head->second.is_confirmed() &&
         !reports_membership(head->second.instance, record.group);
}

void GroupSupervisor::fence_head(TimePoint now, GroupRecord& record, const InstanceDirectory& directory) {
  if (record.is_inherited && !head_reports_it_left(record, directory)) {
    return;
  }
  const auto& head = record.group.members.front();
  if (record.fence_epoch == 0) {
    record.fence_epoch = next_epoch();
  }
  const auto* instance = directory.find(head);
  if (instance != nullptr && instance->membership.epoch >= record.fence_epoch) {
    record.head_fenced = true;
    return;
  }
  send(now, spare_group_order(head, record.group.model, record.fence_epoch), directory);
}

bool GroupSupervisor::advance_joining(TimePoint now, GroupRecord& record, const InstanceDirectory& directory) {
  size_t ready = 0;
  bool formation_failed = now - record.since > kJoiningTimeout || record.failure_reported;
  for (size_t rank = 0; rank < record.group.members.size(); ++rank) {
    const auto* member = find_member(record.group, rank, directory);
    formation_failed = formation_failed || !can_take_work(member);
    ready += reports_ready(member, record.group) ? 1 : 0;
  }
  if (formation_failed) {
    record.head_leave_confirmed =
        record.head_leave_confirmed || !record.may_be_open;  // Never opened: the members are free at once.
    set_phase(now, record, wire::GroupPhase::DISSOLVING, GroupChangeReason::kFormationFailed);
    return true;
  }
  if (ready == record.group.members.size()) {
    record.may_be_open = true;
    set_phase(now, record, wire::GroupPhase::OPENING, GroupChangeReason::kAllReady);
    send(now, group_order(OrderKind::kOpen, record, record.group.members.front()), directory);
    return true;
  }
  for (const auto& id : record.group.members) {
    if (!reports_membership(*directory.find(id), record.group)) {
      send(now, group_order(OrderKind::kJoin, record, id), directory);
    }
  }
  return false;
}

bool GroupSupervisor::advance_opening(TimePoint now, GroupRecord& record, const InstanceDirectory& directory) {
  bool complete = true;
  for (size_t rank = 0; rank < record.group.members.size(); ++rank) {
    const auto* member = find_member(record.group, rank, directory);
    complete = complete && can_take_work(member) && reports_membership(*member, record.group) &&
               member->membership.state != wire::MembershipState::BROKEN;
  }
  if (!complete || record.failure_reported) {
    set_phase(now, record, wire::GroupPhase::DISSOLVING,
              complete ? record.failure_reason : GroupChangeReason::kFormationFailed);
    return true;
  }
  const auto& head = record.group.members.front();
  if (reports_membership(directory.find(head), record.group, wire::MembershipState::OPEN)) {
    set_phase(now, record, wire::GroupPhase::OPEN, GroupChangeReason::kHeadOpen);
    return true;
  }
  send(now, group_order(OrderKind::kOpen, record, head), directory);
  return false;
}

bool GroupSupervisor::advance_open(TimePoint now, GroupRecord& record, const InstanceDirectory& directory) {
  bool broken = record.failure_reported;
  bool leaving = false;
  bool silent = false;
  for (size_t rank = 0; rank < record.group.members.size(); ++rank) {
    const auto& id = record.group.members[rank];
    const auto* member = find_member(record.group, rank, directory);
    if (member == nullptr) {
      broken = true;
      continue;
    }
    const bool gone = member->state == wire::InstanceState::GONE;
    broken = broken || (gone && is_replaced(id, directory));
    broken = broken || (!gone && !reports_membership(*member, record.group));
    leaving = leaving || member->state != wire::InstanceState::READY;
    silent = silent || member->silent;
  }
  broken = broken || reports_membership(directory.find(record.group.members.front()), record.group,
                                        wire::MembershipState::BROKEN);
  if (broken || (silent && is_idle(record))) {
    suspect_members(now, record);
    set_phase(now, record, wire::GroupPhase::DISSOLVING,
              record.failure_reported ? record.failure_reason : GroupChangeReason::kMemberLost);
    return true;
  }
  if (leaving) {
    set_phase(now, record, wire::GroupPhase::DRAINING, GroupChangeReason::kMemberLeaving);
    return true;
  }
  return false;
}

bool GroupSupervisor::is_idle(const GroupRecord& record) const {
  const auto in_flight = in_flight_.find(record.group.name);
  return in_flight == in_flight_.end() || in_flight->second == 0;
}

bool GroupSupervisor::advance_draining(TimePoint now, GroupRecord& record) {
  const Duration age = now - record.since;
  if (record.failure_reported || age > kDrainTimeout || (is_idle(record) && age > kMinDrainTime)) {
    set_phase(now, record, wire::GroupPhase::DISSOLVING, GroupChangeReason::kDrained);
    return true;
  }
  return false;
}

void GroupSupervisor::suspect_members(TimePoint now, const GroupRecord& record) {
  for (const auto& member : record.group.members) {
    suspected_members_[member] = now;
  }
}

void GroupSupervisor::clear_suspected_members(TimePoint now, const InstanceDirectory& directory) {
  std::erase_if(suspected_members_, [&](const auto& item) {
    const auto row = directory.rows().find(item.first);
    const bool reported_again = row != directory.rows().end() && row->second.last_report_at > item.second;
    return reported_again || now - item.second > kSuspicionTimeout;
  });
}

void GroupSupervisor::remove_rejoined_members(GroupRecord& record, const InstanceDirectory& directory) {
  std::erase_if(record.member_leave_times, [&](const auto& left) {
    const auto row = directory.rows().find(left.first);
    return row != directory.rows().end() && row->second.is_confirmed() && row->second.last_report_at > left.second &&
           reports_membership(row->second.instance, record.group);
  });
}

void GroupSupervisor::send_leave_orders(TimePoint now, const GroupRecord& record, const InstanceDirectory& directory) {
  const auto& members = record.group.members;
  if (record.failure_reported) {
    // One member has crashed. A member that confirms its leave has not, and the head stalls without any one of them.
    for (const auto& member : members) {
      if (can_take_work(directory.find(member))) {
        send(now, group_order(OrderKind::kLeave, record, member), directory);
      }
    }
    return;
  }
  if (!record.head_leave_confirmed) {
    send(now, group_order(OrderKind::kLeave, record, members.front()), directory);
  }
  const auto* head = directory.find(members.front());
  if (can_take_work(head) && now - record.since < kHeadLeaveTimeout) {
    return;
  }
  if (!record.member_leave_times.empty()) {
    return;  // One member is enough: the head stalls without it.
  }
  for (size_t rank = 1; rank < members.size(); ++rank) {
    if (can_take_work(directory.find(members[rank]))) {
      send(now, group_order(OrderKind::kLeave, record, members[rank]), directory);
      return;
    }
  }
}

bool GroupSupervisor::is_dissolved(TimePoint now, const GroupRecord& record, const InstanceDirectory& directory) const {
  if (record.head_leave_confirmed &&
      (!record.may_be_open || record.unanswered_head_orders <= 0 || record.head_fenced)) {
    return true;
  }
  const bool stalled =
      std::any_of(record.member_leave_times.begin(), record.member_leave_times.end(),
                  [&](const auto& left) { return now - left.second > options_.stall_time + kStallMargin; });
  if (stalled) {
    return true;
  }
  const auto& head_id = record.group.members.front();
  const auto head = directory.rows().find(head_id);
  if (head == directory.rows().end()) {
    return false;
  }
  if (is_replaced(head_id, directory)) {
    return true;
  }
  if (!head->second.reported_this_term || head->second.instance.state == wire::InstanceState::GONE) {
    return false;
  }
  const auto& membership = head->second.instance.membership;
  if (membership.state == wire::MembershipState::BROKEN && reports_membership(head->second.instance, record.group)) {
    return true;
  }
  // A head that only reports itself ready may still execute an order to open that is in transit. A head that reports an
  // epoch above the group's cannot.
  return membership.epoch > record.group.epoch ||
         (!reports_membership(head->second.instance, record.group) && record.unanswered_head_orders <= 0);
}

bool GroupSupervisor::advance(TimePoint now, GroupRecord& record, const InstanceDirectory& directory) {
  switch (record.group.phase) {
    case wire::GroupPhase::JOINING:
      return advance_joining(now, record, directory);
    case wire::GroupPhase::OPENING:
      return advance_opening(now, record, directory);
    case wire::GroupPhase::OPEN:
      return advance_open(now, record, directory);
    case wire::GroupPhase::DRAINING:
      return advance_draining(now, record);
    case wire::GroupPhase::DISSOLVING:
      remove_rejoined_members(record, directory);
      if (is_dissolved(now, record, directory)) {
        return false;
      }
      if (record.head_leave_confirmed) {
        fence_head(now, record, directory);
      }
      // A head that left may crash before it is fenced. Its members are then ordered to leave, as with an unreachable
      // head.
      if (!record.head_leave_confirmed || now - record.since > kHeadLeaveTimeout) {
        send_leave_orders(now, record, directory);
      }
      return false;
  }
  return false;
}

void GroupSupervisor::fill_member_details(wire::EngineGroup& group, const InstanceDirectory& directory) {
  group.member_born_ms.clear();
  std::set<std::string> zones;
  for (const auto& id : group.members) {
    const auto* member = directory.find(id);
    group.member_born_ms.push_back(member == nullptr ? 0 : member->born_ms);
    if (member != nullptr) {
      zones.insert(member->zone);
    }
  }
  group.zones.assign(zones.begin(), zones.end());
}

GroupSupervisor::GroupRecord GroupSupervisor::build_reported_group(const wire::Instance& instance,
                                                                   const InstanceDirectory& directory) const {
  GroupRecord record;
  record.group.name = instance.membership.group;
  record.group.epoch = instance.membership.epoch;
  record.group.service_name = instance.service_name;
  record.group.model = instance.model;
  std::map<int32_t, std::string> by_rank;
  for (const auto& [id, row] : directory.rows()) {
    const bool present =
        row.reported_this_term && row.instance.state != wire::InstanceState::GONE && owner_of(id) == nullptr;
    if (present && reports_membership(row.instance, record.group)) {
      by_rank[row.instance.membership.rank] = id;
    }
  }
  by_rank.try_emplace(0, "");
  for (const auto& [rank, id] : by_rank) {
    record.group.members.push_back(id);
  }
  fill_member_details(record.group, directory);
  return record;
}

bool GroupSupervisor::is_intact(const wire::EngineGroup& group, const document::ConfigurationDocument& document,
                                const InstanceDirectory& directory) {
  const auto service = document.services.find(group.service_name);
  const auto* model = service == document.services.end() || !service->second.engine
                          ? nullptr
                          : service->second.engine->find_model(group.model);
  return model != nullptr && group.members.size() == static_cast<size_t>(model->size) &&
         reports_membership(directory.find(group.members.front()), group, wire::MembershipState::OPEN);
}

bool GroupSupervisor::adopt_unknown_groups(TimePoint now, const document::ConfigurationDocument& document,
                                           const InstanceDirectory& directory) {
  bool adopted = false;
  for (const auto& [id, row] : directory.rows()) {
    const auto& membership = row.instance.membership;
    const bool known = membership.group.empty() || membership.state == wire::MembershipState::NONE ||
                       is_spare_group(membership.group) || records_.contains(membership.group) ||
                       released_group_names_.contains(membership.group);
    // An instance that belongs to a known group has only not executed its order yet.
    const bool is_owned = owner_of(id) != nullptr;
    if (known || is_owned || !row.reported_this_term || row.instance.state == wire::InstanceState::GONE) {
      continue;
    }
    GroupRecord record = build_reported_group(row.instance, directory);
    const bool intact = is_intact(record.group, document, directory);
    if (!intact && now - leadership_started_at_ < kAdoptionDelay) {
      continue;  // Other members may still report.
    }
    record.group.phase = intact ? wire::GroupPhase::OPEN : wire::GroupPhase::DISSOLVING;
    record.is_inherited = true;
    record.may_be_open = true;
    record.unanswered_head_orders = 1;
    record.since = now;
    add_record(std::move(record));
    adopted = true;
  }
  return adopted;
}

bool GroupSupervisor::tick(TimePoint now, const document::ConfigurationDocument& document,
                           const InstanceDirectory& directory) {
  bool changed = adopt_unknown_groups(now, document, directory);
  clear_suspected_members(now, directory);
  for (auto item = records_.begin(); item != records_.end();) {
    GroupRecord& record = item->second;
    changed = advance(now, record, directory) || changed;
    if (record.group.phase == wire::GroupPhase::DISSOLVING && is_dissolved(now, record, directory)) {
      released_group_names_.insert(record.group.name);
      decisions_.push_back({record.group, GroupChangeReason::kReleased});
      item = erase_record(item);
      changed = true;
    } else {
      ++item;
    }
  }
  if (now >= next_planning_at_) {
    next_planning_at_ = now + planning_interval(directory.rows().size());
    changed = form_groups(now, document, directory) || changed;
  }
  return changed;
}

std::vector<InstanceOrder> GroupSupervisor::take_orders() {
  auto result = std::move(orders_);
  orders_.clear();
  return result;
}

std::vector<wire::EngineGroup> GroupSupervisor::snapshot() const {
  std::vector<wire::EngineGroup> result;
  result.reserve(records_.size());
  for (const auto& [name, record] : records_) {
    result.push_back(record.group);
  }
  return result;
}

std::vector<std::string> GroupSupervisor::released_groups(const InstanceDirectory& directory) const {
  std::set<std::string> names;
  for (const auto& [id, row] : directory.rows()) {
    if (released_group_names_.contains(row.instance.membership.group)) {
      names.insert(row.instance.membership.group);
    }
  }
  return {names.begin(), names.end()};
}

const wire::EngineGroup* GroupSupervisor::find_live_group(const std::string& name) const {
  const auto found = records_.find(name);
  const bool is_live = found != records_.end() && found->second.group.phase != wire::GroupPhase::DISSOLVING;
  return is_live ? &found->second.group : nullptr;
}

const wire::EngineGroup* GroupSupervisor::owner_of(const std::string& instance_id) const {
  const auto owner = owning_group_names_.find(instance_id);
  const auto record = owner == owning_group_names_.end() ? records_.end() : records_.find(owner->second);
  return record == records_.end() ? nullptr : &record->second.group;
}

}  // namespace larchlever::fleet
