#include <gtest/gtest.h>

#include "core/engine/cost_model.h"
#include "core/fleet/dispatcher.h"
#include "core/fleet/fleet_log.h"
#include "core/fleet/fleet_subscription.h"
#include "core/fleet/instance_directory.h"
#include "core/fleet/registration.h"
#include "core/requests/event_stream.h"
#include "settings/fleet_settings.h"

namespace larchlever::fleet {
namespace {

const TimePoint kStart = TimePoint(seconds(100));

wire::Instance instance(const std::string& id, const std::string& address, int64_t call_number = 1) {
  wire::Instance result;
  result.id = id;
  result.service_name = "s";
  result.address = address;
  result.call_number = call_number;
  return result;
}

// ------------------------------------------------------------- directory

TEST(InstanceDirectory, StateNeverRegressesAndLateReportsAreIgnored) {
  InstanceDirectory directory{seconds(3)};
  auto draining_instance = instance("i1", "a:1", 5);
  draining_instance.state = wire::InstanceState::DRAINING;
  EXPECT_TRUE(directory.handle_report(kStart, instance("i1", "a:1", 4)));
  EXPECT_TRUE(directory.handle_report(kStart, draining_instance));
  EXPECT_FALSE(directory.handle_report(kStart, instance("i1", "a:1", 3))) << "a late report";
  EXPECT_FALSE(directory.handle_report(kStart, instance("i1", "a:1", 6)))
      << "a draining instance cannot become ready again";
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::DRAINING);
  EXPECT_TRUE(directory.deregister(kStart, "i1"));
  EXPECT_FALSE(directory.handle_report(kStart, instance("i1", "a:1", 7)));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::GONE);
}

TEST(InstanceDirectory, AddressBelongsToInstanceThatKeepsReporting) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, instance("i1", "a:1"));
  directory.handle_report(kStart, instance("i2", "a:1"));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::READY) << "the report of i2 may be outdated";
  EXPECT_FALSE(directory.rows().at("i2").is_confirmed());
  EXPECT_TRUE(directory.handle_report(kStart + milliseconds(1200), instance("i2", "a:1", 2)));
  EXPECT_EQ(directory.find("i1")->state, wire::InstanceState::GONE);
  EXPECT_EQ(directory.find("i2")->state, wire::InstanceState::READY);
  EXPECT_TRUE(directory.rows().at("i2").is_confirmed());
}

TEST(InstanceDirectory, LateHeartbeatOfEndedInstanceDisplacesNoLiveInstance) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, instance("living", "a:1"));
  // Delayed heartbeats of the ended instance arrive in a burst after a network partition.
  directory.handle_report(kStart + milliseconds(500), instance("ended", "a:1", 7));
  directory.handle_report(kStart + milliseconds(510), instance("ended", "a:1", 8));
  TimePoint now = kStart;
  for (int64_t call = 2; call < 6; ++call) {
    now += milliseconds(1200);
    directory.handle_report(now, instance("living", "a:1", call));
    directory.tick(now);
  }
  EXPECT_EQ(directory.find("living")->state, wire::InstanceState::READY);
  EXPECT_TRUE(directory.rows().at("living").is_confirmed());
  EXPECT_EQ(directory.find("ended")->state, wire::InstanceState::GONE);
}

TEST(InstanceDirectory, LateHeartbeatReceivedFirstDoesNotKeepAddress) {
  InstanceDirectory directory{seconds(3)};
  directory.handle_report(kStart, instance("ended", "a:1", 7));
  directory.handle_report(kStart + milliseconds(100), instance("living", "a:1"));
  directory.handle_report(kStart + milliseconds(150), instance("ended", "a:1", 8));
  directory.handle_report(kStart + milliseconds(1300), instance("living", "a:1", 2));
  EXPECT_EQ(directory.find("living")->state, wire::InstanceState::READY);
  EXPECT_TRUE(directory.rows().at("living").is_confirmed());
  EXPECT_EQ(directory.find("ended")->state, wire::InstanceState::GONE);
}

TEST(InstanceDirectory, NewLeaderKeepsLiveInstanceOfInheritedState) {
  InstanceDirectory directory{seconds(3)};
  directory.start(kStart, {instance("living", "a:1", 5)});
  directory.handle_report(kStart + milliseconds(100), instance("ended", "a:1", 7));
  TimePoint now = kStart + milliseconds(200);
  for (int64_t call = 6; call < 10; ++call) {
    directory.handle_report(now, instance("living", "a:1", call));
    now += milliseconds(1200);
    directory.tick(now);
  }
  EXPECT_EQ(directory.find("living")->state, wire::InstanceState::READY);
  EXPECT_TRUE(directory.rows().at("living").is_confirmed());
}

