#include <gtest/gtest.h>

#include "core/fleet/fleet_leader.h"
#include "core/fleet/registration_relay.h"

namespace larchlever::fleet {
namespace {

// Guards against one instance in two groups after a leader change. The old leader formed and opened a group, and no
// other node learned of it. A replica then forwarded a one second old report of the group's head to the new leader,
// which treated it as current and assigned the head to another group while the first one was open:
//   6.397 s core-1 group_changed group=g2-82 phase=OPENING members=i-04e3799ed7,...
//   6.790 s core-2 leadership_begun
//   7.580 s core-2 order_answered operation=join instance=i-04e3799ed7 group=g3-1-single status=202
// A report from before the leadership therefore does not settle the state of an instance.
TEST(RegistrationAge, ReportFromBeforeLeadershipDoesNotSettleInstance) {
  const TimePoint reported_at{seconds(100)};
  wire::Instance report;
  report.id = "i0";
  report.service_name = "s";
  report.address = "10.0.2.1:80";
  report.domain = "d0";
  report.call_number = 7;
  report.membership.group = "g2-16";
  report.membership.epoch = 16;
  report.membership.state = wire::MembershipState::OPEN;
  RegistrationRelay relay(seconds(3));
  relay.record_heartbeat(reported_at, report);

  FleetLeader leader({}, {});
  const TimePoint leadership_start = reported_at + seconds(1);
  leader.begin_leadership(leadership_start, 3, {});
  const auto first_batch = relay.next_batch(leadership_start + milliseconds(50), "10.0.0.1:7000", 3);
  ASSERT_TRUE(first_batch);
  leader.handle_registrations(leadership_start + milliseconds(51), *first_batch);
  ASSERT_TRUE(leader.instances().rows().contains("i0"));
  EXPECT_FALSE(leader.instances().rows().at("i0").is_confirmed());

  report.call_number = 8;
  relay.record_heartbeat(leadership_start + milliseconds(200), report);
  const auto second_batch = relay.next_batch(leadership_start + milliseconds(250), "10.0.0.1:7000", 3);
  ASSERT_TRUE(second_batch);
  leader.handle_registrations(leadership_start + milliseconds(251), *second_batch);
  EXPECT_TRUE(leader.instances().rows().at("i0").is_confirmed());
}

}  // namespace
}  // namespace larchlever::fleet
