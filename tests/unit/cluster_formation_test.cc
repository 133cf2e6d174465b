#include "core/fleet/cluster_formation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

namespace larchlever::fleet {
namespace {

constexpr Duration kStep = milliseconds(10);

/// Seeds in virtual time over a network that delays and loses, with disks that keep what was stored.
class SeedNetwork {
 public:
  SeedNetwork(uint64_t seed, size_t count) : random_(seed) {
    for (size_t number = 0; number < count; ++number) {
      addresses_.push_back("10.0.0." + std::to_string(number + 1) + ":7000");
    }
    nodes_.resize(count);
  }

  void start(size_t number) {
    nodes_[number].formation.emplace(now_, addresses_[number], addresses_, nodes_[number].stored);
  }
  void stop(size_t number) { nodes_[number].formation.reset(); }
  void lose_disk(size_t number) {
    nodes_[number].stored.clear();
    nodes_[number].holds_log = false;
  }
  void set_loss(double probability) { loss_ = probability; }
  bool is_up(size_t number) const { return nodes_[number].formation.has_value(); }
  int founded() const { return founded_; }
  std::string founder() const { return founder_; }
  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  size_t any() { return std::uniform_int_distribution<size_t>(0, nodes_.size() - 1)(random_); }

  void run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      deliver();
      for (size_t number = 0; number < nodes_.size(); ++number) {
        advance(number);
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
    TimePoint due;
    std::string from;
    std::string to;
    wire::FormationNotice notice;
  };

  void send(const std::string& from, const std::string& to, const wire::FormationNotice& notice) {
    if (!chance(loss_)) {
      const auto delay = milliseconds(std::uniform_int_distribution<int>(1, 120)(random_));
      messages_.push_back({now_ + delay, from, to, notice});
    }
  }

  void deliver() {
    const auto later = std::stable_partition(messages_.begin(), messages_.end(),
                                             [this](const auto& item) { return item.due <= now_; });
    const std::vector<Message> due(messages_.begin(), later);
    messages_.erase(messages_.begin(), later);
    for (const auto& message : due) {
      const auto number = std::find(addresses_.begin(), addresses_.end(), message.to) - addresses_.begin();
      Node& node = nodes_[static_cast<size_t>(number)];
      if (!node.formation) {
        continue;
      }
      if (node.holds_log && !message.notice.holds_log) {
        wire::FormationNotice answer;
        answer.holds_log = true;
        send(message.to, message.from, answer);
      }
      node.formation->receive(now_, message.from, message.notice);
    }
  }

  void advance(size_t number) {
    Node& node = nodes_[number];
    if (!node.formation || node.holds_log) {
      return;
    }
    for (const auto& envelope : node.formation->tick(now_)) {
      send(addresses_[number], envelope.to_node, envelope.formation);
    }
    if (const auto choice = node.formation->choice_to_store()) {
      node.stored = *choice;
      node.formation->choice_stored();
    }
    if (node.formation->may_found()) {
      node.holds_log = true;
      founder_ = addresses_[number];
      ++founded_;
    }
  }

  std::mt19937_64 random_;
  TimePoint now_{seconds(1000)};
  double loss_ = 0;
  std::vector<std::string> addresses_;
  std::vector<Node> nodes_;
  std::vector<Message> messages_;
  int founded_ = 0;
  std::string founder_;
};

TEST(ClusterFormation, TheLowestSeedFoundsAtOnceWhenAllAreThere) {
  SeedNetwork network(1, 3);
  for (size_t number = 0; number < 3; ++number) {
    network.start(number);
  }
  network.run(milliseconds(600));
  EXPECT_EQ(network.founded(), 1);
  EXPECT_EQ(network.founder(), "10.0.0.1:7000");
}

TEST(ClusterFormation, OneSeedAloneFoundsWhereThereIsNoOther) {
  SeedNetwork network(1, 1);
  network.start(0);
  network.run(milliseconds(100));
  EXPECT_EQ(network.founded(), 1);
}

TEST(ClusterFormation, AnyMajorityIsEnoughAndTheLateSeedHearsOfTheLog) {
  for (size_t away = 0; away < 3; ++away) {
    SeedNetwork network(away, 3);
    for (size_t number = 0; number < 3; ++number) {
      if (number != away) {
        network.start(number);
      }
    }
    network.run(seconds(3));
    EXPECT_EQ(network.founded(), 1) << "seed " << away << " away";
    network.start(away);
    network.run(seconds(5));
    EXPECT_EQ(network.founded(), 1) << "seed " << away << " late";
  }
}

TEST(ClusterFormation, AMinorityWaits) {
  SeedNetwork network(1, 3);
  network.start(0);
  network.run(seconds(20));
  EXPECT_EQ(network.founded(), 0);
}

TEST(ClusterFormation, ASeedThatLostItsDiskFoundsNoSecondLog) {
  SeedNetwork network(1, 3);
  for (size_t number = 0; number < 3; ++number) {
    network.start(number);
  }
  network.run(seconds(1));
  ASSERT_EQ(network.founder(), "10.0.0.1:7000");
  // The founder's disk survives with the log; another seed comes back empty with the settings of the first start.
  for (size_t number = 1; number < 3; ++number) {
    network.stop(number);
    network.lose_disk(number);
    network.start(number);
    network.run(seconds(5));
  }
  EXPECT_EQ(network.founded(), 1);
}

TEST(ClusterFormation, OneFounderWhateverIsLateLostOrRestarted) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    SeedNetwork network(seed, 3);
    network.set_loss(0.2);
    for (int round = 0; round < 40; ++round) {
      const size_t number = network.any();
      if (network.is_up(number) && network.chance(0.3)) {
        network.stop(number);
      } else if (!network.is_up(number)) {
        network.start(number);
      }
      network.run(milliseconds(100));
    }
    for (size_t number = 0; number < 3; ++number) {
      if (!network.is_up(number)) {
        network.start(number);
      }
    }
    network.set_loss(0);
    network.run(seconds(5));
    EXPECT_EQ(network.founded(), 1) << "seed " << seed;
  }
}

}  // namespace
}  // namespace larchlever::fleet
