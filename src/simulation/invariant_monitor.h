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

/// A dispatch as the monitor sees it: everything is the truth of the simulation, nothing is taken from the system.
struct DispatchFact {
  std::string node;
  int64_t revision = 0;
  wire::Group group;
  std::string tenant;
  std::vector<std::string> permitted_zones;  ///< By the configuration that the node held.
};

/// Checks the brief's conditions as the run goes on. A violation is recorded with its time and details; the run stops
/// at the first.
class InvariantMonitor {
 public:
  explicit InvariantMonitor(Duration loss_bound, Duration leaving_bound)
      : loss_bound_(loss_bound), leaving_bound_(leaving_bound) {}

  /// Two replicas that applied the same index must have applied the same history.
  void applied(TimePoint now, const std::string& node, int64_t index, uint64_t digest);
  void lease_holders(TimePoint now, const std::vector<std::string>& leaders);
  void groups(TimePoint now, const std::string& node, const control::ControlState& state);
  void in_force(TimePoint now, int64_t revision);
  void dispatched(TimePoint now, const DispatchFact& fact, const std::map<std::string, SimulatedMachine>& machines);
  void load_accepted(const std::string& machine, int32_t epoch);
  /// A back end started a request.
  void executed(TimePoint now, const std::string& request_id, const std::string& key);
  /// A caller was told that its request did not run.
  void told_not_run(TimePoint now, const std::string& request_id);
  /// A caller was told the answer for a key, by the id of the request that produced it.
  void told_answer(TimePoint now, const std::string& key, const std::string& answer);
  /// An operator was told a final verdict for a command.
  void told_verdict(TimePoint now, const std::string& command_id, const wire::ChangeAnswer& answer);
  /// A read of a key began at `began` and found `revision`.
  void read_started(const std::string& key, int64_t read_id);
  void read_finished(TimePoint now, const std::string& key, int64_t read_id, int64_t revision);
  void fail(TimePoint now, const std::string& what) { violation(now, what); }

  const std::vector<std::string>& violations() const { return violations_; }
  uint64_t checks() const { return checks_; }

 private:
  void violation(TimePoint now, const std::string& what);

  Duration loss_bound_;
  Duration leaving_bound_;
  std::map<int64_t, uint64_t> history_;
  int64_t in_force_ = 0;
  std::map<std::string, int32_t> loaded_epochs_;
  std::map<std::string, int> executions_;
  std::map<std::string, std::set<std::string>> executions_by_key_;
  std::set<std::string> not_run_;
  std::map<std::string, std::string> answers_;
  std::map<std::string, wire::ChangeAnswer> verdicts_;
  std::map<std::string, int64_t> newest_read_;
  std::map<int64_t, int64_t> read_floor_;
  std::vector<std::string> violations_;
  uint64_t checks_ = 0;
};

}  // namespace larchlever::simulation
