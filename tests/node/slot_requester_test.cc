#include "node/slot_requester.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "node/clock.h"
#include "node/lease_gate.h"

namespace larchlever::node {
namespace {

namespace asio = boost::asio;

const requests::RequestFingerprint kSuspectedPart(7);

fleet::PeerIdentity identity() {
  fleet::PeerIdentity result;
  result.peer_address = "10.0.1.1:1";
  result.serves_requests = true;
  return result;
}

wire::FleetState state_with_group(const std::string& name) {
  wire::FleetState state;
  wire::EngineGroup group;
  group.name = name;
  group.members = {"i1"};
  group.phase = wire::GroupPhase::OPEN;
  state.groups.push_back(group);
  return state;
}

class SlotRequesterTest : public testing::Test {
 protected:
  SlotRequesterTest()
      : state_(fleet::FleetOptions(), identity(), {"10.0.0.1:1"}, 1),
        slot_requester_(context_.get_executor(), state_, [this](wire::Envelope envelope) {
          reports_.push_back(envelope.slot_report);
          if (on_report_) {
            on_report_(reports_.back());
          }
        }) {}

  wire::SlotGrant request_slot(int patience_ms = 80) {
    wire::SlotRequest request;
    request.patience_ms = patience_ms;
    auto pending_grant = asio::co_spawn(context_, slot_requester_.request_slot(request), asio::use_future);
    context_.restart();
    context_.run();
    return pending_grant.get();
  }

  bool is_suspect_permitted() {
    auto permission =
        asio::co_spawn(context_, slot_requester_.request_suspect_permission(kSuspectedPart), asio::use_future);
    context_.restart();
    context_.run();
    return permission.get();
  }

  void deliver_grant(int64_t term, int64_t id, wire::SlotVerdict::type verdict, int64_t sequence = 0) {
    wire::SlotAnswer message;
    message.term = term;
    wire::SlotGrant grant;
    grant.id = id;
    grant.verdict = verdict;
    grant.sequence = sequence;
    message.grants.push_back(grant);
    slot_requester_.receive(message);
  }

