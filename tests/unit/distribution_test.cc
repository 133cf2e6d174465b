// Distribution of the fleet's state, the document and its lease to entries through control replicas, and forwarding of
// reports from entries and instances to the leader.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "core/fleet/control_peers.h"
#include "core/fleet/entry_distributor.h"
#include "core/fleet/entry_reports.h"
#include "core/fleet/entry_view.h"
#include "core/fleet/fleet_controller.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/registration_relay.h"
#include "core/fleet/subscriber_table.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kTerm = 3;

wire::Instance instance(const std::string& id, const std::string& domain = "d1") {
  wire::Instance result;
  result.id = id;
  result.service_name = "s";
  result.address = id + ":80";
  result.domain = domain;
  result.call_number = 1;
  return result;
}

wire::EngineGroup group(const std::string& name, wire::GroupPhase::type phase,
                        const std::vector<std::string>& members) {
  wire::EngineGroup result;
  result.name = name;
  result.service_name = "s";
  result.model = "m";
  result.phase = phase;
  result.members = members;
  return result;
}

wire::FleetState fleet_state(int64_t version) {
  wire::FleetState state;
  state.term = kTerm;
  state.version = version;
  state.instances = {instance("i1"), instance("i2"), instance("i3"), instance("p1", "")};
  state.groups = {group("g1", wire::GroupPhase::OPEN, {"i1", "i2"}), group("g2", wire::GroupPhase::JOINING, {"i3"})};
  return state;
}

wire::Envelope heartbeat(const std::string& node, int64_t term, int64_t version, int64_t incarnation = 1) {
  wire::Envelope envelope;
  envelope.from_node = node;
  envelope.from_incarnation = incarnation;
  envelope.__isset.fleet_heartbeat = true;
  envelope.fleet_heartbeat.serves_requests = true;
  envelope.fleet_heartbeat.held_term = term;
  envelope.fleet_heartbeat.held_version = version;
  return envelope;
}

// ------------------------------------------------------------------ view

TEST(EntryView, ContainsOnlyGroupHeadsAndPlainInstances) {
  const auto view = make_entry_view(fleet_state(4));
  ASSERT_EQ(view.groups.size(), 1U) << "a forming group gets no requests";
  EXPECT_EQ(view.groups.front().members, std::vector<std::string>{"i1"});
  ASSERT_EQ(view.instances.size(), 2U);
  EXPECT_EQ(view.instances[0].id, "i1");
  EXPECT_EQ(view.instances[1].id, "p1");
}

TEST(EntryView, IgnoresChangesThatOnlyAffectGroupFormation) {
  auto before = fleet_state(4);
  auto after = before;
  after.instances[0].staged_models = {"m"};
  after.instances[1].silent = true;
  after.instances[2].membership.group = "g2";
  EXPECT_EQ(make_entry_view(before).instances, make_entry_view(after).instances);
}

// ------------------------------------------------------------- subscribers

class SubscriberTableTest : public testing::Test {
 protected:
  SubscriberTableTest() : table_(seconds(1)) {
    table_.start_term(kTerm);
    publish(1, fleet_state(1));
  }

  void publish(int64_t version, wire::FleetState state) {
    state.version = version;
    table_.publish(state);
  }
  wire::FleetUpdate update_for(TimePoint now, const std::string& node) {
    wire::FleetUpdate update;
    table_.add_state(now, node, update);
    return update;
  }

  SubscriberTable table_;
};

TEST_F(SubscriberTableTest, SendsFullStateOnceThenDeltas) {
  table_.record_heartbeat(kStart, heartbeat("e1", 0, 0));
  EXPECT_TRUE(update_for(kStart, "e1").__isset.state);
  EXPECT_FALSE(update_for(kStart, "e1").__isset.state) << "it was just sent";
  auto state = fleet_state(2);
  state.groups[0].phase = wire::GroupPhase::DRAINING;
  publish(2, state);
  const auto update = update_for(kStart, "e1");
  ASSERT_TRUE(update.__isset.state_change);
  EXPECT_EQ(update.state_change.groups.size(), 1U);
  EXPECT_TRUE(update_for(kStart + milliseconds(400), "e1").__isset.state) << "unconfirmed, so the full state is resent";
}

