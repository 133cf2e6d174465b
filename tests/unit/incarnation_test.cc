#include <gtest/gtest.h>

#include "core/fleet/group_supervisor.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/registration_relay.h"

// A server may restart with the same id: (id, birth) identifies an incarnation.

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kBorn = 1'780'000'000'000;

wire::Instance report(int64_t born_ms, int64_t call_number, const std::string& address = "a:1") {
  wire::Instance result;
  result.id = "i1";
  result.service_name = "s";
  result.address = address;
  result.born_ms = born_ms;
  result.call_number = call_number;
  return result;
}

wire::Instance in_group(wire::Instance instance) {
  instance.membership.group = "g1";
  instance.membership.epoch = 7;
  instance.membership.state = wire::MembershipState::OPEN;
  instance.model = "large";
  instance.staged_models = {"large"};
  return instance;
}

wire::Instance draining(wire::Instance instance) {
  instance.state = wire::InstanceState::DRAINING;
  return instance;
}

TEST(Incarnation, NewerIncarnationReplacesAllStateOfTheOlder) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, in_group(report(kBorn, 900)));
  directory.handle_report(kStart, draining(in_group(report(kBorn, 901))));
  EXPECT_TRUE(directory.handle_report(kStart + seconds(1), report(kBorn + 1, 1, "a:2")));
  const auto* row = directory.find("i1");
  EXPECT_EQ(row->state, wire::InstanceState::READY);
  EXPECT_EQ(row->call_number, 1);
  EXPECT_EQ(row->address, "a:2");
  EXPECT_EQ(row->membership, wire::GroupMembership());
  EXPECT_TRUE(row->model.empty());
  EXPECT_TRUE(row->staged_models.empty());
}

TEST(Incarnation, NewerIncarnationIsReadyAfterOlderOneWasDeregistered) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(kBorn, 900));
  directory.deregister(kStart, "i1");
  EXPECT_FALSE(directory.handle_report(kStart + seconds(1), report(kBorn, 901))) << "a gone incarnation stays gone";
  EXPECT_TRUE(directory.handle_report(kStart + seconds(2), report(kBorn + 1, 1)));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY);
}

TEST(Incarnation, LateReportOfOlderIncarnationIsIgnored) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(kBorn + 1, 3));
  EXPECT_FALSE(directory.handle_report(kStart + milliseconds(10), draining(report(kBorn, 900))));
  EXPECT_FALSE(directory.handle_report(kStart + milliseconds(20), draining(report(kBorn, 901))));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY);
  EXPECT_EQ(directory.find("i1")->born_ms, kBorn + 1);
}

TEST(Incarnation, EarlierBirthIsAcceptedAfterRepeatedReports) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(kBorn, 900));
  bool taken = false;
  for (int call = 1; call <= 4; ++call) {
    taken = directory.handle_report(kStart + milliseconds(1200 * call), report(kBorn - 60'000, call)) || taken;
  }
  EXPECT_TRUE(taken);
  EXPECT_EQ(directory.find("i1")->born_ms, kBorn - 60'000);
}

TEST(Incarnation, EarlierBirthIsRejectedWhileCurrentIncarnationReports) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(kBorn, 900));
  for (int call = 1; call <= 6; ++call) {
    const TimePoint now = kStart + milliseconds(1200 * call);
    directory.handle_report(now, report(kBorn, 900 + call));
    EXPECT_FALSE(directory.handle_report(now + milliseconds(100), report(kBorn - 60'000, call)));
  }
  EXPECT_EQ(directory.find("i1")->born_ms, kBorn);
}

TEST(Incarnation, RestartedCallNumbersWithoutBirthAreAcceptedAfterRepeatedReports) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, in_group(report(0, 900)));
  EXPECT_FALSE(directory.handle_report(kStart + seconds(2), report(0, 1))) << "may be a late report";
  bool taken = false;
  for (int call = 2; call <= 5; ++call) {
    taken = directory.handle_report(kStart + seconds(2) + milliseconds(1200 * call), report(0, call)) || taken;
  }
  EXPECT_TRUE(taken);
  EXPECT_EQ(directory.find("i1")->call_number, 5);
  EXPECT_TRUE(directory.find("i1")->membership.group.empty());
}

TEST(Incarnation, LateReportsDoNotRestoreDeregisteredInstance) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, report(0, 900));
  directory.deregister(kStart, "i1");
  for (int call = 896; call <= 899; ++call) {
    directory.handle_report(kStart + milliseconds(300 * (call - 895)), report(0, call));
  }
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::GONE);
}

