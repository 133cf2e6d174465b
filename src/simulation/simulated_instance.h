#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/time.h"
#include "core/fleet/group_supervisor.h"
#include "larchlever_types.h"

namespace larchlever::simulation {

/// One start of a registered engine server in virtual time: joins, opens and leaves groups as it is ordered, fenced by
/// epochs, and describes itself in its heartbeats. A head goes on whatever becomes of its members until it is broken.
class SimulatedInstance {
 public:
  SimulatedInstance(std::string id, std::string address, std::string domain, std::vector<std::string> staged);

  /// Carries out an order; returns the status that is answered. `ready_at` of a join is `now` plus `join_time`.
  int execute_order(TimePoint now, const fleet::InstanceOrder& order, Duration join_time);
  /// Advances to `now`: joins end, orders to open take effect.
  void advance(TimePoint now);
  /// A member of the group that this head leads is lost since `since`; the head is broken after `stall`.
  void handle_missing_member(TimePoint now, Duration stall_time);

  wire::Instance take_report();
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  const std::string& domain() const { return domain_; }
  const std::vector<std::string>& staged() const { return staged_; }
  /// The model of its last group since it started.
  const std::string& model() const { return model_; }
  const wire::GroupMembership& membership() const { return membership_; }
  const std::vector<std::string>& members() const { return members_; }
  bool is_open_head() const { return membership_.rank == 0 && membership_.state == wire::MembershipState::OPEN; }
  /// Was ever ready under this group and epoch.
  bool was_ready(const std::string& group, int64_t epoch) const { return ready_memberships_.contains({group, epoch}); }
  /// What it reports changed since `report` was last called.
  bool has_unreported_changes() const { return has_unreported_changes_; }
  bool draining = false;

 private:
  void set_state(wire::MembershipState::type state);

  std::string id_;
  std::string address_;
  std::string domain_;
  std::vector<std::string> staged_;
  std::string model_;
  wire::GroupMembership membership_;
  std::vector<std::string> members_;
  TimePoint ready_at_ = TimePoint::max();
  TimePoint member_missing_since_ = TimePoint::max();
  std::set<std::pair<std::string, int64_t>> ready_memberships_;
  int64_t highest_epoch_ = 0;
  int64_t call_number_ = 0;
  bool has_unreported_changes_ = true;
};

}  // namespace larchlever::simulation
