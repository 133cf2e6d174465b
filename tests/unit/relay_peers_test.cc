#include "core/fleet/relay_peers.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/fleet/entry_reports.h"
#include "core/fleet/subscriber_table.h"
#include "wire/codec.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

wire::RelayPeer make_peer(const std::string& address, const std::string& zone) {
  wire::RelayPeer peer;
  peer.address = address;
  peer.zone = zone;
  return peer;
}

std::vector<wire::RelayPeer> make_peers(int count, const std::string& zone) {
  std::vector<wire::RelayPeer> peers;
  for (int number = 1; number <= count; ++number) {
    peers.push_back(make_peer(zone + std::to_string(number), zone));
  }
  return peers;
}

// All requests of a partitioned entry went to the same neighbour.
TEST(RelayPeers, SpreadsRequestsAndPrefersOwnZone) {
  RelayPeers peers("north", 1);
  auto all = make_peers(2, "north");
  const auto far_peers = make_peers(2, "south");
  all.insert(all.end(), far_peers.begin(), far_peers.end());
  peers.update(all);
  std::map<std::string, int> chosen;
  for (int request = 0; request < 20; ++request) {
    const auto peer = peers.choose(kStart, {});
    ASSERT_TRUE(peer);
    peers.begin_request(*peer);
    ++chosen[*peer];
  }
  for (const auto& peer : all) {
    EXPECT_GE(chosen[peer.address], 3) << peer.address;
    EXPECT_LE(chosen[peer.address], 7) << peer.address;
  }
  EXPECT_GE(chosen["north1"] + chosen["north2"], chosen["south1"] + chosen["south2"]);
}

TEST(RelayPeers, SkipsPeersThatCouldNotHelpForAWhile) {
  RelayPeers peers("north", 1);
  peers.update(make_peers(2, "north"));
  peers.note_unavailable(kStart, "north1");
  EXPECT_EQ(peers.choose(kStart, {}), "north2");
  EXPECT_EQ(peers.choose(kStart, {"north2"}), std::nullopt);
  EXPECT_EQ(peers.choose(kStart + seconds(1), {"north2"}), "north1");
}

// If each zone lost its links as a whole, entries that knew only neighbours of their zone had no peer.
TEST(RelayPeers, SelectionHoldsPeersOfOtherZones) {
  auto candidates = make_peers(20, "north");
  const auto far_peers = make_peers(20, "south");
  candidates.insert(candidates.end(), far_peers.begin(), far_peers.end());
  const auto selected = select_relay_peers(candidates, "e1", "north", 8);
  EXPECT_EQ(selected.size(), 8U);
  EXPECT_EQ(std::count_if(selected.begin(), selected.end(), [](const auto& peer) { return peer.zone == "south"; }), 4);
  EXPECT_EQ(select_relay_peers(far_peers, "e1", "north", 8).size(), 8U);
  EXPECT_EQ(select_relay_peers(make_peers(3, "north"), "e1", "north", 8).size(), 3U);
}

// The same few peers were selected for every entry, so they had to relay everything.
TEST(RelayPeers, SelectionsOfManyEntriesSpreadOverAllCandidates) {
  const auto candidates = make_peers(40, "north");
  std::map<std::string, int> selected;
  for (int entry = 0; entry < 200; ++entry) {
    for (const auto& peer : select_relay_peers(candidates, "e" + std::to_string(entry), "north", 8)) {
      ++selected[peer.address];
    }
  }
  EXPECT_EQ(selected.size(), candidates.size());
  for (const auto& [address, count] : selected) {
    EXPECT_LE(count, 80) << address << ": twice the mean";
  }
}

wire::Envelope make_heartbeat(const std::string& node) {
  wire::Envelope envelope;
  envelope.from_node = node;
  envelope.from_incarnation = 1;
  envelope.__isset.fleet_heartbeat = true;
  envelope.fleet_heartbeat.serves_requests = true;
  envelope.fleet_heartbeat.zone = "north";
  envelope.fleet_heartbeat.__set_relay_address(node + "-relay");
  return envelope;
}

// Heartbeats of hundreds of nodes must stay small.
TEST(RelayPeers, RowsForOneEntryAreSmall) {
  wire::Envelope envelope;
  envelope.__isset.fleet_update = true;
  const size_t bare_size = wire::encode(envelope).size();
  std::vector<wire::RelayPeer> candidates;
  for (int number = 0; number < 300; ++number) {
    candidates.push_back(make_peer("10.123.201." + std::to_string(number) + ":7355", "ljubljana-hall"));
  }
  envelope.fleet_update.__set_relay_peers(select_relay_peers(candidates, "10.1.0.40:7340", "ljubljana-hall", 8));
  EXPECT_LE(wire::encode(envelope).size() - bare_size, 512U);
}

// Requests were relayed to entries that reached no server themselves, were stopping, or ran a version without relaying.
TEST(SubscriberTable, OffersOnlyEntriesThatCanRelay) {
  SubscriberTable table(seconds(1));
  table.record_heartbeat(kStart, make_heartbeat("good"));
  auto without_links = make_heartbeat("partitioned");
  without_links.fleet_heartbeat.reaches_no_server = true;
  table.record_heartbeat(kStart, without_links);
  auto leaving = make_heartbeat("leaving");
  leaving.fleet_heartbeat.leaving = true;
  table.record_heartbeat(kStart, leaving);
  auto earlier_version = make_heartbeat("old");
  earlier_version.fleet_heartbeat.__isset.relay_address = false;
  table.record_heartbeat(kStart, earlier_version);
  const auto peers = table.relay_peers(kStart);
  ASSERT_EQ(peers.size(), 1U);
  EXPECT_EQ(peers[0].address, "good-relay");
  EXPECT_TRUE(table.relay_peers(kStart + seconds(2)).empty()) << "not heard any more";
}

wire::Envelope make_failure_report(const std::string& node, bool is_own_link_suspected) {
  wire::Envelope envelope;
  envelope.from_node = node;
  envelope.from_incarnation = 1;
  wire::GroupFailure failure;
  failure.group = "g1";
  if (is_own_link_suspected) {
    failure.__set_is_own_link_suspected(true);
  }
  envelope.slot_report.failures.push_back(failure);
  return envelope;
}

// Sound groups were dissolved on the word of entries whose own links had failed.
TEST(EntryReports, FailuresAreNoEvidenceIfTheLinksOfTheirEntriesFailed) {
  const auto has_silent_member = [](const std::string&) { return true; };
  const auto has_no_silent_member = [](const std::string&) { return false; };
  EntryReports reports;
  for (const auto* node : {"e1", "e2", "e3", "e4", "e5", "e6"}) {
    const auto envelope = make_failure_report(node, true);
    reports.record(kStart, envelope);
    EXPECT_TRUE(reports.failed_groups(kStart, envelope.slot_report, has_no_silent_member).empty());
    EXPECT_EQ(reports.failed_groups(kStart, envelope.slot_report, has_silent_member).size(), 1U)
        << "a silent member confirms it";
  }
  for (const auto* node : {"e7", "e8"}) {
    reports.record(kStart, make_failure_report(node, false));
  }
  EXPECT_EQ(reports.failed_groups(kStart, make_failure_report("e8", false).slot_report, has_no_silent_member).size(),
            1U);
}

}  // namespace
}  // namespace larchlever::fleet
