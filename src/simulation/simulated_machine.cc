#include "simulation/simulated_machine.h"

#include <algorithm>

namespace larchlever::simulation {

control::OrderVerdict SimulatedMachine::execute_order(const control::EngineOrder& order, TimePoint now,
                                                      Duration load_time) {
  if (order.incarnation != incarnation) {
    return control::OrderVerdict::kWrongIncarnation;
  }
  const bool is_stale = order.epoch < newest_epoch || (order.epoch == newest_epoch && order.term < newest_term);
  if (checks_fences && is_stale) {
    return control::OrderVerdict::kFenced;
  }
  newest_epoch = order.epoch;
  newest_term = order.term;
  if (order.kind == control::OrderKind::kRelease) {
    if (epoch == order.epoch || !checks_fences) {
      group_id = 0;
      epoch = 0;
      load = 0;
      loaded_at = TimePoint::max();
    }
    return control::OrderVerdict::kDone;
  }
  if (epoch == order.epoch && group_id == order.group_id) {
    return control::OrderVerdict::kDone;
  }
  group_id = order.group_id;
  epoch = order.epoch;
  load = 0;
  const std::string target_weights = order.model + "@" + order.version;
  loaded_at = weights == target_weights ? now : now + load_time;
  weights = target_weights;
  return control::OrderVerdict::kDone;
}

wire::MachineSighting SimulatedMachine::make_sighting(TimePoint now) const {
  wire::MachineSighting sighting;
  sighting.machine = id;
  sighting.incarnation = incarnation;
  sighting.group_id = group_id;
  sighting.epoch = epoch;
  sighting.loaded = group_id != 0 && now >= loaded_at;
  sighting.load = load;
  return sighting;
}

void SimulatedMachine::die(TimePoint now) {
  alive = false;
  paused = false;
  unavailable_since = std::min(unavailable_since, now);
}

void SimulatedMachine::restart_empty(TimePoint) {
  alive = true;
  paused = false;
  unavailable_since = TimePoint::max();
  ++incarnation;
  group_id = 0;
  epoch = 0;
  newest_epoch = 0;
  newest_term = 0;
  load = 0;
  weights.clear();
  loaded_at = TimePoint::max();
}

void SimulatedMachine::pause(TimePoint now) {
  if (alive && !paused) {
    paused = true;
    unavailable_since = now;
  }
}

void SimulatedMachine::resume() {
  if (alive && paused) {
    paused = false;
    unavailable_since = TimePoint::max();
  }
}

}  // namespace larchlever::simulation
