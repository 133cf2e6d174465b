#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace larchlever::admission {

using AdmissionRequestId = uint64_t;

enum class AdmissionVerdict {
  kAdmitted,
  kQueued,
  kRefusedQueueFull,
  kRefusedDeadline,  ///< The estimated queueing time exceeds the deadline.
};

struct AdmissionStats {
  uint64_t admitted = 0;
  uint64_t queued = 0;
  uint64_t refused_queue_full = 0;
  uint64_t refused_deadline = 0;
  uint64_t expired = 0;
};

/// Admission control of an entry, applied before routing. Each tenant has a concurrency budget, leased from the leader,
/// and a bounded queue ordered by priority, then by arrival.
///
/// A request is admitted at once, queued, or refused at once. A queued request is later returned exactly once by
/// `take_admitted` or `take_expired`, unless it is cancelled. Deterministic; single-threaded.
class AdmissionController {
 public:
  explicit AdmissionController(size_t queue_limit) : queue_limit_(queue_limit) {}

  AdmissionVerdict request_admission(TimePoint now, AdmissionRequestId request_id, const std::string& tenant,
                                     int priority, TimePoint deadline);
  /// Releases the slot of an admitted request that ended. `service_time` is a sample for the queueing-time estimate.
  void finish_request(const std::string& tenant, Duration service_time);
  /// Removes a queued request whose caller disconnected.
  void cancel(AdmissionRequestId request_id);
  /// Sets the tenant's concurrency budget, which drops to zero at `expires` unless it is renewed.
  void set_budget(const std::string& tenant, int concurrent, TimePoint expires);

  std::vector<AdmissionRequestId> take_admitted(TimePoint now);
  std::vector<AdmissionRequestId> take_expired(TimePoint now);

  struct TenantLoad {
    int running = 0;
    int waiting = 0;
    int held_budget = 0;
  };
  /// Running and queued requests and the unexpired budget of each tenant that has any of them.
  std::map<std::string, TenantLoad> tenant_loads(TimePoint now) const;
  const AdmissionStats& stats() const { return stats_; }

 private:
  struct QueuedRequest {
    AdmissionRequestId request_id = 0;
    TimePoint deadline{};
  };
  struct TenantState {
    int budget = 0;
    TimePoint budget_expires{};
    int running = 0;
    /// Ordered by descending priority, then by arrival.
    std::multimap<int, QueuedRequest, std::greater<>> queue;
    double mean_service_us = 0;
  };

  static int unexpired_budget(const TenantState& tenant_state, TimePoint now) {
    return now < tenant_state.budget_expires ? tenant_state.budget : 0;
  }
  static Duration expected_wait(const TenantState& tenant_state, TimePoint now, int priority);

  size_t queue_limit_;
  std::map<std::string, TenantState> tenants_;
  AdmissionStats stats_;
};

}  // namespace larchlever::admission
