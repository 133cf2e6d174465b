// Zone evacuations: storage in the log, distribution to entries, and effects on group formation and dispatch.

#include "core/fleet/zone_evacuations.h"

#include <gtest/gtest.h>

#include "core/fleet/dispatcher.h"
#include "core/fleet/entry_distributor.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/group_supervisor.h"
#include "wire/codec.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

wire::ZoneEvacuationChange evacuation_change(const std::string& zone, bool begins) {
  wire::ZoneEvacuationChange change;
  change.zone = zone;
  change.begins = begins;
  return change;
}

wire::ZoneEvacuations evacuations_of(const std::string& zone, int64_t revision = 1) {
  wire::ZoneEvacuations evacuations;
  evacuations.revision = revision;
  evacuations.zones = {zone};
  return evacuations;
}

wire::Instance server(const std::string& id, const std::string& zone, const std::string& domain = "") {
  wire::Instance result;
  result.id = id;
  result.service_name = "s";
  result.address = id + ":80";
  result.zone = zone;
  result.domain = domain;
  result.call_number = 1;
  return result;
}

wire::EngineGroup open_group(const std::string& name, const std::string& head, const std::vector<std::string>& zones) {
  wire::EngineGroup group;
  group.name = name;
  group.service_name = "s";
  group.model = "m";
  group.phase = wire::GroupPhase::OPEN;
  group.members = {head};
  group.zones = zones;
  return group;
}

document::ServiceSpec engine_service(int size = 1) {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 10;
  engine.models.push_back({"m", size, 1.0, 1.0, {}, {}});
  return service;
}

