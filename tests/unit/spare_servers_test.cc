#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "core/base/http_status.h"
#include "core/fleet/group_supervisor.h"
#include "simulation/simulated_instance.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kTick = milliseconds(40);
constexpr Duration kWarmJoin = milliseconds(200);
constexpr int kGroupSize = 4;

/// Servers of one domain that execute the orders of a supervisor and report the result at once.
class SimulatedServers {
 public:
  explicit SimulatedServers(int count) {
    document::ServiceSpec service;
    service.name = "engines";
    auto& engine = service.engine.emplace();
    engine.slots = 10;
    engine.max_concurrent_weight_loads = 8;
    engine.max_weight_loads_per_second = 8;
    engine.max_staged_models_per_host = 1;
    engine.models.push_back({"large", kGroupSize, 1.0, 1.0, seconds(16), seconds(2)});
    document_.services["engines"] = service;
    for (int number = 0; number < count; ++number) {
      add("i" + std::to_string(number));
    }
  }

  void add(const std::string& id) {
    const std::string address = "a:" + id;
    servers_.emplace(id, simulation::SimulatedInstance(id, address, "d0", {"large"}));
  }
  void remove(TimePoint now, const std::string& id) {
    servers_.erase(id);
    directory_.deregister(now, id);
  }
  simulation::SimulatedInstance& at(const std::string& id) { return servers_.at(id); }

  /// Runs the supervisor from `now` for `time`; returns the end time.
  TimePoint run(GroupSupervisor& supervisor, TimePoint now, Duration time) {
    const TimePoint end = now + time;
    for (; now < end; now += kTick) {
      for (auto& [id, server] : servers_) {
        server.advance(now);
        directory_.handle_report(now, server.take_report());
      }
      supervisor.tick(now, document_, directory_);
      for (const auto& order : supervisor.take_orders()) {
        join_orders_ += order.kind == OrderKind::kJoin ? 1 : 0;
        const auto server = servers_.find(order.instance_id);
        const int status = server == servers_.end() ? 0 : server->second.execute_order(now, order, kWarmJoin);
        supervisor.order_result(now, {order, status});
      }
    }
    return now;
  }
  /// Join orders since the last call.
  int take_join_orders() { return std::exchange(join_orders_, 0); }
  /// Restarts the directory as a new leader does, with the state that the previous leader published.
  void restart_directory_from_snapshot(TimePoint now) { directory_.start(now, directory_.snapshot()); }

 private:
  document::ConfigurationDocument document_;
  InstanceDirectory directory_{seconds(3)};
  std::map<std::string, simulation::SimulatedInstance> servers_;
  int join_orders_ = 0;
};

size_t count_open_groups(const GroupSupervisor& supervisor) {
  const auto groups = supervisor.snapshot();
  return static_cast<size_t>(std::count_if(groups.begin(), groups.end(),
                                           [](const auto& group) { return group.phase == wire::GroupPhase::OPEN; }));
}

// The group that a spare reported depended on its history: a spare without weights was in a spare group to load them,
// but a member of a dissolved group kept the name of that group or had none. After three servers had crashed and
// restarted, one server that never crashed was in no group for the rest of the run:
//   23 of 24 servers in groups after they came back
TEST(SpareServers, JoinSpareGroupsWhenTheirGroupIsDissolved) {
  SimulatedServers servers(kGroupSize);
  GroupSupervisor supervisor{FleetOptions()};
  supervisor.start(kStart, 3, {});
  TimePoint now = servers.run(supervisor, kStart, seconds(4));
  ASSERT_EQ(count_open_groups(supervisor), 1U);
  servers.remove(now, "i3");
  now = servers.run(supervisor, now, seconds(8));
  for (const std::string id : {"i0", "i1", "i2"}) {
    EXPECT_TRUE(is_spare_group(servers.at(id).membership().group))
        << id << " is in '" << servers.at(id).membership().group << "'";
    EXPECT_EQ(servers.at(id).model(), "large");
  }
  servers.take_join_orders();
  servers.run(supervisor, now, seconds(4));
  EXPECT_EQ(servers.take_join_orders(), 0) << "a spare in a spare group needs no further orders";
}

// A new leader did not know of a dissolved group that its former members still reported. It treated them as members of
// a group in use, and the repair that needed them waited until that group was adopted and dissolved again.
TEST(SpareServers, AreUsedImmediatelyByANewLeader) {
  SimulatedServers servers(kGroupSize);
  GroupSupervisor first{FleetOptions()};
  first.start(kStart, 3, {});
  TimePoint now = servers.run(first, kStart, seconds(4));
  servers.remove(now, "i3");
  now = servers.run(first, now, seconds(8));
  servers.restart_directory_from_snapshot(now);
  servers.add("i4");
  GroupSupervisor second{FleetOptions()};
  second.start(now, 4, first.snapshot());
  servers.run(second, now, seconds(1));
  EXPECT_EQ(count_open_groups(second), 1U);
}

// A join order that was executed late, after its group was dissolved, made a spare rejoin that group.
TEST(SpareServers, RejectLateOrdersOfTheirPreviousGroup) {
  SimulatedServers servers(kGroupSize);
  GroupSupervisor supervisor{FleetOptions()};
  supervisor.start(kStart, 3, {});
  TimePoint now = servers.run(supervisor, kStart, seconds(4));
  const auto group = supervisor.snapshot().front();
  servers.remove(now, "i3");
  now = servers.run(supervisor, now, seconds(8));
  InstanceOrder late;
  late.kind = OrderKind::kJoin;
  late.group = group.name;
  late.epoch = group.epoch;
  late.model = group.model;
  late.members = group.members;
  for (const std::string id : {"i0", "i1", "i2"}) {
    EXPECT_EQ(servers.at(id).execute_order(now, late, kWarmJoin), http_status::kPreconditionFailed) << id;
  }
}

}  // namespace
}  // namespace larchlever::fleet
