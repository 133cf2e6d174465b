#include "core/fleet/cluster_formation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

namespace larchlever::fleet {
namespace {

constexpr Duration kSimulationStep = milliseconds(10);

/// Simulates seeds in virtual time, with a network that delays and loses messages and with disks that survive restarts.
class SeedNetwork {
 public:
  SeedNetwork(uint64_t seed, size_t count) : random_(seed) {
    for (size_t index = 0; index < count; ++index) {
      addresses_.push_back("10.0.0." + std::to_string(index + 1) + ":7000");
    }
    nodes_.resize(count);
  }

  void start_seed(size_t index) {
    nodes_[index].formation.emplace(now_, addresses_[index], addresses_, nodes_[index].stored);
  }
  void stop_seed(size_t index) { nodes_[index].formation.reset(); }
  void lose_disk(size_t index) {
    nodes_[index].stored.clear();
    nodes_[index].holds_log = false;
  }
  void set_loss_probability(double probability) { loss_probability_ = probability; }
  bool is_up(size_t index) const { return nodes_[index].formation.has_value(); }
  int log_count() const { return log_count_; }
  std::string founder() const { return founder_; }
  bool draw_event(double probability) { return std::bernoulli_distribution(probability)(random_); }
  size_t random_index() { return std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(random_); }

  void run_for(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kSimulationStep) {
      deliver_due_messages();
      for (size_t index = 0; index < nodes_.size(); ++index) {
        tick_seed(index);
      }
    }
  }

 private:
  struct Node {
    std::optional<ClusterFormation> formation;
    std::string stored;
    bool holds_log = false;
  };
  struct Message {
    TimePoint due_at;
    std::string from;
    std::string to;
    wire::FormationNotice notice;
  };

  void send(const std::string& from, const std::string& to, const wire::FormationNotice& notice) {
    if (!draw_event(loss_probability_)) {
      const auto delay = milliseconds(std::uniform_int_distribution<int>(1, 120)(random_));
      messages_.push_back({now_ + delay, from, to, notice});
    }
  }

  void deliver_due_messages() {
    const auto first_not_due = std::stable_partition(messages_.begin(), messages_.end(),
                                                     [this](const auto& item) { return item.due_at <= now_; });
    const std::vector<Message> due_messages(messages_.begin(), first_not_due);
    messages_.erase(messages_.begin(), first_not_due);
    for (const auto& message : due_messages) {
      const auto index = std::find(addresses_.begin(), addresses_.end(), message.to) - addresses_.begin();
      Node& node = nodes_[static_cast<size_t>(index)];
      if (!node.formation) {
        continue;
      }
      if (node.holds_log && !message.notice.holds_log) {
        wire::FormationNotice answer;
        answer.holds_log = true;
        send(message.to, message.from, answer);
      }
      node.formation->receive_notice(now_, message.from, message.notice);
    }
  }

  void tick_seed(size_t index) {
    Node& node = nodes_[index];
    if (!node.formation || node.holds_log) {
      return;
    }
    for (const auto& envelope : node.formation->tick(now_)) {
      send(addresses_[index], envelope.to_node, envelope.formation);
    }
    if (const auto choice = node.formation->founder_choice_to_store()) {
      node.stored = *choice;
      node.formation->founder_choice_stored();
    }
    if (node.formation->may_create_log()) {
      node.holds_log = true;
      founder_ = addresses_[index];
      ++log_count_;
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{seconds(1000)};
  double loss_probability_ = 0;
  std::vector<std::string> addresses_;
  std::vector<Node> nodes_;
  std::vector<Message> messages_;
  int log_count_ = 0;
  std::string founder_;
};

TEST(ClusterFormation, LowestSeedCreatesLogWhenAllSeedsAreReachable) {
  SeedNetwork network(1, 3);
  for (size_t index = 0; index < 3; ++index) {
    network.start_seed(index);
  }
  network.run_for(milliseconds(600));
  EXPECT_EQ(network.log_count(), 1);
  EXPECT_EQ(network.founder(), "10.0.0.1:7000");
}

TEST(ClusterFormation, SingleConfiguredSeedCreatesLog) {
  SeedNetwork network(1, 1);
  network.start_seed(0);
  network.run_for(milliseconds(100));
  EXPECT_EQ(network.log_count(), 1);
}

TEST(ClusterFormation, AnyMajorityCreatesOneLogAndLateSeedCreatesNone) {
  for (size_t absent_index = 0; absent_index < 3; ++absent_index) {
    SeedNetwork network(absent_index, 3);
    for (size_t index = 0; index < 3; ++index) {
      if (index != absent_index) {
        network.start_seed(index);
      }
    }
    network.run_for(seconds(3));
    EXPECT_EQ(network.log_count(), 1) << "seed " << absent_index << " absent";
    network.start_seed(absent_index);
    network.run_for(seconds(5));
    EXPECT_EQ(network.log_count(), 1) << "seed " << absent_index << " late";
  }
}

TEST(ClusterFormation, MinorityCreatesNoLog) {
  SeedNetwork network(1, 3);
  network.start_seed(0);
  network.run_for(seconds(20));
  EXPECT_EQ(network.log_count(), 0);
}

TEST(ClusterFormation, SeedThatLostItsDiskCreatesNoSecondLog) {
  SeedNetwork network(1, 3);
  for (size_t index = 0; index < 3; ++index) {
    network.start_seed(index);
  }
  network.run_for(seconds(1));
  ASSERT_EQ(network.founder(), "10.0.0.1:7000");
  // The founder keeps its disk with the log; each other seed restarts with an empty disk and the initial settings.
  for (size_t index = 1; index < 3; ++index) {
    network.stop_seed(index);
    network.lose_disk(index);
    network.start_seed(index);
    network.run_for(seconds(5));
  }
  EXPECT_EQ(network.log_count(), 1);
}

TEST(ClusterFormation, CreatesExactlyOneLogDespiteRestartsAndMessageLoss) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    SeedNetwork network(seed, 3);
    network.set_loss_probability(0.2);
    for (int round = 0; round < 40; ++round) {
      const size_t index = network.random_index();
      if (network.is_up(index) && network.draw_event(0.3)) {
        network.stop_seed(index);
      } else if (!network.is_up(index)) {
        network.start_seed(index);
      }
      network.run_for(milliseconds(100));
    }
    for (size_t index = 0; index < 3; ++index) {
      if (!network.is_up(index)) {
        network.start_seed(index);
      }
    }
    network.set_loss_probability(0);
    network.run_for(seconds(5));
    EXPECT_EQ(network.log_count(), 1) << "seed " << seed;
  }
}

}  // namespace
}  // namespace larchlever::fleet
