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

/// Simulates one process of a registered engine server. It joins, opens and leaves groups on order, rejects orders with
/// an old epoch, and reports its state in heartbeats. An open head keeps serving when a member is lost, until it
/// becomes broken.
class SimulatedInstance {
 public:
  SimulatedInstance(std::string id, std::string address, std::string domain, std::vector<std::string> staged);

  /// Executes an order and returns the HTTP status of the answer. A join completes at `now + join_time`.
  int execute_order(TimePoint now, const fleet::InstanceOrder& order, Duration join_time);
  /// Completes a join that is due at `now`.
  void advance(TimePoint now);
  /// Handles the loss of a member of this instance's group. An open head becomes broken `stall_time` after the first
  /// call.
  void handle_missing_member(TimePoint now, Duration stall_time);

  /// Returns the next heartbeat report and clears `has_unreported_changes()`.
  wire::Instance take_report();
  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  const std::string& domain() const { return domain_; }
  const std::vector<std::string>& staged() const { return staged_; }
  /// Model of the group that it joined last since it started; empty if none.
  const std::string& model() const { return model_; }
  const wire::GroupMembership& membership() const { return membership_; }
  const std::vector<std::string>& members() const { return members_; }
  bool is_open_head() const { return membership_.rank == 0 && membership_.state == wire::MembershipState::OPEN; }
  /// True if the instance was ever ready in this group and epoch.
  bool was_ready(const std::string& group, int64_t epoch) const { return ready_memberships_.contains({group, epoch}); }
  /// True if the reported state has changed since the last `take_report()`.
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

/// The name of the state in heartbeats; empty for `NONE`.
const char* membership_state_name(wire::MembershipState::type state);

/// The body of a heartbeat call with this report, in the JSON form that servers send.
std::string heartbeat_body(const wire::Instance& report);

}  // namespace larchlever::simulation
