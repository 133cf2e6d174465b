#include "core/admission/admission_controller.h"

#include <algorithm>
#include <iterator>

namespace larchlever::admission {

namespace {

/// Weight of the newest sample in the exponential moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.1;

}  // namespace

Duration AdmissionController::expected_wait(const TenantState& tenant_state, TimePoint now, int priority) {
  const auto queued_before = std::distance(tenant_state.queue.begin(), tenant_state.queue.upper_bound(priority));
  const int budget = unexpired_budget(tenant_state, now);
  if (budget <= 0) {
    return Duration(0);  // The time of the next budget is unknown; the request expires at its deadline if none arrives.
  }
  const double rounds_to_wait = static_cast<double>(queued_before + 1) / budget;
  return Duration(static_cast<int64_t>(rounds_to_wait * tenant_state.mean_service_us));
}

AdmissionVerdict AdmissionController::request_admission(TimePoint now, AdmissionRequestId request_id,
                                                        const std::string& tenant, int priority, TimePoint deadline) {
  TenantState& tenant_state = tenants_[tenant];
  if (tenant_state.queue.empty() && tenant_state.running < unexpired_budget(tenant_state, now)) {
    ++tenant_state.running;
    ++stats_.admitted;
    return AdmissionVerdict::kAdmitted;
  }
  if (tenant_state.queue.size() >= queue_limit_) {
    ++stats_.refused_queue_full;
    return AdmissionVerdict::kRefusedQueueFull;
  }
  if (now + expected_wait(tenant_state, now, priority) >= deadline) {
    ++stats_.refused_deadline;
    return AdmissionVerdict::kRefusedDeadline;
  }
  ++stats_.queued;
  tenant_state.queue.emplace(priority, QueuedRequest{request_id, deadline});
  return AdmissionVerdict::kQueued;
}

void AdmissionController::finish_request(const std::string& tenant, Duration service_time) {
  TenantState& tenant_state = tenants_[tenant];
  tenant_state.running = std::max(tenant_state.running - 1, 0);
  const auto sample = static_cast<double>(service_time.count());
  tenant_state.mean_service_us =
      tenant_state.mean_service_us == 0
          ? sample
          : tenant_state.mean_service_us + kServiceTimeSmoothing * (sample - tenant_state.mean_service_us);
}

void AdmissionController::cancel(AdmissionRequestId request_id) {
  for (auto& [tenant, tenant_state] : tenants_) {
    std::erase_if(tenant_state.queue, [request_id](const auto& item) { return item.second.request_id == request_id; });
  }
}

void AdmissionController::set_budget(const std::string& tenant, int concurrent, TimePoint expires) {
  TenantState& tenant_state = tenants_[tenant];
  tenant_state.budget = concurrent;
  tenant_state.budget_expires = expires;
}

std::vector<AdmissionRequestId> AdmissionController::take_admitted(TimePoint now) {
  std::vector<AdmissionRequestId> admitted;
  for (auto& [tenant, tenant_state] : tenants_) {
    while (!tenant_state.queue.empty() && tenant_state.running < unexpired_budget(tenant_state, now)) {
      admitted.push_back(tenant_state.queue.begin()->second.request_id);
      tenant_state.queue.erase(tenant_state.queue.begin());
      ++tenant_state.running;
      ++stats_.admitted;
    }
  }
  return admitted;
}

std::vector<AdmissionRequestId> AdmissionController::take_expired(TimePoint now) {
  std::vector<AdmissionRequestId> expired;
  for (auto& [tenant, tenant_state] : tenants_) {
    for (auto item = tenant_state.queue.begin(); item != tenant_state.queue.end();) {
      if (now >= item->second.deadline) {
        expired.push_back(item->second.request_id);
        ++stats_.expired;
        item = tenant_state.queue.erase(item);
      } else {
        ++item;
      }
    }
  }
  return expired;
}

std::map<std::string, AdmissionController::TenantLoad> AdmissionController::tenant_loads(TimePoint now) const {
  std::map<std::string, TenantLoad> result;
  for (const auto& [tenant, tenant_state] : tenants_) {
    const TenantLoad load{tenant_state.running, static_cast<int>(tenant_state.queue.size()),
                          unexpired_budget(tenant_state, now)};
    if (load.running + load.waiting + load.held_budget > 0) {
      result[tenant] = load;
    }
  }
  return result;
}

}  // namespace larchlever::admission
