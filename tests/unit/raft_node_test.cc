#include "consensus/raft_node.h"

#include <gtest/gtest.h>

#include <map>

namespace larchlever::consensus {
namespace {

/// Three voters whose messages the test delivers.
class RaftNodeTest : public testing::Test {
 protected:
  void SetUp() override {
    wire::ReplicaSet voters;
    for (int64_t id = 1; id <= 3; ++id) {
      wire::ReplicaAddress address;
      address.replica_id = id;
      address.node = "n" + std::to_string(id);
      voters.voters.push_back(address);
    }
    PersistedState state;
    state.snapshot.replicas = voters;
    for (int64_t id = 1; id <= 3; ++id) {
      persisted_[id] = state;
      nodes_.emplace(id, RaftNode(ReplicaId(id), Incarnation(1), options_, state, static_cast<uint64_t>(id), now_));
    }
  }

  /// Runs for `duration`, delivering all messages except those to or from replicas in `isolated_`.
  void run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(10);
      for (auto& [id, node] : nodes_) {
        node.tick(now_);
      }
      for (int round = 0; round < 4; ++round) {
        deliver();
      }
    }
  }

  void deliver() {
    std::vector<wire::RaftMessage> messages;
    for (auto& [id, node] : nodes_) {
      auto output = node.take_output();
      apply_output(persisted_[id], output);
      messages.insert(messages.end(), output.messages.begin(), output.messages.end());
      messages.insert(messages.end(), output.messages_after_sync.begin(), output.messages_after_sync.end());
      node.mark_synced(now_, output.ticket);
      node.take_committed();
    }
    for (const auto& message : messages) {
      if (!isolated_.contains(message.from_replica) && !isolated_.contains(message.to_replica)) {
        nodes_.at(message.to_replica).step(now_, message);
      }
    }
  }

  static void apply_output(PersistedState& stored, const RaftOutput& output) {
    stored.hard_state = output.hard_state.value_or(stored.hard_state);
    for (const auto& entry : output.entries) {
      std::erase_if(stored.entries, [&entry](const auto& known) { return known.index >= entry.index; });
      stored.entries.push_back(entry);
    }
  }

  /// Restarts a replica with its persisted state.
  void restart(int64_t id) {
    nodes_.at(id) =
        RaftNode(ReplicaId(id), Incarnation(++last_boot_), options_, persisted_[id], static_cast<uint64_t>(id), now_);
  }

  /// Replaces the replica by one with an empty disk and a new identity at the same address.
  void lose_disk(int64_t id) {
    persisted_[id] = PersistedState();
    nodes_.at(id) = RaftNode(ReplicaId(id + 100), Incarnation(1), options_, PersistedState(), 7, now_);
  }

  RaftNode* leader() {
    for (auto& [id, node] : nodes_) {
      if (!isolated_.contains(id) && node.has_lease(now_)) {
        return &node;
      }
    }
    return nullptr;
  }

  RaftOptions options_;
  TimePoint now_ = TimePoint(seconds(100));
  std::map<int64_t, RaftNode> nodes_;
  std::map<int64_t, PersistedState> persisted_;
  int64_t last_boot_ = 1;
  std::set<int64_t> isolated_;
};

TEST_F(RaftNodeTest, ElectsLeaderQuicklyAfterFullRestart) {
  // The three replicas of the fixture have just started.
  run(milliseconds(450));
  EXPECT_NE(leader(), nullptr) << "before any election timeout has passed";
}

TEST_F(RaftNodeTest, RestartedVotersWaitOutPossibleLease) {
  isolated_.insert(3);
  run(options_.election_timeout_min - milliseconds(50));
  EXPECT_EQ(leader(), nullptr) << "the unreachable replica may hold a lease";
  run(seconds(4));
  EXPECT_NE(leader(), nullptr);
}

TEST_F(RaftNodeTest, ElectsWithoutWaitingForVoterThatLostItsDisk) {
  // Another identity replies at its address.
  lose_disk(3);
  run(milliseconds(450));
  EXPECT_NE(leader(), nullptr) << "the two remaining voters are a majority, and no replica can hold a lease";
}

TEST_F(RaftNodeTest, NoElectionAfterMajorityLostTheirDisks) {
  lose_disk(2);
  lose_disk(3);
  run(seconds(5));
  EXPECT_EQ(leader(), nullptr);
}

TEST_F(RaftNodeTest, RestartedFollowersKeepCurrentLeader) {
  run(seconds(5));
  auto* elected = leader();
  ASSERT_NE(elected, nullptr);
  const int64_t term = elected->term();
  for (auto& [id, node] : nodes_) {
    if (&node != elected) {
      restart(id);
    }
  }
  run(seconds(3));
  EXPECT_EQ(leader(), elected);
  EXPECT_EQ(elected->term(), term);
}