TEST(Incarnation, InheritedOlderIncarnationDoesNotReplaceNewer) {
  InstanceDirectory directory{seconds(3)};
  directory.start(kStart, {draining(report(kBorn, 900))});
  EXPECT_TRUE(directory.handle_report(kStart, report(kBorn + 1, 1)));
  directory.merge(kStart, {draining(report(kBorn, 950))});
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY);
  EXPECT_EQ(directory.find("i1")->born_ms, kBorn + 1);
}

TEST(Incarnation, InheritedNewerIncarnationReplacesOlder) {
  InstanceDirectory directory{seconds(3)};
  directory.start(kStart, {draining(report(kBorn, 900))});
  directory.merge(kStart, {report(kBorn + 1, 3)});
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY);
  EXPECT_EQ(directory.find("i1")->call_number, 3);
}

TEST(Incarnation, StaleReportIntroducesNewerIncarnation) {
  InstanceDirectory directory{seconds(3)};
  directory.start(kStart, {draining(report(kBorn, 900))});
  EXPECT_TRUE(directory.handle_stale_report(kStart, report(kBorn + 1, 2)));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY);
}

TEST(Incarnation, ReportsOfDifferentIncarnationsDiffer) {
  EXPECT_FALSE(has_same_content(report(kBorn, 1), report(kBorn + 1, 1)));
}

TEST(Incarnation, RelayForwardsNewIncarnationWithLowerCallNumber) {
  RegistrationRelay relay(seconds(3));
  relay.record_heartbeat(kStart, report(kBorn, 900));
  ASSERT_TRUE(relay.next_batch(kStart, "leader", 2));
  relay.record_heartbeat(kStart + seconds(1), report(kBorn + 1, 1));
  const auto batch = relay.next_batch(kStart + seconds(1), "leader", 2);
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->reports.front().instance.born_ms, kBorn + 1);
}

// A restarted member can join through a late order and report that it is ready in the group, but it is not the
// incarnation that was ready when the group was opened.
TEST(Incarnation, RestartedMemberDissolvesItsGroup) {
  const auto member = [](const std::string& id, int64_t born_ms, int rank) {
    wire::Instance result = report(born_ms, 5, id + ":1");
    result.id = id;
    result.domain = "d0";
    result.membership.group = "g2-1";
    result.membership.epoch = 9;
    result.membership.rank = rank;
    result.membership.state = rank == 0 ? wire::MembershipState::OPEN : wire::MembershipState::READY;
    return result;
  };
  wire::EngineGroup group;
  group.name = "g2-1";
  group.epoch = 9;
  group.service_name = "s";
  group.model = "large";
  group.members = {"i1", "i2"};
  group.member_born_ms = {kBorn, kBorn};
  group.phase = wire::GroupPhase::OPEN;
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, member("i1", kBorn, 0));
  directory.handle_report(kStart, member("i2", kBorn, 1));
  GroupSupervisor supervisor{FleetOptions()};
  supervisor.start(kStart, 3, {group});
  const document::ConfigurationDocument document;
  supervisor.tick(kStart, document, directory);
  EXPECT_EQ(supervisor.snapshot().front().phase, wire::GroupPhase::OPEN);
  directory.handle_report(kStart + seconds(1), member("i2", kBorn + 1, 1));
  supervisor.tick(kStart + seconds(1), document, directory);
  EXPECT_EQ(supervisor.snapshot().front().phase, wire::GroupPhase::DISSOLVING);
}

}  // namespace
}  // namespace larchlever::fleet