TEST_F(SubscriberTableTest, TreatsUnchangedNewVersionAsAlreadyHeld) {
  table_.record_heartbeat(kStart, heartbeat("e1", kTerm, 1));
  publish(5, fleet_state(5));
  EXPECT_TRUE(table_.nodes_to_update(kStart, {}).empty());
  EXPECT_TRUE(table_.is_held_by_all(kStart, 5));
  EXPECT_EQ(table_.newest_version_held_by_all(kStart), 5);
}

TEST_F(SubscriberTableTest, SendsDeltaFromVersionOfAnotherPublisherOfTheTerm) {
  table_.record_heartbeat(kStart, heartbeat("e1", kTerm, 9));
  EXPECT_FALSE(update_for(kStart, "e1").__isset.state_change) << "the node is ahead of this publisher";
  auto state = fleet_state(12);
  state.instances.pop_back();
  publish(12, state);
  const auto update = update_for(kStart, "e1");
  ASSERT_TRUE(update.__isset.state_change);
  EXPECT_EQ(update.state_change.from_version, 9);
  EXPECT_EQ(update.state_change.removed_instances, std::vector<std::string>{"p1"});
}

TEST_F(SubscriberTableTest, WaitsOnlyForLiveNodes) {
  table_.record_heartbeat(kStart, heartbeat("e1", kTerm, 1));
  table_.record_heartbeat(kStart, heartbeat("e2", 0, 0));
  EXPECT_FALSE(table_.is_held_by_all(kStart, 1));
  EXPECT_EQ(table_.newest_version_held_by_all(kStart), 0);
  table_.record_heartbeat(kStart + milliseconds(900), heartbeat("e1", kTerm, 1));
  EXPECT_TRUE(table_.is_held_by_all(kStart + milliseconds(1100), 1));
  EXPECT_EQ(table_.serving_count(kStart + milliseconds(1100)), 1);
}

TEST_F(SubscriberTableTest, IgnoresHeartbeatOfEarlierIncarnation) {
  EXPECT_TRUE(table_.record_heartbeat(kStart, heartbeat("e1", kTerm, 1, 50)));
  EXPECT_TRUE(table_.record_heartbeat(kStart, heartbeat("e1", 0, 0, 20))) << "clocks may be set back";
  EXPECT_FALSE(table_.record_heartbeat(kStart, heartbeat("e1", kTerm, 1, 50)));
  EXPECT_FALSE(table_.is_held_by_all(kStart, 1));
}

// Guards against subscribers that stay behind after one lost update for as long as the state keeps changing: each
// change builds on the lost one, and leaving servers go on receiving requests.
TEST_F(SubscriberTableTest, LostUpdateIsRepeatedWhileStateKeepsChanging) {
  constexpr Duration kChangeInterval = milliseconds(40);
  constexpr Duration kHeartbeatInterval = milliseconds(250);
  /// Half of the time within which a server that leaves gets no more requests.
  constexpr Duration kMaxDelay = seconds(1);
  auto state = fleet_state(1);
  wire::FleetState copy = state;
  TimePoint now = kStart;
  TimePoint next_heartbeat = kStart;
  int64_t version = 1;
  constexpr int64_t kLostVersion = 3;
  TimePoint lost_at = TimePoint::max();
  TimePoint caught_up_at = TimePoint::max();
  while (now < kStart + seconds(4) && caught_up_at == TimePoint::max()) {
    now += kChangeInterval;
    state.groups[0].epoch = ++version;
    publish(version, state);
    if (now >= next_heartbeat) {
      next_heartbeat = now + kHeartbeatInterval;
      table_.record_heartbeat(now, heartbeat("e1", kTerm, copy.version));
    }
    const auto update = update_for(now, "e1");
    if (version == kLostVersion) {
      lost_at = now;
      continue;
    }
    if (update.__isset.state) {
      copy = update.state;
    } else if (update.__isset.state_change) {
      apply_change(copy, update.state_change);
    }
    caught_up_at = version > kLostVersion && copy.version == version ? now : TimePoint::max();
  }
  EXPECT_LE((caught_up_at - lost_at) / milliseconds(1), kMaxDelay / milliseconds(1));
}

