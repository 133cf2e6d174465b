#include "simulation/fault_injector.h"

#include <set>

namespace larchlever::simulation {

namespace {

/// No faults are injected for this time after a disk rollback: the leader needs a few heartbeats to detect it.
constexpr Duration kRollbackDetectionTime = seconds(5);

}  // namespace

int FaultInjector::random_number(int minimum, int maximum) {
  return std::uniform_int_distribution<int>(minimum, maximum)(fleet_.random());
}

std::string FaultInjector::random_node() {
  auto item = fleet_.nodes().begin();
  std::advance(item, random_number(0, static_cast<int>(fleet_.nodes().size()) - 1));
  return item->first;
}

void FaultInjector::start(TimePoint end) { schedule_next_fault(end); }

void FaultInjector::schedule_next_fault(TimePoint end) {
  if (fleet_.queue().now() >= end) {
    return;
  }
  std::exponential_distribution<double> interval(1.0 / static_cast<double>(options_.mean_interval.count()));
  fleet_.queue().schedule_after(Duration(static_cast<int64_t>(interval(fleet_.random()))), [this, end] {
    if (fleet_.queue().now() < end && fleet_.queue().now() >= faults_suspended_until_) {
      inject_fault();
    }
    schedule_next_fault(end);
  });
}

void FaultInjector::inject_fault() {
  if (second_disk_loss_pending_ && all_replicas_up_to_date()) {
    // The replica set has just been repaired; lose the next disk immediately.
    second_disk_loss_pending_ = false;
    count_fault("second disk lost after repair");
    inject_disk_fault();
    return;
  }
  const int kind = random_number(0, 99);
  if (kind < 30) {
    inject_node_fault();
  } else if (kind < 55) {
    inject_network_fault();
  } else if (kind < 85) {
    inject_machine_fault();
  } else if (options_.disk_faults) {
    inject_disk_fault();
  }
}

void FaultInjector::inject_node_fault() {
  std::string name = random_node();
  auto* leader = fleet_.leader();
  if (leader != nullptr && random_number(0, 2) == 0) {
    name = leader->name;
  }
  if (random_number(0, 1) == 0) {
    count_fault("node crashed");
    fleet_.nodes().at(name).disk.save_image();
    fleet_.crash(name);
    fleet_.queue().schedule_after(milliseconds(random_number(100, 6000)), [this, name] { fleet_.restart(name); });
  } else {
    count_fault("node paused");
    fleet_.pause(name, milliseconds(random_number(200, 8000)));
  }
}

void FaultInjector::cut_node_links(const std::string& node, bool bidirectional) {
  auto& cuts = fleet_.network().cuts;
  std::set<std::pair<std::string, std::string>> added_cuts;
  for (const auto& [other, value] : fleet_.nodes()) {
    if (other != node) {
      added_cuts.insert({node, other});
      if (bidirectional) {
        added_cuts.insert({other, node});
      }
    }
  }
  cuts.insert(added_cuts.begin(), added_cuts.end());
  fleet_.queue().schedule_after(milliseconds(random_number(500, 8000)), [this, added_cuts] {
    for (const auto& cut : added_cuts) {
      fleet_.network().cuts.erase(cut);
    }
  });
}

void FaultInjector::inject_network_fault() {
  auto& network = fleet_.network();
  auto* leader = fleet_.leader();
  const std::string target = leader != nullptr && random_number(0, 1) == 0 ? leader->name : random_node();
  switch (random_number(0, 5)) {
    case 0:
      count_fault("node cut off");
      cut_node_links(target, true);
      break;
    case 1:
      count_fault("one-way cut");
      cut_node_links(target, false);
      break;
    case 2: {
      count_fault("back ends cut off");
      network.cuts.insert({target, "machines"});
      fleet_.queue().schedule_after(milliseconds(random_number(500, 6000)), [this, target] {
        fleet_.network().cuts.erase({target, "machines"});
      });
      break;
    }
    case 3:
      count_fault("messages lost");
      network.loss_probability = 0.25;
      fleet_.queue().schedule_after(milliseconds(random_number(500, 4000)),
                                    [this] { fleet_.network().loss_probability = 0; });
      break;
    case 4:
      count_fault("messages doubled");
      network.duplication_probability = 0.3;
      fleet_.queue().schedule_after(milliseconds(random_number(500, 5000)),
                                    [this] { fleet_.network().duplication_probability = 0; });
      break;
    default:
      count_fault("messages delayed");
      network.extra_delay = milliseconds(random_number(20, 400));
      fleet_.queue().schedule_after(milliseconds(random_number(500, 4000)),
                                    [this] { fleet_.network().extra_delay = Duration(0); });
      break;
  }
}

void FaultInjector::inject_machine_fault() {
  auto item = fleet_.machines().begin();
  std::advance(item, random_number(0, static_cast<int>(fleet_.machines().size()) - 1));
  const std::string id = item->first;
  SimulatedMachine& machine = item->second;
  const TimePoint now = fleet_.queue().now();
  switch (random_number(0, 3)) {
    case 0:
    case 1:
      count_fault("machine died");
      machine.die(now);
      fleet_.queue().schedule_after(milliseconds(random_number(500, 9000)), [this, id] {
        auto& dead_machine = fleet_.machines().at(id);
        if (!dead_machine.alive) {
          dead_machine.restart_empty(fleet_.queue().now());
        }
      });
      break;
    case 2:
      count_fault("machine paused");
      machine.pause(now);
      fleet_.queue().schedule_after(milliseconds(random_number(200, 7000)),
                                    [this, id] { fleet_.machines().at(id).resume(); });
      break;
    default:
      if (!machine.leaving) {
        count_fault("machine leaving");
        machine.leaving = true;
        machine.leaving_since = now;
      }
      break;
  }
}

bool FaultInjector::all_replicas_up_to_date() const {
  auto* leader = fleet_.leader();
  if (leader == nullptr || !fleet_.network().cuts.empty() || fleet_.network().loss_probability > 0) {
    return false;
  }
  const auto& raft = *leader->controller->raft();
  if (raft.replica_change_pending()) {
    return false;  // A repair is complete only when its last replica change is committed.
  }
  size_t disks = 0;
  for (auto& [name, node] : fleet_.nodes()) {
    if (!fleet_.is_up(node)) {
      return false;
    }
    disks += node.has_disk ? 1 : 0;
  }
  for (const auto& voter : raft.replicas().voters) {
    auto& node = fleet_.nodes().at(voter.node);
    const bool is_own_replica = voter.replica_id == raft.id().value();
    const bool is_up_to_date = node.disk.replica_id().value() == voter.replica_id &&
                               (is_own_replica || raft.match_index(ReplicaId(voter.replica_id)) >= raft.commit_index());
    if (!is_up_to_date) {
      return false;
    }
  }
  return raft.replicas().voters.size() >= 3 && disks >= 3;
}

void FaultInjector::inject_disk_fault() {
  if (!all_replicas_up_to_date()) {
    return;
  }
  const auto& voters = fleet_.leader()->controller->raft()->replicas().voters;
  const std::string name = voters[static_cast<size_t>(random_number(0, static_cast<int>(voters.size()) - 1))].node;
  if (random_number(0, 1) == 0) {
    count_fault("disk lost");
    second_disk_loss_pending_ = true;
    fleet_.crash(name);
    fleet_.lose_disk(name);
  } else {
    fleet_.crash(name);
    if (fleet_.roll_back_disk(name)) {
      count_fault("disk rolled back");
      faults_suspended_until_ = fleet_.queue().now() + kRollbackDetectionTime;
    }
  }
  fleet_.queue().schedule_after(milliseconds(random_number(100, 1500)), [this, name] { fleet_.restart(name); });
}

void FaultInjector::repair_all() {
  fleet_.network() = NetworkFaults();
  for (auto& [name, node] : fleet_.nodes()) {
    fleet_.restart(name);
    node.paused_until = TimePoint::min();
  }
  for (auto& [id, machine] : fleet_.machines()) {
    if (!machine.alive) {
      machine.restart_empty(fleet_.queue().now());
    }
    machine.resume();
  }
}

}  // namespace larchlever::simulation