  asio::io_context context_;
  EntryState state_;
  std::vector<wire::SlotReport> reports_;
  std::function<void(const wire::SlotReport&)> on_report_;
  SlotRequester slot_requester_;
};

TEST_F(SlotRequesterTest, DoesNotWaitAgainForUnresponsiveLeader) {
  const TimePoint before = monotonic_now();
  EXPECT_EQ(request_slot().verdict, wire::SlotVerdict::UNDECIDED);
  EXPECT_LT(monotonic_now() - before, seconds(1));
  EXPECT_EQ(request_slot().verdict, wire::SlotVerdict::UNDECIDED);
  EXPECT_EQ(reports_.size(), 1U) << "the second request must not wait for the leader";
}

// A request that was queued for seconds got no answer when its process shut down.
TEST_F(SlotRequesterTest, StopsWaitingInTheQueue) {
  on_report_ = [this](const wire::SlotReport& report) {
    deliver_grant(1, report.requests.front().id, wire::SlotVerdict::QUEUED);
    asio::post(context_, [this] { slot_requester_.stop_waiting(); });
  };
  constexpr int kPatienceMs = 5000;
  const TimePoint before = monotonic_now();
  EXPECT_EQ(request_slot(kPatienceMs).verdict, wire::SlotVerdict::UNDECIDED);
  EXPECT_LT(monotonic_now() - before, seconds(1));
}

TEST_F(SlotRequesterTest, QueuedRequestGetsSlotWhenGranted) {
  on_report_ = [this](const wire::SlotReport& report) {
    const int64_t id = report.requests.front().id;
    asio::post(context_, [this, id] {
      deliver_grant(5, id, wire::SlotVerdict::QUEUED);
      asio::post(context_, [this, id] { deliver_grant(5, id, wire::SlotVerdict::GRANTED, 9); });
    });
  };
  EXPECT_EQ(request_slot().verdict, wire::SlotVerdict::GRANTED);
  EXPECT_EQ(slot_requester_.last_grant(), std::pair(int64_t{5}, int64_t{9}));
  deliver_grant(4, 1, wire::SlotVerdict::GRANTED, 50);
  EXPECT_EQ(slot_requester_.last_grant(), std::pair(int64_t{5}, int64_t{9}))
      << "grants of a deposed leader must be ignored";
}

// Entries that decided on their own sent requests with a suspected part to many servers at the same time.
TEST_F(SlotRequesterTest, RequestWithSuspectedPartIsWithheldWithoutAnswer) {
  EXPECT_FALSE(is_suspect_permitted());
  EXPECT_FALSE(slot_requester_.is_leader_responsive(monotonic_now()));
  on_report_ = [this](const wire::SlotReport& report) {
    const int64_t id = report.requests.front().id;
    asio::post(context_, [this, id] { deliver_grant(5, id, wire::SlotVerdict::GRANTED); });
  };
  EXPECT_TRUE(is_suspect_permitted()) << "the leader is asked, although it was silent before";
}

TEST_F(SlotRequesterTest, BatchesConcurrentRequests) {
  wire::SlotRequest request;
  request.patience_ms = 80;
  for (int count = 0; count < 3; ++count) {
    asio::co_spawn(context_, slot_requester_.request_slot(request), asio::detached);
  }
  context_.run();
  ASSERT_EQ(reports_.size(), 1U);
  EXPECT_EQ(reports_.front().requests.size(), 3U);
}

TEST_F(SlotRequesterTest, SendsCompleteReportToNewLeaderAndEverySecond) {
  state_.subscription.tick(monotonic_now(), {});
  wire::Envelope envelope;
  envelope.from_node = "10.0.0.1:1";
  envelope.__isset.fleet_update = true;
  envelope.fleet_update.leader = "10.0.0.1:1";
  state_.subscription.receive(monotonic_now(), envelope);
  const TimePoint now = monotonic_now();
  slot_requester_.tick(now);
  slot_requester_.tick(now + milliseconds(500));
  EXPECT_EQ(reports_.size(), 1U);
  EXPECT_TRUE(reports_.back().is_complete);
  slot_requester_.tick(now + milliseconds(1100));
  EXPECT_EQ(reports_.size(), 2U);
  envelope.fleet_update.leader = "10.0.0.2:1";
  state_.subscription.receive(monotonic_now(), envelope);
  slot_requester_.tick(now + milliseconds(1200));
  EXPECT_EQ(reports_.size(), 3U);
  state_.dispatcher.update_state(state_with_group("g1"));
  state_.dispatcher.avoid_target(now + milliseconds(1250), "g1");
  slot_requester_.tick(now + milliseconds(1300));
  ASSERT_EQ(reports_.size(), 4U) << "a failure must be reported immediately";
  EXPECT_EQ(reports_.back().failures.size(), 1U);
  slot_requester_.tick(now + milliseconds(1350));
  EXPECT_EQ(reports_.size(), 4U);
}

TEST_F(SlotRequesterTest, ReportsLateGrantAsUnused) {
  request_slot();
  const size_t before = reports_.size();
  deliver_grant(5, 1, wire::SlotVerdict::GRANTED, 1);
  context_.restart();
  context_.run();
  ASSERT_EQ(reports_.size(), before + 1);
  EXPECT_EQ(reports_.back().grants_seen, 1);
  EXPECT_TRUE(reports_.back().loads.empty()) << "the slot was not used";
}

TEST_F(SlotRequesterTest, LeaseGateDelaysRequestsOnlyWhileLeaseIsExpected) {
  LeaseGate gate(context_.get_executor(), state_);
  auto first_wait = asio::co_spawn(context_, gate.wait_for_lease(monotonic_now() + milliseconds(30)), asio::use_future);
  const TimePoint before = monotonic_now();
  context_.restart();
  context_.run();
  first_wait.get();
  EXPECT_GE(monotonic_now() - before, milliseconds(25));
  gate.note_lease_change(monotonic_now() - seconds(10), false);
  auto second_wait = asio::co_spawn(context_, gate.wait_for_lease(monotonic_now() + seconds(60)), asio::use_future);
  context_.restart();
  context_.run();
  second_wait.get();
  EXPECT_LT(monotonic_now() - before, seconds(30)) << "requests must not wait after a long time without a lease";
}

}  // namespace
}  // namespace larchlever::node