TEST_F(RaftNodeTest, ElectsLeaderAndCommitsEntry) {
  run(seconds(5));
  auto* elected = leader();
  ASSERT_NE(elected, nullptr);
  const auto index = elected->propose(now_, "command");
  ASSERT_TRUE(index);
  run(milliseconds(500));
  for (auto& [id, node] : nodes_) {
    EXPECT_GE(node.commit_index(), *index);
  }
}

TEST_F(RaftNodeTest, IsolatedLeaderLosesLeaseBeforeNextElection) {
  run(seconds(5));
  auto* old_leader = leader();
  ASSERT_NE(old_leader, nullptr);
  isolated_.insert(old_leader->id().value());
  bool both_hold_lease = false;
  for (int step = 0; step < 500; ++step) {
    run(milliseconds(10));
    both_hold_lease = both_hold_lease || (old_leader->has_lease(now_) && leader() != nullptr);
  }
  EXPECT_FALSE(both_hold_lease);
  ASSERT_NE(leader(), nullptr);
  EXPECT_FALSE(old_leader->is_leader());
  const int64_t term = leader()->term();
  isolated_.clear();
  run(seconds(3));
  // With pre-vote, the isolated replica did not raise its term, so its return deposes no leader.
  EXPECT_EQ(leader()->term(), term);
}

TEST_F(RaftNodeTest, RestartedVoterDelaysItsVote) {
  run(seconds(5));
  auto* elected = leader();
  const int64_t voter = elected->id().value() == 1 ? 2 : 1;
  RaftNode restarted(ReplicaId(voter), Incarnation(2), options_, PersistedState(), 9, now_);
  wire::RaftMessage message;
  message.from_replica = 3;
  message.to_replica = voter;
  wire::VoteRequest request;
  request.term = 50;
  request.last_index = 1000;
  request.last_term = 49;
  message.__set_vote_request(request);
  restarted.step(now_, message);
  const auto output = restarted.take_output();
  ASSERT_EQ(output.messages_after_sync.size(), 1U);
  EXPECT_FALSE(output.messages_after_sync[0].vote_reply.granted);
}

TEST_F(RaftNodeTest, TransfersLeadershipWithoutElectionTimeout) {
  run(seconds(5));
  auto* old_leader = leader();
  ASSERT_NE(old_leader, nullptr);
  ASSERT_TRUE(old_leader->transfer_leadership(now_));
  EXPECT_FALSE(old_leader->has_lease(now_));
  run(milliseconds(200));
  ASSERT_NE(leader(), nullptr);
  EXPECT_NE(leader()->id(), old_leader->id());
}

TEST_F(RaftNodeTest, LateRejectionIsNotARollback) {
  run(seconds(5));
  auto* elected = leader();
  ASSERT_NE(elected, nullptr);
  const int64_t follower = elected->id().value() == 1 ? 2 : 1;
  elected->propose(now_, "command");
  run(milliseconds(300));
  wire::RaftMessage late_message;
  late_message.from_replica = follower;
  late_message.to_replica = elected->id().value();
  wire::AppendReply reply;
  reply.term = elected->term();
  reply.success = false;
  reply.match_index = 0;
  reply.last_index = 0;
  reply.sent_at_us = to_microseconds(now_);
  reply.boot = 1;
  reply.order = 1;  // Sent before the acknowledgements that the leader already received.
  late_message.__set_append_reply(reply);
  elected->step(now_, late_message);
  EXPECT_TRUE(elected->rolled_back_replicas().empty());
  reply.boot = 2;  // Sent after a restart of the same identity: its disk has lost entries.
  late_message.__set_append_reply(reply);
  elected->step(now_, late_message);
  EXPECT_TRUE(elected->rolled_back_replicas().contains(follower));
}

TEST_F(RaftNodeTest, AllowsOneReplicaChangeAtATime) {
  run(seconds(5));
  auto* elected = leader();
  ASSERT_NE(elected, nullptr);
  auto without_two_voters = elected->replicas();
  without_two_voters.voters.resize(1);
  EXPECT_FALSE(elected->propose_replicas(now_, without_two_voters));
  auto with_learner = elected->replicas();
  wire::ReplicaAddress learner;
  learner.replica_id = 9;
  learner.node = "n9";
  with_learner.learners.push_back(learner);
  EXPECT_TRUE(elected->propose_replicas(now_, with_learner));
  EXPECT_FALSE(elected->propose_replicas(now_, with_learner)) << "a second change while one is uncommitted";
}

}  // namespace
}  // namespace larchlever::consensus
