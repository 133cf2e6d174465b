#include "core/fleet/registration_relay.h"

namespace larchlever::fleet {

namespace {

/// Heartbeats within this interval are sent together. It is short because group formation waits for members' reports.
constexpr Duration kRegistrationBatchInterval = milliseconds(40);

}  // namespace

void RegistrationRelay::record_heartbeat(TimePoint now, wire::Instance report) {
  Report& stored_report = reports_[report.id];
  const auto& stored_instance = stored_report.report.instance;
  const bool has_lower_call_number = report.call_number < stored_instance.call_number;
  const bool is_same_incarnation = report.born_ms != 0 && report.born_ms == stored_instance.born_ms;
  const bool both_lack_born_ms = report.born_ms == 0 && stored_instance.born_ms == 0;
  if (has_lower_call_number && (is_same_incarnation || (both_lack_born_ms && unsent_ids_.contains(report.id)))) {
    return;  // A reordered older report. Reports of different incarnations are ordered by the leader.
  }
  unsent_ids_.insert(report.id);
  stored_report.report.instance = std::move(report);
  stored_report.report.known_term = last_receiver_.second;
  stored_report.received_at = now;
}

void RegistrationRelay::remove(const std::string& instance_id) {
  reports_.erase(instance_id);
  unsent_ids_.erase(instance_id);
}

std::optional<wire::RegistrationBatch> RegistrationRelay::next_batch(TimePoint now, const std::string& leader,
                                                                     int64_t term) {
  if (leader.empty() || now < next_batch_) {
    return std::nullopt;
  }
  next_batch_ = now + kRegistrationBatchInterval;
  std::erase_if(reports_, [&](const auto& item) { return now - item.second.received_at > retention_; });
  const std::pair receiver(leader, term);
  if (receiver != last_receiver_) {
    last_receiver_ = receiver;
    for (const auto& [id, report] : reports_) {
      unsent_ids_.insert(id);
    }
  }
  wire::RegistrationBatch batch;
  for (const auto& id : unsent_ids_) {
    if (const auto found = reports_.find(id); found != reports_.end()) {
      batch.reports.push_back(found->second.report);
    }
  }
  unsent_ids_.clear();
  return batch.reports.empty() ? std::nullopt : std::optional(std::move(batch));
}

}  // namespace larchlever::fleet