TEST_F(SubscriberTableTest, SendsNoStateToSubscriberOfLaterTerm) {
  table_.record_heartbeat(kStart, heartbeat("e1", kTerm + 1, 1));
  EXPECT_TRUE(table_.nodes_to_update(kStart, {}).empty());
  EXPECT_FALSE(update_for(kStart, "e1").__isset.state);
}

// Guards against counts kept from heartbeat to heartbeat that differ from what the heartbeats of live nodes say.
TEST_F(SubscriberTableTest, CountsMatchTheLatestHeartbeatsOfLiveNodes) {
  struct Latest {
    TimePoint at{};
    int64_t term = 0;
    int64_t version = 0;
    bool serves = false;
  };
  std::mt19937 random(7);
  const auto draw = [&random](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
  std::map<std::string, Latest> latest;
  TimePoint now = kStart;
  int64_t version = 1;
  for (int step = 0; step < 4000; ++step) {
    now += milliseconds(draw(120));
    if (draw(20) == 0) {
      auto state = fleet_state(++version);
      state.groups[0].members[0] = "i" + std::to_string(version);
      publish(version, state);
    }
    const std::string node = "e" + std::to_string(draw(12));
    const Latest heard{now, draw(4) == 0 ? kTerm - 1 : kTerm, 1 + draw(static_cast<int>(version)), draw(3) != 0};
    auto envelope = heartbeat(node, heard.term, heard.version);
    envelope.fleet_heartbeat.serves_requests = heard.serves;
    table_.record_heartbeat(now, envelope);
    latest[node] = heard;
    const TimePoint asked_at = now + milliseconds(draw(3) == 0 ? draw(1500) : 0);
    int serving = 0;
    int64_t held_by_all = version;
    for (const auto& [name, row] : latest) {
      if (asked_at - row.at < seconds(1)) {
        serving += row.serves ? 1 : 0;
        held_by_all = std::min(held_by_all, row.term == kTerm ? row.version : 0);
      }
    }
    ASSERT_EQ(table_.serving_count(asked_at), serving) << "step " << step;
    ASSERT_EQ(table_.newest_version_held_by_all(asked_at), held_by_all) << "step " << step;
    ASSERT_EQ(table_.is_held_by_all(asked_at, version), held_by_all >= version) << "step " << step;
  }
}

// ------------------------------------------------------------ distributor

PeerIdentity control_identity() {
  PeerIdentity identity;
  identity.peer_address = "10.0.0.1:1";
  identity.control_address = "10.0.0.1:2";
  return identity;
}

class EntryDistributorTest : public testing::Test {
 protected:
  EntryDistributorTest()
      : distributor_(FleetOptions()), subscription_(FleetOptions(), control_identity(), {"10.0.0.2:1"}) {}

  void receive_leader_update(TimePoint now, int64_t version) {
    const auto sent_heartbeat = subscription_.tick(now, {});
    wire::Envelope envelope;
    envelope.from_node = "10.0.0.2:1";
    envelope.__isset.fleet_update = true;
    envelope.fleet_update.sequence = sent_heartbeat ? sent_heartbeat->fleet_heartbeat.sequence : 0;
    envelope.fleet_update.document_version = 5;
    envelope.fleet_update.serving_nodes = 40;
    set_no_document_age(now, no_document_until_, envelope.fleet_update);
    envelope.fleet_update.__set_document(pack_document(5, "text"));
    envelope.fleet_update.__set_state(fleet_state(version));
    subscription_.receive(now, envelope);
  }
  DistributorSource source() const { return {subscription_, "10.0.0.2:1", {}}; }

  EntryDistributor distributor_;
  FleetSubscription subscription_;
  /// What the leader reports.
  TimePoint no_document_until_ = TimePoint::min();
};

TEST_F(EntryDistributorTest, AnswersHeartbeatWithHeldStateAndConfirmationAge) {
  receive_leader_update(kStart, 4);
  distributor_.handle_heartbeat(kStart + milliseconds(300), heartbeat("e1", 0, 0), source());
  const auto answers = distributor_.take_envelopes();
  ASSERT_EQ(answers.size(), 1U);
  const auto& update = answers.front().fleet_update;
  EXPECT_EQ(update.document_version, 5);
  EXPECT_TRUE(update.__isset.document);
  EXPECT_EQ(update.state.groups.size(), 1U) << "only the entry view is sent";
  EXPECT_GE(update.confirmed_age_ms, 300);
  EXPECT_EQ(update.serving_nodes, 40);
  EXPECT_EQ(update.leader, "10.0.0.2:1");
}

// Guards against entries that restart and have no relay peers until the next regular update.
TEST_F(EntryDistributorTest, TellsRestartedEntryOfRelayPeersAtOnce) {
  receive_leader_update(kStart, 4);
  auto peer = heartbeat("e2", 0, 0);
  peer.fleet_heartbeat.__set_relay_address("e2-relay");
  distributor_.handle_heartbeat(kStart, peer, source());
  distributor_.handle_heartbeat(kStart, heartbeat("e1", 0, 0), source());
  distributor_.handle_heartbeat(kStart + milliseconds(10), heartbeat("e1", 0, 0), source());
  distributor_.handle_heartbeat(kStart + milliseconds(20), heartbeat("e1", 0, 0, 2), source());
  const auto answers = distributor_.take_envelopes();
  ASSERT_EQ(answers.size(), 4U);
  EXPECT_EQ(answers[1].fleet_update.relay_peers.size(), 1U);
  EXPECT_FALSE(answers[2].fleet_update.__isset.relay_peers) << "it was just told";
  EXPECT_EQ(answers[3].fleet_update.relay_peers.size(), 1U);
}

TEST_F(EntryDistributorTest, ConfirmsNothingBeforeFirstLeaderContact) {
  distributor_.handle_heartbeat(kStart, heartbeat("e1", 0, 0), {subscription_, "", {}});
  const auto answers = distributor_.take_envelopes();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_LT(answers.front().fleet_update.confirmed_age_ms, 0);
}

/// What an entry learns from the answer to the heartbeat that it sends now.
TimePoint no_document_until_at_entry(TimePoint now, EntryDistributor& distributor, const DistributorSource& source) {
  FleetSubscription entry(FleetOptions(), {"10.0.0.7:1", "a", "", Incarnation(1), true}, {"10.0.0.1:1"});
  auto sent_heartbeat = entry.tick(now, {});
  sent_heartbeat->from_node = "10.0.0.7:1";
  distributor.handle_heartbeat(now, *sent_heartbeat, source);
  auto answers = distributor.take_envelopes();
  answers.front().from_node = "10.0.0.1:1";
  entry.receive(now + milliseconds(400), answers.front());
  return entry.no_document_until();
}

// The slack of retries depends on it: a later time than the true one lets a restarted entry retry like its predecessor.
TEST_F(EntryDistributorTest, TellsEntriesUntilWhenThereWasNoDocument) {
  EXPECT_EQ(no_document_until_at_entry(kStart, distributor_, source()), TimePoint::min());
  receive_leader_update(kStart, 4);
  EXPECT_EQ(no_document_until_at_entry(kStart, distributor_, source()), TimePoint::min())
      << "the leader does not know it, as one of an old build";
  no_document_until_ = kStart - seconds(3);
  receive_leader_update(kStart + seconds(1), 5);
  const TimePoint learned = no_document_until_at_entry(kStart + seconds(2), distributor_, source());
  EXPECT_LE(learned, no_document_until_);
  EXPECT_GE(learned, no_document_until_ - milliseconds(10));
}

TEST_F(EntryDistributorTest, PushesUpdateOnceAndReportsVersionHeldByAllEntries) {
  receive_leader_update(kStart, 4);
  distributor_.handle_heartbeat(kStart, heartbeat("e1", 0, 0), source());
  distributor_.push_updates(kStart, source(), false);
  distributor_.take_envelopes();
  distributor_.push_updates(kStart, source(), false);
  EXPECT_TRUE(distributor_.take_envelopes().empty());
  EXPECT_EQ(distributor_.entries_hold_version(kStart), 0);
  distributor_.handle_heartbeat(kStart, heartbeat("e1", kTerm, 4), source());
  EXPECT_EQ(distributor_.entries_hold_version(kStart), 4);
  EXPECT_EQ(distributor_.serving_entries(kStart), 1);
}

// ---------------------------------------------------------- control peers

TEST(ControlPeers, PrefersReplicasOfOwnZoneAndSpreadsNodesOverThem) {
  std::map<std::string, int> nodes_by_replica;
  for (int index = 0; index < 60; ++index) {
    ControlPeers peers("10.1.0." + std::to_string(index) + ":1", "b");
    for (const auto* zone : {"a", "b", "b2", "c"}) {
      wire::ControlPeer peer;
      peer.address = std::string(zone) + ":1";
      peer.zone = std::string(1, *zone);
      peers.add(peer);
    }
    ++nodes_by_replica[peers.preferred()];
  }
  EXPECT_EQ(nodes_by_replica.size(), 2U);
  EXPECT_GT(nodes_by_replica["b:1"], 15);
  EXPECT_GT(nodes_by_replica["b2:1"], 15);
}

// ----------------------------------------------------------- registrations

TEST(RegistrationRelay, BatchesNewReportsAndResendsAllToNewLeader) {
  RegistrationRelay relay(seconds(3));
  relay.record_heartbeat(kStart, instance("i1"));
  relay.record_heartbeat(kStart, instance("i2"));
  EXPECT_FALSE(relay.next_batch(kStart, "", 1)) << "there is no leader";
  ASSERT_EQ(relay.next_batch(kStart, "l1", 1)->reports.size(), 2U);
  EXPECT_FALSE(relay.next_batch(kStart + seconds(1), "l1", 1)) << "nothing new";
  relay.record_heartbeat(kStart + seconds(2), instance("i2"));
  EXPECT_EQ(relay.next_batch(kStart + seconds(2), "l1", 1)->reports.size(), 1U);
  EXPECT_EQ(relay.next_batch(kStart + milliseconds(2500), "l1", 2)->reports.size(), 2U)
      << "the leader of a new term needs all reports";
  EXPECT_EQ(relay.next_batch(kStart + seconds(4), "l2", 3)->reports.size(), 1U) << "the report of i1 has expired";
}

TEST(RegistrationRelay, DropsReorderedOlderReport) {
  RegistrationRelay relay(seconds(3));
  auto newer_report = instance("i1");
  newer_report.call_number = 9;
  newer_report.zone = "new";
  relay.record_heartbeat(kStart, newer_report);
  relay.record_heartbeat(kStart, instance("i1"));
  EXPECT_EQ(relay.next_batch(kStart, "l1", 1)->reports.front().instance.zone, "new");
}

wire::ControlCall heartbeat_call(const std::string& id) {
  wire::ControlCall call;
  call.kind = wire::ControlCallKind::HEARTBEAT;
  call.instance_id = id;
  call.body = R"({"service":"s","address":"10.0.2.1:80","zone":"a","version":"v1","slots":8,"state":"ready",)"
              R"("cold_left_ms":0,"call_seq":1})";
  return call;
}

TEST(FleetController, RejectsRegistrationsWithoutRecentLeaderContact) {
  FleetController controller(FleetOptions(), control_identity(), {"10.0.0.2:1"}, 1);
  const auto registration_status = [&controller](TimePoint now) {
    controller.submit_call(now, heartbeat_call("i1"));
    const auto replies = controller.take_outputs().replies;
    return replies.empty() ? 0 : replies.front().status;
  };
  EXPECT_EQ(registration_status(kStart), 503);
  wire::Envelope answer;
  answer.from_node = "10.0.0.2:1";
  answer.__isset.fleet_update = true;
  controller.receive(kStart, answer);
  EXPECT_EQ(registration_status(kStart + milliseconds(900)), 200) << "an election may be in progress";
  EXPECT_EQ(registration_status(kStart + milliseconds(1100)), 503) << "this replica may be partitioned";
}

// ------------------------------------------------------------ entry reports

wire::Envelope slot_report(const std::string& node, int in_flight, bool reports_failure, int64_t incarnation = 1) {
  wire::Envelope envelope;
  envelope.from_node = node;
  envelope.from_incarnation = incarnation;
  envelope.__isset.slot_report = true;
  wire::GroupLoad load;
  load.group = "g1";
  load.in_flight = in_flight;
  load.progress_age_ms = -1;
  envelope.slot_report.loads = {load};
  if (reports_failure) {
    envelope.slot_report.failures.emplace_back().group = "g1";
  }
  return envelope;
}

TEST(EntryReports, SumsLoadsAndRemovesTimedOutEntries) {
  EntryReports reports;
  reports.record(kStart, slot_report("e1", 3, false));
  reports.record(kStart + seconds(3), slot_report("e2", 4, false));
  EXPECT_EQ(reports.total_loads(kStart + seconds(3)).at("g1").in_flight, 7);
  EXPECT_EQ(reports.remove_timed_out(kStart + seconds(5)), std::vector<std::string>{"e1"});
  EXPECT_EQ(reports.total_loads(kStart + seconds(5)).at("g1").in_flight, 4);
  EXPECT_TRUE(reports.record(kStart + seconds(5), slot_report("e2", 1, false, 2))) << "e2 was restarted";
}

// Guards against sound silent groups that are dissolved on the word of entries that only waited for them.
TEST(EntryReports, SilenceIsNoFailureUnlessAMemberIsSilent) {
  EntryReports reports;
  const auto make_silence_report = [](const std::string& node) {
    auto envelope = slot_report(node, 1, true);
    envelope.slot_report.failures.front().__set_is_silence(true);
    return envelope;
  };
  const auto has_silent_member = [](const std::string&) { return true; };
  const auto has_no_silent_member = [](const std::string&) { return false; };
  const auto first = make_silence_report("e1");
  reports.record(kStart, first);
  EXPECT_TRUE(reports.silent_groups(kStart, first.slot_report).empty());
  EXPECT_EQ(reports.failed_groups(kStart, first.slot_report, has_silent_member).size(), 1U);
  const auto second = make_silence_report("e2");
  reports.record(kStart, second);
  EXPECT_TRUE(reports.failed_groups(kStart, second.slot_report, has_no_silent_member).empty());
  EXPECT_EQ(reports.silent_groups(kStart, second.slot_report), std::vector<std::string>{"g1"});
  const auto refused = slot_report("e3", 1, true);
  reports.record(kStart, refused);
  EXPECT_TRUE(reports.failed_groups(kStart, refused.slot_report, has_no_silent_member).empty())
      << "one entry may have a bad link";
  const auto upgraded = slot_report("e2", 1, true);
  reports.record(kStart, upgraded);
  EXPECT_EQ(reports.failed_groups(kStart, upgraded.slot_report, has_no_silent_member).size(), 1U);
}

TEST(EntryReports, RequiresTwoEntriesToReportGroupFailure) {
  EntryReports reports;
  const auto has_silent_member = [](const std::string&) { return false; };
  const auto count_failed_groups = [&](TimePoint now, const wire::Envelope& envelope) {
    reports.record(now, envelope);
    return reports.failed_groups(now, envelope.slot_report, has_silent_member).size();
  };
  EXPECT_EQ(count_failed_groups(kStart, slot_report("e1", 1, true)), 0U);
  EXPECT_EQ(count_failed_groups(kStart, slot_report("e1", 1, true)), 0U);
  EXPECT_EQ(count_failed_groups(kStart + milliseconds(100), slot_report("e2", 1, true)), 1U);
  auto progress_report = slot_report("e3", 1, false);
  progress_report.slot_report.loads.front().progress_age_ms = 0;
  reports.record(kStart + milliseconds(200), progress_report);
  EXPECT_EQ(count_failed_groups(kStart + milliseconds(300), slot_report("e2", 1, true)), 0U)
      << "another entry sees the group make progress";
}

}  // namespace
}  // namespace larchlever::fleet
