#include "core/control/control_state.h"

#include <gtest/gtest.h>

#include "core/control/control_leader.h"
#include "core/placement/planner.h"
#include "wire/codec.h"

namespace larchlever::control {
namespace {

wire::Tenant make_tenant(const std::string& name, int share) {
  wire::Tenant tenant;
  tenant.name = name;
  tenant.template_name = "main";
  tenant.zones = {"a"};
  tenant.share_percent = share;
  tenant.max_concurrent = 8;
  return tenant;
}

wire::KeyWrite make_write(const std::string& key, std::string value) {
  wire::KeyWrite item;
  item.key = key;
  item.value = std::move(value);
  return item;
}

class ControlStateTest : public testing::Test {
 protected:
  void SetUp() override {
    for (int number = 1; number <= 6; ++number) {
      wire::Command command;
      wire::MachineObservation seen;
      seen.machine.id = "m" + std::to_string(number);
      seen.machine.zone = "a";
      seen.machine.domain = number <= 3 ? "d1" : "d2";
      seen.machine.accelerators = 8;
      seen.machine.incarnation = 1;
      command.__set_machine_observation(seen);
      apply(command);
    }
    wire::Template group_template;
    group_template.name = "main";
    group_template.model = "model";
    group_template.version = "1";
    group_template.machines_per_group = 2;
    EXPECT_EQ(change("setup", {make_write("template/main", wire::encode(group_template)),
                               make_write("tenant/one", wire::encode(make_tenant("one", 30)))})
                  .verdict,
              wire::Verdict::ACCEPTED);
  }

  ApplyResult apply(const wire::Command& command) { return state_.apply(++index_, command); }

  wire::ChangeAnswer change(const std::string& id, std::vector<wire::KeyWrite> writes,
                            std::vector<wire::KeyRevision> reads = {}) {
    wire::Command command;
    command.__isset.change = true;
    command.change.command_id = id;
    command.change.operator_name = "test";
    command.change.writes = std::move(writes);
    command.change.reads = std::move(reads);
    return *apply(command).change_answer;
  }

  wire::KeyRevision read_revision(const std::string& key) {
    wire::KeyRevision revision;
    revision.key = key;
    revision.revision = state_.records().revision_of(key).value();
    return revision;
  }

  std::optional<int64_t> create_group(std::vector<std::string> machines, const std::string& domain = "d1") {
    wire::Command command;
    command.__isset.group_creation = true;
    command.group_creation.template_name = "main";
    command.group_creation.zone = "a";
    command.group_creation.domain = domain;
    command.group_creation.machines = std::move(machines);
    return apply(command).created_group;
  }

