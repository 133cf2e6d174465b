#include "simulation/simulated_instance.h"

#include <algorithm>

#include "core/base/http_status.h"

namespace larchlever::simulation {

const char* membership_state_name(wire::MembershipState::type state) {
  switch (state) {
    case wire::MembershipState::NONE:
      return "";
    case wire::MembershipState::JOINING:
      return "joining";
    case wire::MembershipState::READY:
      return "ready";
    case wire::MembershipState::OPEN:
      return "open";
    case wire::MembershipState::CLOSING:
      return "closing";
    case wire::MembershipState::BROKEN:
      return "broken";
  }
  return "";
}

SimulatedInstance::SimulatedInstance(std::string id, std::string address, std::string domain,
                                     std::vector<std::string> staged)
    : id_(std::move(id)), address_(std::move(address)), domain_(std::move(domain)), staged_(std::move(staged)) {}

void SimulatedInstance::set_state(wire::MembershipState::type state) {
  membership_.state = state;
  has_unreported_changes_ = true;
}

int SimulatedInstance::execute_order(TimePoint now, const fleet::InstanceOrder& order, Duration join_time) {
  advance(now);
  if (order.kind == fleet::OrderKind::kStage) {
    staged_ = {order.model};
    has_unreported_changes_ = true;
    return http_status::kAccepted;
  }
  const bool is_current_group = membership_.group == order.group && membership_.epoch == order.epoch;
  if (order.kind == fleet::OrderKind::kJoin) {
    if (is_current_group && members_ == order.members) {
      return http_status::kOk;
    }
    if (order.epoch < highest_epoch_ || is_current_group) {
      return http_status::kPreconditionFailed;
    }
    highest_epoch_ = order.epoch;
    members_ = order.members;
    model_ = order.model;
    membership_.group = order.group;
    membership_.epoch = order.epoch;
    membership_.rank = static_cast<int32_t>(std::find(members_.begin(), members_.end(), id_) - members_.begin());
    ready_at_ = now + join_time;
    member_missing_since_ = TimePoint::max();
    set_state(wire::MembershipState::JOINING);
    return http_status::kAccepted;
  }
  if (!is_current_group) {
    return http_status::kConflict;
  }
  if (order.kind == fleet::OrderKind::kLeave) {
    membership_ = {};
    members_.clear();
    has_unreported_changes_ = true;
    return http_status::kOk;
  }
  if (order.kind == fleet::OrderKind::kOpen) {
    if (membership_.state == wire::MembershipState::OPEN) {
      return http_status::kOk;
    }
    if (membership_.state != wire::MembershipState::READY || membership_.rank != 0) {
      return http_status::kConflict;
    }
    set_state(wire::MembershipState::OPEN);
    return http_status::kAccepted;
  }
  return http_status::kConflict;
}

void SimulatedInstance::advance(TimePoint now) {
  if (membership_.state == wire::MembershipState::JOINING && now >= ready_at_) {
    staged_ = {model_};
    ready_memberships_.emplace(membership_.group, membership_.epoch);
    set_state(wire::MembershipState::READY);
  }
}

void SimulatedInstance::handle_missing_member(TimePoint now, Duration stall_time) {
  member_missing_since_ = std::min(member_missing_since_, now);
  if (is_open_head() && now - member_missing_since_ >= stall_time) {
    set_state(wire::MembershipState::BROKEN);
  }
}

wire::Instance SimulatedInstance::take_report() {
  has_unreported_changes_ = false;
  wire::Instance instance;
  instance.id = id_;
  instance.service_name = "engines";
  instance.address = address_;
  instance.zone = "a";
  instance.domain = domain_;
  instance.state = draining ? wire::InstanceState::DRAINING : wire::InstanceState::READY;
  instance.call_number = ++call_number_;
  instance.staged_models = staged_;
  instance.model = model_;
  instance.membership = membership_;
  return instance;
}

std::string heartbeat_body(const wire::Instance& report) {
  const auto& membership = report.membership;
  std::string body = R"({"service":")" + report.service_name + R"(","address":")" + report.address + R"(","zone":")" +
                     report.zone + R"(","version":"v1","slots":8,"cold_left_ms":0,"domain":")" + report.domain +
                     R"(","state":")" + (report.state == wire::InstanceState::READY ? "ready" : "draining") +
                     R"(","call_seq":)" + std::to_string(report.call_number) + R"(,"staged":[)";
  for (const auto& staged : report.staged_models) {
    body += "\"" + staged + "\"";
  }
  body += R"(],"models":[{"name":")" + report.model + R"("}])";
  if (report.born_ms != 0) {
    body += R"(,"born":)" + std::to_string(report.born_ms);
  }
  if (!membership.group.empty()) {
    body += R"(,"group":{"name":")" + membership.group + R"(","epoch":)" + std::to_string(membership.epoch) +
            R"(,"rank":)" + std::to_string(membership.rank) + R"(,"state":")" +
            membership_state_name(membership.state) + R"("})";
  }
  return body + "}";
}

}  // namespace larchlever::simulation