TEST(ZoneEvacuations, RepeatedChangeLeavesRevisionUnchanged) {
  wire::ZoneEvacuations evacuations;
  apply_evacuation(evacuations, evacuation_change("b", true));
  apply_evacuation(evacuations, evacuation_change("a", true));
  EXPECT_EQ(evacuations.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(evacuations.revision, 2);
  apply_evacuation(evacuations, evacuation_change("b", true));
  apply_evacuation(evacuations, evacuation_change("c", false));
  EXPECT_EQ(evacuations.revision, 2);
  apply_evacuation(evacuations, evacuation_change("b", false));
  EXPECT_FALSE(is_evacuated(evacuations, "b"));
  EXPECT_TRUE(is_evacuated(evacuations, "a"));
  EXPECT_EQ(evacuations.revision, 3);
}

TEST(FleetLog, SnapshotKeepsEvacuationsAndOlderSnapshotsRestore) {
  FleetLog log;
  wire::Command command;
  command.__set_zone_evacuation(evacuation_change("a", true));
  log.apply(1, wire::encode(command));
  FleetLog restored;
  ASSERT_TRUE(restored.restore(log.snapshot()));
  EXPECT_EQ(restored.evacuations(), evacuations_of("a"));
  FleetLog from_earlier_version;
  const auto document = pack_document(7, R"({"version":7})");
  ASSERT_TRUE(from_earlier_version.restore(wire::encode(document)));
  EXPECT_EQ(from_earlier_version.document_version(), 7);
  EXPECT_TRUE(from_earlier_version.evacuations().zones.empty());
}

/// A control replica's subscription to a leader that confirms document 5 and evacuations of a given revision.
class FleetSubscriptionEvacuationTest : public testing::Test {
 protected:
  FleetSubscriptionEvacuationTest() : subscription_(FleetOptions(), identity(), {"10.0.0.2:1"}) {}

  static PeerIdentity identity() {
    PeerIdentity result;
    result.peer_address = "10.0.0.1:1";
    return result;
  }
  void receive_leader_update(TimePoint now, int64_t revision, bool with_evacuations) {
    const auto sent_heartbeat = subscription_.tick(now, {});
    wire::Envelope envelope;
    envelope.from_node = "10.0.0.2:1";
    envelope.__isset.fleet_update = true;
    auto& update = envelope.fleet_update;
    update.sequence = sent_heartbeat ? sent_heartbeat->fleet_heartbeat.sequence : 0;
    update.document_version = 5;
    update.__set_document(pack_document(5, "text"));
    update.evacuation_revision = revision;
    if (with_evacuations) {
      update.__set_evacuations(evacuations_of("a", revision));
    }
    subscription_.receive(now, envelope);
  }

  FleetSubscription subscription_;
};

// A node that is partitioned when a zone is evacuated must stop sending there in bounded time, so its lease must also
// require the newest evacuations.
TEST_F(FleetSubscriptionEvacuationTest, HasNoLeaseWithoutNewestEvacuations) {
  receive_leader_update(kStart, 3, false);
  EXPECT_FALSE(subscription_.has_lease(kStart));
  receive_leader_update(kStart + milliseconds(200), 3, true);
  EXPECT_TRUE(subscription_.has_lease(kStart + milliseconds(200)));
  EXPECT_TRUE(is_evacuated(subscription_.evacuations(), "a"));
}

TEST_F(FleetSubscriptionEvacuationTest, IgnoresOlderEvacuations) {
  receive_leader_update(kStart, 3, true);
  receive_leader_update(kStart + milliseconds(200), 2, true);
  EXPECT_EQ(subscription_.evacuations().revision, 3);
}

TEST_F(FleetSubscriptionEvacuationTest, DistributorSendsEvacuationsToEntriesThatLackThem) {
  receive_leader_update(kStart, 3, true);
  EntryDistributor distributor{FleetOptions()};
  wire::Envelope heartbeat;
  heartbeat.from_node = "e1";
  heartbeat.from_incarnation = 1;
  heartbeat.__isset.fleet_heartbeat = true;
  heartbeat.fleet_heartbeat.serves_requests = true;
  heartbeat.fleet_heartbeat.document_version = 5;
  distributor.handle_heartbeat(kStart, heartbeat, {subscription_, "10.0.0.2:1", {}});
  const auto first_answers = distributor.take_envelopes();
  ASSERT_EQ(first_answers.size(), 1U);
  EXPECT_EQ(first_answers.front().fleet_update.evacuations, evacuations_of("a", 3));
  heartbeat.fleet_heartbeat.evacuation_revision = 3;
  distributor.handle_heartbeat(kStart, heartbeat, {subscription_, "10.0.0.2:1", {}});
  const auto second_answers = distributor.take_envelopes();
  ASSERT_EQ(second_answers.size(), 1U);
  EXPECT_FALSE(second_answers.front().fleet_update.__isset.evacuations);
  EXPECT_EQ(second_answers.front().fleet_update.evacuation_revision, 3);
}

TEST(Dispatcher, ExcludesGroupsInEvacuatedZone) {
  Dispatcher dispatcher(FleetOptions(), "a", 1);
  wire::FleetState state;
  state.instances = {server("i1", "a", "d1"), server("i2", "b", "d2"), server("i3", "b", "d2")};
  state.groups = {open_group("g1", "i1", {"a"}), open_group("g2", "i2", {"b"}), open_group("g3", "i3", {"a", "b"})};
  dispatcher.update_state(state);
  const auto service = engine_service();
  const auto target = dispatcher.target_of_group(kStart, "g1");
  ASSERT_TRUE(target);
  EXPECT_TRUE(dispatcher.may_send(kStart, *target));
  dispatcher.update_evacuations(evacuations_of("a"));
  EXPECT_FALSE(dispatcher.may_send(kStart, *target)) << "the zone was evacuated while the connection was established";
  EXPECT_FALSE(dispatcher.target_of_group(kStart, "g1"));
  EXPECT_FALSE(dispatcher.target_of_group(kStart, "g3")) << "one member is in the zone";
  for (int index = 0; index < 20; ++index) {
    const auto choice = dispatcher.choose_target(kStart + milliseconds(200 * index), service, {"m", {}, 10}, {});
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->group, "g2");
  }
  EXPECT_FALSE(dispatcher.are_all_servers_evacuated("s", "m"));
  auto both_zones = evacuations_of("a", 2);
  both_zones.zones.emplace_back("b");
  dispatcher.update_evacuations(both_zones);
  EXPECT_FALSE(dispatcher.choose_target(kStart + seconds(9), service, {"m", {}, 10}, {}).target);
  EXPECT_TRUE(dispatcher.are_all_servers_evacuated("s", "m"));
}

