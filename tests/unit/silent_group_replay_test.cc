#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "consensus/raft_node.h"
#include "core/fleet/fleet_leader.h"
#include "wire/codec.h"

namespace larchlever::fleet {
namespace {

// Replays a group of two servers that falls silent under streams of four entries, in virtual time, at the leader. The
// leader is the product code; servers and entries are reduced to the reports that they send.

const TimePoint kStart = TimePoint(seconds(100));
constexpr int64_t kEpoch = (int64_t{1} << kEpochTermShift) + 1;
constexpr int kEntries = 4;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kHeartbeatInterval = milliseconds(200);
constexpr Duration kEntryTick = milliseconds(25);
constexpr Duration kCompleteReportInterval = seconds(1);
/// The streams of an entry count as quiet after this silence.
constexpr Duration kQuietAfter = milliseconds(100);
/// The leader acts on groups once the copies of other replicas had time to arrive.
constexpr Duration kWarmUp = seconds(2);

std::string entry_name(int number) { return "e" + std::to_string(number); }

class SilentGroupReplay : public testing::Test {
 protected:
  SilentGroupReplay() {
    wire::Command command;
    command.__set_document(pack_document(
        1, R"({"version":1,"routes":[],"services":[{"name":"s","health_path":"/","max_connections":100,"engine":{)"
           R"("slots":8,"loads_per_s":4,"loads_at_once":6,"models":[{"name":"m","size":2,"fraction":1.0}]}}]})"));
    log_.apply(1, wire::encode(command));
    wire::EngineGroup group;
    group.name = "g1-1";
    group.epoch = kEpoch;
    group.service_name = "s";
    group.model = "m";
    group.members = {"i0", "i1"};
    group.phase = wire::GroupPhase::OPEN;
    state_.term = 1;
    state_.version = 1;
    state_.groups = {group};
    for (const auto& member : group.members) {
      state_.instances.push_back(make_instance(member));
    }
    begin_leadership(2);
    run(kWarmUp);
  }

  void begin_leadership(int64_t term) {
    term_ = term;
    leader_.begin_leadership(now_, term, state_);
    next_complete_report_ = now_;
  }

  wire::Instance make_instance(const std::string& id) const {
    wire::Instance instance;
    instance.id = id;
    instance.service_name = "s";
    instance.address = "10.0.1.1:" + id.substr(1);
    instance.domain = "d0";
    instance.model = "m";
    instance.call_number = call_number_;
    instance.membership.group = "g1-1";
    instance.membership.epoch = kEpoch;
    instance.membership.rank = id == "i0" ? 0 : 1;
    instance.membership.state = id == "i0" ? head_state_ : wire::MembershipState::READY;
    return instance;
  }

  /// From now on the head sends no events and no heartbeats.
  void fall_silent() {
    is_silent_ = true;
    last_event_ = now_;
  }
  void go_on() { is_silent_ = false; }
  /// The entries find another place for their streams.
  void move_streams_away() {
    streams_per_entry_ = 0;
    next_complete_report_ = now_;
  }
  /// From now on these entries avoid the group and report it.
  void report_failure(const std::set<int>& entries, bool is_silence) {
    for (const int number : entries) {
      auto& failure = failures_[number];
      failure.group = "g1-1";
      if (is_silence) {
        failure.__set_is_silence(true);
      }
    }
    next_complete_report_ = now_;
  }

  void send_heartbeats() {
    ++call_number_;
    wire::RegistrationBatch batch;
    for (const auto* id : {"i0", "i1"}) {
      if (!is_silent_ || id == std::string("i1")) {
        auto& report = batch.reports.emplace_back();
        report.instance = make_instance(id);
        report.known_term = term_;
      }
    }
    leader_.handle_registrations(now_, batch);
  }

