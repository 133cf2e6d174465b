#include "core/fleet/server_links.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
const LinkedServer kNorth1{"10.0.0.1:80", "north"};
const LinkedServer kNorth2{"10.0.0.2:80", "north"};
const LinkedServer kSouth1{"10.0.1.1:80", "south"};
const LinkedServer kSouth2{"10.0.1.2:80", "south"};
const std::vector<LinkedServer> kAllServers = {kNorth1, kNorth2, kSouth1, kSouth2};

class ServerLinksTest : public testing::Test {
 protected:
  ServerLinksTest() {
    for (const auto& server : kAllServers) {
      links_.note_contact(kStart, server);
    }
  }
  /// Two servers are waited for in vain, so all links are presumed lost.
  TimePoint lose_all() {
    links_.begin_wait(at(10), kNorth1);
    links_.begin_wait(at(20), kSouth1);
    links_.tick(at(200));
    return at(200);
  }
  /// Answers the probes that are due in steps of 25 ms until `end`.
  void probe_until(TimePoint begin, TimePoint end, bool has_responded) {
    for (TimePoint now = begin; now < end; now += milliseconds(25)) {
      links_.tick(now);
      for (const auto& server : links_.take_due_probes(now)) {
        links_.note_probe(now, server, has_responded);
      }
    }
  }
  int lost_count() const {
    return static_cast<int>(std::count_if(kAllServers.begin(), kAllServers.end(),
                                          [this](const auto& server) { return links_.is_lost(server); }));
  }
  static TimePoint at(int64_t ms) { return kStart + milliseconds(ms); }

  ServerLinks links_;
};

// An entry that reached no server tried each of them in turn until its callers' deadlines.
TEST_F(ServerLinksTest, SilenceOfSeveralServersLosesAllLinks) {
  lose_all();
  EXPECT_EQ(lost_count(), 4) << "also the links to servers that nothing was sent to";
  EXPECT_TRUE(links_.explains_failure(at(200), kNorth2));
  EXPECT_EQ(links_.summary().lost_scopes, std::vector<std::string>{"*"});
}

// A sound server may stand still for a second.
TEST_F(ServerLinksTest, SilenceOfOneServerIsNoLoss) {
  links_.begin_wait(at(10), kNorth1);
  for (int64_t ms = 25; ms < 1500; ms += 25) {
    links_.tick(at(ms));
    EXPECT_EQ(lost_count(), 0) << ms;
  }
}

// Slow servers were taken for lost ones, although others of their zone answered.
TEST_F(ServerLinksTest, SilenceIsNoLossWhileAnotherServerOfTheScopeIsHeard) {
  links_.begin_wait(at(10), kNorth1);
  links_.begin_wait(at(10), kNorth2);
  links_.begin_wait(at(10), kSouth1);
  for (int64_t ms = 25; ms < 1500; ms += 25) {
    links_.note_contact(at(ms), kSouth2);
    links_.note_contact(at(ms), LinkedServer{"10.0.0.3:80", "north"});
    links_.tick(at(ms));
    EXPECT_EQ(lost_count(), 0) << ms;
  }
}

TEST_F(ServerLinksTest, OneZoneMayBeLostAlone) {
  links_.begin_wait(at(10), kNorth1);
  links_.begin_wait(at(10), kNorth2);
  links_.note_contact(at(190), kSouth1);
  links_.tick(at(200));
  EXPECT_TRUE(links_.is_lost(kNorth1));
  EXPECT_TRUE(links_.is_lost(kNorth2));
  EXPECT_FALSE(links_.is_lost(kSouth1));
  EXPECT_FALSE(links_.is_lost(kSouth2));
  EXPECT_FALSE(links_.reaches_no_server());
}

// After the loss of all links, the first zone that answered made the entry try the servers of the others again.
TEST_F(ServerLinksTest, ZoneThatIsHeardLeavesTheOtherZonesLost) {
  const TimePoint lost_at = lose_all();
  links_.note_contact(lost_at + milliseconds(50), kSouth2);
  EXPECT_FALSE(links_.is_lost(kSouth2));
  EXPECT_TRUE(links_.is_lost(kNorth1));
  EXPECT_TRUE(links_.is_lost(kNorth2));
}

TEST_F(ServerLinksTest, SimultaneousConnectionFailuresLoseTheirLinks) {
  links_.note_failure(at(10), kNorth1);
  EXPECT_EQ(lost_count(), 0) << "a server that was heard just before may reset surplus connections";
  links_.note_failure(at(30), kSouth1);
  links_.tick(at(31));
  EXPECT_TRUE(links_.is_lost(kSouth1));
}

// A crashed server was not reported to the leader, as if the links of the entry had failed.
TEST_F(ServerLinksTest, DoesNotExplainFailuresOfOneServerWhileOthersAreHeard) {
  links_.note_failure(at(300), kNorth1);
  links_.note_failure(at(350), kNorth1);
  links_.note_contact(at(400), kNorth2);
  links_.note_contact(at(400), kSouth1);
  links_.tick(at(410));
  EXPECT_TRUE(links_.is_lost(kNorth1));
  EXPECT_FALSE(links_.explains_failure(at(410), kNorth1));
}