TEST(InstanceDirectory, SimultaneousSilenceOfMostInstancesIsIgnored) {
  InstanceDirectory directory{seconds(3)};
  for (int index = 0; index < 4; ++index) {
    directory.handle_report(kStart, instance("i" + std::to_string(index), "a:" + std::to_string(index)));
  }
  const TimePoint later = kStart + seconds(4);
  EXPECT_FALSE(directory.tick(later)) << "all four are silent at once";
  directory.handle_report(later, instance("i0", "a:0", 2));
  directory.handle_report(later, instance("i1", "a:1", 2));
  directory.handle_report(later, instance("i2", "a:2", 2));
  EXPECT_TRUE(directory.tick(later));
  EXPECT_TRUE(directory.find("i3")->silent);
  EXPECT_FALSE(directory.find("i0")->silent);
}

TEST(InstanceDirectory, OwnPauseDoesNotCountAsInstanceSilence) {
  InstanceDirectory directory{seconds(3)};
  for (int index = 0; index < 4; ++index) {
    directory.handle_report(kStart, instance("i" + std::to_string(index), "a:" + std::to_string(index)));
  }
  const TimePoint resumed_at = kStart + seconds(11);
  directory.handle_report(resumed_at, instance("i0", "a:0", 2));  // Received before the pause was detected.
  directory.handle_report(resumed_at, instance("i1", "a:1", 2));
  directory.handle_report(resumed_at, instance("i2", "a:2", 2));
  directory.note_own_pause(resumed_at, seconds(10));
  EXPECT_FALSE(directory.tick(resumed_at));
  EXPECT_FALSE(directory.find("i3")->silent);
  EXPECT_TRUE(directory.tick(resumed_at + milliseconds(2100)));
  EXPECT_TRUE(directory.find("i3")->silent) << "one second before the pause and two after it";
  EXPECT_FALSE(directory.find("i0")->silent);
}

constexpr const char* kCompleteReport =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"draining","cold_left_ms":0,)"
    R"("call_seq":9,"born":1780000000000,"domain":"d1","staged":["m"],"models":[{"name":"m"}],)"
    R"("group":{"name":"g","epoch":12,"rank":1,"state":"open"},"new":1})";

/// The invalid field; empty if the report is valid.
std::string error_field(const std::string& body) {
  const auto parsed = parse_registration("i1", body);
  const auto* error = std::get_if<MalformedReport>(&parsed);
  return error == nullptr ? "" : error->field;
}

std::string replace_first(const std::string& text, const std::string& old_text, const std::string& new_text = "") {
  std::string result = text;
  return result.replace(result.find(old_text), old_text.size(), new_text);
}

TEST(Registration, ParsesCompleteReport) {
  const auto parsed = parse_registration("i1", kCompleteReport);
  const auto* report = std::get_if<wire::Instance>(&parsed);
  ASSERT_NE(report, nullptr);
  EXPECT_EQ(report->state, wire::InstanceState::DRAINING);
  EXPECT_EQ(report->membership.epoch, 12);
  EXPECT_EQ(report->membership.state, wire::MembershipState::OPEN);
  EXPECT_EQ(report->model, "m");
  EXPECT_EQ(report->domain, "d1");
  EXPECT_EQ(report->born_ms, 1780000000000);
}

TEST(Registration, AcceptsReportWithoutOptionalFields) {
  const std::string plain =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":8,"state":"ready",)"
      R"("cold_left_ms":0.5,"call_seq":0,"group":null})";
  EXPECT_EQ(error_field(plain), "");
}

TEST(Registration, ReportsNameOfInvalidField) {
  EXPECT_EQ(error_field("{"), "body");
  EXPECT_EQ(error_field(R"({"service":"s"})"), "address");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("state":"draining")", R"("state":"resting")")), "state");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("slots":8)", R"("slots":1e300)")), "slots");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("call_seq":9)", R"("call_seq":1.5)")), "call_seq");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("call_seq":9)", R"("call_seq":18446744073709551615)")),
            "call_seq");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("born":1780000000000)", R"("born":1.5)")), "born");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"("epoch":12)", R"("epoch":"12")")), "group.epoch");
  EXPECT_EQ(error_field(replace_first(kCompleteReport, R"(["m"])", R"([7])")), "staged");
}

