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

/// A control replica's part in registration: it keeps the newest heartbeat of each instance that reports to it, and
/// forwards them to the leader in batches. The instance is answered at once, whether there is a leader or not.
///
/// Guarantees: what was taken here within `memory` reaches every leader that this replica learns of, as long as a link
/// to it stands; later heartbeats replace earlier ones of an incarnation, so a batch is bounded by the number of
/// instances. Each names the term that was known here when it was taken: a term of the receiver's own proves that the
/// instance spoke after the receiver was elected, with no clocks compared. Single-threaded, deterministic.
class RegistrationRelay {
 public:
  /// An instance that did not report for `memory` is left to the leader's own judgement.
  explicit RegistrationRelay(Duration retention) : retention_(retention) {}

  void record_heartbeat(TimePoint now, wire::Instance report);
  /// The instance is about to stop, which takes another way: nothing of it is forwarded any more.
  void remove(const std::string& instance_id);
  /// A batch for the leader of `term`, if one is due.
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
  /// Leader and term that everything taken so far was sent to.
  std::pair<std::string, int64_t> last_receiver_;
};

}  // namespace larchlever::fleet
