#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/control/control_state.h"
#include "larchlever_types.h"
#include "simulation/simulated_machine.h"

namespace larchlever::simulation {

/// One dispatch of a request by an entry, with the configuration that the entry used.
struct DispatchRecord {
  std::string node;
  int64_t revision = 0;
  wire::Group group;
  std::string tenant;
  std::vector<std::string> permitted_zones;  ///< According to the configuration that the node used.
};

/// Checks the system's invariants during a simulation. Machine state comes from the simulation itself, not from what
/// the system under test reports. Each violation is recorded with its time; the run stops at the first one.
class InvariantMonitor {
 public:
  /// The limits are the longest times for which a group may still receive requests after one of its machines was lost
  /// or began to leave.
  explicit InvariantMonitor(Duration dispatch_after_loss_limit, Duration dispatch_after_leave_limit)
      : dispatch_after_loss_limit_(dispatch_after_loss_limit),
        dispatch_after_leave_limit_(dispatch_after_leave_limit) {}

  /// Checks that all replicas that have applied the log up to `index` have the same history digest.
  void check_applied_history(TimePoint now, const std::string& node, int64_t index, uint64_t digest);
  /// Checks that at most one node holds the leader lease.
  void check_lease_holders(TimePoint now, const std::vector<std::string>& leaders);
  /// Checks that every group that is not being released owns all its machines.
  void check_group_ownership(TimePoint now, const std::string& node, const control::ControlState& state);
  /// Records that an operator was told that a configuration revision is in force on all entries.
  void record_revision_in_force(TimePoint now, int64_t revision);
  /// Checks revision, zone, epoch and machine state of a dispatch.
  void check_dispatch(TimePoint now, const DispatchRecord& dispatch,
                      const std::map<std::string, SimulatedMachine>& machines);
  /// Records that a machine accepted an order to load a group with this epoch.
  void record_accepted_load(const std::string& machine, int32_t epoch);
  /// Records that a back end started a request; a request with a key must not run twice.
  void record_execution(TimePoint now, const std::string& request_id, const std::string& key);
  /// Records that a caller was told that its request did not run.
  void record_not_run_reply(TimePoint now, const std::string& request_id);
  /// Records the answer given for a key. `answer` is the id of the request that produced it.
  void record_answer(TimePoint now, const std::string& key, const std::string& answer);
  /// Records the final verdict given for a command; repeated replies must agree.
  void record_verdict(TimePoint now, const std::string& command_id, const wire::ChangeAnswer& answer);
  /// Records the start of a read of `key`.
  void record_read_start(const std::string& key, int64_t read_id);
  /// Checks that the read does not return an older revision than any read that had finished before it started.
  void record_read_result(TimePoint now, const std::string& key, int64_t read_id, int64_t revision);
  void report_violation(TimePoint now, const std::string& description) { add_violation(now, description); }

  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t check_count() const { return check_count_; }

 private:
  void add_violation(TimePoint now, const std::string& description);

  Duration dispatch_after_loss_limit_;
  Duration dispatch_after_leave_limit_;
  std::map<int64_t, uint64_t> history_digests_;
  int64_t newest_revision_in_force_ = 0;
  std::map<std::string, int32_t> newest_loaded_epochs_;
  std::map<std::string, int> execution_counts_;
  std::map<std::string, std::set<std::string>> executed_requests_by_key_;
  std::set<std::string> reported_not_run_;
  std::map<std::string, std::string> answers_by_key_;
  std::map<std::string, wire::ChangeAnswer> verdicts_by_command_;
  std::map<std::string, int64_t> newest_read_revisions_;
  std::map<int64_t, int64_t> minimum_read_revisions_;
  std::vector<std::string> violations_;
  uint64_t check_count_ = 0;
};

}  // namespace larchlever::simulation