TEST(Registration, RejectsUnknownServiceOnceDocumentIsHeld) {
  wire::Instance report;
  report.service_name = "s";
  EXPECT_FALSE(find_unknown_service(report, nullptr));
  document::ConfigurationDocument document;
  ASSERT_TRUE(find_unknown_service(report, &document));
  EXPECT_EQ(find_unknown_service(report, &document)->field, "service");
  document.services["s"];
  EXPECT_FALSE(find_unknown_service(report, &document));
}

// ---------------------------------------------------------- subscription

PeerIdentity entry_identity() {
  PeerIdentity identity;
  identity.peer_address = "10.0.1.1:1";
  identity.serves_requests = true;
  return identity;
}

wire::Envelope fleet_update(int64_t sequence, int64_t document_version, bool with_document) {
  wire::Envelope envelope;
  envelope.from_node = "10.0.0.1:1";
  envelope.__isset.fleet_update = true;
  envelope.fleet_update.sequence = sequence;
  envelope.fleet_update.document_version = document_version;
  if (with_document) {
    envelope.fleet_update.__set_document(pack_document(document_version, "text"));
  }
  return envelope;
}

TEST(FleetSubscription, LeaseStartsWhenHeartbeatIsSent) {
  FleetOptions options;
  options.document_lease = seconds(4);
  FleetSubscription subscription(options, entry_identity(), {"10.0.0.1:1"});
  const auto sent_heartbeat = subscription.tick(kStart, {});
  ASSERT_TRUE(sent_heartbeat);
  EXPECT_FALSE(subscription.has_lease(kStart));
  // The answer took three seconds, so one second of the lease is left.
  subscription.receive(kStart + seconds(3), fleet_update(sent_heartbeat->fleet_heartbeat.sequence, 5, true));
  EXPECT_TRUE(subscription.has_lease(kStart + milliseconds(3999)));
  EXPECT_FALSE(subscription.has_lease(kStart + seconds(4)));
}

TEST(FleetSubscription, HasNoLeaseWhenNewerDocumentIsMissing) {
  FleetSubscription subscription(FleetOptions(), entry_identity(), {"10.0.0.1:1"});
  const auto sent_heartbeat = subscription.tick(kStart, {});
  subscription.receive(kStart, fleet_update(sent_heartbeat->fleet_heartbeat.sequence, 5, false));
  EXPECT_FALSE(subscription.has_lease(kStart));
}

TEST(FleetSubscription, IgnoresOlderDocumentsAndStates) {
  FleetSubscription subscription(FleetOptions(), entry_identity(), {"10.0.0.1:1"});
  subscription.receive(kStart, fleet_update(0, 5, true));
  EXPECT_FALSE(subscription.receive(kStart, fleet_update(0, 4, true)));
  EXPECT_EQ(subscription.document_version(), 5);
  auto newer_update = fleet_update(0, 5, false);
  wire::FleetState state;
  state.term = 3;
  state.version = 1;
  newer_update.fleet_update.__set_state(state);
  EXPECT_TRUE(subscription.receive(kStart, newer_update));
  state.term = 2;
  state.version = 99;
  newer_update.fleet_update.__set_state(state);
  EXPECT_FALSE(subscription.receive(kStart, newer_update)) << "the state is of an older term";
}

TEST(FleetSubscription, ContactsOtherReplicasWhenNoneAnswers) {
  FleetSubscription subscription(FleetOptions(), entry_identity(), {"10.0.0.1:1", "10.0.0.2:1"});
  std::set<std::string> contacted;
  for (TimePoint now = kStart; now < kStart + seconds(3); now += milliseconds(20)) {
    if (const auto heartbeat = subscription.tick(now, {})) {
      contacted.insert(heartbeat->to_node);
    }
  }
  EXPECT_EQ(contacted.size(), 2U);
}

std::set<std::string> contacted_nodes(FleetSubscription& subscription, TimePoint from, TimePoint to) {
  std::set<std::string> contacted;
  for (TimePoint now = from; now < to; now += milliseconds(10)) {
    if (const auto heartbeat = subscription.tick(now, {})) {
      contacted.insert(heartbeat->to_node);
    }
  }
  return contacted;
}

PeerIdentity control_identity() {
  PeerIdentity identity;
  identity.peer_address = "10.0.0.8:1";
  identity.control_address = "10.0.0.8:2";
  return identity;
}