  void send_slot_report(int number, bool is_complete) {
    wire::Envelope envelope;
    envelope.from_node = entry_name(number);
    envelope.from_incarnation = 1;
    envelope.__isset.slot_report = true;
    auto& report = envelope.slot_report;
    report.is_complete = is_complete;
    report.grants_term = term_;
    report.grants_seen = grants_seen_;
    if (is_complete) {
      wire::GroupLoad load;
      load.group = "g1-1";
      load.in_flight = streams_per_entry_;
      load.streaming = streams_per_entry_;
      load.progress_age_ms = static_cast<int32_t>((now_ - last_event_) / milliseconds(1));
      report.loads = {load};
      if (failures_.contains(number)) {
        report.failures = {failures_.at(number)};
      }
    }
    if (streams_per_entry_ > 0 && now_ - last_event_ > kQuietAfter) {
      report.quiet_groups = {"g1-1"};
    }
    if (has_request_ && number == 0) {
      wire::SlotRequest request;
      request.id = ++request_count_;
      request.service_name = "s";
      request.model = "m";
      request.prompt_tokens = 10;
      request.patience_ms = 20;
      report.requests = {request};
    }
    leader_.handle_slot_report(now_, envelope, log_);
  }

  void collect_outputs() {
    const auto outputs = leader_.take_outputs();
    for (const auto& envelope : outputs.envelopes) {
      for (const auto& grant : envelope.slot_answer.grants) {
        grants_ += grant.verdict == wire::SlotVerdict::GRANTED ? 1 : 0;
        grants_seen_ = std::max(grants_seen_, grant.sequence);
      }
      if (!envelope.slot_answer.failed_groups.empty()) {
        told_entries_.insert(envelope.to_node);
      }
    }
    for (const auto& probe : outputs.member_probes) {
      probed_members_.insert(probe.instance_id);
      if (refusing_members_.contains(probe.instance_id)) {
        leader_.handle_member_probe(now_, probe, MemberProbeResult::kRefused);
      }
    }
    for (const auto& order : outputs.orders) {
      leave_orders_ += order.kind == OrderKind::kLeave ? 1 : 0;
    }
  }

  void run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kStep) {
      last_event_ = is_silent_ ? last_event_ : now_;
      if ((now_ - kStart) % kHeartbeatInterval == Duration::zero()) {
        send_heartbeats();
      }
      const bool is_complete = now_ >= next_complete_report_;
      if (is_complete || (now_ - kStart) % kEntryTick == Duration::zero()) {
        for (int number = 0; number < kEntries; ++number) {
          send_slot_report(number, is_complete);
        }
      }
      next_complete_report_ = is_complete ? now_ + kCompleteReportInterval : next_complete_report_;
      leader_.tick(now_, raft_, log_);
      collect_outputs();
    }
  }

  /// Runs until the group is being dissolved or gone, at most for `longest`. Returns the time that took.
  Duration time_to_dissolution(Duration longest) {
    const TimePoint begin = now_;
    while (is_open() && now_ - begin < longest) {
      run(kStep);
    }
    return now_ - begin;
  }

  bool is_open() const {
    const auto groups = leader_.groups();
    return groups.size() == 1 && groups.front().name == "g1-1" && groups.front().phase == wire::GroupPhase::OPEN;
  }

  /// Grants during `duration` in which entry 0 asks for a slot with each report.
  int grants_within(Duration duration) {
    const int before = grants_;
    has_request_ = true;
    run(duration);
    has_request_ = false;
    return grants_ - before;
  }

  TimePoint now_ = kStart;
  FleetLog log_;
  consensus::RaftNode raft_{ReplicaId(1), Incarnation(1), {}, {}, 1, kStart};
  FleetLeader leader_{{}, {}};
  int64_t term_ = 0;
  wire::FleetState state_;
  wire::MembershipState::type head_state_ = wire::MembershipState::OPEN;
  int64_t call_number_ = 1;
  bool is_silent_ = false;
  TimePoint last_event_ = kStart;
  TimePoint next_complete_report_ = kStart;
  int streams_per_entry_ = 1;
  std::map<int, wire::GroupFailure> failures_;
  bool has_request_ = false;
  int64_t request_count_ = 0;
  int grants_ = 0;
  /// Granted requests end before the next report.
  int64_t grants_seen_ = 0;
  int leave_orders_ = 0;
  std::set<std::string> told_entries_;
  std::set<std::string> probed_members_;
  /// Members whose process has ended.
  std::set<std::string> refusing_members_;
};