  int64_t index_ = 0;
  ControlState state_;
};

TEST_F(ControlStateTest, FirstCommitterWinsPerKey) {
  const auto base_revision = read_revision("tenant/one");
  EXPECT_EQ(change("a", {make_write("tenant/one", wire::encode(make_tenant("one", 20)))}, {base_revision}).verdict,
            wire::Verdict::ACCEPTED);
  const auto conflicting_answer =
      change("b", {make_write("tenant/one", wire::encode(make_tenant("one", 10)))}, {base_revision});
  EXPECT_EQ(conflicting_answer.verdict, wire::Verdict::CONFLICT);
  EXPECT_NE(conflicting_answer.message.find("read it again"), std::string::npos);
  EXPECT_EQ(change("c", {make_write("tenant/two", wire::encode(make_tenant("two", 10)))}).verdict,
            wire::Verdict::ACCEPTED)
      << "changes to different keys do not conflict";
  EXPECT_EQ(change("d", {make_write("tenant/two", wire::encode(make_tenant("two", 5)))}).verdict,
            wire::Verdict::CONFLICT)
      << "a write without a matching read may only create a record";
}

TEST_F(ControlStateTest, ResentCommandGetsFirstAnswerAfterSnapshotRestore) {
  const auto base_revision = read_revision("tenant/one");
  const auto first_answer =
      change("a", {make_write("tenant/one", wire::encode(make_tenant("one", 20)))}, {base_revision});
  const auto refused_answer =
      change("b", {make_write("tenant/one", wire::encode(make_tenant("one", 10)))}, {base_revision});
  ControlState restored;
  ASSERT_TRUE(restored.restore(state_.snapshot()));
  state_ = restored;
  EXPECT_EQ(change("a", {make_write("tenant/one", wire::encode(make_tenant("one", 20)))}, {base_revision}).revision,
            first_answer.revision);
  EXPECT_EQ(change("b", {make_write("tenant/one", wire::encode(make_tenant("one", 10)))}, {base_revision}).verdict,
            refused_answer.verdict);
  EXPECT_EQ(state_.audit().size(), 3U);
}

TEST_F(ControlStateTest, RefusesInvalidChangesWithRemedyAndKeepsRecords) {
  const auto revision = state_.records().revision();
  auto tenant_in_unknown_zone = make_tenant("two", 10);
  tenant_in_unknown_zone.zones = {"nowhere"};
  const auto zone = change("a", {make_write("tenant/two", wire::encode(tenant_in_unknown_zone))});
  EXPECT_EQ(zone.verdict, wire::Verdict::INVALID);
  EXPECT_NE(zone.message.find("unknown zone"), std::string::npos);
  const auto shares = change("b", {make_write("tenant/two", wire::encode(make_tenant("two", 80)))});
  EXPECT_EQ(shares.verdict, wire::Verdict::INVALID);
  EXPECT_NE(shares.message.find("100 %"), std::string::npos);
  wire::KeyWrite removal;
  removal.key = "template/main";
  removal.remove = true;
  EXPECT_EQ(change("c", {removal}, {read_revision("template/main")}).verdict, wire::Verdict::INVALID)
      << "a tenant still uses the template";
  EXPECT_EQ(change("d", {make_write("group/1", "x")}).verdict, wire::Verdict::INVALID);
  EXPECT_EQ(state_.records().revision(), revision);
}

TEST_F(ControlStateTest, MachineBelongsToOneGroupUntilReleaseIsConfirmed) {
  const auto group = create_group({"m1", "m2"});
  ASSERT_TRUE(group);
  EXPECT_FALSE(create_group({"m2", "m3"})) << "m2 belongs to the group";
  EXPECT_FALSE(create_group({"m3", "m4"})) << "the machines are in different domains";
  EXPECT_FALSE(create_group({"m3", "m3"})) << "the same machine is listed twice";
  wire::Command release_transition;
  release_transition.__isset.group_transition = true;
  release_transition.group_transition.group_id = *group;
  release_transition.group_transition.epoch = static_cast<int32_t>(*group);
  release_transition.group_transition.to = wire::GroupState::RELEASING;
  apply(release_transition);
  EXPECT_FALSE(create_group({"m2", "m3"})) << "the release of m2 is not confirmed yet";
  wire::Command release;
  release.__isset.machine_release = true;
  release.machine_release.machine = "m2";
  release.machine_release.group_id = *group;
  release.machine_release.epoch = static_cast<int32_t>(*group) + 1;
  apply(release);
  EXPECT_FALSE(create_group({"m2", "m3"})) << "the release has another epoch";
  release.machine_release.epoch = static_cast<int32_t>(*group);
  apply(release);
  EXPECT_TRUE(create_group({"m2", "m3"}));
}

TEST_F(ControlStateTest, NewMachineIncarnationReleasesGroup) {
  const auto group = create_group({"m1", "m2"});
  wire::Command seen;
  wire::MachineObservation observation;
  observation.machine = state_.machines().at("m1");
  observation.machine.incarnation = 2;
  seen.__set_machine_observation(observation);
  apply(seen);
  EXPECT_EQ(state_.groups().at(*group).state, wire::GroupState::RELEASING);
}

TEST(ControlLeader, IgnoresEntryOfAnotherTermAtProposedIndex) {
  ControlLeader leader(ControlOptions(), "n1");
  leader.start(TimePoint(seconds(1)));
  wire::ClaimRequest request;
  request.request_id = 5;
  ControlLeader::Proposal proposal;
  proposal.command.claims.claims.push_back(request.claim);
  proposal.claim_requests.emplace_back("n2", request.request_id);
  leader.on_proposal_appended(10, 3, proposal);
  leader.on_entry_applied(TimePoint(seconds(2)), 10, 4, ApplyResult());
  EXPECT_TRUE(leader.take_outputs().envelopes.empty());
}

TEST(Planner, PrefersMachineWithWeightsAndKeepsSpare) {
  std::map<std::string, wire::Machine> machines;
  const auto add_machines = [&machines](const std::string& domain, int count) {
    for (int number = 1; number <= count; ++number) {
      wire::Machine machine;
      machine.domain = domain;
      machine.id = domain + std::to_string(number);
      machine.zone = "a";
      machine.accelerators = 8;
      machines[machine.id] = machine;
    }
  };
  add_machines("tight", 2);
  add_machines("wide", 3);
  machines["wide3"].weights = "model@1";
  wire::Template group_template;
  group_template.name = "main";
  group_template.model = "model";
  group_template.version = "1";
  group_template.machines_per_group = 2;
  placement::PlanningInput input{machines, {}, {group_template}, {make_tenant("one", 40)}, {}, {}};
  const std::map<int64_t, wire::Group> no_groups;
  placement::PlanningInput input_with_machines_present{machines, no_groups, {group_template}, {make_tenant("one", 40)},
                                                       {},       {}};
  for (const auto& [id, machine] : machines) {
    input_with_machines_present.present_machines.insert(id);
  }
  input_with_machines_present.parameters.downtime_weight = 100;
  const auto plan_with_spare =
      placement::make_plan(input_with_machines_present, *placement::make_placement_policy("spare_aware"));
  ASSERT_EQ(plan_with_spare.groups_to_create.size(), 1U);
  EXPECT_EQ(plan_with_spare.groups_to_create[0].domain, "wide");
  EXPECT_EQ(plan_with_spare.groups_to_create[0].machines.front(), "wide3") << "it already holds the weights";
  input_with_machines_present.parameters.downtime_weight = 0;
  EXPECT_EQ(placement::make_plan(input_with_machines_present, *placement::make_placement_policy("spare_aware"))
                .groups_to_create[0]
                .domain,
            "tight");
  EXPECT_EQ(placement::make_plan(input_with_machines_present, *placement::make_placement_policy("best_fit"))
                .groups_to_create[0]
                .domain,
            "tight");
}

}  // namespace
}  // namespace larchlever::control