TEST(FleetSubscription, ControlReplicaSearchesLeaderQuicklyAndFollowsHint) {
  FleetSubscription subscription(FleetOptions(), control_identity(), {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"});
  const TimePoint now = kStart + milliseconds(160);
  EXPECT_EQ(contacted_nodes(subscription, kStart, now).size(), 3U);
  auto answer = fleet_update(0, 0, false);
  answer.fleet_update.not_leader = true;
  answer.fleet_update.leader = "10.0.0.9:1";
  subscription.receive(now, answer);
  const auto heartbeat = subscription.tick(now, {});
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->to_node, "10.0.0.9:1");
}

TEST(FleetSubscription, EntryContactsAllReplicasQuicklyWhenNoneAnswers) {
  FleetSubscription subscription(FleetOptions(), entry_identity(), {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"});
  EXPECT_EQ(contacted_nodes(subscription, kStart, kStart + milliseconds(160)).size(), 3U);
}

/// An answer of `publisher` to the heartbeat `sequence`, with the zones of two replicas.
wire::Envelope publisher_answer(const std::string& publisher, int64_t sequence, int64_t confirmed_age_ms) {
  auto envelope = fleet_update(sequence, 5, true);
  envelope.from_node = publisher;
  envelope.fleet_update.confirmed_age_ms = confirmed_age_ms;
  envelope.fleet_update.leader = "10.0.0.1:1";
  for (const auto* zone : {"a", "b"}) {
    wire::ControlPeer peer;
    peer.address = std::string("10.0.0.") + (*zone == 'a' ? "1:1" : "2:1");
    peer.zone = zone;
    envelope.fleet_update.control_peers.push_back(peer);
  }
  return envelope;
}

TEST(FleetSubscription, EntryPrefersReplicaOfItsZoneUntilItLosesLeader) {
  auto identity = entry_identity();
  identity.zone = "b";
  FleetSubscription subscription(FleetOptions(), identity, {"10.0.0.1:1"});
  TimePoint now = kStart;
  const auto exchange_heartbeat = [&](int64_t confirmed_age_ms_of_b) {
    const auto sent_heartbeat = subscription.tick(now, {});
    if (sent_heartbeat) {
      const bool is_replica_b = sent_heartbeat->to_node == "10.0.0.2:1";
      subscription.receive(now, publisher_answer(sent_heartbeat->to_node, sent_heartbeat->fleet_heartbeat.sequence,
                                                 is_replica_b ? confirmed_age_ms_of_b : 20));
    }
    now += milliseconds(250);
    return sent_heartbeat ? sent_heartbeat->to_node : std::string();
  };
  EXPECT_EQ(exchange_heartbeat(20), "10.0.0.1:1") << "the only known replica";
  std::set<std::string> contacted;
  for (int round = 0; round < 12; ++round) {
    exchange_heartbeat(20);
  }
  for (int round = 0; round < 8; ++round) {
    contacted.insert(exchange_heartbeat(20));
  }
  EXPECT_EQ(contacted, std::set<std::string>{"10.0.0.2:1"}) << "the replica of its own zone";
  EXPECT_EQ(subscription.leader(), "10.0.0.1:1");
  for (int round = 0; round < 12; ++round) {
    exchange_heartbeat(5000);
  }
  int contacts_of_a = 0;
  for (int round = 0; round < 8; ++round) {
    contacts_of_a += exchange_heartbeat(5000) == "10.0.0.1:1" ? 1 : 0;
  }
  EXPECT_GE(contacts_of_a, 6) << "the replica of its zone is only retried occasionally";
  EXPECT_TRUE(subscription.has_lease(now));
}

TEST(FleetSubscription, LeaseAccountsForAgeOfLeaderConfirmation) {
  FleetOptions options;
  options.document_lease = seconds(4);
  FleetSubscription subscription(options, entry_identity(), {"10.0.0.1:1"});
  const auto sent_heartbeat = subscription.tick(kStart, {});
  subscription.receive(kStart + seconds(1),
                       publisher_answer("10.0.0.1:1", sent_heartbeat->fleet_heartbeat.sequence, 1500));
  EXPECT_TRUE(subscription.has_lease(kStart + milliseconds(2499)));
  EXPECT_FALSE(subscription.has_lease(kStart + milliseconds(2500)));
  const auto second_heartbeat = subscription.tick(kStart + seconds(2), {});
  subscription.receive(kStart + seconds(2),
                       publisher_answer("10.0.0.1:1", second_heartbeat->fleet_heartbeat.sequence, -1));
  EXPECT_FALSE(subscription.has_lease(kStart + seconds(3)))
      << "a replica without a leader's confirmation extends no lease";
}

TEST(FleetSubscription, KeepsHighestServingNodeCountWithinRetryWindow) {
  FleetOptions options;
  FleetSubscription subscription(options, entry_identity(), {"10.0.0.1:1"});
  auto many_nodes = fleet_update(0, 0, false);
  many_nodes.fleet_update.serving_nodes = 295;
  subscription.receive(kStart, many_nodes);
  auto few_nodes = fleet_update(0, 0, false);
  few_nodes.fleet_update.serving_nodes = 3;
  subscription.receive(kStart + seconds(1), few_nodes);
  EXPECT_EQ(subscription.serving_nodes(), 295);
  subscription.receive(kStart + options.retry_window + seconds(1), few_nodes);
  EXPECT_EQ(subscription.serving_nodes(), 3);
}

// ------------------------------------------------------------- dispatcher

TEST(Dispatcher, RestartedInstanceIsANewTarget) {
  Dispatcher dispatcher(FleetOptions(), "a", 1);
  document::ServiceSpec plain;
  plain.name = "s";
  wire::FleetState state;
  state.instances = {instance("i1", "a:1")};
  state.instances[0].born_ms = 1000;
  EXPECT_TRUE(dispatcher.update_state(state).empty());
  const auto before = dispatcher.choose_target(kStart, plain, {}, {}).target;
  ASSERT_TRUE(before);
  dispatcher.begin_attempt(kStart, *before);
  state.instances[0].born_ms = 2000;
  EXPECT_EQ(dispatcher.update_state(state), std::vector<std::string>{before->key});
  const auto after = dispatcher.choose_target(kStart, plain, {}, {before->key}).target;
  ASSERT_TRUE(after) << "failures of the earlier incarnation do not count";
  EXPECT_NE(after->key, before->key);
  EXPECT_EQ(after->in_flight, 0);
  EXPECT_TRUE(dispatcher.update_state(state).empty());
}

document::ServiceSpec engine_service() {
  document::ServiceSpec service;
  service.name = "s";
  service.engine.emplace();
  service.engine->slots = 10;
  service.engine->models.push_back({"m", 2, 1.0, 1.0, {}, {}});
  return service;
}

wire::FleetState state_with_two_groups() {
  wire::FleetState state;
  for (int index = 0; index < 4; ++index) {
    state.instances.push_back(instance("i" + std::to_string(index), "a:" + std::to_string(index)));
  }
  for (int index = 0; index < 2; ++index) {
    wire::EngineGroup group;
    group.name = "g" + std::to_string(index);
    group.service_name = "s";
    group.model = "m";
    group.members = {"i" + std::to_string(2 * index), "i" + std::to_string(2 * index + 1)};
    group.phase = wire::GroupPhase::OPEN;
    state.groups.push_back(group);
  }
  return state;
}

TEST(Dispatcher, SelectsHeadsOfOpenGroupsAndFailsWhenAllAreFull) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  const RequestRequirements demand{"m", Duration::zero()};
  for (int count = 0; count < 18; ++count) {
    const auto choice = dispatcher.choose_target(kStart, engine_service(), demand, {});
    ASSERT_TRUE(choice.target) << count;
    EXPECT_TRUE(choice.target->instance_id == "i0" || choice.target->instance_id == "i2");
    dispatcher.begin_attempt(kStart, *choice.target);
  }
  EXPECT_EQ(dispatcher.choose_target(kStart, engine_service(), demand, {}).failure, DispatchFailure::kAllBusy);
  EXPECT_EQ(dispatcher.choose_target(kStart, engine_service(), {"other", {}}, {}).failure, DispatchFailure::kNoTarget);
}

TEST(Dispatcher, LimitsSendsToItsShareOfFreeSlots) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  dispatcher.set_serving_nodes(20);
  const auto send_until_refused = [&dispatcher](TimePoint now) {
    int sent = 0;
    for (auto choice = dispatcher.choose_target(now, engine_service(), {"m", {}}, {}); choice.target;
         choice = dispatcher.choose_target(now, engine_service(), {"m", {}}, {})) {
      dispatcher.begin_attempt(now, *choice.target);
      ++sent;
    }
    return sent;
  };
  // Two groups with nine free slots each, shared by twenty entries and overbooked twofold: about one slot per group.
  const int first_sent = send_until_refused(kStart);
  EXPECT_LE(first_sent, 2);
  EXPECT_EQ(send_until_refused(kStart + milliseconds(50)), 0);
  int later = 0;
  for (int round = 1; round <= 10; ++round) {
    later += send_until_refused(kStart + milliseconds(100) * round);
  }
  EXPECT_GT(later, 4) << "the share is drawn again each interval";
}

TEST(Dispatcher, CountsInFlightRequestsOfOtherEntries) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  wire::GroupLoad load;
  load.group = "g0";
  load.in_flight = 9;
  dispatcher.update_loads(kStart, {load});
  for (int count = 0; count < 5; ++count) {
    EXPECT_EQ(dispatcher.choose_target(kStart, engine_service(), {"m", {}}, {}).target->group, "g1");
  }
}