// Guards against streams of sound servers that are cut because their group is dissolved for a silence that ends.
TEST_F(SilentGroupReplay, SoundGroupSilentFor1300MillisecondsKeepsItsMembersAndIsUsedAgain) {
  ASSERT_TRUE(is_open());
  EXPECT_GT(grants_within(milliseconds(100)), 0);
  fall_silent();
  run(milliseconds(400));
  EXPECT_EQ(told_entries_.size(), static_cast<size_t>(kEntries)) << "entries look for another place";
  EXPECT_EQ(grants_within(milliseconds(900)), 0) << "a silent group gets no requests";
  go_on();
  run(milliseconds(30));
  EXPECT_GT(grants_within(milliseconds(50)), 0) << "it makes progress again";
  run(seconds(4));
  EXPECT_TRUE(is_open());
  EXPECT_EQ(leave_orders_, 0);
}

// Guards against a failed group that holds its servers for good, and against one that is dissolved too soon.
TEST_F(SilentGroupReplay, GroupSilentForMoreThanTwoSecondsIsDissolved) {
  fall_silent();
  const Duration elapsed = time_to_dissolution(seconds(5));
  EXPECT_GT(elapsed, seconds(2));
  EXPECT_LT(elapsed, milliseconds(2200));
  run(milliseconds(100));
  EXPECT_GT(leave_orders_, 0);
}

// Guards against a slower reaction to failures that are certain.
TEST_F(SilentGroupReplay, RefusedConnectionsOfTwoEntriesDissolveAtOnce) {
  fall_silent();
  run(milliseconds(550));  // Progress is not recent any more.
  ASSERT_TRUE(is_open());
  report_failure({1}, false);
  EXPECT_EQ(time_to_dissolution(milliseconds(300)), milliseconds(300)) << "one entry may have a bad link";
  report_failure({2}, false);
  EXPECT_LT(time_to_dissolution(seconds(1)), milliseconds(100));
}

// Guards against time-outs of entries that count like refused connections.
TEST_F(SilentGroupReplay, ReportsOfMereSilenceDissolveNoGroup) {
  fall_silent();
  run(milliseconds(550));
  report_failure({0, 1, 2, 3}, true);
  EXPECT_EQ(time_to_dissolution(milliseconds(1200)), milliseconds(1200));
  go_on();
  EXPECT_EQ(time_to_dissolution(seconds(3)), seconds(3)) << "entries repeat their reports while they avoid the group";
  failures_.clear();
  EXPECT_GT(grants_within(milliseconds(50)), 0);
  EXPECT_EQ(leave_orders_, 0);
}

// Guards against two entries whose requests wait in vain, too few for a stall, and that nobody believes.
TEST_F(SilentGroupReplay, SilenceReportsOfTwoEntriesWithholdRequestsFromTheGroup) {
  streams_per_entry_ = 0;
  fall_silent();
  run(milliseconds(1100));
  EXPECT_GT(grants_within(milliseconds(30)), 0);
  report_failure({0, 1}, true);
  run(milliseconds(20));
  EXPECT_EQ(grants_within(milliseconds(200)), 0);
  EXPECT_TRUE(is_open());
}

