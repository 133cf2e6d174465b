#include "core/control/replica_supervisor.h"

#include <gtest/gtest.h>

namespace larchlever::control {
namespace {

/// A new learner must not count as lost just because the leader's term started long before it was added.
TEST(ReplicaSupervisor, GivesNewLearnerTimeToAnswer) {
  TimePoint now = TimePoint(seconds(100));
  wire::ReplicaAddress address;
  address.replica_id = 1;
  address.node = "n1";
  consensus::RaftNode raft(ReplicaId(1), Incarnation(1), consensus::RaftOptions(),
                           consensus::RaftNode::bootstrap(address), 1, now);
  const auto run = [&](Duration duration) {
    const TimePoint end = now + duration;
    while (now < end) {
      now += milliseconds(20);
      raft.tick(now);
      const auto output = raft.take_output();
      raft.mark_synced(now, output.ticket);
      raft.take_committed();
    }
  };
  ControlOptions options;
  options.replica_timeout = seconds(2);
  ReplicaSupervisor supervisor(options);
  run(seconds(3));
  supervisor.start(now);
  run(seconds(30));
  membership::NodeDirectory nodes;
  membership::SenderIncarnation sender_incarnation{};
  for (int64_t number = 2; number <= 3; ++number) {
    auto* node_record = nodes.record_heartbeat(now, "n" + std::to_string(number), Incarnation(1), sender_incarnation);
    node_record->replica_id = ReplicaId(number);
    node_record->zone = "a";
  }
  const auto added = supervisor.next_replica_set(now, raft, nodes);
  ASSERT_TRUE(added);
  ASSERT_EQ(added->learners.size(), 1U);
  ASSERT_TRUE(raft.propose_replicas(now, *added));
  run(milliseconds(100));
  EXPECT_FALSE(supervisor.next_replica_set(now, raft, nodes)) << "it was just added and may still reply";
  run(seconds(3));
  const auto removed = supervisor.next_replica_set(now, raft, nodes);
  ASSERT_TRUE(removed) << "silent for longer than the timeout";
  EXPECT_TRUE(removed->learners.empty());
}

/// Five voters, four of them silent, and no spare replica. The supervisor would remove silent voters, but must not
/// reduce the voters below the configured minimum.
TEST(ReplicaSupervisor, KeepsMinimumVoters) {
  TimePoint now = TimePoint(seconds(100));
  wire::ReplicaAddress address;
  address.replica_id = 1;
  address.node = "n1";
  consensus::PersistedState state;
  for (int64_t number = 1; number <= 5; ++number) {
    address.replica_id = number;
    address.node = "n" + std::to_string(number);
    state.snapshot.replicas.voters.push_back(address);
  }
  consensus::RaftNode raft(ReplicaId(1), Incarnation(1), consensus::RaftOptions(), state, 1, now);
  ControlOptions options;
  options.replica_timeout = seconds(1);
  membership::NodeDirectory nodes;
  const auto next_set_with_minimum = [&](size_t minimum) {
    options.minimum_voters = minimum;
    ReplicaSupervisor supervisor(options);
    supervisor.start(now);
    supervisor.next_replica_set(now, raft, nodes);
    return supervisor.next_replica_set(now + seconds(10), raft, nodes);
  };
  EXPECT_TRUE(next_set_with_minimum(1)) << "with a minimum of 1 a silent voter is removed";
  EXPECT_FALSE(next_set_with_minimum(5));
}

}  // namespace
}  // namespace larchlever::control