// Guards against outdated loads that make a group look stalled. While there was no leader, entries received the loads
// of other entries; once a leader decides on slots, no loads are sent, so the last ones were kept and aged. After a
// restart of all control replicas, two of three entries refused every request for one model with "all places are
// taken" (56 of 56 in the last 4 s of the run), while the third was served by the model's only group. An entry that
// sends nothing to the group never observes its progress.
TEST(Dispatcher, DiscardsOutdatedLoadsOfOtherEntries) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  wire::GroupLoad load;
  load.group = "g0";
  load.in_flight = 9;
  load.streaming = 9;
  load.progress_age_ms = 10;
  dispatcher.update_loads(kStart, {load});
  const TimePoint later = kStart + seconds(10);
  EXPECT_TRUE(dispatcher.groups_to_avoid(later, "s", "m").empty());
  std::set<std::string> chosen_groups;
  for (int round = 0; round < 50; ++round) {
    const TimePoint now = later + round * milliseconds(200);
    if (const auto choice = dispatcher.choose_target(now, engine_service(), {"m", {}}, {}); choice.target) {
      chosen_groups.insert(choice.target->group);
    }
  }
  EXPECT_TRUE(chosen_groups.contains("g0"));
}

TEST(Dispatcher, DetectsStalledGroups) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  const DispatchTarget stalled_target{"g0", "s", "g0", "i0", "a:0"};
  const DispatchTarget progressing_target{"g1", "s", "g1", "i2", "a:2"};
  dispatcher.begin_attempt(kStart, stalled_target);
  dispatcher.begin_attempt(kStart, progressing_target);
  dispatcher.note_progress(kStart + milliseconds(800), progressing_target);
  const auto stalled = dispatcher.stalled_groups(kStart + seconds(1), milliseconds(800), milliseconds(100));
  ASSERT_EQ(stalled.size(), 1U);
  EXPECT_EQ(stalled.front().group, "g0");
  for (int count = 0; count < 5; ++count) {
    dispatcher.begin_attempt(kStart, stalled_target);
  }
  EXPECT_TRUE(dispatcher.stalled_groups(kStart + seconds(1), milliseconds(800), milliseconds(100)).empty())
      << "reading many prompts delays the first events";
  dispatcher.avoid_target(kStart + seconds(1), "g0");
  EXPECT_EQ(dispatcher.group_failures(kStart + seconds(1)).size(), 1U);
  EXPECT_FALSE(dispatcher.note_failure(kStart + seconds(1), progressing_target))
      << "it made progress for another request";
}

