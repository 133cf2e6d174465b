#include "core/node/node_controller.h"

#include <gtest/gtest.h>

namespace larchlever::node {
namespace {

/// A region of a single node whose storage writes complete at once.
class NodeControllerTest : public testing::Test {
 protected:
  void SetUp() override {
    NodeControllerOptions options;
    options.control_nodes = {"n1"};
    NodeIdentity identity;
    identity.node = "n1";
    identity.zone = "a";
    identity.incarnation = Incarnation(1000);
    node_ = std::make_unique<NodeController>(options, identity, now_);
    wire::ReplicaAddress address;
    address.replica_id = 7;
    address.node = "n1";
    node_->start_replica(now_, ReplicaId(7), consensus::RaftNode::bootstrap(address));
  }

  void run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(10);
      node_->tick(now_, 1'700'000'000'000);
      auto outputs = node_->take_outputs();
      while (!outputs.storage.empty()) {
        for (auto& batch : outputs.storage) {
          node_->on_storage_written(now_, std::move(batch));
        }
        claim_outcomes_.insert(claim_outcomes_.end(), outputs.claim_outcomes.begin(), outputs.claim_outcomes.end());
        outputs = node_->take_outputs();
      }
      claim_outcomes_.insert(claim_outcomes_.end(), outputs.claim_outcomes.begin(), outputs.claim_outcomes.end());
    }
  }

  TimePoint now_ = TimePoint(seconds(100));
  std::unique_ptr<NodeController> node_;
  std::vector<ClaimOutcome> claim_outcomes_;
};

TEST_F(NodeControllerTest, SingleNodeLeadsAndHoldsConfigurationLease) {
  EXPECT_FALSE(node_->entry().has_configuration_lease(now_));
  run(seconds(4));
  EXPECT_TRUE(node_->acts_as_leader(now_));
  EXPECT_TRUE(node_->entry().has_configuration_lease(now_));
}

TEST_F(NodeControllerTest, MayStopAfterTimeoutWithoutSuccessor) {
  run(seconds(4));
  node_->begin_leaving(now_);
  run(seconds(1));
  EXPECT_FALSE(node_->may_stop(now_)) << "another node may still take over leadership";
  run(seconds(5));
  EXPECT_TRUE(node_->may_stop(now_));
}

TEST_F(NodeControllerTest, GrantsClaimOnceAndReportsUndecidedWithoutQuorum) {
  wire::Claim claim;
  claim.tenant = "t";
  claim.key = "k";
  node_->submit_claim(now_, claim, now_ + milliseconds(200));
  run(milliseconds(400));
  ASSERT_EQ(claim_outcomes_.size(), 1U);
  EXPECT_FALSE(claim_outcomes_[0].decided) << "no leader is elected yet";
  run(seconds(4));
  claim_outcomes_.clear();
  node_->submit_claim(now_, claim, now_ + seconds(2));
  node_->submit_claim(now_, claim, now_ + seconds(2));
  run(seconds(1));
  ASSERT_EQ(claim_outcomes_.size(), 2U);
  EXPECT_NE(claim_outcomes_[0].granted, claim_outcomes_[1].granted);
}

}  // namespace
}  // namespace larchlever::node
