#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/base/time.h"
#include "larchlever_types.h"

namespace larchlever::fleet {

/// Keeps, on a control replica, the newest heartbeat of each instance that reports to it and forwards them to the
/// leader in batches. The instance gets its reply from the control replica without waiting for the leader.
///
/// Guarantees: heartbeats received within the retention time are sent to every leader that this replica learns of, as
/// long as the connection works. Later heartbeats of an incarnation replace earlier ones, so the number of instances
/// bounds the size of a batch. Each report carries the term that this replica knew when it received the heartbeat. If
/// that is the leader's own term, the instance reported after the election; no clocks need to be compared.
/// Single-threaded, deterministic.
class RegistrationRelay {
 public:
  /// Reports older than `retention` are dropped and not sent to new leaders.
  explicit RegistrationRelay(Duration retention) : retention_(retention) {}

  void record_heartbeat(TimePoint now, wire::Instance report);
  /// Stops forwarding an instance's heartbeats; used when it is about to stop, which the leader handles as a call.
  void remove(const std::string& instance_id);
  /// Returns the next batch for the leader of `term` if one is due.
  std::optional<wire::RegistrationBatch> next_batch(TimePoint now, const std::string& leader, int64_t term);

 private:
  struct Report {
    wire::RegistrationReport report;
    TimePoint received_at{};
  };

  Duration retention_;
  std::map<std::string, Report> reports_;
  std::set<std::string> unsent_ids_;
  TimePoint next_batch_ = TimePoint::min();
  /// Leader and term to which all reports except `unsent_ids_` were sent.
  std::pair<std::string, int64_t> last_receiver_;
};

}  // namespace larchlever::fleet