// Guards against time-outs that the leader takes for refused connections, and against the reverse.
TEST(Dispatcher, ReportsWhetherAGroupIsAvoidedForSilenceOnly) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  const DispatchTarget target{"g0", "s", "g0", "i0", "a:0"};
  const auto is_silence = [&dispatcher](TimePoint now) {
    const auto failures = dispatcher.group_failures(now);
    return failures.size() == 1 && failures.front().is_silence;
  };
  dispatcher.avoid_target(kStart, "g0");
  EXPECT_TRUE(is_silence(kStart));
  EXPECT_TRUE(dispatcher.note_failure(kStart + seconds(1), target));
  EXPECT_FALSE(is_silence(kStart + seconds(1))) << "a failed connection is more than silence";
  dispatcher.note_failure(kStart + seconds(2), target, FailureEvidence::kSilence);
  EXPECT_FALSE(is_silence(kStart + seconds(2))) << "later silence does not undo it";
  EXPECT_TRUE(is_silence(kStart + milliseconds(3500))) << "only the silence is recent";
}

// Guards against a group that an entry shuns for two seconds although it goes on after a shorter silence.
TEST(Dispatcher, AvoidanceForSilenceEndsWithProgress) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  const DispatchTarget target{"g0", "s", "g0", "i0", "a:0"};
  dispatcher.begin_attempt(kStart, target);
  dispatcher.avoid_target(kStart + seconds(1), "g0");
  EXPECT_EQ(dispatcher.groups_to_avoid(kStart + seconds(1), "s", "m"), std::vector<std::string>{"g0"});
  dispatcher.note_progress(kStart + milliseconds(1200), target);
  EXPECT_TRUE(dispatcher.groups_to_avoid(kStart + milliseconds(1200), "s", "m").empty());
  EXPECT_TRUE(dispatcher.group_failures(kStart + milliseconds(1200)).empty());
  dispatcher.avoid_target(kStart + seconds(2), "g0", FailureEvidence::kConnection);
  dispatcher.note_progress(kStart + milliseconds(2100), target);
  EXPECT_EQ(dispatcher.group_failures(kStart + milliseconds(2100)).size(), 1U) << "a failed connection is evidence";
}