TEST_F(ServerLinksTest, LinksAreUsedAgainWithinASecondAfterProbesSucceed) {
  const TimePoint lost_at = lose_all();
  probe_until(lost_at, lost_at + seconds(3), false);
  EXPECT_EQ(lost_count(), 4);
  probe_until(lost_at + seconds(3), lost_at + seconds(4), true);
  EXPECT_EQ(lost_count(), 0);
}

// Links that came and went every half second carried requests that were lost each time.
TEST_F(ServerLinksTest, LinksThatComeAndGoStayLost) {
  TimePoint now = lose_all();
  for (int round = 0; round < 4; ++round) {
    probe_until(now, now + milliseconds(500), false);
    now += milliseconds(500);
    for (const auto& server : kAllServers) {
      links_.note_failure(now, server);
    }
    probe_until(now, now + milliseconds(500), true);
    now += milliseconds(500);
    if (round > 0) {
      EXPECT_EQ(lost_count(), 4) << round;
    }
  }
  probe_until(now, now + seconds(4), true);
  EXPECT_EQ(lost_count(), 0) << "used again once they stay";
}

TEST_F(ServerLinksTest, ProbesConfirmLossesOfServersThatAreWaitedForFirst) {
  const TimePoint lost_at = lose_all();
  const auto probes = links_.take_due_probes(lost_at);
  ASSERT_GE(probes.size(), 2U);
  for (const auto& server : probes) {
    links_.note_probe(lost_at + milliseconds(150), server, false);
  }
  const auto confirmed = links_.take_confirmed_losses();
  for (const auto& server : {kNorth1, kSouth1}) {
    EXPECT_NE(std::find(confirmed.begin(), confirmed.end(), server.address), confirmed.end()) << server.address;
  }
}

// After a pause of this process, everything seemed to have been silent.
TEST_F(ServerLinksTest, OwnPauseIsNoSilence) {
  links_.begin_wait(at(10), kNorth1);
  links_.begin_wait(at(10), kSouth1);
  links_.restart_silence_timers(at(3000));
  links_.tick(at(3010));
  EXPECT_EQ(lost_count(), 0);
}

TEST_F(ServerLinksTest, ForgetsServersThatAreGone) {
  lose_all();
  links_.note_probe(at(210), kNorth1, false);
  links_.end_wait(kNorth1);
  links_.retain_servers({kSouth1.address});
  EXPECT_EQ(links_.summary().lost_servers, std::vector<std::string>{});
}

// A zone whose servers were all replaced while its links were presumed lost stayed lost, since nobody was probed there.
TEST_F(ServerLinksTest, ScopeIsNotLostOnceAllItsServersAreReplaced) {
  const TimePoint lost_at = lose_all();
  links_.note_contact(lost_at + milliseconds(50), kSouth1);
  const LinkedServer replacement{"10.0.0.9:80", "north"};
  EXPECT_TRUE(links_.is_lost(replacement));
  links_.end_wait(kNorth1);
  links_.retain_servers({kSouth1.address, kSouth2.address, replacement.address});
  EXPECT_FALSE(links_.is_lost(replacement));
  EXPECT_FALSE(links_.has_lost_links());
}

TEST_F(ServerLinksTest, ServerThatCannotBeProbedIsForgotten) {
  const TimePoint lost_at = lose_all();
  for (const auto& server : kAllServers) {
    links_.note_probe(lost_at + milliseconds(100), server, false);
    links_.forget_server(server.address);
  }
  EXPECT_FALSE(links_.has_lost_links());
}

// The number of probes must not grow with the number of servers.
TEST_F(ServerLinksTest, ProbesAreBounded) {
  ServerLinks links;
  for (int number = 0; number < 200; ++number) {
    const LinkedServer server{"10.1.0." + std::to_string(number) + ":80", "north"};
    links.note_failure(at(10), server);
  }
  size_t probes = 0;
  for (int64_t ms = 100; ms < 10'100; ms += 25) {
    links.tick(at(ms));
    for (const auto& server : links.take_due_probes(at(ms))) {
      links.note_probe(at(ms), server, false);
      ++probes;
    }
  }
  EXPECT_LE(probes, 160U);
}

// Whatever happens, links are used again once every server answers probes.
RC_GTEST_PROP(ServerLinks, AlwaysRecover, (const std::vector<std::pair<uint8_t, uint8_t>>& events)) {
  ServerLinks links;
  TimePoint now = kStart;
  for (const auto& [kind, number] : events) {
    const auto& server = kAllServers[number % kAllServers.size()];
    now += milliseconds(number);
    switch (kind % 6) {
      case 0:
        links.begin_wait(now, server);
        break;
      case 1:
        links.end_wait(server);
        break;
      case 2:
        links.note_contact(now, server);
        break;
      case 3:
        links.note_failure(now, server);
        break;
      case 4:
        links.note_probe(now, server, number % 2 == 0);
        break;
      default:
        links.tick(now);
    }
  }
  for (const auto& server : kAllServers) {
    for (int count = 0; count <= static_cast<int>(events.size()); ++count) {
      links.end_wait(server);
    }
  }
  const TimePoint end = now + seconds(6);
  for (; now < end; now += milliseconds(25)) {
    links.tick(now);
    for (const auto& server : links.take_due_probes(now)) {
      links.note_probe(now, server, true);
    }
  }
  RC_ASSERT(!links.has_lost_links());
}

}  // namespace
}  // namespace larchlever::fleet
