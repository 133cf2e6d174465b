#include "simulation/fault_injector.h"

#include <set>

namespace larchlever::simulation {

namespace {

/// A rolled-back disk is found out by the leader; that takes a few heartbeats.
constexpr Duration kQuietAfterRollback = seconds(5);

}  // namespace

int FaultInjector::random_number(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(fleet_.random());
}

std::string FaultInjector::random_node() {
  auto item = fleet_.nodes().begin();
  std::advance(item, random_number(0, static_cast<int>(fleet_.nodes().size()) - 1));
  return item->first;
}

void FaultInjector::start(TimePoint end) { next(end); }

void FaultInjector::next(TimePoint end) {
  if (fleet_.queue().now() >= end) {
    return;
  }
  std::exponential_distribution<double> gap(1.0 / static_cast<double>(options_.mean_interval.count()));
  fleet_.queue().after(Duration(static_cast<int64_t>(gap(fleet_.random()))), [this, end] {
    if (fleet_.queue().now() < end && fleet_.queue().now() >= quiet_until_) {
      inject();
    }
    next(end);
  });
}

void FaultInjector::inject() {
  if (second_loss_due_ && replicas_are_whole()) {
    // The repair has just finished: the next disk goes at once.
    second_loss_due_ = false;
    count("second disk lost after repair");
    fault_disk();
    return;
  }
  const int kind = random_number(0, 99);
  if (kind < 30) {
    fault_node();
  } else if (kind < 55) {
    fault_links();
  } else if (kind < 85) {
    fault_machine();
  } else if (options_.disk_faults) {
    fault_disk();
  }
}

void FaultInjector::fault_node() {
  std::string name = random_node();
  auto* leader = fleet_.leader();
  if (leader != nullptr && random_number(0, 2) == 0) {
    name = leader->name;
  }
  if (random_number(0, 1) == 0) {
    count("node crashed");
    fleet_.nodes().at(name).disk.remember();
    fleet_.crash(name);
    fleet_.queue().after(milliseconds(random_number(100, 6000)), [this, name] { fleet_.restart(name); });
  } else {
    count("node paused");
    fleet_.pause(name, milliseconds(random_number(200, 8000)));
  }
}

void FaultInjector::cut_both(const std::string& node, bool both_ways) {
  auto& cuts = fleet_.network().cuts;
  std::set<std::pair<std::string, std::string>> added;
  for (const auto& [other, value] : fleet_.nodes()) {
    if (other != node) {
      added.insert({node, other});
      if (both_ways) {
        added.insert({other, node});
      }
    }
  }
  cuts.insert(added.begin(), added.end());
  fleet_.queue().after(milliseconds(random_number(500, 8000)), [this, added] {
    for (const auto& cut : added) {
      fleet_.network().cuts.erase(cut);
    }
  });
}

void FaultInjector::fault_links() {
  auto& network = fleet_.network();
  auto* leader = fleet_.leader();
  const std::string target = leader != nullptr && random_number(0, 1) == 0 ? leader->name : random_node();
  switch (random_number(0, 5)) {
    case 0:
      count("node cut off");
      cut_both(target, true);
      break;
    case 1:
      count("one-way cut");
      cut_both(target, false);
      break;
    case 2: {
      count("back ends cut off");
      network.cuts.insert({target, "machines"});
      fleet_.queue().after(milliseconds(random_number(500, 6000)), [this, target] {
        fleet_.network().cuts.erase({target, "machines"});
      });
      break;
    }
    case 3:
      count("messages lost");
      network.loss = 0.25;
      fleet_.queue().after(milliseconds(random_number(500, 4000)), [this] { fleet_.network().loss = 0; });
      break;
    case 4:
      count("messages doubled");
      network.duplication = 0.3;
      fleet_.queue().after(milliseconds(random_number(500, 5000)), [this] { fleet_.network().duplication = 0; });
      break;
    default:
      count("messages delayed");
      network.extra_delay = milliseconds(random_number(20, 400));
      fleet_.queue().after(milliseconds(random_number(500, 4000)),
                           [this] { fleet_.network().extra_delay = Duration(0); });
      break;
  }
}

void FaultInjector::fault_machine() {
  auto item = fleet_.machines().begin();
  std::advance(item, random_number(0, static_cast<int>(fleet_.machines().size()) - 1));
  const std::string id = item->first;
  SimulatedMachine& machine = item->second;
  const TimePoint now = fleet_.queue().now();
  switch (random_number(0, 3)) {
    case 0:
    case 1:
      count("machine died");
      machine.die(now);
      fleet_.queue().after(milliseconds(random_number(500, 9000)), [this, id] {
        auto& back = fleet_.machines().at(id);
        if (!back.alive) {
          back.come_back(fleet_.queue().now());
        }
      });
      break;
    case 2:
      count("machine paused");
      machine.pause(now);
      fleet_.queue().after(milliseconds(random_number(200, 7000)), [this, id] { fleet_.machines().at(id).resume(); });
      break;
    default:
      if (!machine.leaving) {
        count("machine leaving");
        machine.leaving = true;
        machine.leaving_since = now;
      }
      break;
  }
}

bool FaultInjector::replicas_are_whole() const {
  auto* leader = fleet_.leader();
  if (leader == nullptr || !fleet_.network().cuts.empty() || fleet_.network().loss > 0) {
    return false;
  }
  const auto& raft = *leader->controller->raft();
  if (raft.replica_change_pending()) {
    return false;  // A repair is finished when its last change is committed, not when the leader has thought of it.
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
    const bool self = voter.replica_id == raft.id().value();
    const bool complete = node.disk.replica_id().value() == voter.replica_id &&
                          (self || raft.match_index(ReplicaId(voter.replica_id)) >= raft.commit_index());
    if (!complete) {
      return false;
    }
  }
  return raft.replicas().voters.size() >= 3 && disks >= 3;
}

void FaultInjector::fault_disk() {
  if (!replicas_are_whole()) {
    return;
  }
  const auto& voters = fleet_.leader()->controller->raft()->replicas().voters;
  const std::string name = voters[static_cast<size_t>(random_number(0, static_cast<int>(voters.size()) - 1))].node;
  if (random_number(0, 1) == 0) {
    count("disk lost");
    second_loss_due_ = true;
    fleet_.crash(name);
    fleet_.lose_disk(name);
  } else {
    fleet_.crash(name);
    if (fleet_.roll_back_disk(name)) {
      count("disk rolled back");
      quiet_until_ = fleet_.queue().now() + kQuietAfterRollback;
    }
  }
  fleet_.queue().after(milliseconds(random_number(100, 1500)), [this, name] { fleet_.restart(name); });
}

void FaultInjector::heal() {
  fleet_.network() = NetworkFaults();
  for (auto& [name, node] : fleet_.nodes()) {
    fleet_.restart(name);
    node.paused_until = TimePoint::min();
  }
  for (auto& [id, machine] : fleet_.machines()) {
    if (!machine.alive) {
      machine.come_back(fleet_.queue().now());
    }
    machine.resume();
  }
}

}  // namespace larchlever::simulation
