#include "core/fleet/group_supervisor.h"

#include <gtest/gtest.h>

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

document::ConfigurationDocument document_with_engine() {
  document::ServiceSpec service;
  service.name = "s";
  auto& engine = service.engine.emplace();
  engine.slots = 10;
  engine.loads_at_once = 4;
  engine.loads_per_second = 4;
  engine.staged_per_host = 1;
  engine.models.push_back({"large", 4, 1.0, 1.0, seconds(16), seconds(2)});
  document::ConfigurationDocument document;
  document.services["s"] = service;
  return document;
}

wire::Instance instance_with_staged(const std::string& staged) {
  wire::Instance result;
  result.id = "i0";
  result.service_name = "s";
  result.address = "a:0";
  result.domain = "d0";
  result.call_number = 1;
  result.staged_models = {staged};
  return result;
}

/// Join orders that a supervisor sends in a second of ticks.
size_t joins_in_a_second(GroupSupervisor& supervisor, TimePoint from, const InstanceDirectory& directory) {
  const auto document = document_with_engine();
  size_t joins = 0;
  for (TimePoint now = from; now < from + seconds(1); now += milliseconds(40)) {
    supervisor.tick(now, document, directory);
    for (const auto& order : supervisor.take_orders()) {
      joins += order.kind == OrderKind::kJoin ? 1 : 0;
    }
  }
  return joins;
}

TEST(GroupSupervisor, AFreeServerWithWeightsOnItsHostIsOrderedToTakeThemOnce) {
  InstanceDirectory directory(seconds(3));
  directory.heard(kStart, instance_with_staged("large"));
  GroupSupervisor supervisor{FleetOptions()};
  supervisor.start(kStart, 3, {});
  EXPECT_EQ(joins_in_a_second(supervisor, kStart + milliseconds(10), directory), 1U)
      << "a second order would begin the join anew";
  auto loaded = instance_with_staged("large");
  loaded.call_number = 2;
  loaded.model = "large";
  loaded.membership.group = holding_group_name(3, 1);
  loaded.membership.epoch = 1;
  loaded.membership.state = wire::MembershipState::READY;
  directory.heard(kStart + seconds(2), loaded);
  EXPECT_EQ(joins_in_a_second(supervisor, kStart + seconds(2), directory), 0U);
  EXPECT_TRUE(supervisor.snapshot().empty()) << "the group of one is nobody's to dissolve";
}

}  // namespace
}  // namespace larchlever::fleet
