#include "core/fleet/fleet_subscription.h"

#include <gtest/gtest.h>

#include <set>

namespace larchlever::fleet {
namespace {

constexpr Duration kTick = milliseconds(20);

FleetIdentity control_identity(const std::string& address) {
  FleetIdentity identity;
  identity.peer_address = address;
  identity.zone = "a";
  identity.control_address = address;
  return identity;
}

wire::Envelope not_leader_from(const std::string& node) {
  wire::Envelope envelope;
  envelope.from_node = node;
  envelope.__isset.fleet_update = true;
  envelope.fleet_update.not_leader = true;
  return envelope;
}

/// Whom a replica asks in its first `questions` when each peer but those in `silent` says at once that it does not
/// lead.
std::set<std::string> peers_asked(int known, int questions, const std::set<std::string>& silent = {}) {
  std::vector<std::string> peers;
  for (int number = 1; number <= known; ++number) {
    peers.push_back("10.0.0." + std::to_string(number) + ":7000");
  }
  FleetSubscription subscription({}, control_identity(peers.front()), peers);
  std::set<std::string> asked;
  TimePoint now{seconds(100)};
  while (questions > 0) {
    now += kTick;
    if (const auto heartbeat = subscription.tick(now, {})) {
      --questions;
      asked.insert(heartbeat->to_node);
      if (!silent.contains(heartbeat->to_node)) {
        subscription.receive(now + milliseconds(1), not_leader_from(heartbeat->to_node));
      }
    }
  }
  return asked;
}

TEST(FleetSubscription, AsksEveryKnownReplicaHoweverManyTheyAre) {
  for (int known = 1; known <= 9; ++known) {
    EXPECT_EQ(peers_asked(known, known).size(), static_cast<size_t>(known)) << known << " replicas known";
  }
}

TEST(FleetSubscription, AsksEveryKnownReplicaWhenSomeStaySilent) {
  for (int known = 2; known <= 9; ++known) {
    for (int first_silent = 1; first_silent <= known; ++first_silent) {
      const std::set<std::string> silent = {"10.0.0." + std::to_string(first_silent) + ":7000"};
      EXPECT_EQ(peers_asked(known, known, silent).size(), static_cast<size_t>(known))
          << known << " replicas known, number " << first_silent << " silent";
    }
  }
}

}  // namespace
}  // namespace larchlever::fleet