// Guards against a suspicion that delays the reaction to a head that says itself that it is broken.
TEST_F(SilentGroupReplay, BrokenHeadDissolvesASuspectedGroupAtOnce) {
  fall_silent();
  run(milliseconds(600));
  ASSERT_TRUE(is_open());
  head_state_ = wire::MembershipState::BROKEN;
  ++call_number_;
  wire::RegistrationBatch batch;
  auto& report = batch.reports.emplace_back();
  report.instance = make_instance("i0");
  report.known_term = term_;
  leader_.handle_registrations(now_, batch);
  EXPECT_LT(time_to_dissolution(seconds(1)), milliseconds(100));
}

// Guards against a crashed member, not the head, that holds up its group for two seconds: no entry connects to it.
TEST_F(SilentGroupReplay, MemberThatRefusesConnectionsDissolvesASuspectedGroupAtOnce) {
  run(seconds(1));
  EXPECT_TRUE(probed_members_.empty()) << "only members of suspected groups are probed";
  refusing_members_ = {"i1"};
  fall_silent();
  EXPECT_LT(time_to_dissolution(seconds(1)), milliseconds(400));
  EXPECT_EQ(probed_members_, (std::set<std::string>{"i0", "i1"}));
}

// Guards against a late answer to a probe that dissolves a group which makes progress again.
TEST_F(SilentGroupReplay, ProbeOfAGroupThatIsNoLongerSuspectedProvesNothing) {
  fall_silent();
  run(milliseconds(600));
  go_on();
  run(milliseconds(50));
  leader_.handle_member_probe(now_, {"g1-1", "i1", make_instance("i1").address}, MemberProbeResult::kRefused);
  EXPECT_EQ(time_to_dissolution(milliseconds(500)), milliseconds(500));
}

// Guards against a refusal by the process that had a member's address before.
TEST_F(SilentGroupReplay, ProbeOfAnotherAddressProvesNothing) {
  fall_silent();
  run(milliseconds(600));
  leader_.handle_member_probe(now_, {"g1-1", "i1", "10.0.9.9:1"}, MemberProbeResult::kRefused);
  EXPECT_EQ(time_to_dissolution(milliseconds(500)), milliseconds(500));
}

// Guards against a new leader that dissolves sound groups by a silence that it did not see begin.
TEST_F(SilentGroupReplay, NewLeaderCountsSilenceAnew) {
  fall_silent();
  run(milliseconds(1500));
  ASSERT_TRUE(is_open());
  begin_leadership(3);
  EXPECT_EQ(time_to_dissolution(milliseconds(1900)), milliseconds(1900));
  go_on();
  EXPECT_EQ(time_to_dissolution(seconds(2)), seconds(2));
}

// Guards against short silences that add up to a long one.
TEST_F(SilentGroupReplay, SeriesOfShortSilencesDissolvesNoGroup) {
  for (int round = 0; round < 8; ++round) {
    fall_silent();
    EXPECT_EQ(time_to_dissolution(milliseconds(900)), milliseconds(900)) << round;
    go_on();
    run(milliseconds(150));
  }
  EXPECT_EQ(leave_orders_, 0);
}

// Guards against a sound group that is given up because no stream is left that could show its progress.
TEST_F(SilentGroupReplay, SoundGroupWhoseStreamsMovedAwayIsUsedAgain) {
  fall_silent();
  run(milliseconds(400));
  move_streams_away();
  EXPECT_EQ(grants_within(milliseconds(900)), 0);
  go_on();
  run(kHeartbeatInterval + milliseconds(50));
  EXPECT_GT(grants_within(milliseconds(50)), 0) << "all members send heartbeats again";
  run(seconds(4));
  EXPECT_TRUE(is_open());
}

// Guards against requests that are granted to a crashed group because its streams are gone.
TEST_F(SilentGroupReplay, CrashedGroupWhoseStreamsMovedAwayIsDissolved) {
  fall_silent();
  run(milliseconds(400));
  move_streams_away();
  EXPECT_EQ(grants_within(milliseconds(1500)), 0);
  EXPECT_LT(time_to_dissolution(seconds(1)), milliseconds(300));
}

}  // namespace
}  // namespace larchlever::fleet