TEST(Dispatcher, ReportsGroupQuietWhenStreamGapExceedsObjective) {
  Dispatcher dispatcher(FleetOptions(), "z", 1);
  dispatcher.update_state(state_with_two_groups());
  dispatcher.record_gap_objective("s", "m", milliseconds(250));
  const DispatchTarget target{"g0", "s", "g0", "i0", "a:0"};
  AttemptState mark;
  dispatcher.begin_attempt(kStart, target, mark);
  EXPECT_TRUE(dispatcher.quiet_groups(kStart + milliseconds(600)).empty()) << "no stream has begun";
  dispatcher.note_progress(kStart + milliseconds(600), target);
  dispatcher.note_first_event(kStart + milliseconds(600), target, mark);
  EXPECT_TRUE(dispatcher.quiet_groups(kStart + milliseconds(880)).empty());
  EXPECT_EQ(dispatcher.quiet_groups(kStart + milliseconds(900)), std::vector<std::string>{"g0"});
  dispatcher.note_progress(kStart + milliseconds(910), target);
  EXPECT_TRUE(dispatcher.quiet_groups(kStart + milliseconds(920)).empty());
}

TEST(Dispatcher, LimitsRetriesToItsShareOfBudget) {
  FleetOptions options;
  options.retry_ratio = 0.2;
  options.retry_slack = 40;
  Dispatcher dispatcher(options, "z", 1);
  dispatcher.set_serving_nodes(4);
  RetryBudget& budget = dispatcher.retry_budget();
  budget.start(kStart - options.retry_window);
  for (int count = 0; count < 100; ++count) {
    budget.note_request(kStart, "s");
  }
  EXPECT_EQ(budget.remaining(kStart, "s"), 21);
  int granted = 0;
  while (budget.try_take(kStart, "s")) {
    ++granted;
  }
  EXPECT_EQ(granted, 21);  // 0.7 x (0.2 x 100 + 40 / 4)
  EXPECT_TRUE(budget.try_take(kStart + options.retry_window + seconds(1), "s")) << "the window has passed";
}

// -------------------------------------------------------------- cost model

TEST(CostModel, MoreRunningRequestsDelayFirstEvent) {
  document::EngineSpec engine;
  engine.slots = 26;
  engine.step_ms = 6;
  engine.per_sequence_ms = 0.24;
  engine.prefill_tokens_per_second = 46'000;
  engine.steps_per_pass = 5;
  engine.prefill_chunk_tokens = 2048;
  const document::ModelSpec model{"m", 4, 1.0, 1.0, {}, {}};
  const engine::RequestTokenCounts sizes{1640, 87};
  EXPECT_LT(engine::forecast_steady_state(engine, model, sizes, 4).time_to_first_event,
            engine::forecast_steady_state(engine, model, sizes, 16).time_to_first_event);
  // A pass reads one chunk per step: with 26 running requests, 2,450 of 10,240 tokens within 115 ms.
  EXPECT_NEAR(engine::forecast_steady_state(engine, model, sizes, 26).prefill_load, 0.24, 0.01);
  EXPECT_EQ(engine::max_running_requests(engine, model, sizes, milliseconds(500)), 26);
  engine.prefill_chunk_tokens = 2048 / 5;
  const int max_running = engine::max_running_requests(engine, model, sizes, milliseconds(500));
  EXPECT_GT(max_running, 8);
  EXPECT_LT(max_running, 20) << "reading prompts would not keep up";
  EXPECT_EQ(engine::max_running_requests(engine, model, sizes, milliseconds(1)), 1);
}

TEST(CostModel, SizeEstimateFollowsObservedRequests) {
  engine::RequestSizeEstimator estimate;
  EXPECT_EQ(estimate.sizes({10, 20}).prompt, 10);
  for (int count = 0; count < 500; ++count) {
    estimate.add_sample(1000, 100);
  }
  EXPECT_NEAR(estimate.sizes({10, 20}).prompt, 1000, 1);
}

// ------------------------------------------------------------ event stream