TEST(Dispatcher, ExcludesPlainInstancesInEvacuatedZone) {
  Dispatcher dispatcher(FleetOptions(), "a", 1);
  wire::FleetState state;
  state.instances = {server("i1", "a"), server("i2", "b")};
  dispatcher.update_state(state);
  dispatcher.update_evacuations(evacuations_of("a"));
  document::ServiceSpec service;
  service.name = "s";
  for (int index = 0; index < 20; ++index) {
    const auto choice = dispatcher.choose_target(kStart, service, {}, {});
    ASSERT_TRUE(choice.target);
    EXPECT_EQ(choice.target->instance_id, "i2");
  }
}

/// A group supervisor with simulated servers that execute every order at once.
class GroupSupervisorEvacuationTest : public testing::Test {
 protected:
  GroupSupervisorEvacuationTest() : directory_(seconds(3)), supervisor_(FleetOptions()) {
    document_.services["s"] = engine_service(2);
    document_.services["s"].engine->max_concurrent_weight_loads = 100;
    document_.services["s"].engine->max_weight_loads_per_second = 1000;
    for (int index = 0; index < 8; ++index) {
      const std::string id = "i" + std::to_string(index);
      servers_[id] = server(id, index < 4 ? "a" : "b", index < 4 ? "d1" : "d2");
    }
    supervisor_.start(kStart, 3, {});
  }

  void run_for(Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(40)) {
      for (auto& [id, instance] : servers_) {
        ++instance.call_number;
        directory_.handle_report(now_, instance);
      }
      supervisor_.tick(now_, document_, directory_);
      for (const auto& order : supervisor_.take_orders()) {
        execute_order(order);
      }
    }
  }
  void execute_order(const InstanceOrder& order) {
    auto& membership = servers_[order.instance_id].membership;
    if (order.kind == OrderKind::kJoin) {
      servers_[order.instance_id].model = order.model;
      membership.group = order.group;
      membership.epoch = order.epoch;
      membership.rank = order.members.front() == order.instance_id ? 0 : 1;
      membership.state = wire::MembershipState::READY;
      ++join_count_;
    } else if (order.kind == OrderKind::kOpen) {
      membership.state = wire::MembershipState::OPEN;
    }
  }
  int open_groups_in(const std::string& zone) const {
    const auto groups = supervisor_.snapshot();
    return static_cast<int>(std::count_if(groups.begin(), groups.end(), [&zone](const auto& group) {
      return group.phase == wire::GroupPhase::OPEN && group.zones == std::vector<std::string>{zone};
    }));
  }

  TimePoint now_ = kStart;
  document::ConfigurationDocument document_;
  InstanceDirectory directory_;
  GroupSupervisor supervisor_;
  std::map<std::string, wire::Instance> servers_;
  int join_count_ = 0;
};

// Loading a model is expensive and takes about 15 s, so an evacuated zone keeps its groups for when it is restored.
TEST_F(GroupSupervisorEvacuationTest, KeepsGroupsOfEvacuatedZone) {
  run_for(seconds(2));
  ASSERT_EQ(open_groups_in("a"), 2);
  ASSERT_EQ(open_groups_in("b"), 2);
  supervisor_.set_evacuations(evacuations_of("a"));
  const int join_count_before = join_count_;
  run_for(seconds(10));
  EXPECT_EQ(open_groups_in("a"), 2);
  EXPECT_EQ(open_groups_in("b"), 2);
  EXPECT_EQ(join_count_, join_count_before);
}

TEST_F(GroupSupervisorEvacuationTest, FormsNoNewGroupsInEvacuatedZone) {
  supervisor_.set_evacuations(evacuations_of("a"));
  run_for(seconds(4));
  EXPECT_EQ(open_groups_in("a"), 0);
  EXPECT_EQ(open_groups_in("b"), 2);
  supervisor_.set_evacuations({});
  run_for(seconds(2));
  EXPECT_EQ(open_groups_in("a"), 2);
}

}  // namespace
}  // namespace larchlever::fleet
