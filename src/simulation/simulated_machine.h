#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/time.h"
#include "core/control/engine_order.h"
#include "larchlever_types.h"

namespace larchlever::simulation {

/// Simulates one back-end machine: executes orders, answers polls and runs requests. Machines of kind "basic" do not
/// check fencing tokens.
struct SimulatedMachine {
  std::string id;
  std::string zone;
  std::string domain;
  int accelerators = 8;
  bool checks_fences = true;

  bool alive = true;
  bool paused = false;
  bool leaving = false;
  TimePoint unavailable_since = TimePoint::max();  ///< When it died or paused; max while available.
  TimePoint leaving_since = TimePoint::max();
  int64_t incarnation = 1;
  int64_t group_id = 0;
  int32_t epoch = 0;
  int32_t newest_epoch = 0;
  int64_t newest_term = 0;
  TimePoint loaded_at = TimePoint::max();
  std::string weights;
  int load = 0;

  bool available() const { return alive && !paused; }
  /// Executes an order; weights that are not yet loaded take `load_time`.
  control::OrderVerdict execute_order(const control::EngineOrder& order, TimePoint now, Duration load_time);
  wire::MachineSighting make_sighting(TimePoint now) const;
  void die(TimePoint now);
  /// Restarts the machine as a new incarnation without a group or weights.
  void restart_empty(TimePoint now);
  void pause(TimePoint now);
  void resume();
};

}  // namespace larchlever::simulation