TEST(EventStream, EmitsEachCompleteEventOnceForAnyChunkSize) {
  const std::string body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  for (size_t size = 1; size <= body.size(); ++size) {
    requests::EventStreamSplitter stream;
    std::string out;
    for (size_t begin = 0; begin < body.size(); begin += size) {
      out += stream.feed(std::string_view(body).substr(begin, size));
    }
    EXPECT_EQ(out, body);
    EXPECT_EQ(stream.last_id(), 3);
    EXPECT_FALSE(stream.has_gap());
  }
}

TEST(EventStream, ContinuesAfterLastCompleteEvent) {
  requests::EventStreamSplitter stream;
  EXPECT_EQ(stream.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
  stream.restart();
  EXPECT_EQ(stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n") << "repeated events are dropped";
  stream.feed("id: 4\ndata: d\n\n");
  EXPECT_TRUE(stream.has_gap());
}

// ---------------------------------------------------------------- settings

std::string control_settings(const std::string& cluster, const std::string& bounds) {
  return "[node]\nname = c1\nzone = a\nrole = control\npeer_address = 10.0.0.1:7000\n"
         "control_address = 10.0.0.1:8000\ndata_folder = /tmp/x\n[cluster]\n" +
         cluster + "[bounds]\n" + bounds;
}

TEST(FleetSettings, DerivesOptionsAndPeersFromBoundsAndSeeds) {
  std::vector<std::string> errors;
  const auto settings = settings::parse_fleet_settings(
      control_settings("seeds = 10.0.0.1:8000, 10.0.0.2:8000\npeer_port = 7000\nfirst_start = true\n"
                       "tolerated_losses = 2\n",
                       "revocation = 6s\nretry_ratio = 0.25\ncatch_up = 4.5s\n"),
      errors);
  ASSERT_TRUE(settings) << errors.front();
  EXPECT_EQ(settings->options.document_lease, milliseconds(5500));
  EXPECT_EQ(settings->options.minimum_voters, 5U);
  EXPECT_EQ(settings->seed_peer_addresses.back(), "10.0.0.2:7000");
  EXPECT_TRUE(settings->may_found_cluster());
  EXPECT_DOUBLE_EQ(settings->options.retry_ratio, 0.25);
}

std::optional<settings::FleetSettings> parse_addresses(const std::string& peer, const std::string& control,
                                                       const std::string& seeds) {
  std::vector<std::string> errors;
  return settings::parse_fleet_settings(
      "[node]\nname = c1\nzone = a\nrole = control\npeer_address = " + peer + "\ncontrol_address = " + control +
          "\ndata_folder = /tmp/x\n[cluster]\nseeds = " + seeds + "\npeer_port = 7000\nfirst_start = true\n",
      errors);
}

TEST(FleetSettings, RecognizesOwnSeedAddressInEquivalentForms) {
  const auto wildcard_settings = parse_addresses("10.0.0.1:7000", "0.0.0.0:8000", "10.0.0.1:8000, 10.0.0.2:8000");
  ASSERT_TRUE(wildcard_settings);
  EXPECT_TRUE(wildcard_settings->may_found_cluster());
  const auto padded_port_settings = parse_addresses("10.0.0.1:07000", "10.0.0.1:8000", "10.0.0.1:08000");
  ASSERT_TRUE(padded_port_settings);
  EXPECT_TRUE(padded_port_settings->may_found_cluster());
  const auto ipv6_settings = parse_addresses("[fd00:0:0::1]:7000", "[fd00::1]:8000", "[fd00::0001]:8000");
  ASSERT_TRUE(ipv6_settings);
  EXPECT_TRUE(ipv6_settings->may_found_cluster());
  const auto non_seed_settings = parse_addresses("10.0.0.3:7000", "10.0.0.3:8000", "10.0.0.1:8000, 10.0.0.2:8000");
  ASSERT_TRUE(non_seed_settings);
  EXPECT_FALSE(non_seed_settings->may_found_cluster());
  EXPECT_FALSE(parse_addresses("0.0.0.0:7000", "10.0.0.3:8000", "10.0.0.1:8000")) << "peers cannot connect to it";
}

TEST(FleetSettings, ReportsAllErrorsAtOnce) {
  std::vector<std::string> errors;
  EXPECT_FALSE(settings::parse_fleet_settings(
      control_settings("peer_port = 7000\n", "revocation = soon\nretry_ratio = many\n") + "[other]\nkey = 1\n",
      errors));
  EXPECT_EQ(errors.size(), 4U);
}

}  // namespace
}  // namespace larchlever::fleet
