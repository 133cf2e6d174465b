#include "core/admission/admission_controller.h"

#include <algorithm>
#include <iterator>

namespace larchlever::admission {

namespace {

/// Weight of the newest sample in the mean service time.
constexpr double kSmoothing = 0.1;

}  // namespace

Duration AdmissionController::expected_wait(const TenantGate& gate, TimePoint now, int priority) {
  const auto ahead = std::distance(gate.queue.begin(), gate.queue.upper_bound(priority));
  const int budget = usable_budget(gate, now);
  if (budget <= 0) {
    return Duration(0);  // Nothing is known of when a budget comes; the deadline itself will tell.
  }
  const double turns = static_cast<double>(ahead + 1) / budget;
  return Duration(static_cast<int64_t>(turns * gate.mean_service_us));
}

AdmissionVerdict AdmissionController::enter(TimePoint now, TicketId ticket, const std::string& tenant, int priority,
                                            TimePoint deadline) {
  TenantGate& gate = gates_[tenant];
  if (gate.queue.empty() && gate.running < usable_budget(gate, now)) {
    ++gate.running;
    ++stats_.admitted;
    return AdmissionVerdict::kAdmitted;
  }
  if (gate.queue.size() >= queue_limit_) {
    ++stats_.refused_full;
    return AdmissionVerdict::kRefusedQueueFull;
  }
  if (now + expected_wait(gate, now, priority) >= deadline) {
    ++stats_.refused_deadline;
    return AdmissionVerdict::kRefusedDeadline;
  }
  ++stats_.queued;
  gate.queue.emplace(priority, Waiter{ticket, deadline});
  return AdmissionVerdict::kQueued;
}

void AdmissionController::leave(const std::string& tenant, Duration service_time) {
  TenantGate& gate = gates_[tenant];
  gate.running = std::max(gate.running - 1, 0);
  const auto sample = static_cast<double>(service_time.count());
  gate.mean_service_us =
      gate.mean_service_us == 0 ? sample : gate.mean_service_us + kSmoothing * (sample - gate.mean_service_us);
}

void AdmissionController::cancel(TicketId ticket) {
  for (auto& [tenant, gate] : gates_) {
    std::erase_if(gate.queue, [ticket](const auto& item) { return item.second.ticket == ticket; });
  }
}

void AdmissionController::set_budget(const std::string& tenant, int concurrent, TimePoint expires) {
  TenantGate& gate = gates_[tenant];
  gate.budget = concurrent;
  gate.budget_expires = expires;
}

std::vector<TicketId> AdmissionController::take_admitted(TimePoint now) {
  std::vector<TicketId> admitted;
  for (auto& [tenant, gate] : gates_) {
    while (!gate.queue.empty() && gate.running < usable_budget(gate, now)) {
      admitted.push_back(gate.queue.begin()->second.ticket);
      gate.queue.erase(gate.queue.begin());
      ++gate.running;
      ++stats_.admitted;
    }
  }
  return admitted;
}

std::vector<TicketId> AdmissionController::take_expired(TimePoint now) {
  std::vector<TicketId> expired;
  for (auto& [tenant, gate] : gates_) {
    for (auto item = gate.queue.begin(); item != gate.queue.end();) {
      if (now >= item->second.deadline) {
        expired.push_back(item->second.ticket);
        ++stats_.expired;
        item = gate.queue.erase(item);
      } else {
        ++item;
      }
    }
  }
  return expired;
}

std::map<std::string, AdmissionController::Load> AdmissionController::loads(TimePoint now) const {
  std::map<std::string, Load> result;
  for (const auto& [tenant, gate] : gates_) {
    const Load load{gate.running, static_cast<int>(gate.queue.size()), usable_budget(gate, now)};
    if (load.running + load.waiting + load.held > 0) {
      result[tenant] = load;
    }
  }
  return result;
}

}  // namespace larchlever::admission
